//! The startup packets of a client connection.

use std::io;

use leverpoint_engine::descriptor_budget::ClientActivity;
use leverpoint_runtime::timeout_at;

use crate::client::{Client, MESSAGE_TIMEOUT, Next};
use crate::postgres::cancel_keys::CancelKey;
use crate::postgres::messages;

impl Client {
    /// Answers the startup packets within their time.
    pub(super) async fn admit_in_time(&mut self) -> io::Result<Next> {
        let began = self.began;
        let eviction = self.context.eviction.clone();
        let admitted = tokio::select! {
            biased;
            admitted = timeout_at(began + MESSAGE_TIMEOUT, self.admit()) => admitted,
            () = eviction.requested(ClientActivity::Connected, began) => return Ok(Next::Close),
        };
        match admitted {
            Ok(admitted) => admitted,
            Err(_) => {
                self.close_with_error("08P01", "no startup packet in time")
                    .await?;
                Ok(Next::Close)
            }
        }
    }

    /// Answers the startup packets.
    async fn admit(&mut self) -> io::Result<Next> {
        loop {
            let (code, rest) = match messages::decode_startup_packet(&mut self.connection.input) {
                Ok(Some(packet)) => packet,
                Ok(None) => {
                    self.connection.read().await?;
                    continue;
                }
                Err(messages::InvalidPacketLength) => {
                    self.close_with_error("08P01", "a startup packet of impossible length")
                        .await?;
                    return Ok(Next::Close);
                }
            };
            match code {
                messages::SSL_REQUEST | messages::GSSENC_REQUEST => self.write(b"N").await?,
                messages::CANCEL_REQUEST => {
                    // It is answered by the close alone, whatever came of it.
                    if let Ok(key) = <[u8; 8]>::try_from(rest) {
                        let keys = &self.context.cancel_keys;
                        keys.cancel(u64::from_be_bytes(key), self.began);
                    }
                    return Ok(Next::Close);
                }
                code if code >> 16 == 3 => {
                    self.cancel_key = self.context.cancel_keys.create();
                    let key = self.cancel_key.as_ref().map(CancelKey::bytes);
                    self.write(&messages::startup_response(code & 0xffff, key))
                        .await?;
                    return Ok(Next::Continue);
                }
                _ => {
                    self.close_with_error("0A000", "only version 3 of the protocol is spoken")
                        .await?;
                    return Ok(Next::Close);
                }
            }
        }
    }
}
