//! Sequences of events on client connections: the states and decisions that follow, most of them as readable snapshots.

use leverpoint_backpressure::eviction_order::{EvictionOrder, EvictionRank};
use leverpoint_backpressure::limits::ProcessResources;
use leverpoint_backpressure::state::{self, Action, TransferAssessment};
use leverpoint_backpressure::{
    Admission, ArrivalRateLimiter, BufferKind, ConnectionState, Connections, EvictionCandidate,
    Limits, SlowResponseDetector, Ticks,
};

const KIB: usize = 1 << 10;

/// Number of bytes by the time since the start of a transfer.
type Rate = dyn Fn(Ticks) -> usize;

fn limits() -> Limits {
    let (memory, descriptors) = (32 << 20, 1_024);
    Limits::from_resources(&ProcessResources {
        memory,
        descriptors,
        unreserved_per_connection: 8 * KIB,
        max_message: 136 * KIB,
        connect_timeout: 2_500,
    })
}

fn new_connections() -> Connections {
    Connections::new(limits(), 2, 2, 4 * KIB, 7)
}

/// Sends a response of `bytes` to a client that reads `rate` bytes a second, with a check every 100 ms, until all of
/// it is read or the connection is evicted. Returns the changes of state and their times.
fn read_at_rate(
    connections: &mut Connections,
    id: usize,
    started_at: Ticks,
    bytes: usize,
    rate: impl Fn(Ticks) -> usize,
) -> String {
    let mut out = String::new();
    let deadline = started_at + 20_000;
    connections.on_response_started(started_at, id, Some(0), bytes, deadline);
    let (mut unread, mut state) = (bytes as f64, connections.state(id));
    for check in 1..3_000 {
        let now = started_at + check * 1_000;
        unread = (unread - rate(now - started_at) as f64 / 10.0).max(0.0);
        let action = connections.on_response_progress(now, id, unread as usize);
        if connections.state(id) != state || action == Action::Evict {
            state = connections.state(id);
            out += &format!(
                "{} ms: {} left, {state:?}, {action:?}\n",
                check * 100,
                unread as usize
            );
        }
        if unread == 0.0 || action == Action::Evict {
            return out + &format!("ended after {} ms\n", check * 100);
        }
    }
    out + "never ended\n"
}

#[test]
fn connection_state_follows_the_read_rate() {
    let mut connections = new_connections();
    let cases: [(&str, usize, &Rate); 7] = [
        ("fast", 64 * KIB, &|_| 4 << 20),
        ("a phone at 40 KiB/s", 64 * KIB, &|_| 40 * KIB),
        ("just above the least rate", 64 * KIB, &|_| 9 * KIB),
        ("just below it", 64 * KIB, &|_| 7 * KIB),
        ("never", 64 * KIB, &|_| 0),
        ("well, then not for 10 s", 64 * KIB, &|t| {
            if t < 10_000 { 32 * KIB } else { 0 }
        }),
        ("a byte a second, of a short answer", 300, &|_| 10),
    ];
    let mut out = String::new();
    for (name, bytes, rate) in cases {
        let id = connections.open();
        out += &format!(
            "{name}\n{}",
            read_at_rate(&mut connections, id, 100_000, bytes, rate)
        );
        connections.close(id);
    }
    insta::assert_snapshot!(out);
}

#[test]
fn connection_just_above_the_minimum_rate_is_never_evicted() {
    let mut connections = new_connections();
    let id = connections.open();
    let mut now = 0;
    for _ in 0..12 {
        let trace = read_at_rate(&mut connections, id, now, 136 * KIB, |_| 9 * KIB);
        assert!(
            !trace.contains("Evict") && trace.contains("ended after"),
            "{trace}"
        );
        now += 200_000;
        assert_eq!(connections.state(id), ConnectionState::Slow);
    }
    assert_eq!(connections.evicted_and_shed().0, 0);
}

#[test]
fn slow_connection_is_proven_after_two_fast_responses() {
    let mut connections = new_connections();
    let id = connections.open();
    let mut out = read_at_rate(&mut connections, id, 0, 64 * KIB, |_| 14 * KIB);
    for started_at in [200_000, 300_000, 400_000] {
        out += &read_at_rate(&mut connections, id, started_at, 64 * KIB, |_| 4 << 20);
    }
    insta::assert_snapshot!(out);
}

#[test]
fn connection_with_an_answer_due_is_never_evicted() {
    let assessments = [
        TransferAssessment::DrainedInconclusive,
        TransferAssessment::DrainedFast,
        TransferAssessment::TooEarly,
        TransferAssessment::Good,
        TransferAssessment::Marginal,
        TransferAssessment::BelowMinimum,
        TransferAssessment::Stopped,
    ];
    for state in ConnectionState::ALL {
        for assessment in assessments {
            assert_eq!(
                state::next_state(state, assessment, true).1,
                Action::Keep,
                "{state:?} {assessment:?}"
            );
            let evicts = matches!(
                assessment,
                TransferAssessment::BelowMinimum | TransferAssessment::Stopped
            );
            assert_eq!(
                state::next_state(state, assessment, false).1 == Action::Evict,
                evicts,
                "{state:?} {assessment:?}"
            );
        }
    }
}

/// Held bytes always equal the sum over all connections, and no connection with an answer due is an eviction candidate.
#[test]
fn accounting_is_consistent_under_random_operations() {
    let mut random = fastrand::Rng::with_seed(11);
    let mut connections = new_connections();
    let mut open: Vec<(usize, [usize; 2], Ticks, usize)> = Vec::new();
    let mut now = 0;
    for _ in 0..200_000 {
        now += random.i64(0..300);
        let pick = if open.is_empty() {
            0
        } else {
            random.usize(..open.len())
        };
        match random.u8(..8) {
            0 if open.len() < 300 => open.push((connections.open(), [0; 2], 0, 0)),
            _ if open.is_empty() => {}
            1 if random.u8(..4) == 0 => connections.close(open.swap_remove(pick).0),
            2 => {
                let deadline = now + random.i64(0..30_000);
                let entry = &mut open[pick];
                let tenant = random.usize(..2);
                if connections.admit(now, entry.0, random.usize(..2), tenant, deadline)
                    == Admission::Admit
                {
                    entry.2 = entry.2.max(deadline);
                    let bytes = random.usize(1..140 * KIB);
                    connections.on_response_started(
                        now,
                        entry.0,
                        Some(random.usize(..2)),
                        bytes,
                        entry.2,
                    );
                    entry.3 += bytes;
                }
            }
            3 | 4 => {
                let (kind_index, bytes) = (random.usize(..2), random.usize(1..32 * KIB));
                let kind = [BufferKind::Request, BufferKind::Response][kind_index];
                if connections.claim(kind, open[pick].0, bytes) {
                    open[pick].1[kind_index] += bytes;
                }
            }
            5 => {
                let kind_index = random.usize(..2);
                let bytes = open[pick].1[kind_index].min(random.usize(1..64 * KIB));
                connections.release(
                    [BufferKind::Request, BufferKind::Response][kind_index],
                    open[pick].0,
                    bytes,
                );
                open[pick].1[kind_index] -= bytes;
            }
            6 => {
                open[pick].3 = open[pick].3.saturating_sub(random.usize(..40 * KIB));
                let (id, _, answer_due_until, unread) = open[pick];
                let action = connections.on_response_progress(now, id, unread);
                assert!(action == Action::Keep || now >= answer_due_until);
            }
            _ => {
                if let EvictionCandidate::Connection(id) = connections.eviction_candidate() {
                    let index = open
                        .iter()
                        .position(|entry| entry.0 == id)
                        .expect("an open connection");
                    assert!(
                        now >= open[index].2,
                        "answer due until {}, candidate at {now}",
                        open[index].2
                    );
                    open.swap_remove(index);
                    connections.close(id);
                }
            }
        }
        for (kind_index, kind) in [BufferKind::Request, BufferKind::Response]
            .into_iter()
            .enumerate()
        {
            let held: usize = open.iter().map(|entry| entry.1[kind_index]).sum();
            assert_eq!(connections.pool(kind).held(), held);
            assert!(held <= connections.limits().total);
        }
        assert_eq!(
            connections.counts_by_state().iter().sum::<usize>(),
            open.len()
        );
    }
    open.iter().for_each(|entry| connections.close(entry.0));
    assert_eq!(
        (
            connections.pool(BufferKind::Response).held(),
            connections.pool(BufferKind::Response).reserved()
        ),
        (0, 0)
    );
    assert_eq!(
        connections.pool(BufferKind::Response).tenant_bytes(0)
            + connections.pool(BufferKind::Response).tenant_bytes(1),
        0
    );
    assert!(connections.unread_connections().is_empty());
}

#[test]
fn unproven_connections_leave_capacity_for_proven_ones() {
    let mut connections = new_connections();
    let proven = connections.open();
    read_at_rate(&mut connections, proven, 0, 64 * KIB, |_| 4 << 20);
    assert_eq!(connections.state(proven), ConnectionState::Proven);
    // Responses of this class are long, and 400 clients send a request at the same time.
    connections.on_response_started(30_000, proven, Some(0), 64 * KIB, 50_000);
    connections.on_response_drained(30_100, proven);
    let unproven: Vec<_> = (0..400).map(|_| connections.open()).collect();
    let admissions: Vec<_> = unproven
        .iter()
        .map(|id| connections.admit(40_000, *id, 0, 1, 60_000))
        .collect();
    let admitted = admissions
        .iter()
        .filter(|admission| **admission == Admission::Admit)
        .count();
    let retry_after: Vec<_> = admissions
        .iter()
        .filter_map(|admission| {
            if let Admission::Shed(time) = admission {
                Some(*time)
            } else {
                None
            }
        })
        .collect();
    let reserved = connections.pool(BufferKind::Response).reserved();
    assert!(
        reserved <= connections.limits().unproven_total
            && reserved + 64 * KIB > connections.limits().per_tenant
    );
    assert!(
        retry_after
            .iter()
            .all(|time| (10_000..=20_000).contains(time))
    );
    // All admitted connections can hold their responses, and the proven one can still hold its maximum.
    for id in unproven
        .iter()
        .zip(&admissions)
        .filter(|(_, admission)| **admission == Admission::Admit)
        .map(|(id, _)| *id)
    {
        assert!(connections.claim(BufferKind::Response, id, 60 * KIB));
    }
    assert_eq!(
        connections.admit(41_000, proven, 0, 0, 60_000),
        Admission::Admit
    );
    assert!(connections.claim(BufferKind::Response, proven, 136 * KIB));
    insta::assert_snapshot!(format!(
        "admitted {admitted}, sent back {}",
        retry_after.len()
    ));
}

#[test]
fn errors_prove_nothing_and_sixteen_short_responses_prove_a_connection() {
    let mut connections = new_connections();
    let id = connections.open();
    for n in 0..100 {
        connections.on_response_started(n * 100, id, None, 80, n * 100 + 20_000);
        connections.on_response_drained(n * 100 + 1, id);
    }
    assert_eq!(connections.state(id), ConnectionState::Unproven);
    let first_proven = (0..40).find(|n| {
        connections.on_response_started(20_000 + n * 100, id, Some(0), 80, 50_000);
        connections.on_response_drained(20_001 + n * 100, id);
        connections.state(id) == ConnectionState::Proven
    });
    assert_eq!(first_proven, Some(15));
}

#[test]
fn connections_are_accepted_in_a_burst_and_then_at_the_rate() {
    let mut limiter = ArrivalRateLimiter::default();
    let mut now = 10_000;
    for n in 0..1_632 {
        let wait = limiter.on_accepted(now, 1_600, 0);
        assert_eq!(wait == 0, n < 32, "{n} waits {wait}");
        now += wait;
    }
    // All but the burst were accepted within a second.
    assert!((19_900..=20_100).contains(&now), "{now}");
    // While accepting delays timers, it takes a fifth of the time.
    assert_eq!(
        (
            limiter.on_accepted(now, 1_600, 15),
            limiter.on_accepted(now, 1_600, 80)
        ),
        (6, 332)
    );
    assert_eq!(limiter.on_accepted(now + 500, 1_600, 900), 0);
}

#[test]
fn unproven_connections_of_one_tenant_leave_capacity_for_another() {
    let mut connections = new_connections();
    let first = connections.open();
    connections.on_response_started(0, first, Some(0), 64 * KIB, 10_000);
    connections.on_response_drained(1, first);
    let mut admitted = [0, 0];
    for tenant in [0, 1] {
        for _ in 0..400 {
            let id = connections.open();
            admitted[tenant] +=
                usize::from(connections.admit(20_000, id, 0, tenant, 40_000) == Admission::Admit);
        }
    }
    insta::assert_snapshot!(format!("first {}, second {}", admitted[0], admitted[1]));
}

#[test]
fn connections_past_their_deadline_are_evicted_first_and_proven_ones_only_if_many() {
    let mut connections = new_connections();
    let mut out = String::new();
    for _ in 0..200 {
        let proven = connections.open();
        read_at_rate(&mut connections, proven, 0, 64 * KIB, |_| 4 << 20);
    }
    out += &format!(
        "200 have proved themselves: {:?}\n",
        connections.eviction_candidate()
    );
    let mut connections = self::new_connections();
    let unproven: Vec<_> = (0..400).map(|_| connections.open()).collect();
    for (n, id) in unproven.iter().enumerate() {
        connections.on_response_started(
            0,
            *id,
            None,
            64 * KIB,
            if n < 2 { 27_000 } else { 90_000 },
        );
        connections.on_response_progress(10, *id, 60 * KIB);
    }
    out += &format!("all owed: {:?}\n", connections.eviction_candidate());
    // The first two are over half a second past their deadline; the second still reads.
    for now in [31_000, 32_000, 33_000] {
        connections.on_response_progress(
            now,
            unproven[1],
            (60 - (now as usize - 30_000) / 100) * KIB,
        );
    }
    connections.on_response_progress(33_000, unproven[0], 60 * KIB);
    out += &format!(
        "{:?}, {:?}\n",
        connections.state(unproven[0]),
        connections.state(unproven[1])
    );
    out += &format!(
        "two past: {:?} {:?} {:?}\n",
        connections.eviction_candidate(),
        connections.eviction_candidate(),
        connections.eviction_candidate()
    );
    insta::assert_snapshot!(out);
}

#[test]
fn incomplete_message_below_the_minimum_rate_is_evicted_after_its_grace() {
    let mut out = String::new();
    let cases: [(&str, &Rate); 4] = [
        ("a byte each 50 ms", &|_| 2),
        ("half a statement, then nothing", &|t| {
            if t < 1_000 { 200 } else { 0 }
        }),
        ("64 KiB at 16 KiB/s", &|_| 1_638),
        ("well for 3 s, then nothing", &|t| {
            if t < 30_000 { 1_638 } else { 0 }
        }),
    ];
    for (name, rate) in cases {
        let mut connections = new_connections();
        let id = connections.open();
        let (mut next_check, mut received) = (0, 0);
        let ended = (0..100).map(|n| n * 1_000).find(|now| {
            connections.on_bytes_received(*now, id, rate(*now));
            received += rate(*now);
            if *now >= next_check {
                match connections.incomplete_message_deadline(*now, id) {
                    Some(next) => next_check = next,
                    None => return true,
                }
            }
            received >= 64 * KIB
        });
        out += &format!(
            "{name}: {:?} ms, {received} bytes\n",
            ended.map(|at| at / 10)
        );
    }
    insta::assert_snapshot!(out);
}

#[test]
fn response_that_cannot_be_complete_in_time_is_detected_early() {
    let mut out = String::new();
    let response_size = 64 * KIB;
    let cases: [(&str, &Rate); 5] = [
        ("a byte each 50 ms", &|t| if t % 500 == 0 { 1 } else { 0 }),
        ("half of it, then nothing", &|t| {
            if t == 0 { 32 * KIB } else { 0 }
        }),
        ("steadily, twice as fast as needed", &|_| 64 * KIB / 100),
        ("steadily, half as fast as needed", &|_| 64 * KIB / 400),
        ("nearly all, then one pause of 250 ms", &|t| match t {
            0 => 60 * KIB,
            2_500 => 4 * KIB,
            _ => 0,
        }),
    ];
    for (name, bytes_at) in cases {
        let mut detector = SlowResponseDetector::new(10_000);
        let mut received = 0;
        let ended = (0..400).map(|n| n * 50).find(|now| {
            let bytes = bytes_at(*now);
            if bytes > 0 {
                detector.on_bytes_received(*now, bytes);
                received += bytes;
            }
            received >= response_size
                || detector.cannot_finish(*now, response_size - received, 10_000)
        });
        out += &format!(
            "{name}: {:?} ms, {received} of {response_size} bytes\n",
            ended.map(|at| at / 10)
        );
    }
    // A response that has not started is not slow: the dispatch's own timeout covers it.
    assert!(!SlowResponseDetector::new(10_000).cannot_finish(9_000, 0, 10_000));
    insta::assert_snapshot!(out);
}

#[test]
fn eviction_order_agrees_with_a_linear_scan() {
    let mut random = fastrand::Rng::with_seed(3);
    let (mut order, mut expected) = (EvictionOrder::default(), vec![None; 50]);
    let ranks = [
        EvictionRank::StalledPastDeadline,
        EvictionRank::SlowPastDeadline,
        EvictionRank::IncompleteMessage,
        EvictionRank::PastDeadline,
    ];
    for n in 0..50_000 {
        let connection = random.usize(..50);
        match random.u8(..3) {
            0 => {
                order.remove(connection);
                expected[connection] = None;
            }
            _ => {
                let rank = ranks[random.usize(..4)];
                order.insert(connection, rank);
                if expected[connection].is_none_or(|(current, _)| current != rank as u8) {
                    expected[connection] = Some((rank as u8, n));
                }
            }
        }
        let scanned = (0..50)
            .filter_map(|id| Some((expected[id]?, id)))
            .min()
            .map(|(_, id)| id);
        assert_eq!(order.first(), scanned);
    }
}

#[test]
fn a_connection_is_not_evicted_before_its_late_answer_is_lost() {
    let mut connections = new_connections();
    let id = connections.open();
    let (deadline, written_at) = (10_000, 10_300);
    connections.on_response_started(written_at, id, Some(0), 510, deadline);
    // The answer stands in the kernel: the client's acknowledgement is under way.
    connections.on_response_progress(written_at, id, 510);
    assert_eq!(
        connections.eviction_candidate(),
        EvictionCandidate::LongestIdleUnproven
    );
    // Half a second past its deadline an answer counts as lost.
    connections.on_response_progress(deadline + 5_000, id, 510);
    assert_eq!(
        connections.eviction_candidate(),
        EvictionCandidate::Connection(id)
    );
}

#[test]
fn a_client_that_stopped_after_a_wait_for_a_buffer_is_evicted_in_time() {
    let (stopped, sending) = (0, 1);
    let mut connections = new_connections();
    for id in [stopped, sending] {
        assert_eq!(connections.open(), id);
        connections.on_bytes_received(0, id, 200);
        connections.exclude_wait(id, 15_000);
        connections.on_bytes_received(15_000, id, 4_000);
    }
    // Its grace of two seconds counts from the end of the wait, but it is asked before whether it still sends.
    for id in [stopped, sending] {
        assert_eq!(
            connections.incomplete_message_deadline(20_000, id),
            Some(25_000)
        );
    }
    connections.on_bytes_received(24_000, sending, 100);
    assert_eq!(
        connections.incomplete_message_deadline(25_000, stopped),
        None
    );
    assert_eq!(
        connections.incomplete_message_deadline(25_000, sending),
        Some(34_000)
    );
}

#[test]
fn a_request_is_shed_where_its_client_may_have_left_unseen() {
    let mut connections = new_connections();
    let id = connections.open();
    let mut admits = |since, now| {
        connections.set_held_back_since(id, since);
        connections.admit(now, id, 0, 0, now + 10_000) == Admission::Admit
    };
    // Bytes are held back: a close behind them could not be seen, but it can't be long ago.
    assert!(admits(Some(1_000), 1_400));
    // An attempt would begin later than a tenth of a second after such a close, with what a held-up process needs.
    assert!(!admits(Some(1_000), 1_600));
    assert!(admits(None, 1_700));
}
