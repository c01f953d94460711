//! Requests in excess of a quota.

use leverpoint_routing::api::Tenant;
use leverpoint_routing::tenant_quotas::TenantQuotas;

#[test]
fn only_the_excess_over_a_quota_is_marked() {
    let tenant_with_share = |quota_share| Tenant {
        requests_per_second: 10.0,
        quota_share,
    };
    let mut quotas = TenantQuotas::new(vec![tenant_with_share(0.5), tenant_with_share(0.5)]);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut marked = [0, 0];
    for request in 0..4000 {
        let index = usize::from(request % 4 == 0);
        marked[index] += i32::from(quotas.record_arrival(index, &mut rng));
    }
    // Three quarters of the requests are the first tenant's, whose share is a half: a third of them
    // exceeds it.
    assert!((900..1100).contains(&marked[0]), "{marked:?}");
    assert!(marked[1] < 10, "{marked:?}");
}

#[test]
fn tenant_without_quota_is_never_over_it_and_draws_no_random_number() {
    let mut quotas = TenantQuotas::new(Vec::new());
    let mut rng = fastrand::Rng::with_seed(1);
    let untouched = rng.clone();
    assert!(!quotas.record_arrival(0, &mut rng));
    assert_eq!(rng, untouched);
}
