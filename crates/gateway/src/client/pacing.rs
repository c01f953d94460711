//! Ends a connection's turn as backpressure asks, so that a client with much to read keeps no other task waiting.

use std::time::Duration;

use leverpoint_backpressure::HandledMessage;
use leverpoint_engine::client_connections::{ClientConnection, MessagePause};
use leverpoint_runtime::{now, since, sleep, yield_now};

/// The pauses of one connection between its messages.
#[derive(Default)]
pub(super) struct MessagePacing {
    /// How much longer than asked the last pause took.
    overshoot: Duration,
}

impl MessagePacing {
    /// Records a handled message, and pauses before the next one if backpressure asks for it; returns whether it has.
    ///
    /// While the gateway shuts down it only yields: a request behind such messages must be answered before the end.
    pub(super) async fn after_message(
        &mut self,
        registration: &ClientConnection,
        message: HandledMessage,
        is_shutting_down: bool,
    ) -> bool {
        let overshoot = std::mem::take(&mut self.overshoot);
        match registration.on_message_handled(message, overshoot) {
            MessagePause::None => false,
            MessagePause::Wait(pause) if !is_shutting_down => {
                let paused_at = now();
                sleep(pause).await;
                self.overshoot = since(paused_at).saturating_sub(pause);
                true
            }
            MessagePause::Yield | MessagePause::Wait(_) => {
                yield_now().await;
                false
            }
        }
    }
}
