//! The discovery agents of one run, one on each gateway's host: they serve the endpoint list over HTTP by long polling.
//!
//! What an agent has learned counts as announced to its gateway, whether or not a request was open. A silent agent
//! learns nothing, and requests that overlap its silence are never answered: the gateway has to send a new one
//! afterwards.
//!
//! # Invariants
//!
//! An agent answers with nothing but the endpoint list as published.

use std::rc::Rc;
use std::time::Duration;

use leverpoint_cluster_model::endpoint_list::Phase;
use leverpoint_runtime::{Listener, now, sleep, timeout_at};

use crate::run_context::{OLD_ADDRESS_CLOSE_DELAY, RunContext, address};
use crate::wire_stream::WireStream;

impl RunContext {
    /// Accepts connections at one of the two addresses of a gateway's agent.
    pub(crate) async fn serve_agent(self: Rc<Self>, n: usize, at_second_address: bool) {
        let listen_queue = self.sim.listen(
            self.agent_process(n),
            address(if at_second_address { 3 } else { 2 }, n),
        );
        let listener = Listener::Simulated(listen_queue);
        while let Ok(stream) = listener.accept().await {
            let context = self.clone();
            let is_configured =
                move || context.cluster.agent_at_second_address.borrow()[n] == at_second_address;
            // An address that the configuration no longer names drops new connections and closes open ones after a
            // delay.
            if !is_configured() {
                continue;
            }
            let context = self.clone();
            leverpoint_runtime::spawn(async move {
                let address_retired = async {
                    while is_configured() {
                        sleep(Duration::from_millis(50)).await;
                    }
                    sleep(OLD_ADDRESS_CLOSE_DELAY).await;
                };
                tokio::select! {
                    biased;
                    _ = context.serve_agent_connection(n, WireStream::new(stream)) => {}
                    () = address_retired => {}
                }
            });
        }
    }

    /// Announces to a gateway what was published since its agent last learned of changes, unless the agent is silent.
    pub(crate) fn update_agent(&self, n: usize) {
        if self.cluster.agent_is_silent.borrow()[n] {
            return;
        }
        let list = self.cluster.endpoint_list.borrow();
        let previous_revision =
            self.cluster.agent_revision.borrow_mut()[n].replace(list.revision());
        for entry in list.changed_since(previous_revision) {
            let is_up = entry.phase == Phase::Up;
            self.checker
                .borrow_mut()
                .on_phase_announced(self.now(), n, entry.server, is_up);
        }
    }

    /// Silences an agent, or ends its silence; it then learns what was published meanwhile.
    pub(crate) fn set_agent_silent(&self, n: usize, silent: bool) {
        self.cluster.agent_is_silent.borrow_mut()[n] = silent;
        self.cluster.agent_silence_count.borrow_mut()[n] += u64::from(silent);
        self.update_agent(n);
    }

    /// Answers requests for the endpoint list until the connection ends.
    ///
    /// A request with `index` waits up to `wait` milliseconds for a revision after that one.
    pub(crate) async fn serve_agent_connection(
        &self,
        n: usize,
        mut connection: WireStream,
    ) -> std::io::Result<()> {
        loop {
            let head = connection.read_until("\r\n\r\n").await?;
            let path = head.split(' ').nth(1).unwrap_or_default();
            let query_parameter = |name: &str| {
                let (_, rest) = path.split_once(name)?;
                rest.split('&').next()?.parse::<u64>().ok()
            };
            let known_revision = query_parameter("index=");
            let silence_count = self.cluster.agent_silence_count.borrow()[n];
            let was_silent = || {
                self.cluster.agent_is_silent.borrow()[n]
                    || self.cluster.agent_silence_count.borrow()[n] != silence_count
            };
            if let Some(known_revision) = known_revision {
                let until = now() + Duration::from_millis(query_parameter("wait=").unwrap_or(0));
                while self.cluster.endpoint_list.borrow().revision() <= known_revision {
                    if timeout_at(until, self.cluster.list_published.notified())
                        .await
                        .is_err()
                    {
                        break;
                    }
                }
            }
            if was_silent() {
                continue;
            }
            let body = self.endpoint_list_text(known_revision);
            connection
                .write_all(
                    format!(
                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    )
                    .as_bytes(),
                )
                .await?;
        }
    }
}
