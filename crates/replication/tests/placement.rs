//! Spread of replicas over zones and hosts, and stability of placement when a layout changes.

use std::collections::BTreeMap;

use leverpoint_membership::layout::{Layout, ReplicaHolder};
use leverpoint_replication::{RecordKey, ReplicationFactor, replicas};

/// A layout of `members` holders, assigned to zones and hosts in turn.
fn build_layout(members: usize, zones: usize, machines: usize) -> Layout {
    let holder = |n: usize| ReplicaHolder {
        name: format!("n{n:03}"),
        storage_id: 100 + n as u64,
        machine: format!("m{}", n % machines),
        zone: format!("z{}", n % zones),
    };
    Layout {
        version: 1,
        holders: (0..members).map(holder).collect(),
    }
}

#[test]
fn replicas_spread_evenly_over_zones_and_hosts_and_few_move_when_a_member_joins() {
    let factor = ReplicationFactor::new(3).unwrap();
    let mut replicas_by_holder = BTreeMap::new();
    let twelve = build_layout(12, 3, 12);
    for n in 0..6_000 {
        let indices = replicas(&twelve, RecordKey::Session(n), factor);
        let zones: std::collections::BTreeSet<_> = indices
            .iter()
            .map(|holder| &twelve.holders[*holder].zone)
            .collect();
        assert_eq!((indices.len(), zones.len()), (3, 3));
        indices
            .iter()
            .for_each(|holder| *replicas_by_holder.entry(*holder).or_insert(0) += 1);
    }
    // 18,000 replicas on 12 holders: 1,500 each if spread evenly.
    assert!(
        replicas_by_holder.len() == 12
            && replicas_by_holder
                .values()
                .all(|count| (1_300..1_700).contains(count)),
        "{replicas_by_holder:?}"
    );
    // With two members per host, a record never has both of them as replicas.
    let two_per_host = build_layout(8, 1, 4);
    for n in 0..500 {
        let indices = replicas(&two_per_host, RecordKey::KeyedRequest(n), factor);
        let machines: std::collections::BTreeSet<_> = indices
            .iter()
            .map(|holder| &two_per_host.holders[*holder].machine)
            .collect();
        assert_eq!(machines.len(), 3);
    }
    // A thirteenth holder takes over about its share of the records; the replicas of all others stay.
    let thirteen = build_layout(13, 3, 13);
    let names = |layout: &Layout, n| {
        let mut holder_names: Vec<String> = replicas(layout, RecordKey::Session(n), factor)
            .iter()
            .map(|holder| layout.holders[*holder].name.clone())
            .collect();
        holder_names.sort();
        holder_names
    };
    let moved = (0..6_000)
        .filter(|n| names(&twelve, *n) != names(&thirteen, *n))
        .count();
    assert!((900..2_000).contains(&moved), "{moved} of 6000");
    assert_eq!(
        replicas(&build_layout(2, 1, 2), RecordKey::Primary(1), factor).len(),
        2
    );
    assert!(ReplicationFactor::new(2).is_none() && ReplicationFactor::new(9).is_none());
}
