//! Short courses of peers, as people read them: what is told, what state follows and what is to be done.

use leverpoint_backpressure::eviction_order::{EvictionOrder, EvictionRank};
use leverpoint_backpressure::limits::ProcessResources;
use leverpoint_backpressure::state::{self, Action, Reading};
use leverpoint_backpressure::{
    Admission, ArrivalRateLimiter, BufferKind, ConnectionState, Connections, EvictionCandidate,
    Limits, SlowResponseDetector, Ticks,
};

const KIB: usize = 1 << 10;

/// Bytes by the time since the beginning.
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

fn peers() -> Connections {
    Connections::new(limits(), 2, 2, 4 * KIB, 7)
}

/// A peer that takes an answer of so many bytes at so many a second, looked at every 100 ms, until it has taken
/// all or is let go; what changed and when.
fn reads(
    peers: &mut Connections,
    id: usize,
    from: Ticks,
    bytes: usize,
    rate: impl Fn(Ticks) -> usize,
) -> String {
    let mut out = String::new();
    let ends = from + 20_000;
    peers.on_response_started(from, id, Some(0), bytes, ends);
    let (mut left, mut state) = (bytes as f64, peers.state(id));
    for tick in 1..3_000 {
        let now = from + tick * 1_000;
        left = (left - rate(now - from) as f64 / 10.0).max(0.0);
        let effect = peers.on_response_progress(now, id, left as usize);
        if peers.state(id) != state || effect == Action::Evict {
            state = peers.state(id);
            out += &format!(
                "{} ms: {} left, {state:?}, {effect:?}\n",
                tick * 100,
                left as usize
            );
        }
        if left == 0.0 || effect == Action::Evict {
            return out + &format!("ended after {} ms\n", tick * 100);
        }
    }
    out + "never ended\n"
}

#[test]
fn readers_of_each_kind_become_what_they_are() {
    let mut peers = peers();
    let kinds: [(&str, usize, &Rate); 7] = [
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
    for (what, bytes, rate) in kinds {
        let id = peers.open();
        out += &format!("{what}\n{}", reads(&mut peers, id, 100_000, bytes, rate));
        peers.close(id);
    }
    insta::assert_snapshot!(out);
}

#[test]
fn one_just_above_the_least_rate_stays_for_minutes_and_holds_what_it_may() {
    let mut peers = peers();
    let id = peers.open();
    let mut now = 0;
    for _ in 0..12 {
        let course = reads(&mut peers, id, now, 136 * KIB, |_| 9 * KIB);
        assert!(
            !course.contains("LetGo") && course.contains("ended after"),
            "{course}"
        );
        now += 200_000;
        assert_eq!(peers.state(id), ConnectionState::Slow);
    }
    assert_eq!(peers.evicted_and_shed().0, 0);
}

#[test]
fn a_slow_one_proves_itself_twice_before_it_counts_as_usual() {
    let mut peers = peers();
    let id = peers.open();
    let mut out = reads(&mut peers, id, 0, 64 * KIB, |_| 14 * KIB);
    for from in [200_000, 300_000, 400_000] {
        out += &reads(&mut peers, id, from, 64 * KIB, |_| 4 << 20);
    }
    insta::assert_snapshot!(out);
}

#[test]
fn whoever_is_owed_an_answer_is_never_let_go() {
    let inputs = [
        Reading::DrainedLittle,
        Reading::DrainedMuch,
        Reading::TooEarly,
        Reading::Good,
        Reading::Marginal,
        Reading::BelowMinimum,
        Reading::Stopped,
    ];
    for state in ConnectionState::ALL {
        for input in inputs {
            assert_eq!(
                state::next(state, input, true).1,
                Action::Keep,
                "{state:?} {input:?}"
            );
            let goes = matches!(input, Reading::BelowMinimum | Reading::Stopped);
            assert_eq!(
                state::next(state, input, false).1 == Action::Evict,
                goes,
                "{state:?} {input:?}"
            );
        }
    }
}

/// A thousand random steps: what is held adds up, and no connection with an answer due is named.
#[test]
fn the_books_add_up_whatever_comes() {
    let mut random = fastrand::Rng::with_seed(11);
    let mut peers = peers();
    let mut there: Vec<(usize, [usize; 2], Ticks, usize)> = Vec::new();
    let mut now = 0;
    for _ in 0..200_000 {
        now += random.i64(0..300);
        let pick = if there.is_empty() {
            0
        } else {
            random.usize(..there.len())
        };
        match random.u8(..8) {
            0 if there.len() < 300 => there.push((peers.open(), [0; 2], 0, 0)),
            _ if there.is_empty() => {}
            1 if random.u8(..4) == 0 => peers.close(there.swap_remove(pick).0),
            2 => {
                let ends = now + random.i64(0..30_000);
                let at = &mut there[pick];
                let tenant = random.usize(..2);
                if peers.admit(now, at.0, random.usize(..2), tenant, ends) == Admission::Admit {
                    at.2 = at.2.max(ends);
                    let bytes = random.usize(1..140 * KIB);
                    peers.on_response_started(now, at.0, Some(random.usize(..2)), bytes, at.2);
                    at.3 += bytes;
                }
            }
            3 | 4 => {
                let (kind, bytes) = (random.usize(..2), random.usize(1..32 * KIB));
                let which = [BufferKind::Request, BufferKind::Response][kind];
                if peers.claim(which, there[pick].0, bytes) {
                    there[pick].1[kind] += bytes;
                }
            }
            5 => {
                let kind = random.usize(..2);
                let bytes = there[pick].1[kind].min(random.usize(1..64 * KIB));
                peers.release(
                    [BufferKind::Request, BufferKind::Response][kind],
                    there[pick].0,
                    bytes,
                );
                there[pick].1[kind] -= bytes;
            }
            6 => {
                there[pick].3 = there[pick].3.saturating_sub(random.usize(..40 * KIB));
                let (id, _, owed, left) = there[pick];
                let effect = peers.on_response_progress(now, id, left);
                assert!(effect == Action::Keep || now >= owed);
            }
            _ => {
                if let EvictionCandidate::Connection(id) = peers.eviction_candidate() {
                    let at = there
                        .iter()
                        .position(|p| p.0 == id)
                        .expect("one that is there");
                    assert!(
                        now >= there[at].2,
                        "owed until {}, named at {now}",
                        there[at].2
                    );
                    there.swap_remove(at);
                    peers.close(id);
                }
            }
        }
        for (kind, which) in [BufferKind::Request, BufferKind::Response]
            .into_iter()
            .enumerate()
        {
            let held: usize = there.iter().map(|p| p.1[kind]).sum();
            assert_eq!(peers.pool(which).held(), held);
            assert!(held <= peers.limits().total);
        }
        assert_eq!(peers.counts_by_state().iter().sum::<usize>(), there.len());
    }
    there.iter().for_each(|p| peers.close(p.0));
    assert_eq!(
        (
            peers.pool(BufferKind::Response).held(),
            peers.pool(BufferKind::Response).reserved()
        ),
        (0, 0)
    );
    assert_eq!(
        peers.pool(BufferKind::Response).of_tenant(0)
            + peers.pool(BufferKind::Response).of_tenant(1),
        0
    );
    assert!(peers.unread_connections().is_empty());
}

#[test]
fn a_crowd_of_newcomers_leaves_room_to_those_who_have_proved_themselves() {
    let mut peers = peers();
    let usual = peers.open();
    reads(&mut peers, usual, 0, 64 * KIB, |_| 4 << 20);
    assert_eq!(peers.state(usual), ConnectionState::Proven);
    // Answers of this class are long; the pairings are posted, and four hundred ask in the same instant.
    peers.on_response_started(30_000, usual, Some(0), 64 * KIB, 50_000);
    peers.on_response_drained(30_100, usual);
    let crowd: Vec<_> = (0..400).map(|_| peers.open()).collect();
    let verdicts: Vec<_> = crowd
        .iter()
        .map(|id| peers.admit(40_000, *id, 0, 1, 60_000))
        .collect();
    let admitted = verdicts.iter().filter(|v| **v == Admission::Admit).count();
    let retry_after: Vec<_> = verdicts
        .iter()
        .filter_map(|v| {
            if let Admission::Shed(at) = v {
                Some(*at)
            } else {
                None
            }
        })
        .collect();
    let reserved = peers.pool(BufferKind::Response).reserved();
    assert!(
        reserved <= peers.limits().unproven_total
            && reserved + 64 * KIB > peers.limits().per_tenant
    );
    assert!(retry_after.iter().all(|at| (10_000..=20_000).contains(at)));
    // All that were admitted get what they asked for, and the usual one still finds its whole share.
    for id in crowd
        .iter()
        .zip(&verdicts)
        .filter(|(_, v)| **v == Admission::Admit)
        .map(|(id, _)| *id)
    {
        assert!(peers.claim(BufferKind::Response, id, 60 * KIB));
    }
    assert_eq!(peers.admit(41_000, usual, 0, 0, 60_000), Admission::Admit);
    assert!(peers.claim(BufferKind::Response, usual, 136 * KIB));
    insta::assert_snapshot!(format!(
        "admitted {admitted}, sent back {}",
        retry_after.len()
    ));
}

#[test]
fn being_sent_back_proves_nothing_and_sixteen_short_answers_do() {
    let mut peers = peers();
    let id = peers.open();
    for n in 0..100 {
        peers.on_response_started(n * 100, id, None, 80, n * 100 + 20_000);
        peers.on_response_drained(n * 100 + 1, id);
    }
    assert_eq!(peers.state(id), ConnectionState::Unproven);
    let short = (0..40).find(|n| {
        peers.on_response_started(20_000 + n * 100, id, Some(0), 80, 50_000);
        peers.on_response_drained(20_001 + n * 100, id);
        peers.state(id) == ConnectionState::Proven
    });
    assert_eq!(short, Some(15));
}

#[test]
fn newcomers_come_in_a_burst_and_then_at_the_rate() {
    let mut arrivals = ArrivalRateLimiter::default();
    let mut now = 10_000;
    for n in 0..1_632 {
        let wait = arrivals.on_accepted(now, 1_600, 0);
        assert_eq!(wait == 0, n < 32, "{n} waits {wait}");
        now += wait;
    }
    // All but the burst came within a second.
    assert!((19_900..=20_100).contains(&now), "{now}");
    // While they make all else late they take a fifth of it.
    assert_eq!(
        (
            arrivals.on_accepted(now, 1_600, 15),
            arrivals.on_accepted(now, 1_600, 80)
        ),
        (6, 332)
    );
    assert_eq!(arrivals.on_accepted(now + 500, 1_600, 900), 0);
}

#[test]
fn one_customers_phones_leave_room_to_anothers() {
    let mut peers = peers();
    let one = peers.open();
    peers.on_response_started(0, one, Some(0), 64 * KIB, 10_000);
    peers.on_response_drained(1, one);
    let mut admitted = [0, 0];
    for tenant in [0, 1] {
        for _ in 0..400 {
            let id = peers.open();
            admitted[tenant] +=
                usize::from(peers.admit(20_000, id, 0, tenant, 40_000) == Admission::Admit);
        }
    }
    insta::assert_snapshot!(format!("first {}, second {}", admitted[0], admitted[1]));
}

#[test]
fn room_is_made_by_those_past_their_time_and_by_proven_ones_only_where_they_are_many() {
    let mut peers = peers();
    let mut out = String::new();
    for _ in 0..200 {
        let usual = peers.open();
        reads(&mut peers, usual, 0, 64 * KIB, |_| 4 << 20);
    }
    out += &format!(
        "200 have proved themselves: {:?}\n",
        peers.eviction_candidate()
    );
    let mut peers = self::peers();
    let crowd: Vec<_> = (0..400).map(|_| peers.open()).collect();
    for (n, id) in crowd.iter().enumerate() {
        peers.on_response_started(0, *id, None, 64 * KIB, if n < 2 { 30_000 } else { 90_000 });
        peers.on_response_progress(10, *id, 60 * KIB);
    }
    out += &format!("all owed: {:?}\n", peers.eviction_candidate());
    // The first two are past their time; the second still takes something.
    for now in [31_000, 32_000, 33_000] {
        peers.on_response_progress(now, crowd[1], (60 - (now as usize - 30_000) / 100) * KIB);
    }
    peers.on_response_progress(33_000, crowd[0], 60 * KIB);
    out += &format!("{:?}, {:?}\n", peers.state(crowd[0]), peers.state(crowd[1]));
    out += &format!(
        "two past: {:?} {:?} {:?}\n",
        peers.eviction_candidate(),
        peers.eviction_candidate(),
        peers.eviction_candidate()
    );
    insta::assert_snapshot!(out);
}

#[test]
fn half_a_message_is_let_go_after_its_grace_unless_it_keeps_the_least_rate() {
    let mut out = String::new();
    let kinds: [(&str, &Rate); 4] = [
        ("a byte each 50 ms", &|_| 2),
        ("half a statement, then nothing", &|t| {
            if t < 1_000 { 200 } else { 0 }
        }),
        ("64 KiB at 16 KiB/s", &|_| 1_638),
        ("well for 3 s, then nothing", &|t| {
            if t < 30_000 { 1_638 } else { 0 }
        }),
    ];
    for (what, bytes) in kinds {
        let mut peers = peers();
        let id = peers.open();
        let (mut due, mut told) = (0, 0);
        let ended = (0..100).map(|n| n * 1_000).find(|now| {
            peers.on_bytes_received(*now, id, bytes(*now));
            told += bytes(*now);
            if *now >= due {
                match peers.incomplete_message_deadline(*now, id) {
                    Some(next) => due = next,
                    None => return true,
                }
            }
            told >= 64 * KIB
        });
        out += &format!("{what}: {:?} ms, {told} bytes\n", ended.map(|at| at / 10));
    }
    insta::assert_snapshot!(out);
}

#[test]
fn an_answer_that_cannot_be_whole_in_time_is_given_up_early() {
    let mut out = String::new();
    let whole = 64 * KIB;
    let kinds: [(&str, &Rate); 5] = [
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
    for (what, comes) in kinds {
        let mut trickle = SlowResponseDetector::new(10_000);
        let mut got = 0;
        let ended = (0..400).map(|n| n * 50).find(|now| {
            let bytes = comes(*now);
            if bytes > 0 {
                trickle.on_bytes_received(*now, bytes);
                got += bytes;
            }
            got >= whole || trickle.cannot_finish(*now, whole - got, 10_000)
        });
        out += &format!(
            "{what}: {:?} ms, {got} of {whole} bytes\n",
            ended.map(|at| at / 10)
        );
    }
    // Nothing at all is not a trickle: that is the dispatch's own wait.
    assert!(!SlowResponseDetector::new(10_000).cannot_finish(9_000, 0, 10_000));
    insta::assert_snapshot!(out);
}

#[test]
fn the_order_names_what_a_scan_names() {
    let mut random = fastrand::Rng::with_seed(3);
    let (mut order, mut plain) = (EvictionOrder::default(), vec![None; 50]);
    let ranks = [
        EvictionRank::StalledPastDeadline,
        EvictionRank::SlowPastDeadline,
        EvictionRank::IncompleteMessage,
        EvictionRank::PastDeadline,
    ];
    for n in 0..50_000 {
        let peer = random.usize(..50);
        match random.u8(..3) {
            0 => {
                order.remove(peer);
                plain[peer] = None;
            }
            _ => {
                let rank = ranks[random.usize(..4)];
                order.insert(peer, rank);
                if plain[peer].is_none_or(|(had, _)| had != rank as u8) {
                    plain[peer] = Some((rank as u8, n));
                }
            }
        }
        let scanned = (0..50)
            .filter_map(|p| Some((plain[p]?, p)))
            .min()
            .map(|(_, p)| p);
        assert_eq!(order.first(), scanned);
    }
}
