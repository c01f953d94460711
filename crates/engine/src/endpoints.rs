//! The endpoint list: addresses of servers, and the indices by which the router identifies servers and replica sets.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use leverpoint_config::settings::ceil_ticks;
use leverpoint_routing::api::{
    Endpoint, EndpointState, EndpointUpdate, PrimaryAnnouncement, Ticks,
};
use leverpoint_routing::interning::Indices;
use leverpoint_runtime::{Instant, failpoint_active, now, since};

use crate::latch::Latch;

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The server's unique name.
    pub uid: String,
    /// Its address; if none, the last known one stays in use.
    pub address: Option<SocketAddr>,
    /// Name of its zone.
    pub zone: String,
    /// Number of its replica set.
    pub set: u16,
    /// Whether it is ready, draining or gone.
    pub state: EndpointState,
    /// Whether the list names it as the primary of its set.
    pub primary: bool,
    /// Its capacity, relative to other servers.
    pub size: f64,
    /// When it last started, in Unix milliseconds; 0 if that was long ago.
    pub started_ms: f64,
}

/// State of a server that the engine keeps in addition to the router's.
#[derive(Clone, Default)]
struct EndpointRecord {
    /// Whether an entry of the server has been recorded and its number logged.
    known: bool,
    address: Option<SocketAddr>,
    started_ms: f64,
    set: u16,
    drained: bool,
    /// How often it was found drained, moved, restarted or gone.
    replacements: u64,
}

#[derive(Default)]
struct EndpointTable {
    servers: Indices<String>,
    sets: Indices<u16>,
    records: Vec<EndpointRecord>,
}

/// An update of the endpoint list, converted to the router's types.
pub(crate) struct AppliedUpdate {
    pub(crate) endpoints: Vec<Endpoint>,
    /// Servers that are draining or gone, or have moved or restarted.
    pub(crate) replaced: Vec<usize>,
}

/// Numbers of entries in the endpoint tables.
pub(crate) struct EndpointTableSizes {
    pub(crate) servers: usize,
    pub(crate) records: usize,
}

/// The endpoint list with its revision and age.
#[derive(Default)]
pub(crate) struct Endpoints {
    table: RefCell<EndpointTable>,
    /// Set when the first list is received.
    received: Latch,
    /// Set when discovery first answers.
    answered: Latch,
    /// The highest revision received.
    revision: Cell<u64>,
    /// When discovery last confirmed the list.
    confirmed_at: Cell<Option<Instant>>,
}

impl EndpointTable {
    /// Records one entry and converts it to the router's type. Adds the server to `replaced` where its connections are
    /// to be replaced.
    fn record(
        &mut self,
        entry: &EndpointEntry,
        zones: &[String],
        replaced: &mut Vec<usize>,
        log: &slog::Logger,
    ) -> Endpoint {
        let server = self.servers.index(&entry.uid);
        if self.records.len() <= server {
            self.records.resize(server + 1, EndpointRecord::default());
        }
        let record = &mut self.records[server];
        if !std::mem::replace(&mut record.known, true) {
            // Maps the server numbers in the router's log lines to names.
            slog::info!(log, "server"; "number" => server, "uid" => &entry.uid, "set" => entry.set);
        }
        if record.update(entry) {
            replaced.push(server);
        }
        let zone = zones.iter().position(|zone| *zone == entry.zone);
        let long_ago = entry.started_ms == 0.0 || failpoint_active("cold-flooded");
        Endpoint {
            server,
            set: self.sets.index(&entry.set),
            zone: zone.unwrap_or(zones.len()),
            state: entry.state,
            primary: entry.primary,
            size: entry.size,
            started_at: if long_ago {
                0
            } else {
                ceil_ticks(entry.started_ms)
            },
        }
    }
}

impl EndpointRecord {
    /// Updates the record from an entry; returns whether connections to the server are to be replaced.
    fn update(&mut self, entry: &EndpointEntry) -> bool {
        let address = entry.address.or(self.address);
        let moved = self.address.is_some() && self.address != address;
        let restarted = entry.started_ms > self.started_ms;
        self.address = address;
        self.started_ms = entry.started_ms;
        self.set = entry.set;
        self.drained = entry.state == EndpointState::Draining;
        moved || restarted || entry.state != EndpointState::Ready
    }
}

impl Endpoints {
    /// Records an update of the list and converts it to the router's types.
    pub(crate) fn apply(
        &self,
        update: EndpointUpdate,
        revision: u64,
        entries: &[EndpointEntry],
        zones: &[String],
        log: &slog::Logger,
    ) -> AppliedUpdate {
        self.revision.set(self.revision.get().max(revision));
        let mut table = self.table.borrow_mut();
        let mut replaced = Vec::new();
        let endpoints: Vec<_> = entries
            .iter()
            .map(|entry| table.record(entry, zones, &mut replaced, log))
            .collect();
        if update == EndpointUpdate::Full {
            // Servers that a full list does not contain are gone.
            let gone = |server: &usize| endpoints.iter().all(|e| e.server != *server);
            replaced.extend((0..table.records.len()).filter(gone));
        }
        for &server in &replaced {
            table.records[server].replacements += 1;
        }
        AppliedUpdate {
            endpoints,
            replaced,
        }
    }

    /// Records that a list has been received.
    pub(crate) fn mark_received(&self) {
        self.received.set();
    }

    /// Records that discovery has answered.
    pub(crate) fn mark_answered(&self) {
        self.answered.set();
    }

    /// Records that discovery has confirmed the list.
    pub(crate) fn mark_confirmed(&self) {
        self.answered.set();
        self.confirmed_at.set(Some(now()));
    }

    pub(crate) fn is_received(&self) -> bool {
        self.received.is_set()
    }

    pub(crate) async fn wait_received(&self) {
        self.received.wait().await;
    }

    pub(crate) async fn wait_answered(&self) {
        self.answered.wait().await;
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision.get()
    }

    pub(crate) fn since_confirmed(&self) -> Option<Duration> {
        self.confirmed_at.get().map(since)
    }

    /// Returns the index of a replica set; none if no list has contained it.
    pub(crate) fn set_index(&self, set: u16) -> Option<usize> {
        self.table.borrow().sets.find(&set)
    }

    /// Returns the address of a server; none if it is not known.
    pub(crate) fn address(&self, server: usize) -> Option<SocketAddr> {
        self.table.borrow().records.get(server)?.address
    }

    /// Returns how often a server has been replaced; none for an unknown server. A changed number means that
    /// connections and decisions made before are obsolete.
    pub(crate) fn replacements(&self, server: usize) -> Option<u64> {
        Some(self.table.borrow().records.get(server)?.replacements)
    }

    /// Returns the replica set and the name of a server.
    pub(crate) fn set_and_name(&self, server: usize) -> (u16, String) {
        let table = self.table.borrow();
        (table.records[server].set, table.servers.id(server).clone())
    }

    /// Creates the announcement that a server is the primary of `set`; none if the list does not have it in that set.
    pub(crate) fn announcement(
        &self,
        set: u16,
        name: &String,
        at: Ticks,
    ) -> Option<PrimaryAnnouncement> {
        let table = self.table.borrow();
        let server = table.servers.find(name)?;
        let in_set = table.records.get(server)?.set == set;
        in_set.then_some(PrimaryAnnouncement { server, at })
    }

    /// Returns the names of the draining servers, sorted.
    pub(crate) fn drained(&self) -> Vec<String> {
        let table = self.table.borrow();
        let records = table.records.iter().enumerate();
        let mut names: Vec<String> = records
            .filter(|(_, record)| record.drained)
            .map(|(server, _)| table.servers.id(server).clone())
            .collect();
        names.sort_unstable();
        names
    }

    /// Removes a server whose index the router has released.
    pub(crate) fn release(&self, server: usize) {
        let mut table = self.table.borrow_mut();
        table.servers.release(server);
        // The counter goes on, so that attempts on the index's previous server don't match the next one.
        let replacements = table.records[server].replacements + 1;
        table.records[server] = EndpointRecord {
            replacements,
            ..EndpointRecord::default()
        };
    }

    pub(crate) fn sizes(&self) -> EndpointTableSizes {
        let table = self.table.borrow();
        EndpointTableSizes {
            servers: table.servers.len(),
            records: table.records.len(),
        }
    }
}
