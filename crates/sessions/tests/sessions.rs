//! What a read owes, over courses of a session; the index against a plain map; the summary never asks for less.

use std::collections::BTreeMap;

use fastrand::Rng;
use leverpoint_sessions::{
    ClockSkew, Key, Keys, PositionSketch, ReadRequirement, ReplicaWait, SessionConfig,
    SessionEntry, SessionEvent, SessionIndex, SessionPosition, SessionState, SessionToken,
    SessionTracker, next,
};

const MS: i64 = 10;
const BEGAN: i64 = 1_000_000 * MS;

#[test]
fn transitions_cover_all_events_and_unknown_sessions_require_the_current_instant() {
    let mut out = String::new();
    let known = [
        SessionState::Unknown,
        SessionState::Uncertain,
        SessionState::Tracked,
        SessionState::Wrote,
    ];
    let seen = [
        SessionEvent::Read,
        SessionEvent::ReadAfterGap,
        SessionEvent::Write,
        SessionEvent::WriteAfterGap,
        SessionEvent::WriteAnswered,
        SessionEvent::WriteUncertain,
        SessionEvent::TokenRead,
        SessionEvent::PositionLearned,
    ];
    for known in known {
        for seen in seen {
            let (next, owes) = next(known, seen);
            out += &format!("{known:?}, {seen:?}: {next:?}, {owes:?}\n");
            let blind = matches!(known, SessionState::Unknown | SessionState::Uncertain)
                && seen == SessionEvent::Read;
            assert!(!blind || owes == ReadRequirement::CurrentInstant);
        }
    }
    insta::assert_snapshot!(out);
}

/// A course: what happens to session 5 after so many milliseconds, and what a read then owes of the time before it.
fn course(config: SessionConfig, steps: &[(i64, &str)]) -> String {
    let mut tracker = SessionTracker::new(config, BEGAN, 3);
    let mut out = String::new();
    for (ms, what) in steps {
        let now = BEGAN + ms * MS;
        let asks = |tracker: &mut SessionTracker, carried, asked| {
            let debt = tracker.on_read(5, 0, now, 4_000, carried, asked);
            let of = (debt.position - BEGAN) as f64 / 10.0;
            format!(
                "owes all up to {of} ms, {}",
                if debt.exact {
                    "exactly"
                } else {
                    "for want of knowledge"
                }
            )
        };
        let read = |tracker: &mut SessionTracker, carried| asks(tracker, carried, None);
        let said = match *what {
            "read" => read(&mut tracker, None),
            "read with a token of 40 ms" => read(&mut tracker, Some(BEGAN + 40 * MS)),
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
            "read, its holders say 40 ms" => asks(&mut tracker, None, Some(BEGAN + 40 * MS)),
            "told 30 ms" => {
                tracker.on_position_learned(&SessionPosition {
                    session: 5,
                    position: BEGAN + 30 * MS,
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
            "{ms:>6} ms {what}{}{said}\n",
            if said.is_empty() { "" } else { ": " }
        );
    }
    out
}

#[test]
fn requirements_follow_the_events_of_a_session() {
    let anywhere = SessionConfig {
        max_clock_skew: 0,
        ..SessionConfig::default()
    };
    let exclusive_for = SessionConfig {
        exclusive_for: Some(2_000 * MS),
        ..anywhere
    };
    let never_moves = SessionConfig {
        exclusive_for: None,
        ..anywhere
    };
    let mut out = String::new();
    let mut play = |name: &str, config, steps: &[(i64, &str)]| {
        out += &format!("{name}\n{}", course(config, steps));
    };
    let usual = [
        (10, "write"),
        (20, "answered"),
        (100, "read"),
        (300, "read"),
        (5_000, "read"),
    ];
    play("may be anywhere", anywhere, &usual);
    play("stays for two seconds", exclusive_for, &usual);
    play("never moves", never_moves, &usual);
    play(
        "a read before its write's answer",
        exclusive_for,
        &[
            (10, "read"),
            (20, "write"),
            (30, "read"),
            (40, "answered"),
            (50, "read"),
        ],
    );
    play(
        "a write whose answer was lost",
        exclusive_for,
        &[(10, "write"), (30, "unclear"), (50, "read"), (60, "read")],
    );
    play(
        "never met, told of a write",
        exclusive_for,
        &[(10, "told 30 ms"), (50, "read")],
    );
    play(
        "carried",
        anywhere,
        &[
            (100, "read with a token of 40 ms"),
            (110, "read with a token from the future"),
            (120, "read"),
        ],
    );
    let asked = [
        (100, "read, its holders say 40 ms"),
        (110, "read"),
        (120, "write"),
        (130, "answered"),
        (140, "read, its holders say 40 ms"),
        (150, "unclear"),
        (160, "read, its holders say 40 ms"),
    ];
    play("its holders are asked", anywhere, &asked);
    play(
        "carries less than passed here",
        never_moves,
        &[
            (50, "write"),
            (60, "answered"),
            (100, "read with a token of 40 ms"),
        ],
    );
    play(
        "a clock steps",
        never_moves,
        &[(50, "write"), (60, "answered"), (70, "step"), (100, "read")],
    );
    insta::assert_snapshot!(out);
}

#[test]
fn index_agrees_with_a_map_and_returns_evicted_entries() {
    let mut random = Rng::with_seed(5);
    let mut index = SessionIndex::new(300, BEGAN);
    let mut plain: BTreeMap<u64, SessionEntry> = BTreeMap::new();
    for n in 1..20_000 {
        let number = random.u64(1..600) << 20 | 1;
        let now = BEGAN + n * 8;
        let entry = SessionEntry {
            known: SessionState::Wrote,
            floor: 0,
            wrote: now,
            seen: now & !3,
        };
        if let Some((left, held)) = index.set(number, &entry) {
            assert_eq!(plain.remove(&left), Some(held));
        }
        plain.insert(number, entry);
        assert_eq!(index.len(), plain.len());
        if n % 500 == 0 {
            index.sweep(64, now - 2_000, |left, held| {
                assert_eq!(plain.remove(&left), Some(held));
            });
            plain
                .iter()
                .for_each(|(number, held)| assert_eq!(index.get(*number), Some(*held)));
        }
    }
    assert!(plain.len() > 200);
}

#[test]
fn rebasing_the_index_never_lowers_a_requirement() {
    let mut index = SessionIndex::new(16, BEGAN);
    let old = SessionEntry {
        known: SessionState::Wrote,
        floor: 0,
        wrote: BEGAN + 50,
        seen: BEGAN + 52,
    };
    index.set(7, &old);
    let far = BEGAN + (1 << 33);
    index.set(
        8,
        &SessionEntry {
            known: SessionState::Tracked,
            floor: far,
            wrote: 0,
            seen: far,
        },
    );
    let held = index.get(7).unwrap();
    assert!(held.wrote >= old.wrote && held.seen <= old.seen, "{held:?}");
    assert_eq!(index.get(8).unwrap().floor, far);
}

#[test]
fn sketch_never_answers_less_than_was_recorded() {
    let mut random = Rng::with_seed(9);
    let mut sketch = PositionSketch::new(64, 5, 1_000);
    let mut plain: BTreeMap<u64, i64> = BTreeMap::new();
    for n in 0..30_000i64 {
        // Also out of order, by up to a few slices.
        let (session, position) = (random.u64(..), (n - random.i64(0..4_000)).max(1));
        let session = if random.bool() {
            session
        } else {
            *plain.keys().next().unwrap_or(&session)
        };
        sketch.record(session, position);
        let held = plain.entry(session).or_default();
        *held = (*held).max(position);
        if plain.len() > 200 {
            plain.clear();
        }
        plain
            .iter()
            .for_each(|(session, wrote)| assert!(sketch.upper_bound(*session) >= *wrote));
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
    let mut tracker = SessionTracker::new(config, BEGAN, 1);
    let wrote = |n: u64| BEGAN + n as i64 * 3;
    for n in 1..2_000u64 {
        tracker.on_write(n << 24, wrote(n));
        tracker.on_write_answered(n << 24, wrote(n), Some(wrote(n)));
    }
    assert!(tracker.session_count() <= 64 && tracker.metrics.evicted_sessions > 1_900);
    for n in 1..2_000u64 {
        let debt = tracker.on_read(n << 24, 0, wrote(2_000), 4_000, None, None);
        assert!(debt.position >= wrote(n) && debt.exact, "{n}: {debt:?}");
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
        "another session's"
    );
    assert_eq!(
        SessionToken::verify(&Keys::new(vec![key(2, 8)]), &text, 5),
        None,
        "a key that has gone"
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
        "a key not held yet"
    );
    assert_eq!(
        SessionToken {
            session: 5,
            position: 77
        }
        .sign(&Keys::default()),
        None
    );
    for at in 0..text.len() {
        for byte in *b"Ax_" {
            let mut forged = text.clone().into_bytes();
            if std::mem::replace(&mut forged[at], byte) != byte {
                // The last digit's low bits say nothing, and are refused unless they are as they were.
                assert_eq!(
                    SessionToken::verify(&old, std::str::from_utf8(&forged).unwrap(), 5),
                    None,
                    "{at}"
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
    assert_eq!(clock.current_instant(BEGAN), BEGAN + 10);
    clock.on_primary_position(BEGAN, BEGAN + 300);
    assert_eq!(clock.current_instant(BEGAN), BEGAN + 310);
    assert!(clock.is_plausible(BEGAN, BEGAN + 310) && !clock.is_plausible(BEGAN, BEGAN + 311));
    (0..1_000).for_each(|_| clock.on_primary_position(BEGAN, BEGAN - 5));
    assert!(clock.current_instant(BEGAN) < BEGAN + 80);
    let mut tracker = SessionTracker::new(
        SessionConfig {
            max_clock_skew: 10,
            ..SessionConfig::default()
        },
        BEGAN,
        1,
    );
    assert!(!tracker.satisfies(BEGAN, false, Some(BEGAN + 5_000), BEGAN));
    assert!(tracker.satisfies(BEGAN, false, Some(BEGAN + 5), BEGAN));
    assert!(
        !tracker.satisfies(BEGAN, false, None, BEGAN)
            && tracker.satisfies(BEGAN, true, None, BEGAN)
    );
}

#[test]
fn replica_waits_follow_catch_up_times_and_few_reads_go_to_the_primary() {
    let (mut replica_wait, mut random) = (ReplicaWait::new(), Rng::with_seed(2));
    let mut out = String::new();
    for (name, needs) in [
        ("replicas 8 ms behind", 80),
        ("90 ms behind", 900),
        ("2 s behind", 20_000),
    ] {
        (0..64).for_each(|_| replica_wait.on_caught_up(0, BEGAN, needs));
        let mut holds: Vec<i64> = (0..200)
            .map(|n| {
                let now = BEGAN + n * 50;
                replica_wait.on_session_read(0, now);
                replica_wait.wait_until(0, now, 4_000, &mut random) - now
            })
            .collect();
        holds.sort_unstable();
        let at_once = holds.iter().filter(|hold| **hold == 0).count();
        out += &format!(
            "{name}: {at_once} of 200 at once, waits of {} to {} tenths, half below {}\n",
            holds[at_once], holds[199], holds[100]
        );
    }
    insta::assert_snapshot!(out);
}
