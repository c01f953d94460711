//! The client of an operator's command: one request to a running member.
//!
//! # Invariants
//!
//! A request is sent again only as long as no attempt can have reached the member: a change that was made is not
//! requested twice.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use leverpoint_membership::Destination;
use leverpoint_runtime::{now, sleep};
use thiserror::Error;
use tokio::sync::Notify;

use crate::connections::{Connections, FleetConfig, TransportCounters};
use crate::frame::{AdminRequest, AdminResponse, Message};

/// Time limit of the whole exchange, connecting included.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// How often the connection is checked, and opened again where it has ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why an admin request has no response.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AdminRequestError {
    /// No connection could be opened; nothing was sent.
    #[error("nobody answers there")]
    Unreachable,
    /// The peer's greeting is of another fleet or not signed with a known key; nothing was sent.
    #[error("it is of another fleet, or has other keys")]
    OtherFleet,
    /// The peer has accepted connections and sent no greeting; nothing was sent.
    #[error("it does not answer: another fleet, other keys, or no member; nothing was changed")]
    NoGreeting,
    /// The request was sent, and no response has come.
    #[error(
        "it was sent the request and has not answered: a change that was requested may have been made, and may be \
         requested again"
    )]
    Unanswered,
}

/// Sends a request to the member at `address` and returns its response.
///
/// A member that does not listen yet, or stands still for a moment, is tried again until the time limit.
///
/// # Errors
///
/// Why there is no response, and whether the request may have been carried out.
pub async fn send_admin_request(
    address: SocketAddr,
    fleet: FleetConfig,
    request: AdminRequest,
    nonces: Box<dyn FnMut() -> u64>,
) -> Result<AdminResponse, AdminRequestError> {
    let connections = Connections::new(String::new(), fleet, 1, nonces);
    let received = Rc::new(RefCell::new(None));
    let arrived = Rc::new(Notify::new());
    let (slot, notify) = (received.clone(), arrived.clone());
    connections.set_message_handler(Box::new(move |_, message| {
        if let Message::AdminResponse(response) = message {
            slot.borrow_mut().get_or_insert(response);
            notify.notify_one();
        }
    }));
    let to = Destination {
        name: None,
        address: address.to_string(),
    };
    let message = Message::AdminRequest(request);
    let deadline = now() + REQUEST_TIMEOUT;
    while now() < deadline {
        if connections.is_empty() {
            if !may_send(connections.counters()) {
                break;
            }
            connections.send(&to, &message);
        }
        tokio::select! {
            biased;
            () = arrived.notified() => break,
            () = sleep(CHECK_INTERVAL) => {}
        }
    }
    let response = received.borrow_mut().take();
    response.ok_or_else(|| failure(connections.counters()))
}

/// Whether the request may be sent once the earlier connections have ended with these counters: none of them has carried
/// it, and the peer is not known to be of another fleet.
fn may_send(counters: TransportCounters) -> bool {
    counters.sent + counters.timed_out == 0 && !is_other_fleet(counters)
}

fn is_other_fleet(counters: TransportCounters) -> bool {
    counters.incompatible + counters.signature_errors > 0
}

fn failure(counters: TransportCounters) -> AdminRequestError {
    if counters.sent + counters.timed_out > 0 {
        AdminRequestError::Unanswered
    } else if is_other_fleet(counters) {
        AdminRequestError::OtherFleet
    } else if counters.opened > 0 {
        AdminRequestError::NoGreeting
    } else {
        AdminRequestError::Unreachable
    }
}
