//! The engine's tables under a long run of requests that each carry a new id, in tokio's paused time, which advances
//! only when all tasks are idle.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use leverpoint_backpressure::Limits;
use leverpoint_backpressure::limits::ProcessResources;
use leverpoint_config::settings;
use leverpoint_engine::client_connections::ClientConnections;
use leverpoint_engine::engine::{
    Attempt, AttemptExecutor, EndpointEntry, Engine, FinalAnswer, ReportedParameters, Row,
};
use leverpoint_engine::metrics;
use leverpoint_gateway::postgres::query_comment::{self, Query};
use leverpoint_routing::api::{AttemptOutcome, EndpointState, EndpointUpdate};
use leverpoint_runtime::{WeakStream, now};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

const SETTINGS: &str = r#"{"balancers": 1, "me": 0, "tickMs": 5.0, "discovery": "pushed",
    "contract": {"coldMs": 0.0, "fallMs": 1500.0, "fallMultiple": 2.5, "startCapacity": 0.2, "stopSendingWithinMs": 500.0},
    "familyInfo": {"guards": "reject", "listRole": "delayed", "readLevel": ["own_writes", "update"], "stamps": true,
     "tokens": "router"},
    "grades": [
     {"name": "own", "aimMs": 400.0, "deadlineMs": 2000.0, "semantics": "pure", "worth": 1.0},
     {"name": "order", "aimMs": 400.0, "deadlineMs": 2000.0, "semantics": "side_effect", "worth": 3.0}],
    "policyLimits": {"sendCap": 4, "connectTimeoutMs": 250.0, "idleCloseMs": 15000.0}}"#;

fn limits() -> Limits {
    let (memory, descriptors) = (32 << 20, 1_024);
    Limits::from_resources(&ProcessResources {
        memory,
        descriptors,
        unreserved_per_connection: 8 << 10,
        max_message: 136 << 10,
        connect_timeout: 2_500,
    })
}

/// Answers each attempt after 20 ms as the primary; records the servers whose idle connections are closed.
#[derive(Default)]
struct DelayedExecutor {
    closed_servers: RefCell<BTreeSet<usize>>,
}

impl AttemptExecutor for DelayedExecutor {
    fn execute(self: Rc<Self>, attempt: Attempt) {
        spawn_local(async move {
            sleep(Duration::from_millis(20)).await;
            attempt.on_row_complete(Row::default());
            let position = Some(0.0);
            attempt.finish(
                AttemptOutcome::Answered,
                Some(ReportedParameters {
                    primary: Some(true),
                    position,
                }),
            );
        });
    }

    fn close_idle_connections(&self, server: usize) {
        self.closed_servers.borrow_mut().insert(server);
    }
}

fn entry(nth: usize, endpoint_state: EndpointState) -> EndpointEntry {
    EndpointEntry {
        uid: format!("s-{nth}"),
        address: Some(([127, 0, 0, 1], 5432).into()),
        zone: String::new(),
        set: 2,
        state: endpoint_state,
        primary: true,
        size: 1.0,
        started_ms: 0.0,
    }
}

#[test]
fn tables_shrink_back_after_thousands_of_new_ids() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.unwrap(), async {
        let parsed_settings = settings::parse(7, SETTINGS.as_bytes()).unwrap();
        let counters = Rc::new(metrics::Metrics::new(&parsed_settings.class_names));
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let engine = Engine::new(parsed_settings, counters, None, log.clone());
        let connection = ClientConnections::new(limits(), 2, 1, 7, log).register(WeakStream::None);
        let executor = Rc::new(DelayedExecutor::default());
        engine.set_executor(executor.clone());
        spawn_local(engine.clone().run_timers());
        let mut max_servers = 0;
        // A new server every half second, a new session and a new id with each request.
        for nth in 0..2000 {
            let changes = [entry(nth, EndpointState::Ready), entry(nth.wrapping_sub(1), EndpointState::Gone)];
            engine.on_endpoint_list(EndpointUpdate::Changes, 0, &changes[..1 + usize::from(nth > 0)]);
            for part in 0..2 {
                let text = format!(
                    "INSERT INTO records (k, v) VALUES ('s{nth}-{part}', '\\x9f') RETURNING v /* id={nth}-{part},c=order,d=900,cluster=2 */"
                );
                let Ok(Query::Request(request)) = query_comment::parse_query(&text) else { panic!("{text}") };
                let answer = engine.on_request(&request, &text, now(), &connection).unwrap_or_else(|e| panic!("{e:?}"));
                assert!(matches!(answer.await, FinalAnswer::Answered(_)), "{text}");
            }
            sleep(Duration::from_millis(460)).await;
            max_servers = max_servers.max(engine.table_sizes()[0].1);
        }
        // At most the servers of the last half minute, and the current one.
        assert!(max_servers < 70, "{max_servers} servers at once");
        sleep(Duration::from_secs(40)).await;
        engine.on_endpoint_list(EndpointUpdate::Changes, 0, &[]);
        let sizes = engine.table_sizes();
        assert!(sizes[1].1 < 70 && executor.closed_servers.borrow().len() < 70, "{sizes:?}");
        assert_eq!((sizes[0], sizes[4]), (("servers", 1), ("open_ids", 0)), "{sizes:?}");
        assert!(sizes[2].1 <= 1 && sizes[3].1 <= 2 && sizes[5].1 <= 1, "{sizes:?}");
    });
}
