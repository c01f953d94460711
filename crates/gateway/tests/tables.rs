//! The exchange on a long day of ever new ids, in time that only passes when nothing else is to be done.

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

fn caps() -> Limits {
    let (memory, descriptors) = (32 << 20, 1_024);
    Limits::from_resources(&ProcessResources {
        memory,
        descriptors,
        unreserved_per_connection: 8 << 10,
        max_message: 136 << 10,
        connect_timeout: 2_500,
    })
}

/// Answers each dispatch after 20 ms; the first of every set says it is the primary.
#[derive(Default)]
struct Answers {
    let_go: RefCell<BTreeSet<usize>>,
}

impl AttemptExecutor for Answers {
    fn execute(self: Rc<Self>, order: Attempt) {
        spawn_local(async move {
            sleep(Duration::from_millis(20)).await;
            order.on_row_complete(Row::default());
            let position = Some(0.0);
            order.finish(
                AttemptOutcome::Answered,
                Some(ReportedParameters {
                    primary: Some(true),
                    position,
                }),
            );
        });
    }

    fn close_idle_connections(&self, server: usize) {
        self.let_go.borrow_mut().insert(server);
    }
}

fn entry(nth: usize, phase: EndpointState) -> EndpointEntry {
    EndpointEntry {
        uid: format!("s-{nth}"),
        address: Some(([127, 0, 0, 1], 5432).into()),
        zone: String::new(),
        set: 2,
        state: phase,
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
        let opened = settings::parse(7, SETTINGS.as_bytes()).unwrap();
        let counters = Rc::new(metrics::Metrics::new(&opened.class_names));
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let exchange = Engine::new(opened, counters, None, log.clone());
        let peer = ClientConnections::new(caps(), 2, 1, 7, log).register(WeakStream::None);
        let answers = Rc::new(Answers::default());
        exchange.set_executor(answers.clone());
        spawn_local(exchange.clone().run_timers());
        let mut most = 0;
        // A new server every half second, a new session and a new id with each command.
        for nth in 0..2000 {
            let changes = [entry(nth, EndpointState::Ready), entry(nth.wrapping_sub(1), EndpointState::Gone)];
            exchange.on_endpoint_list(EndpointUpdate::Changes, 0, &changes[..1 + usize::from(nth > 0)]);
            for part in 0..2 {
                let text = format!(
                    "INSERT INTO records (k, v) VALUES ('s{nth}-{part}', '\\x9f') RETURNING v /* id={nth}-{part},c=order,d=900,cluster=2 */"
                );
                let Ok(Query::Request(said)) = query_comment::parse_query(&text) else { panic!("{text}") };
                let ticket = exchange.on_request(&said, &text, now(), &peer).unwrap_or_else(|e| panic!("{e:?}"));
                assert!(matches!(ticket.await, FinalAnswer::Answered(_)), "{text}");
            }
            sleep(Duration::from_millis(460)).await;
            most = most.max(exchange.table_sizes()[0].1);
        }
        // Those of the last half minute at most, and the one that is there.
        assert!(most < 70, "{most} servers at once");
        sleep(Duration::from_secs(40)).await;
        exchange.on_endpoint_list(EndpointUpdate::Changes, 0, &[]);
        let held = exchange.table_sizes();
        assert!(held[1].1 < 70 && answers.let_go.borrow().len() < 70, "{held:?}");
        assert_eq!((held[0], held[4]), (("servers", 1), ("open_ids", 0)), "{held:?}");
        assert!(held[2].1 <= 1 && held[3].1 <= 2 && held[5].1 <= 1, "{held:?}");
    });
}
