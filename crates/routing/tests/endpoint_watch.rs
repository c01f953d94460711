//! Calls to discovery: to an agent that may be silent, and to a shared service that may be
//! overloaded.

use std::collections::VecDeque;

use leverpoint_routing::api::Ticks;
use leverpoint_routing::endpoint_watch::{
    AnswerUse, Call, EndpointWatch, Failure, FailureEvidence, ListAnswer, WatchAction,
};

const MS: Ticks = 10;
const GRACE: Ticks = 500 * MS;

fn agent_watch() -> EndpointWatch {
    EndpointWatch::new(true, GRACE, Some(7), 1)
}

fn shared_watch(seed: u64) -> EndpointWatch {
    EndpointWatch::new(false, GRACE, Some(7), seed)
}

fn full_list(revision: u64) -> ListAnswer {
    ListAnswer {
        revision,
        full: true,
    }
}

fn changes(revision: u64) -> ListAnswer {
    ListAnswer {
        revision,
        full: false,
    }
}

/// Advances the time to the next call that begins; returns the time, the identifier and the call,
/// and counts the calls that are abandoned before in `abandoned`.
fn next_call(
    watch: &mut EndpointWatch,
    mut now: Ticks,
    abandoned: &mut usize,
) -> (Ticks, u64, Call) {
    loop {
        match watch.next_action(now) {
            WatchAction::Begin { id, call } => return (now, id, call),
            WatchAction::Abandon { .. } => *abandoned += 1,
            WatchAction::Wait { until } => {
                assert!(until > now, "the wait is over already");
                now = until;
            }
        }
    }
}

#[test]
fn silent_agent_is_called_again_within_half_of_drain_grace() {
    let mut watch = agent_watch();
    let (mut now, mut abandoned) = (0, 0);
    for attempt in 0..400 {
        let (at, _, call) = next_call(&mut watch, now, &mut abandoned);
        assert_eq!(call, Call::Full);
        assert!(
            attempt == 0 || at - now <= GRACE / 2,
            "call {attempt} came after {} ms",
            (at - now) / MS
        );
        now = at;
    }
    // At most three are in flight.
    assert_eq!(abandoned, 400 - 3);
}

#[test]
fn slow_answer_of_agent_is_used() {
    let mut watch = agent_watch();
    let (mut now, mut abandoned) = (0, 0);
    let (_, first_id, _) = next_call(&mut watch, now, &mut abandoned);
    while now < 3_000 * MS {
        now = next_call(&mut watch, now, &mut abandoned).0;
    }
    let answer = full_list(8);
    assert_eq!(watch.on_answered(first_id, now, answer), AnswerUse::Use);
    assert_eq!(
        next_call(&mut watch, now, &mut abandoned).2,
        Call::Watch {
            since: 8,
            wait: GRACE / 4
        }
    );
}

#[test]
fn full_list_is_requested_while_watch_of_agent_is_overdue() {
    let mut watch = agent_watch();
    let mut abandoned = 0;
    let (_, full_list_id, _) = next_call(&mut watch, 0, &mut abandoned);
    assert_eq!(
        watch.on_answered(full_list_id, 10, full_list(8)),
        AnswerUse::Use
    );
    let (began_at, watch_id, _) = next_call(&mut watch, 10, &mut abandoned);
    let (second_at, second_id, call) = next_call(&mut watch, began_at, &mut abandoned);
    assert_eq!((second_at - began_at, call), (GRACE / 2, Call::Full));
    // The first answer is used, the later one is ignored.
    assert_eq!(
        watch.on_answered(watch_id, second_at + 1, changes(9)),
        AnswerUse::Use
    );
    assert_eq!(
        watch.on_answered(second_id, second_at + 2, full_list(8)),
        AnswerUse::Ignore
    );
    assert_eq!(watch.held_revision(), Some(9));
}

#[test]
fn first_failure_of_agent_is_retried_at_once_and_later_ones_within_grace() {
    let mut watch = agent_watch();
    let (mut now, mut abandoned) = (0, 0);
    for attempt in 0..50 {
        let (at, id, call) = next_call(&mut watch, now, &mut abandoned);
        assert_eq!(call, Call::Full);
        assert!(attempt != 1 || at == now);
        assert!(at - now <= GRACE / 2);
        now = at;
        watch.on_failed(id, now, Failure::Broken);
    }
}

#[test]
fn shared_discovery_gets_one_call_at_a_time_with_timeout_above_its_queue() {
    let mut watch = shared_watch(1);
    let (mut now, mut abandoned) = (0, 0);
    let (_, id, call) = next_call(&mut watch, now, &mut abandoned);
    assert_eq!(
        call,
        Call::Watch {
            since: 7,
            wait: 500 * MS
        },
        "changes since the remembered list"
    );
    let WatchAction::Wait { until } = watch.next_action(now) else {
        panic!("a second call")
    };
    assert!(until >= 2_500 * MS);
    now = until - 1;
    assert_eq!(watch.on_answered(id, now, changes(8)), AnswerUse::Use);
    // The watch continues, with a shorter timeout.
    let (began_at, _, call) = next_call(&mut watch, now, &mut abandoned);
    assert_eq!(
        (began_at, call),
        (
            now,
            Call::Watch {
                since: 8,
                wait: 2_000 * MS
            }
        )
    );
    let WatchAction::Wait { until } = watch.next_action(now) else {
        panic!("a second call")
    };
    assert_eq!(until - began_at, 2_500 * MS);
    assert_eq!(abandoned, 0);
}

#[test]
fn refused_calls_back_off_with_jitter() {
    let delays = |seed| {
        let mut watch = shared_watch(seed);
        let (mut now, mut abandoned) = (0, 0);
        let mut delays = Vec::new();
        for _ in 0..6 {
            let (at, id, call) = next_call(&mut watch, now, &mut abandoned);
            assert_eq!(
                call,
                Call::Watch {
                    since: 7,
                    wait: 500 * MS
                },
                "never the full list"
            );
            delays.push(at - now);
            now = at;
            watch.on_failed(id, now, Failure::Refused);
        }
        delays
    };
    let delays_by_seed: Vec<_> = (0..100).map(delays).collect();
    for (attempt, mean) in [(1, 500), (2, 1_000), (3, 2_000), (5, 2_000)] {
        let delays_of_attempt = delays_by_seed.iter().map(|delays| delays[attempt]);
        assert!(
            delays_of_attempt.clone().min() >= Some(mean * MS / 2)
                && delays_of_attempt.clone().max() <= Some(mean * MS * 3 / 2)
        );
        let mut distinct: Vec<_> = delays_of_attempt.collect();
        distinct.sort_unstable();
        distinct.dedup();
        assert!(distinct.len() > 90, "{} different delays", distinct.len());
    }
}

#[test]
fn changes_that_do_not_follow_held_revision_lead_to_full_list() {
    let mut abandoned = 0;
    let mut watch = shared_watch(1);
    let (now, id, _) = next_call(&mut watch, 0, &mut abandoned);
    assert_eq!(watch.on_answered(id, now, changes(3)), AnswerUse::Ignore);
    let (now, id, call) = next_call(&mut watch, now, &mut abandoned);
    assert_eq!(call, Call::Full);
    assert_eq!(watch.on_answered(id, now, changes(3)), AnswerUse::Ignore);
    assert_eq!(next_call(&mut watch, now, &mut abandoned).2, Call::Full);
}

#[test]
fn move_of_discovery_drops_calls_and_starts_one_at_once() {
    let mut abandoned = 0;
    for (mut watch, first_call) in [
        (agent_watch(), Call::Full),
        (
            shared_watch(1),
            Call::Watch {
                since: 7,
                wait: 500 * MS,
            },
        ),
    ] {
        let (_, old_id, _) = next_call(&mut watch, 0, &mut abandoned);
        watch.on_failed(old_id, 10, Failure::Refused);
        watch.on_discovery_moved();
        let (at, new_id, call) = next_call(&mut watch, 20, &mut abandoned);
        assert_eq!((at, call), (20, first_call));
        assert_eq!(
            watch.on_answered(old_id, 30, full_list(9)),
            AnswerUse::Ignore
        );
        assert_eq!(watch.on_answered(new_id, 30, full_list(9)), AnswerUse::Use);
    }
}

#[test]
fn second_call_begins_only_beside_stalled_answer() {
    let mut watch = agent_watch();
    let mut abandoned = 0;
    let (_, id, _) = next_call(&mut watch, 0, &mut abandoned);
    for now in (50 * MS..1_500 * MS).step_by(100 * MS as usize) {
        watch.on_answer_progress(id, now);
        assert!(
            matches!(watch.next_action(now), WatchAction::Wait { .. }),
            "a call beside one whose answer progresses"
        );
    }
    let stalled_at = 1_450 * MS;
    let (at, _, call) = next_call(&mut watch, stalled_at, &mut abandoned);
    assert_eq!((at, call), (stalled_at + GRACE / 4, Call::Full));
    assert_eq!(abandoned, 0);
}

#[test]
fn agent_that_fails_or_answers_at_once_is_not_called_in_a_busy_loop() {
    for fails in [true, false] {
        let mut watch = agent_watch();
        let (mut now, mut abandoned, mut calls_begun) = (0, 0, 0);
        while now < 10_000 * MS {
            let (at, id, call) = next_call(&mut watch, now, &mut abandoned);
            (now, calls_begun) = (at, calls_begun + 1);
            match call {
                Call::Watch { .. } if fails => drop(watch.on_failed(id, now, Failure::Broken)),
                Call::Full => drop(watch.on_answered(id, now, full_list(8))),
                Call::Watch { .. } => drop(watch.on_answered(id, now, changes(8))),
            }
        }
        // The first list is newer than none, so the next call follows it at once.
        assert!(
            calls_begun <= 10_000 / 20 + 2,
            "{calls_begun} calls in 10 s"
        );
    }
}

#[test]
fn only_quick_refusal_of_new_call_shows_reachable_discovery() {
    let mut abandoned = 0;
    let mut watch = shared_watch(1);
    let (at, id, _) = next_call(&mut watch, 0, &mut abandoned);
    assert_eq!(
        watch.on_failed(id, at + 6 * MS, Failure::Refused),
        FailureEvidence::Refused
    );
    let (at, id, _) = next_call(&mut watch, at, &mut abandoned);
    let late_refusal = FailureEvidence::Unreachable { ago: 2_000 * MS };
    assert_eq!(
        watch.on_failed(id, at + 2_000 * MS, Failure::Refused),
        late_refusal,
        "a proxy has waited for discovery"
    );
    let (at, id, _) = next_call(&mut watch, at, &mut abandoned);
    assert_eq!(
        watch.on_failed(id, at + 1, Failure::Unreachable),
        FailureEvidence::Unreachable { ago: 1 }
    );
    let (at, id, _) = next_call(&mut watch, at, &mut abandoned);
    assert_eq!(watch.on_answered(id, at, changes(8)), AnswerUse::Use);
    let (at, id, _) = next_call(&mut watch, at, &mut abandoned);
    assert_eq!(
        watch.on_failed(id, at + 6 * MS, Failure::Refused),
        FailureEvidence::None,
        "an open watch"
    );
}

/// Model of a discovery of fixed capacity, in steps of a millisecond, with the queue that the
/// protocol describes.
struct DiscoveryModel {
    /// Time that it takes to answer a call.
    call_time: Ticks,
    /// Time that it takes to refuse a call.
    refusal_time: Ticks,
    busy_until: Ticks,
    /// Time of the answer, index of the gateway and identifier of the call.
    queue: VecDeque<(Ticks, usize, u64)>,
}

/// Time until all gateways are answered after their watches have ended at the same time, by a
/// discovery that takes `total_call_time` to answer one call of each.
fn time_until_all_answered(gateways: usize, total_call_time: Ticks, seed: u64) -> Ticks {
    let call_time = total_call_time / gateways as Ticks;
    let mut discovery = DiscoveryModel {
        call_time,
        refusal_time: call_time / 20,
        busy_until: 0,
        queue: VecDeque::new(),
    };
    let mut watches: Vec<_> = (0..gateways)
        .map(|n| shared_watch(seed * 1000 + n as u64))
        .collect();
    let mut answered = vec![false; gateways];
    for now in (0..120_000 * MS).step_by(MS as usize) {
        while let Some((_, n, id)) = discovery.queue.pop_front_if(|(at, _, _)| *at <= now) {
            // Discovery answers abandoned calls as well.
            if watches[n].on_answered(id, now, changes(8)) == AnswerUse::Use {
                answered[n] = true;
            }
        }
        if answered.iter().all(|done| *done) {
            return now;
        }
        for (n, watch) in watches
            .iter_mut()
            .enumerate()
            .filter(|(n, _)| !answered[*n])
        {
            loop {
                let id = match watch.next_action(now) {
                    WatchAction::Begin { id, .. } => id,
                    WatchAction::Abandon { .. } => continue,
                    WatchAction::Wait { .. } => break,
                };
                let begins_at = discovery.busy_until.max(now);
                if begins_at - now > 2_000 * MS {
                    discovery.busy_until = begins_at + discovery.refusal_time;
                    watch.on_failed(id, now, Failure::Refused);
                } else {
                    discovery.busy_until = begins_at + discovery.call_time;
                    discovery.queue.push_back((discovery.busy_until, n, id));
                }
            }
        }
    }
    panic!("not all gateways were answered")
}

#[test]
fn fleet_recovers_at_nearly_the_capacity_of_discovery() {
    for (gateways, total_call_time) in [
        (12, 2_000 * MS),
        (40, 5_000 * MS),
        (300, 8_000 * MS),
        (900, 8_000 * MS),
    ] {
        for seed in 0..5 {
            let recovered_at = time_until_all_answered(gateways, total_call_time, seed);
            assert!(
                recovered_at <= total_call_time * 7 / 4,
                "{gateways} gateways, seed {seed}: {} ms where {} would do",
                recovered_at / MS,
                total_call_time / MS
            );
        }
    }
}

/// However its calls end, a gateway does not stop to call a shared discovery: no more than 20 s pass
/// between the starts of two calls.
#[test]
fn shared_discovery_is_called_again_whatever_its_calls_end_with() {
    const LONGEST_GAP: Ticks = 20_000 * MS;
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut watch = shared_watch(seed);
        let (mut now, mut revision, mut abandoned) = (0, 7, 0);
        for _ in 0..200 {
            let (at, id, call) = next_call(&mut watch, now, &mut abandoned);
            assert!(at - now <= LONGEST_GAP, "seed {seed}: {} ticks", at - now);
            let wait = match call {
                Call::Full => 0,
                Call::Watch { wait, .. } => wait,
            };
            now = at + rng.i64(0..=wait + 2_000 * MS);
            if rng.bool() {
                watch.on_answer_progress(id, now);
            }
            match rng.u8(0..6) {
                0 => _ = watch.on_failed(id, now, Failure::Refused),
                1 => _ = watch.on_failed(id, now, Failure::Unreachable),
                2 => _ = watch.on_failed(id, now, Failure::Broken),
                3 => {
                    revision += rng.u64(0..=1);
                    watch.on_answered(id, now, full_list(revision));
                }
                4 => _ = watch.on_answered(id, now, changes(rng.u64(0..=revision))),
                // Left unanswered.
                _ => now = at,
            }
        }
    }
}
