//! Merkle trees over the records that two members share.

use leverpoint_replication::merkle::{MerkleTrees, bucket_index};
use leverpoint_replication::{PrimaryRole, Record, RecordKey, RecordValue};

fn primary_record(replica_set: u16, term: u64) -> Record {
    Record {
        key: RecordKey::Primary(replica_set),
        value: RecordValue::Primary(PrimaryRole {
            term,
            observed_at: 1,
            server: "s0".to_owned(),
        }),
    }
}

/// Trees of a layout of two replica holders, the second of which holds all records.
fn build_trees(records: &[Record]) -> MerkleTrees {
    let mut trees = MerkleTrees::default();
    trees.reset(2);
    while let Some(stale) = trees.pop_stale() {
        let in_bucket = records.iter().filter(|r| bucket_index(r.key) == stale);
        trees.rehash(stale, in_bucket, |_| vec![1]);
    }
    trees
}

#[test]
fn hashes_differ_only_where_shared_records_do() {
    let ours = build_trees(&[primary_record(1, 1), primary_record(2, 1)]);
    let theirs = build_trees(&[primary_record(1, 1), primary_record(2, 2)]);

    let differing: Vec<usize> = (0..64)
        .filter(|branch| ours.branch_hashes(1)[*branch] != theirs.branch_hashes(1)[*branch])
        .collect();

    let changed = bucket_index(RecordKey::Primary(2));
    assert_eq!(differing, [changed / 64]);
    let (ours, theirs) = (
        ours.bucket_hashes(1, changed / 64),
        theirs.bucket_hashes(1, changed / 64),
    );
    let buckets: Vec<usize> = (0..64)
        .filter(|index| ours[*index] != theirs[*index])
        .collect();
    assert_eq!(buckets, [changed % 64]);
}

#[test]
fn replica_without_shared_records_has_zero_hashes() {
    let trees = build_trees(&[primary_record(1, 1)]);

    assert_eq!(trees.branch_hashes(0), vec![0; 64]);
    assert_eq!(trees.branch_hashes(9), vec![0; 64]);
    assert_eq!(trees.bucket_hashes(9, 3), vec![0; 64]);
}
