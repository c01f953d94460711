//! Capacity and work budget of warming servers.

use leverpoint_routing::api::{MILLISECOND, ServerProtection, Ticks};
use leverpoint_routing::slow_start::{
    WarmThroughput, WarmingServer, WarmupBudget, warming_capacity,
};

const START: Ticks = 100_000 * MILLISECOND;

const SERVER: WarmingServer = WarmingServer {
    size: 1.0,
    capacity: 0.2,
};

fn protection() -> ServerProtection {
    ServerProtection {
        drain_grace: 500 * MILLISECOND,
        only_draining_excludes: false,
        slow_start_capacity: 0.2,
        slow_start_window: 10_000 * MILLISECOND,
        overload_multiple: 2.0,
        overload_window: 2000 * MILLISECOND,
    }
}

#[test]
fn capacity_grows_linearly_until_the_server_is_warm() {
    let capacity_at_age = |age| warming_capacity(&protection(), START, START + age);
    assert_eq!(capacity_at_age(0), Some(0.2));
    let halfway = capacity_at_age(5_000 * MILLISECOND).expect("still warming up");
    assert!((halfway - 0.6).abs() < 1e-9);
    assert_eq!(capacity_at_age(10_000 * MILLISECOND), None);
    assert_eq!(warming_capacity(&protection(), 0, START), None);
}

#[test]
fn budget_pays_off_its_debt_at_the_rate_of_warm_servers() {
    let mut throughput = WarmThroughput::default();
    throughput.record(10_000.0);
    assert_eq!(throughput.per_tick(), 0.5);
    let mut budget = WarmupBudget::default();
    budget.restart(120.0, START);
    let balance_at = |now| budget.balance(&protection(), &throughput, SERVER, now);
    assert_eq!(balance_at(START), -120.0);
    // 0.5 per tick, times the capacity, times 0.6 of the overload multiple.
    assert!((balance_at(START + 500) - -60.0).abs() < 1e-6);
    assert!(balance_at(START + 1_001) > 0.0);
}

#[test]
fn budget_stays_empty_without_warm_throughput() {
    let mut budget = WarmupBudget::default();
    budget.restart(1.0, START);
    let later = START + 5_000 * MILLISECOND;
    let balance = budget.balance(&protection(), &WarmThroughput::default(), SERVER, later);
    assert_eq!(balance, -1.0);
}

#[test]
fn attempt_that_only_the_primary_may_answer_is_charged_less() {
    let balance_after_charge = |primary_only| {
        let mut throughput = WarmThroughput::default();
        throughput.record(10_000.0);
        let mut budget = WarmupBudget::default();
        budget.charge(Some(0.0), 100.0, primary_only, START);
        budget.balance(&protection(), &throughput, SERVER, START)
    };
    assert_eq!(balance_after_charge(false), -100.0);
    assert_eq!(balance_after_charge(true), -60.0);
}
