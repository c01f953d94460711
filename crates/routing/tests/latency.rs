//! Histograms, typical latencies and attempt timeouts.

use leverpoint_routing::api::{Consistency, Idempotency, MILLISECOND, RequestClass};
use leverpoint_routing::latency::{ClassLatency, Histogram, TimeLeft};

fn any_read_class() -> ClassLatency {
    ClassLatency::new(RequestClass {
        consistency: Consistency::Any,
        idempotency: Idempotency::Idempotent,
        latency_objective: 400 * MILLISECOND,
        timeout: 2000 * MILLISECOND,
        priority_weight: 1.0,
        late_factor: 0.0,
    })
}

#[test]
fn quantile_is_the_upper_bound_of_its_bucket() {
    let mut histogram = Histogram::default();
    assert_eq!(histogram.quantile(50), None);
    (0..9).for_each(|_| histogram.record(100, 100));
    histogram.record(1000, 100);
    assert_eq!(histogram.quantile(50), Some(135));
    assert_eq!(histogram.quantile(95), Some(1020));
}

#[test]
fn mean_moves_from_the_prior_to_the_samples() {
    let mut histogram = Histogram::default();
    assert_eq!(histogram.mean(100, 2), 100);
    histogram.record(300, 100);
    assert_eq!(histogram.mean(100, 2), (250 + 2 * 100) / 3);
    assert_eq!(histogram.mean(100, 0), 250);
}

#[test]
fn single_sample_is_forgotten_after_five_halvings() {
    let mut histogram = Histogram::default();
    histogram.record(300, 100);
    (0..4).for_each(|_| histogram.halve());
    assert_eq!(histogram.quantile(50), Some(300));
    histogram.halve();
    assert_eq!(histogram.quantile(50), None);
}

#[test]
fn typical_latency_starts_at_a_quarter_of_the_objective_and_follows_the_answers() {
    let mut class = any_read_class();
    assert_eq!(class.typical(), 100 * MILLISECOND);
    (0..20).for_each(|_| class.record(20 * MILLISECOND));
    assert_eq!(class.typical(), 20 * MILLISECOND);
}

#[test]
fn attempt_timeout_is_between_half_and_all_of_the_time_to_the_objective() {
    let mut class = any_read_class();
    let time_left = TimeLeft {
        to_objective: 400 * MILLISECOND,
        to_deadline: 2000 * MILLISECOND,
    };
    assert_eq!(class.attempt_timeout(time_left, 0), 400 * MILLISECOND);
    (0..200).for_each(|_| class.record(20 * MILLISECOND));
    assert_eq!(class.attempt_timeout(time_left, 0), 200 * MILLISECOND);
    let short_time_left = TimeLeft {
        to_deadline: 50 * MILLISECOND,
        ..time_left
    };
    assert_eq!(class.attempt_timeout(short_time_left, 0), 50 * MILLISECOND);
}
