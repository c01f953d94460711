//! Runs of a few seeds of every scenario, which must break no rule and be reproducible, and tests of the checker and of the
//! cluster model that the simulator uses.

use leverpoint_cluster_model::endpoint_list::{EndpointList, Phase};
use leverpoint_cluster_model::replica_set::{
    Health, ReplicaSet, ReplicaSetConfig, Reply, Statement,
};
use leverpoint_runtime::Instant;
use leverpoint_simulator::checker::{Checker, ExecutionStatus, FinalResponse, Idempotency};
use leverpoint_simulator::gateway_script::{built_in_scenarios, load_scenario};
use leverpoint_simulator::run::run_script;
use leverpoint_simulator::scenarios;
use leverpoint_test_support::values::expected_value;

#[test]
fn no_rule_breaks_in_ten_seeds_of_every_gateway_scenario() {
    let base = Instant::now();
    for (name, scenario) in built_in_scenarios() {
        for seed in 0..10 {
            let played = run_script(&scenario, &scenario.script(seed), seed, base, false);
            assert_eq!(
                played.violation, None,
                "leverpoint-simulator replay --scenario {name} --seed {seed}"
            );
            assert!(
                played.requests > 100 && played.steps > 1_000,
                "{name} {seed}: {played:?}"
            );
        }
    }
}

#[test]
fn no_rule_breaks_in_ten_seeds_of_every_membership_scenario_and_traces_are_reproducible() {
    let base = Instant::now();
    for (name, scenario) in scenarios::built_in().filter(|(name, _)| name.starts_with("members")) {
        for seed in 0..10 {
            let played = scenario.play(seed, base, false);
            assert_eq!(
                played.violation, None,
                "leverpoint-simulator replay --scenario {name} --seed {seed}"
            );
            assert!(
                played.requests > 100 && played.steps > 1_000,
                "{name} {seed}: {played:?}"
            );
        }
        assert_eq!(
            scenario.play(3, base, true).trace,
            scenario.play(3, base, true).trace
        );
    }
}

#[test]
fn no_rule_breaks_in_replication_scenarios_and_traces_are_reproducible() {
    let base = Instant::now();
    for (name, scenario) in scenarios::built_in().filter(|(name, _)| name.starts_with("copies")) {
        // One seed takes seconds in an unoptimised build; .ci/run runs many seeds in a release build.
        let played = scenario.play(1, base, false);
        assert_eq!(
            played.violation, None,
            "leverpoint-simulator replay --scenario {name} --seed 1"
        );
        assert!(
            played.benefit > 10.0 && played.benefit <= played.possible_benefit,
            "{name}: {played:?}"
        );
    }
    let loss = scenarios::load("copies-loss").unwrap();
    assert_eq!(
        loss.play(1, base, true).trace,
        loss.play(1, base, true).trace
    );
}

/// Regression test: at this seed two members came to use different layouts of the same version.
#[test]
fn members_use_one_layout_of_each_version_at_seed_220_of_copies_layout() {
    let scenario = scenarios::load("copies-layout").unwrap();
    let played = scenario.play(220, Instant::now(), false);
    assert_eq!(
        played.violation, None,
        "leverpoint-simulator replay --scenario copies-layout --seed 220"
    );
}

/// Regression test: a session's read was sent to a replica that does not check its position, before the position of the
/// session's preceding write was known.
#[test]
fn reads_right_after_a_write_in_a_session_are_not_stale_at_seeds_of_lists_lie() {
    let scenario = scenarios::load("lists-lie").unwrap();
    for seed in [22518, 28520, 34367] {
        let played = scenario.play(seed, Instant::now(), false);
        assert_eq!(
            played.violation, None,
            "leverpoint-simulator replay --scenario lists-lie --seed {seed}"
        );
    }
}

#[test]
fn a_seed_gives_the_same_trace_and_digest_on_every_run() {
    let scenario = load_scenario("round-close").unwrap();
    let run_seed = |seed, traced| {
        run_script(
            &scenario,
            &scenario.script(seed),
            seed,
            Instant::now(),
            traced,
        )
    };
    let (first_run, second_run) = (run_seed(5, true), run_seed(5, true));
    assert!(first_run.trace.len() > 500);
    assert_eq!(first_run.trace, second_run.trace);
    assert_eq!(first_run.digest, run_seed(5, false).digest);
    assert_ne!(first_run.digest, run_seed(6, false).digest);
}

#[test]
fn trace_lines_of_faults_sets_and_gateways_match_the_snapshot() {
    let scenario = load_scenario("failover").unwrap();
    let played = run_script(&scenario, &scenario.script(3), 3, Instant::now(), true);
    let lines_with = |text: &str| {
        played
            .trace
            .iter()
            .filter(|line| line.contains(text))
            .take(12)
            .cloned()
            .collect::<Vec<_>>()
    };
    insta::assert_snapshot!(
        [
            lines_with(" fault "),
            lines_with(" set "),
            lines_with(" gateway ")
        ]
        .concat()
        .join("\n")
    );
}

/// Feeds the checker short sequences of events, each of which breaks one rule or none.
#[test]
fn checker_reports_each_broken_rule() {
    let checker = || {
        let mut checker = Checker::new(20_000, 5_000, 10);
        checker.on_request_sent(0, "a", 0, Idempotency::NonIdempotent, 10_000, 64, None);
        checker.on_request_sent(0, "k", 0, Idempotency::IdempotentByKey, 30_000, 64, None);
        checker.on_request_sent(0, "r", 0, Idempotency::Idempotent, 10_000, 64, Some(500));
        checker
    };
    type EventSequence = fn(&mut Checker);
    let sequences: [(&str, EventSequence); 14] = [
        ("answered with what was made", |c| {
            c.on_dispatch(5, "a", 0, 1);
            c.on_execution_finished(9, "a", 1, ExecutionStatus::MayHaveExecuted, true);
            c.on_response(12, "a", FinalResponse::Answered, &expected_value("a", 64));
        }),
        ("answered twice", |c| {
            c.on_dispatch(5, "a", 0, 1);
            c.on_response(12, "a", FinalResponse::Failed, b"");
            c.on_response(13, "a", FinalResponse::Failed, b"");
        }),
        ("another's value", |c| {
            c.on_dispatch(5, "a", 0, 1);
            c.on_response(12, "a", FinalResponse::Answered, &expected_value("k", 64));
        }),
        ("never answered", |c| c.check_deadlines(30_000)),
        ("mutating, twice", |c| {
            c.on_dispatch(5, "a", 0, 1);
            c.on_dispatch(9, "a", 0, 2);
        }),
        ("mutating, again after it surely never ran", |c| {
            c.on_dispatch(5, "a", 0, 1);
            c.on_execution_finished(6, "a", 1, ExecutionStatus::NeverExecuted, false);
            c.on_dispatch(9, "a", 0, 2);
        }),
        ("mutating, throttled though it may have run", |c| {
            c.on_dispatch(5, "a", 0, 1);
            c.on_response(9, "a", FinalResponse::Throttled, b"");
        }),
        ("keyed, inside its window", |c| {
            c.on_dispatch(5, "k", 0, 1);
            c.on_dispatch(15_000, "k", 0, 1);
        }),
        ("keyed, after its window", |c| {
            c.on_dispatch(5, "k", 0, 1);
            c.on_dispatch(25_000, "k", 0, 1);
        }),
        ("a drained machine inside the grace", |c| {
            c.on_phase_announced(0, 0, 1, false);
            c.on_dispatch(5_000, "r", 0, 1);
        }),
        ("a drained machine after it", |c| {
            c.on_phase_announced(0, 0, 1, false);
            c.on_dispatch(6_000, "r", 0, 1);
        }),
        ("one that is wanted again", |c| {
            c.on_phase_announced(0, 0, 1, false);
            c.on_phase_announced(100, 0, 1, true);
            c.on_dispatch(6_000, "r", 0, 1);
        }),
        ("a read of old data", |c| c.on_read(900, "r", 499, false)),
        ("a cold machine pushed over", |c| c.on_cold_crash(900, 3)),
    ];
    let mut out = String::new();
    for (label, sequence) in sequences {
        let mut checker = checker();
        sequence(&mut checker);
        let result = checker.violation.map_or("kept".to_owned(), |b| {
            format!("rule {}, {}", b.rule, b.description)
        });
        out += &format!("{label}: {result}\n");
    }
    insta::assert_snapshot!(out);
}

#[test]
fn replica_set_drops_duplicates_rejects_stale_reads_and_elects_the_most_advanced_replica() {
    let config = ReplicaSetConfig {
        slots: 2,
        queue_capacity: 1,
        replication_lag: 100,
        key_retention: 1_000,
        election_duration: 500,
        cold_start_capacity: 0.5,
        cold_start_duration: 2_000,
        overload_multiple: 2.0,
        overload_window: 300,
        typical_work: 200,
    };
    let mut set = ReplicaSet::new(config, 3);
    let keyed = Statement {
        is_write: true,
        idempotency_key: Some("k"),
        required_position: None,
    };
    let read_requiring = |position| Statement {
        is_write: false,
        idempotency_key: None,
        required_position: position,
    };
    let mut out = vec![
        format!("{:?}", set.complete(10, 0, &keyed)),
        format!("again {:?}", set.complete(20, 0, &keyed)),
        format!("after its window {:?}", set.complete(1_500, 0, &keyed)),
        format!("at a replica {:?}", set.complete(1_500, 1, &keyed)),
        format!(
            "old enough {:?}",
            set.complete(1_500, 1, &read_requiring(Some(1_400)))
        ),
        format!(
            "too young {:?}",
            set.complete(1_500, 1, &read_requiring(Some(1_401)))
        ),
    ];
    assert_eq!(
        set.complete(1_500, 1, &read_requiring(Some(1_401))).0,
        Reply::Behind
    );
    set.pause_replay(1_600, 1, true);
    set.set_health(1_700, 0, Health::Down);
    assert_eq!(set.elect(2_199), None);
    out.push(format!("elected {:?}", set.elect(2_200)));
    set.set_health(3_000, 0, Health::Up);
    out.push(format!(
        "{:?}",
        (0..4).map(|_| set.admit(3_001, 0)).collect::<Vec<_>>()
    ));
    out.push(format!(
        "{:?} fallen {}",
        set.admit(3_400, 0),
        set.servers[0].crashed_by_overload
    ));
    for _ in 0..8 {
        let _ = set.admit(3_410, 0);
    }
    assert!(set.servers[0].crashed_by_overload);
    insta::assert_snapshot!(out.join("\n"));
}

#[test]
fn endpoint_list_reports_changes_since_a_revision_and_publishes_none_early() {
    let mut list = EndpointList::default();
    (0..3).for_each(|m| list.schedule_change(0, m, 0, Phase::Up, m == 0, 0));
    assert!(list.publish_due(0));
    let known_revision = list.revision();
    list.schedule_change(50, 1, 0, Phase::Draining, false, 0);
    list.schedule_change(90, 2, 0, Phase::Removed, false, 0);
    assert!(!list.publish_due(49) && list.next_publication_at() == Some(50));
    assert!(list.publish_due(90));
    let changed: Vec<_> = list
        .changed_since(Some(known_revision))
        .map(|e| (e.server, e.phase))
        .collect();
    assert_eq!(changed, [(1, Phase::Draining), (2, Phase::Removed)]);
    assert_eq!(
        list.changed_since(None)
            .map(|e| e.server)
            .collect::<Vec<_>>(),
        [0, 1]
    );
}

#[cfg(feature = "plants")]
#[test]
fn every_planted_fault_is_found() {
    for (fault, scenario, detection) in
        leverpoint_simulator::planted_faults::find_all(200, Instant::now())
    {
        assert!(detection.is_some(), "{fault} is not found by {scenario}");
    }
}
