//! What reads must see after sequences of session events; the index agrees with a map; the sketch never lowers a
//! requirement.

use std::collections::BTreeMap;

use fastrand::Rng;
use leverpoint_sessions::{
    ClockSkew, Key, Keys, PositionSketch, ReadRequirement, ReplicaWait, SessionConfig,
    SessionEntry, SessionEvent, SessionIndex, SessionPosition, SessionState, SessionToken,
    SessionTracker, next_state,
};

const MS: i64 = 10;
const START: i64 = 1_000_000 * MS;

#[test]
fn transitions_cover_all_events_and_unknown_sessions_require_the_current_instant() {
    let mut out = String::new();
    let states = [
        SessionState::Unknown,
        SessionState::Uncertain,
        SessionState::Tracked,
        SessionState::Wrote,
    ];
    let events = [
        SessionEvent::Read,
        SessionEvent::ReadAfterGap,
        SessionEvent::Write,
        SessionEvent::WriteAfterGap,
        SessionEvent::WriteAnswered,
        SessionEvent::WriteUncertain,
        SessionEvent::TokenRead,
        SessionEvent::PositionLearned,
    ];
    for state in states {
        for event in events {
            let (next, requirement) = next_state(state, event);
            out += &format!("{state:?}, {event:?}: {next:?}, {requirement:?}\n");
            let uninformed_read = matches!(state, SessionState::Unknown | SessionState::Uncertain)
                && event == SessionEvent::Read;
            assert!(!uninformed_read || requirement == ReadRequirement::CurrentInstant);
        }
    }
    insta::assert_snapshot!(out);
}

/// Applies events to session 5, each at its time in milliseconds, and returns the requirement of each read.
fn run_events(config: SessionConfig, events: &[(i64, &str)]) -> String {
    let mut tracker = SessionTracker::new(config, START, 3);
    let mut out = String::new();
    for (ms, event) in events {
        let now = START + ms * MS;
        let read_with = |tracker: &mut SessionTracker, token_position, replicated_position| {
            let requirement =
                tracker.on_read(5, 0, now, 4_000, token_position, replicated_position);
            let required_ms = (requirement.position - START) as f64 / 10.0;
            format!(
                "owes all up to {required_ms} ms, {}",
                if requirement.exact {
                    "exactly"
                } else {
                    "for want of knowledge"
                }
            )
        };
        let read =
            |tracker: &mut SessionTracker, token_position| read_with(tracker, token_position, None);
        let result = match *event {
            "read" => read(&mut tracker, None),
            "read with a token of 40 ms" => read(&mut tracker, Some(START + 40 * MS)),
            "read with a token from the future" => read(&mut tracker, Some(now + 60_000 * MS)),
            "write" => {
                tracker.on_write(5, now);
                String::new()
            }
            "answered" => {
                tracker.on_write_answered(5, now, Some(now));
                String::new()
            }
            "unclear" => {
                tracker.on_write_uncertain(5, now);
                String::new()
            }
            "read, its holders say 40 ms" => read_with(&mut tracker, None, Some(START + 40 * MS)),
            "told 30 ms" => {
                tracker.on_position_learned(&SessionPosition {
                    session: 5,
                    position: START + 30 * MS,
                });
                String::new()
            }
            "step" => {
                tracker.on_clocks_read(now, now, now);
                format!(
                    "ends the epoch: {}",
                    tracker.on_clocks_read(now, now + 20_000 * MS, now)
                )
            }
            other => panic!("{other}"),
        };
        out += &format!(
            "{ms:>6} ms {event}{}{result}\n",
            if result.is_empty() { "" } else { ": " }
        );
    }
    out
}

#[test]
fn requirements_follow_the_events_of_a_session() {
    let any_gateway = SessionConfig {
        max_clock_skew: 0,
        ..SessionConfig::default()
    };
    let exclusive = SessionConfig {
        exclusive_for: Some(2_000 * MS),
        ..any_gateway
    };
    let single_gateway = SessionConfig {
        exclusive_for: None,
        ..any_gateway
    };
    let mut out = String::new();
    let mut record = |name: &str, config, events: &[(i64, &str)]| {
        out += &format!("{name}\n{}", run_events(config, events));
    };
    let write_and_reads = [
        (10, "write"),
        (20, "answered"),
        (100, "read"),
        (300, "read"),
        (5_000, "read"),
    ];
    record("may be anywhere", any_gateway, &write_and_reads);
    record("stays for two seconds", exclusive, &write_and_reads);
    record("never moves", single_gateway, &write_and_reads);
    record(
        "a read before its write's answer",
        exclusive,
        &[
            (10, "read"),
            (20, "write"),
            (30, "read"),
            (40, "answered"),
            (50, "read"),
        ],
    );
    record(
        "a write whose answer was lost",
        exclusive,
        &[(10, "write"), (30, "unclear"), (50, "read"), (60, "read")],
    );
    record(
        "never met, told of a write",
        exclusive,
        &[(10, "told 30 ms"), (50, "read")],
    );
    record(
        "carried",
        any_gateway,
        &[
            (100, "read with a token of 40 ms"),
            (110, "read with a token from the future"),
            (120, "read"),
        ],
    );
    let replicated_reads = [
        (100, "read, its holders say 40 ms"),
        (110, "read"),
        (120, "write"),
        (130, "answered"),
        (140, "read, its holders say 40 ms"),
        (150, "unclear"),
        (160, "read, its holders say 40 ms"),
    ];
    record("its holders are asked", any_gateway, &replicated_reads);
    record(
        "carries less than passed here",
        single_gateway,
        &[
            (50, "write"),
            (60, "answered"),
            (100, "read with a token of 40 ms"),
        ],
    );
    record(
        "a clock steps",
        single_gateway,
        &[(50, "write"), (60, "answered"), (70, "step"), (100, "read")],
    );
    insta::assert_snapshot!(out);
}

#[test]
fn index_agrees_with_a_map_and_returns_evicted_entries() {
    let mut random = Rng::with_seed(5);
    let mut index = SessionIndex::new(300, START);
    let mut expected: BTreeMap<u64, SessionEntry> = BTreeMap::new();
    for n in 1..20_000 {
        let session = random.u64(1..600) << 20 | 1;
        let now = START + n * 8;
        let entry = SessionEntry {
            state: SessionState::Wrote,
            low_watermark: 0,
            last_write: now,
            last_seen: now & !3,
        };
        if let Some((evicted, evicted_entry)) = index.set(session, &entry) {
            assert_eq!(expected.remove(&evicted), Some(evicted_entry));
        }
        expected.insert(session, entry);
        assert_eq!(index.len(), expected.len());
        if n % 500 == 0 {
            index.sweep(64, now - 2_000, |expired, expired_entry| {
                assert_eq!(expected.remove(&expired), Some(expired_entry));
            });
            expected
                .iter()
                .for_each(|(session, entry)| assert_eq!(index.get(*session), Some(*entry)));
        }
    }
    assert!(expected.len() > 200);
}

#[test]
fn rebasing_the_index_never_lowers_a_requirement() {
    let mut index = SessionIndex::new(16, START);
    let old = SessionEntry {
        state: SessionState::Wrote,
        low_watermark: 0,
        last_write: START + 50,
        last_seen: START + 52,
    };
    index.set(7, &old);
    let later = START + (1 << 33);
    index.set(
        8,
        &SessionEntry {
            state: SessionState::Tracked,
            low_watermark: later,
            last_write: 0,
            last_seen: later,
        },
    );
    let rebased = index.get(7).unwrap();
    assert!(
        rebased.last_write >= old.last_write && rebased.last_seen <= old.last_seen,
        "{rebased:?}"
    );
    assert_eq!(index.get(8).unwrap().low_watermark, later);
}

#[test]
fn sketch_never_returns_less_than_was_recorded() {
    let mut random = Rng::with_seed(9);
    let mut sketch = PositionSketch::new(64, 5, 1_000);
    let mut recorded: BTreeMap<u64, i64> = BTreeMap::new();
    for n in 0..30_000i64 {
        // Positions are also recorded out of order, by up to a few slices.
        let (session, position) = (random.u64(..), (n - random.i64(0..4_000)).max(1));
        let session = if random.bool() {
            session
        } else {
            *recorded.keys().next().unwrap_or(&session)
        };
        sketch.record(session, position);
        let highest = recorded.entry(session).or_default();
        *highest = (*highest).max(position);
        if recorded.len() > 200 {
            recorded.clear();
        }
        recorded
            .iter()
            .for_each(|(session, highest)| assert!(sketch.upper_bound(*session) >= *highest));
    }
    assert!(sketch.bytes() <= 5 * 2 * 64 * 4);
}

#[test]
fn evicted_sessions_keep_their_requirement() {
    let config = SessionConfig {
        exclusive_for: None,
        max_sessions: 64,
        max_clock_skew: 0,
        sketch_width: 1_024,
        ..SessionConfig::default()
    };
    let mut tracker = SessionTracker::new(config, START, 1);
    let position_of = |n: u64| START + n as i64 * 3;
    for n in 1..2_000u64 {
        tracker.on_write(n << 24, position_of(n));
        tracker.on_write_answered(n << 24, position_of(n), Some(position_of(n)));
    }
    assert!(tracker.session_count() <= 64 && tracker.metrics.evicted_sessions > 1_900);
    for n in 1..2_000u64 {
        let requirement = tracker.on_read(n << 24, 0, position_of(2_000), 4_000, None, None);
        assert!(
            requirement.position >= position_of(n) && requirement.exact,
            "{n}: {requirement:?}"
        );
    }
}

#[test]
fn only_tokens_of_the_session_under_a_known_key_are_valid() {
    let key = |number, byte| Key {
        number,
        secret: vec![byte; 16],
    };
    let (old, new) = (
        Keys::new(vec![key(1, 7)]),
        Keys::new(vec![key(2, 8), key(1, 7)]),
    );
    let text = SessionToken {
        session: 5,
        position: 77,
    }
    .sign(&old)
    .unwrap();
    assert_eq!(
        (
            SessionToken::verify(&old, &text, 5),
            SessionToken::verify(&new, &text, 5)
        ),
        (Some(77), Some(77))
    );
    assert_eq!(
        SessionToken::verify(&old, &text, 6),
        None,
        "token of another session"
    );
    assert_eq!(
        SessionToken::verify(&Keys::new(vec![key(2, 8)]), &text, 5),
        None,
        "key that was removed"
    );
    assert_eq!(
        SessionToken::verify(
            &old,
            &SessionToken {
                session: 5,
                position: 77
            }
            .sign(&new)
            .unwrap(),
            5
        ),
        None,
        "key that is not known yet"
    );
    assert_eq!(
        SessionToken {
            session: 5,
            position: 77
        }
        .sign(&Keys::default()),
        None
    );
    for index in 0..text.len() {
        for byte in *b"Ax_" {
            let mut forged = text.clone().into_bytes();
            if std::mem::replace(&mut forged[index], byte) != byte {
                // The low bits of the last digit carry no data; a token in which they differ is still rejected.
                assert_eq!(
                    SessionToken::verify(&old, std::str::from_utf8(&forged).unwrap(), 5),
                    None,
                    "{index}"
                );
            }
        }
    }
    assert_eq!(
        (
            SessionToken::verify(&old, "", 5),
            SessionToken::verify(&old, &text[1..], 5)
        ),
        (None, None)
    );
}

#[test]
fn primary_positions_reveal_clock_skew_and_replicas_ahead_are_implausible() {
    let mut clock = ClockSkew::new(10);
    assert_eq!(clock.current_instant(START), START + 10);
    clock.on_primary_position(START, START + 300);
    assert_eq!(clock.current_instant(START), START + 310);
    assert!(clock.is_plausible(START, START + 310) && !clock.is_plausible(START, START + 311));
    (0..1_000).for_each(|_| clock.on_primary_position(START, START - 5));
    assert!(clock.current_instant(START) < START + 80);
    let mut tracker = SessionTracker::new(
        SessionConfig {
            max_clock_skew: 10,
            ..SessionConfig::default()
        },
        START,
        1,
    );
    assert!(!tracker.satisfies(START, false, Some(START + 5_000), START));
    assert!(tracker.satisfies(START, false, Some(START + 5), START));
    assert!(
        !tracker.satisfies(START, false, None, START)
            && tracker.satisfies(START, true, None, START)
    );
}

#[test]
fn replica_waits_follow_catch_up_times_and_few_reads_go_to_the_primary() {
    let (mut replica_wait, mut random) = (ReplicaWait::new(), Rng::with_seed(2));
    let mut out = String::new();
    for (name, catch_up_time) in [
        ("replicas 8 ms behind", 80),
        ("90 ms behind", 900),
        ("2 s behind", 20_000),
    ] {
        (0..64).for_each(|_| replica_wait.on_caught_up(0, START, catch_up_time));
        let mut waits: Vec<i64> = (0..200)
            .map(|n| {
                let now = START + n * 50;
                replica_wait.on_session_read(0, now);
                replica_wait.wait_until(0, now, 4_000, &mut random) - now
            })
            .collect();
        waits.sort_unstable();
        let at_once = waits.iter().filter(|wait| **wait == 0).count();
        out += &format!(
            "{name}: {at_once} of 200 at once, waits of {} to {} tenths, half below {}\n",
            waits[at_once], waits[199], waits[100]
        );
    }
    insta::assert_snapshot!(out);
}
