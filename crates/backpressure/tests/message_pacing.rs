//! Turns of connections that send messages without a request.

use leverpoint_backpressure::message_pacing::{
    HandledMessage, MessageAllowance, MessageEffect, MessagePacer, Pace,
};
use leverpoint_backpressure::{Connections, Limits, Ticks, limits::ProcessResources};

const SECOND: Ticks = 10_000;
/// A short message without a request.
const OVERHEAD: HandledMessage = HandledMessage {
    effect: MessageEffect::NoRequest,
    length: 5,
};
const REQUEST: HandledMessage = HandledMessage {
    effect: MessageEffect::Request,
    length: 150,
};

/// Handles messages without a request for `span` on connections that always have another one, and returns how many were
/// handled on each.
fn flood(connections: usize, span: Ticks) -> Vec<u64> {
    let mut pacer = MessagePacer::default();
    let mut allowances = vec![MessageAllowance::default(); connections];
    let (mut ready_at, mut handled) = (vec![0; connections], vec![0; connections]);
    for now in 0..span {
        for connection in 0..connections {
            while ready_at[connection] <= now {
                handled[connection] += 1;
                let allowance = &mut allowances[connection];
                match pacer.on_message(now, allowance, OVERHEAD, 0) {
                    Pace::Continue => {}
                    Pace::Yield => ready_at[connection] = now + 1,
                    Pace::Wait(wait) => ready_at[connection] = now + wait,
                }
            }
        }
    }
    handled
}

#[test]
fn messages_without_a_request_are_bounded_for_all_connections_together() {
    for connections in [1, 6, 300] {
        let handled = flood(connections, 2 * SECOND);
        let total: u64 = handled.iter().sum();
        // A thousand turns of sixteen messages a second, beside what time and the first burst allow each connection.
        let allowed = 2 * (16_000 + 100 * connections as u64) + 32 * connections as u64;
        assert!(total <= allowed, "{connections}: {total} of {allowed}");
        assert!(total >= 30_000, "{connections}: {total}");
        let (least, most) = (handled.iter().min().unwrap(), handled.iter().max().unwrap());
        assert!(most - least <= 64, "{connections}: {least} to {most}");
    }
}

#[test]
fn requests_never_wait_and_end_their_turn() {
    let (mut pacer, mut allowance) = (MessagePacer::default(), MessageAllowance::default());
    let paces: Vec<_> = (0..400)
        .map(|now| pacer.on_message(now, &mut allowance, REQUEST, 0))
        .collect();
    for turn in paces.chunks(4) {
        assert_eq!(turn[..3], [Pace::Continue; 3]);
        assert_eq!(turn[3], Pace::Yield);
    }
}

#[test]
fn a_session_that_is_reset_around_each_request_never_waits() {
    let (mut pacer, mut allowance) = (MessagePacer::default(), MessageAllowance::default());
    for nth in 0..2_000 {
        let message = match nth % 4 {
            0 => REQUEST,
            _ => OVERHEAD,
        };
        // All within the same moment, so nothing is earned by time.
        let pace = pacer.on_message(0, &mut allowance, message, 0);
        assert!(!matches!(pace, Pace::Wait(_)), "message {nth}: {pace:?}");
    }
    assert_eq!(pacer.turns(), 0);
}

#[test]
fn an_idle_connection_earns_its_burst_again() {
    let (mut pacer, mut allowance) = (MessagePacer::default(), MessageAllowance::default());
    let mut burst = |now| {
        let mut handled = 0;
        let turns = pacer.turns();
        while pacer.turns() == turns {
            pacer.on_message(now, &mut allowance, OVERHEAD, 0);
            handled += 1;
        }
        handled
    };
    assert_eq!(burst(SECOND), 17);
    assert_eq!(burst(SECOND), 16);
    assert_eq!(burst(3 * SECOND), 17);
}

#[test]
fn turns_are_further_apart_while_timers_are_late() {
    let (mut pacer, mut allowance) = (MessagePacer::default(), MessageAllowance::default());
    let mut next_wait = |late| {
        loop {
            match pacer.on_message(0, &mut allowance, OVERHEAD, late) {
                Pace::Wait(wait) => return wait,
                Pace::Continue | Pace::Yield => {}
            }
        }
    };
    assert_eq!(next_wait(0), 10);
    assert_eq!(next_wait(50), 20 + 4 * 50);
    assert_eq!(next_wait(10_000), 500);
}

#[test]
fn without_limits_a_turn_still_ends() {
    let limits = Limits::from_resources(&ProcessResources {
        memory: 32 << 20,
        descriptors: 1_024,
        unreserved_per_connection: 8 << 10,
        max_message: 136 << 10,
        connect_timeout: 2_500,
    });
    let disabled = Limits {
        enabled: false,
        ..limits
    };
    let mut connections = Connections::new(disabled, 1, 1, 4 << 10, 7);
    let id = connections.open();
    let paces: Vec<_> = (0..1_000)
        .map(|_| connections.on_message_handled(0, id, OVERHEAD, 0))
        .collect();
    for turn in paces.chunks(17) {
        assert!(turn.len() < 17 || turn.contains(&Pace::Yield));
    }
    assert!(!paces.iter().any(|pace| matches!(pace, Pace::Wait(_))));
}

#[test]
fn a_long_message_without_a_request_takes_several_turns() {
    let (mut pacer, mut allowance) = (MessagePacer::default(), MessageAllowance::default());
    let long = HandledMessage {
        length: 136 << 10,
        ..OVERHEAD
    };
    // 35 units, 16 of them from the allowance: two turns, of which the first waits for nothing.
    let pace = pacer.on_message(0, &mut allowance, long, 0);
    assert_eq!((pace, pacer.turns()), (Pace::Wait(10), 2));
}
