//! Startup of a client connection: answers its startup packets and admits it.

use std::io;

use leverpoint_backpressure::{HandledMessage, MessageEffect};
use leverpoint_engine::descriptor_budget::ClientActivity;
use leverpoint_engine::diagnostics::CloseReason;
use leverpoint_runtime::timeout_at;

use crate::client::{Client, MESSAGE_TIMEOUT, NextStep};
use crate::postgres::cancel_keys::CancelKey;
use crate::postgres::messages;

impl Client {
    /// Answers the startup packets within [`MESSAGE_TIMEOUT`]; ends early if the connection is evicted.
    pub(super) async fn admit_within_timeout(&mut self) -> io::Result<NextStep> {
        let accepted_at = self.accepted_at;
        let eviction = self.context.eviction.clone();
        let admitted = tokio::select! {
            biased;
            admitted = timeout_at(accepted_at + MESSAGE_TIMEOUT, self.admit()) => admitted,
            () = eviction.requested(ClientActivity::Connected, accepted_at) => {
                self.close_reason = CloseReason::Capacity;
                return Ok(NextStep::Close);
            }
        };
        match admitted {
            Ok(admitted) => admitted,
            Err(_) => {
                self.close_reason = CloseReason::Incomplete;
                self.close_with_error("08P01", "no startup packet in time")
                    .await?;
                Ok(NextStep::Close)
            }
        }
    }

    /// Answers the startup packets; without a timeout.
    async fn admit(&mut self) -> io::Result<NextStep> {
        loop {
            let (code, body) = match messages::decode_startup_packet(&mut self.connection.input) {
                Ok(Some(packet)) => packet,
                Ok(None) => {
                    self.connection.read().await?;
                    continue;
                }
                Err(messages::InvalidPacketLength) => {
                    self.close_reason = CloseReason::Invalid;
                    self.close_with_error("08P01", "a startup packet of impossible length")
                        .await?;
                    return Ok(NextStep::Close);
                }
            };
            match code {
                messages::SSL_REQUEST | messages::GSSENC_REQUEST => {
                    self.write(b"N").await?;
                    self.pause_after_message(HandledMessage {
                        effect: MessageEffect::NoRequest,
                        length: body.len(),
                    })
                    .await;
                }
                messages::CANCEL_REQUEST => {
                    // The protocol has no answer to a cancel: the connection is closed whatever its effect.
                    if let Ok(key) = <[u8; 8]>::try_from(body) {
                        let keys = &self.context.cancel_keys;
                        keys.cancel(u64::from_be_bytes(key), self.accepted_at);
                    }
                    return Ok(NextStep::Close);
                }
                code if code >> 16 == 3 => {
                    self.cancel_key = self.context.cancel_keys.create();
                    let key = self.cancel_key.as_ref().map(CancelKey::bytes);
                    self.write(&messages::startup_response(code & 0xffff, key))
                        .await?;
                    return Ok(NextStep::Continue);
                }
                _ => {
                    self.close_reason = CloseReason::Invalid;
                    self.close_with_error("0A000", "only version 3 of the protocol is spoken")
                        .await?;
                    return Ok(NextStep::Close);
                }
            }
        }
    }
}
