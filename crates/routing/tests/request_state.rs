//! Transitions of a request.

use leverpoint_routing::request_state::{Effect, Phase, RequestEvent, next};

fn apply_events(events: &[RequestEvent]) -> (Phase, Vec<Effect>) {
    let mut phase = Phase::New;
    let mut effects = Vec::new();
    for &event in events {
        let transition = next(phase, event).expect("the event is expected in this phase");
        phase = transition.to;
        effects.push(transition.effect);
    }
    (phase, effects)
}

#[test]
fn failed_attempt_leads_to_a_retry() {
    let (phase, effects) = apply_events(&[
        RequestEvent::Arrived,
        RequestEvent::Dequeued,
        RequestEvent::AttemptStarted,
        RequestEvent::AttemptFailed,
    ]);
    assert_eq!(phase, Phase::Queued);
    assert_eq!(
        effects,
        [
            Effect::QueueFirstAttempt,
            Effect::SelectServer,
            Effect::None,
            Effect::QueueRetry
        ]
    );
}

#[test]
fn request_without_capacity_waits_and_is_dequeued_again() {
    let (phase, effects) = apply_events(&[
        RequestEvent::Arrived,
        RequestEvent::Dequeued,
        RequestEvent::NoCapacity,
        RequestEvent::Dequeued,
        RequestEvent::GivenUp,
    ]);
    assert_eq!(phase, Phase::Finished);
    assert_eq!(
        effects[2..],
        [Effect::Wait, Effect::SelectServer, Effect::Reject]
    );
}

#[test]
fn finished_request_ignores_all_events() {
    for event in [
        RequestEvent::Arrived,
        RequestEvent::Dequeued,
        RequestEvent::AttemptStarted,
        RequestEvent::NoCapacity,
        RequestEvent::GivenUp,
        RequestEvent::AttemptFailed,
        RequestEvent::Finished,
    ] {
        assert_eq!(next(Phase::Finished, event), None);
    }
}
