//! Tenants' quotas: which requests exceed their tenant's share of all requests.

use crate::api::Tenant;

/// Factor on the counts at every decay, once a second.
const QUOTA_DECAY: f64 = 0.7;

/// Counts of the requests of each tenant, which decay over time.
pub struct TenantQuotas {
    tenants: Vec<Tenant>,
    arrivals: Vec<f64>,
}

impl TenantQuotas {
    /// Starts with counts of zero for these tenants.
    #[must_use]
    pub fn new(tenants: Vec<Tenant>) -> Self {
        TenantQuotas {
            arrivals: vec![0.0; tenants.len()],
            tenants,
        }
    }

    /// Counts a request and returns whether it is treated as over its tenant's quota; never for an
    /// unknown tenant.
    ///
    /// The decision is random, and on average marks the excess over the tenant's share of all
    /// requests. A gateway that serves mostly one tenant therefore marks some of its requests even
    /// though the tenant keeps its quota.
    pub fn record_arrival(&mut self, tenant: usize, rng: &mut fastrand::Rng) -> bool {
        let Some(arrivals) = self.arrivals.get_mut(tenant) else {
            return false;
        };
        *arrivals += 1.0;
        let within_quota = self.tenants[tenant].quota_share * self.arrivals.iter().sum::<f64>();
        let excess = 1.0 - within_quota / self.arrivals[tenant];
        rng.f64() < excess
    }

    /// Decays the counts; called once a second.
    pub fn decay(&mut self) {
        self.arrivals
            .iter_mut()
            .for_each(|arrivals| *arrivals *= QUOTA_DECAY);
    }
}
