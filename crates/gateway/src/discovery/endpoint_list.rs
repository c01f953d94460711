//! The JSON format of endpoint lists, in discovery's responses and in the configuration.

use std::fmt::{self, Formatter};

use leverpoint_engine::engine::EndpointEntry;
use leverpoint_routing::api::EndpointState;
use leverpoint_runtime::failpoint_active;
use serde::Deserialize;
use serde::de::{Deserializer, SeqAccess, Visitor};
use serde_json::Value;

/// An endpoint list, or its changes since an earlier revision.
#[derive(Debug, PartialEq)]
pub struct EndpointList {
    /// Revision that discovery has given the list.
    pub revision: u64,
    /// Whether the entries are a full listing rather than changes.
    pub full: bool,
    /// All endpoints, or those that have changed.
    pub entries: Vec<EndpointEntry>,
}

/// Parses an endpoint list; none if the text is not one. Entries without a `uid` are left out.
pub fn parse_endpoint_list(text: &[u8]) -> Option<EndpointList> {
    let ListJson { rev, all, targets } = serde_json::from_slice(text).ok()?;
    Some(EndpointList {
        revision: rev,
        full: all,
        entries: targets.0,
    })
}

/// An endpoint list with the keys that it has in JSON.
#[derive(Deserialize)]
struct ListJson {
    rev: u64,
    all: bool,
    targets: Targets,
}

/// Entries, parsed one at a time: the JSON tree of a list of ten thousand servers would not fit into the memory of the
/// smallest supported host.
struct Targets(Vec<EndpointEntry>);

impl<'de> Deserialize<'de> for Targets {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct EntryVisitor;

        impl<'de> Visitor<'de> for EntryVisitor {
            type Value = Targets;

            fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str("a list of servers")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Targets, A::Error> {
                let mut entries = Vec::new();
                while let Some(value) = seq.next_element::<Value>()? {
                    entries.extend(parse_entry(&value));
                }
                Ok(Targets(entries))
            }
        }

        deserializer.deserialize_seq(EntryVisitor)
    }
}

/// Parses one entry of `targets`; none without a `uid`.
///
/// An entry whose `state` is missing or unknown counts as gone.
fn parse_entry(value: &Value) -> Option<EndpointEntry> {
    let text = |name: &str| value.get(name).and_then(Value::as_str);
    let number = |name: &str| {
        value
            .get(name)
            .and_then(Value::as_f64)
            .filter(|n| *n >= 0.0)
    };
    Some(EndpointEntry {
        uid: text("uid")?.to_owned(),
        address: text("endpoint").and_then(|address| address.parse().ok()),
        zone: text("az").unwrap_or_default().to_owned(),
        set: number("pod_group").unwrap_or(0.0) as u16,
        state: match text("state") {
            Some("up") => EndpointState::Ready,
            Some("draining") if !failpoint_active("drain-overlooked") => EndpointState::Draining,
            Some("draining") => EndpointState::Ready,
            _ => EndpointState::Gone,
        },
        primary: text("mode") == Some("read-write"),
        size: number("capacity_hint").unwrap_or(1.0),
        started_ms: number("boot_ms").unwrap_or(0.0),
    })
}
