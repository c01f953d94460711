//! Hashes of the records that two members share.

use leverpoint_replication::merkle::{MerkleTrees, bucket_index};
use leverpoint_replication::{PrimaryRole, Record, RecordKey, RecordValue};

fn record(replica_set: u16, term: u64) -> Record {
    Record {
        key: RecordKey::Primary(replica_set),
        value: RecordValue::Primary(PrimaryRole {
            term,
            observed_at: 1,
            server: "s0".to_owned(),
        }),
    }
}

fn tree_of(records: &[Record]) -> MerkleTrees {
    let mut trees = MerkleTrees::default();
    trees.reset(2);
    while let Some(at) = trees.pop_stale() {
        let in_bucket = records.iter().filter(|r| bucket_index(r.key) == at);
        trees.rehash(at, in_bucket, |_| vec![1]);
    }
    trees
}

#[test]
fn hashes_differ_only_where_shared_records_do() {
    let ours = tree_of(&[record(1, 1), record(2, 1)]);
    let theirs = tree_of(&[record(1, 1), record(2, 2)]);

    let differing: Vec<usize> = (0..64)
        .filter(|branch| ours.branch_hashes(1)[*branch] != theirs.branch_hashes(1)[*branch])
        .collect();

    let changed = bucket_index(RecordKey::Primary(2));
    assert_eq!(differing, [changed / 64]);
    let (ours, theirs) = (
        ours.bucket_hashes(1, changed / 64),
        theirs.bucket_hashes(1, changed / 64),
    );
    let buckets: Vec<usize> = (0..64).filter(|at| ours[*at] != theirs[*at]).collect();
    assert_eq!(buckets, [changed % 64]);
}

#[test]
fn replica_that_shares_nothing_has_zero_hashes() {
    let trees = tree_of(&[record(1, 1)]);

    assert_eq!(trees.branch_hashes(0), vec![0; 64]);
    assert_eq!(trees.branch_hashes(9), vec![0; 64]);
    assert_eq!(trees.bucket_hashes(9, 3), vec![0; 64]);
}
