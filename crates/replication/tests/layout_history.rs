//! Tests of the layouts in force and of the transfers between them.

use leverpoint_membership::layout::{Layout, ReplicaHolder};
use leverpoint_replication::ReplicationFactor;
use leverpoint_replication::layout_history::{LayoutHistory, SyncStatus};

fn layout(count: usize, zones: usize, machines: usize) -> Layout {
    let holder = |n: usize| ReplicaHolder {
        name: format!("n{n:03}"),
        storage_id: 100 + n as u64,
        machine: format!("m{}", n % machines),
        zone: format!("z{}", n % zones),
    };
    Layout {
        version: 1,
        holders: (0..count).map(holder).collect(),
    }
}

/// Guards against a member that counts as in sync although too few replicas of an older layout, with the storage ids of
/// that layout, have transferred their records.
#[test]
fn member_is_in_sync_once_enough_have_transferred_or_their_storage_is_lost() {
    let initial = layout(5, 5, 5);
    let mut history = LayoutHistory::new(ReplicationFactor::new(3).unwrap());
    assert!(history.push(0, &initial) && history.is_known());
    assert_eq!(history.sync_status(0, "n000", 100, 50), SyncStatus::InSync);
    // n004 is removed, and added again with another storage.
    let without_n004 = initial.without_holder("n004");
    let with_new_storage = without_n004.with_holder(ReplicaHolder {
        storage_id: 900,
        ..initial.holders[4].clone()
    });
    history.push(10, &without_n004);
    history.push(20, &with_new_storage);
    // Of three replicas one may be lost. A member that has lost its own storage needs the transfers of all others.
    assert_eq!(
        history.sync_status(20, "n000", 100, 50),
        SyncStatus::Syncing
    );
    for n in 1..4 {
        history.record_transfer(&format!("n{n:03}"), 100 + n);
    }
    assert_eq!(history.sync_status(20, "n000", 100, 50), SyncStatus::InSync);
    assert_eq!(
        history.sync_status(20, "n004", 900, 50),
        SyncStatus::Syncing,
        "n000 has not transferred its records"
    );
    history.record_transfer("n000", 100);
    assert_eq!(history.sync_status(20, "n004", 900, 50), SyncStatus::InSync);
    // Another holder is removed before it has transferred: a quorum of two may be lost with both storages.
    let without_n003 = with_new_storage.without_holder("n003");
    history.push(30, &without_n003);
    for n in 0..3 {
        history.record_transfer(&format!("n{n:03}"), 100 + n);
    }
    assert_eq!(
        history.sync_status(79, "n004", 900, 50),
        SyncStatus::Syncing,
        "n003 may still act on an older layout"
    );
    assert_eq!(
        history.sync_status(80, "n004", 900, 50),
        SyncStatus::InSyncWithLoss(80)
    );
    assert_eq!(history.oldest_version(), 1);
    assert!(
        history.drop_superseded()
            && history.oldest_version() == 4
            && history.layouts().count() == 1
    );
    // A member that has missed a version needs the history, and accepts it only with the same newest layout.
    let with_n900 = without_n003.with_holder(ReplicaHolder {
        storage_id: 7,
        name: "n900".into(),
        machine: "m".into(),
        zone: "z".into(),
    });
    let without_n000 = with_n900.without_holder("n000");
    history.push(90, &without_n000);
    assert!(!history.is_known() && !history.on_history_received(std::slice::from_ref(&with_n900)));
    assert!(
        history.on_history_received(&[without_n003, with_n900, without_n000])
            && history.is_known()
            && history.oldest_version() == 4
    );
}
