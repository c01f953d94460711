//! The block `members`: the fleet that a process belongs to, and how it reaches the other members.
//!
//! Values on which members have to agree have the same defaults for all.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use leverpoint_membership::layout::MAX_HOLDERS;
use leverpoint_membership::{MembershipConfig, Ticks, member_info};
use leverpoint_sessions::Keys;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::document::BlockContext;
use crate::units::{self, Secret, TimeSpan};
use crate::value_path::ConfigError;

/// Membership in a fleet. Without `listen` the process is a member of none.
#[derive(Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Block {
    /// Address at which connections of other members are accepted.
    #[schemars(length(min = 3, max = 64), extend("x-expected" = "an address like \"10.0.0.7:7432\""))]
    listen: Option<String>,
    /// Address that other members are told; `listen` where it is absent.
    #[schemars(length(min = 3, max = 64), extend("x-expected" = "an address like \"10.0.0.7:7432\""))]
    address: Option<String>,
    /// Name of the fleet, the same for all its members.
    #[schemars(length(min = 1, max = 64), extend("x-expected" = "a name of up to 64 bytes"))]
    fleet: Option<String>,
    /// Addresses of members to join through.
    #[schemars(length(max = 1024), extend("x-expected" = "a list of up to 1024 addresses"))]
    seeds: Option<Vec<String>>,
    /// By a member's name: its address as seen from here, where that is not the address it states.
    #[schemars(extend("x-expected" = "a map of names to addresses"))]
    #[serde(rename = "reach")]
    address_overrides: Option<BTreeMap<String, String>>,
    /// Zone of this process; else the configuration's.
    #[schemars(length(min = 1, max = 64), extend("x-expected" = "a name of up to 64 bytes"))]
    zone: Option<String>,
    /// Machine of this process; processes on one machine fail together. Else the process's own name.
    #[schemars(length(min = 1, max = 64), extend("x-expected" = "a name of up to 64 bytes"))]
    machine: Option<String>,
    /// Names of the members that agree on the first layout, the same for all.
    #[schemars(length(max = 1024), extend("x-expected" = "a list of up to 1024 names"))]
    founders: Option<Vec<String>>,
    /// Keys that authenticate messages between members, the one that signs first.
    #[schemars(length(min = 1, max = 16), extend("x-expected" = "a list of one to 16 keys"))]
    keys: Option<Vec<Secret>>,
    /// Folder on a persistent disk; without one each start begins with no state.
    #[schemars(length(min = 1, max = 4096), extend("x-expected" = "the path of a folder"))]
    #[serde(rename = "disk")]
    storage_dir: Option<String>,
    /// Interval of failure detection, in which one member is probed; the same for all.
    #[serde(rename = "beat")]
    probe_interval: Option<TimeSpan>,
    /// A member that is not in the layout is proposed once it has been alive for so long.
    #[serde(rename = "settles")]
    join_delay: Option<TimeSpan>,
    /// Connections to other members at most; a sixteenth of the descriptors where it is absent.
    #[schemars(range(min = 4, max = 4096), extend("x-expected" = "a whole number from 4 to 4096"))]
    #[serde(rename = "connections")]
    max_connections: Option<u32>,
}

/// Configuration of a process's membership in its fleet.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Address at which connections of other members are accepted.
    pub listen: SocketAddr,
    /// Address that this process advertises to other members.
    pub address: String,
    /// Name of the fleet.
    pub fleet: String,
    /// Addresses of members to join through.
    pub seeds: Vec<String>,
    /// Addresses by members' names, in place of those that the members advertise.
    pub address_overrides: BTreeMap<String, String>,
    /// Zone of this process.
    pub zone: String,
    /// Machine of this process; processes on one machine fail together.
    pub machine: String,
    /// Names of the members that agree on the first layout.
    pub founders: Vec<String>,
    /// Keys that authenticate messages between members.
    pub keys: Keys,
    /// Folder on a persistent disk; without one each start begins with no state.
    pub disk: Option<String>,
    /// Parameters of the membership protocol.
    pub config: MembershipConfig,
    /// Maximum number of connections to other members.
    pub max_connections: usize,
}

/// 50 ms. Shorter intervals cost more traffic than the earlier detection of failures is worth.
const MIN_PROBE_INTERVAL: Ticks = 500;
/// 1 minute. With longer intervals the detection of a failure takes minutes.
const MAX_PROBE_INTERVAL: Ticks = 600_000;

/// The process that joins, as its own configuration describes it.
pub(crate) struct ProcessIdentity<'a> {
    pub(crate) name: &'a str,
    pub(crate) zone: &'a str,
    /// Number of file descriptors that it may use.
    pub(crate) descriptors: usize,
}

/// The addresses at which a member is reached.
struct Addresses {
    listen: SocketAddr,
    advertised: String,
}

fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

impl Block {
    /// Whether the process belongs to a fleet.
    pub(crate) fn is_member(&self) -> bool {
        self.listen.is_some()
    }

    /// Returns the process's membership; `None` if it belongs to no fleet.
    ///
    /// # Errors
    ///
    /// Names the first key that is missing or wrong.
    pub(crate) fn membership(
        &self,
        process: &ProcessIdentity<'_>,
        context: &BlockContext<'_>,
    ) -> Result<Option<MembershipSettings>, ConfigError> {
        let Some(listen) = &self.listen else {
            return Ok(None);
        };
        let addresses = self.addresses(listen, context)?;
        let fleet = self.fleet.clone();
        let fleet = fleet.ok_or_else(|| context.error("fleet", "the fleet's name"))?;
        let seeds = self.checked_seeds(context)?;
        let address_overrides = self.checked_address_overrides(context)?;
        let keys = self.checked_keys(context)?;
        if process.name.is_empty() || process.name.len() > member_info::MAX_TEXT_BYTES {
            return Err(context.error("listen", "a process whose name has 1 to 64 bytes"));
        }
        let founders = self.checked_founders(context)?;
        let config = self.parameters(context)?;
        let max_connections = self.checked_max_connections(process.descriptors, context)?;
        let or_default = |stated: &Option<String>, default: &str| {
            stated.clone().unwrap_or_else(|| default.to_owned())
        };
        Ok(Some(MembershipSettings {
            listen: addresses.listen,
            address: addresses.advertised,
            fleet,
            seeds,
            address_overrides,
            zone: or_default(&self.zone, process.zone),
            machine: or_default(&self.machine, process.name),
            founders,
            keys,
            disk: self.storage_dir.clone(),
            config,
            max_connections,
        }))
    }

    fn addresses(
        &self,
        listen: &str,
        context: &BlockContext<'_>,
    ) -> Result<Addresses, ConfigError> {
        let listen = parse_address(listen)
            .ok_or_else(|| context.error("listen", "an address like \"10.0.0.7:7432\""))?;
        let advertised = self.address.clone().unwrap_or_else(|| listen.to_string());
        if parse_address(&advertised)
            .is_none_or(|address| address.ip().is_unspecified() || address.port() == 0)
        {
            let key = if self.address.is_some() {
                "address"
            } else {
                "listen"
            };
            let expected = "an address that others can reach, with its port";
            return Err(context.error(key, expected));
        }
        Ok(Addresses { listen, advertised })
    }

    fn checked_seeds(&self, context: &BlockContext<'_>) -> Result<Vec<String>, ConfigError> {
        let seeds = self.seeds.clone().unwrap_or_default();
        if seeds.iter().any(|seed| parse_address(seed).is_none()) {
            return Err(context.error("seeds", "addresses like \"10.0.0.7:7432\""));
        }
        Ok(seeds)
    }

    fn checked_address_overrides(
        &self,
        context: &BlockContext<'_>,
    ) -> Result<BTreeMap<String, String>, ConfigError> {
        let overrides = self.address_overrides.clone().unwrap_or_default();
        if overrides.len() > MAX_HOLDERS
            || overrides
                .values()
                .any(|address| parse_address(address).is_none())
        {
            let expected = format!("up to {MAX_HOLDERS} addresses like \"10.0.0.7:7432\"");
            return Err(context.error("reach", &expected));
        }
        Ok(overrides)
    }

    fn checked_keys(&self, context: &BlockContext<'_>) -> Result<Keys, ConfigError> {
        let stated = self.keys.as_deref();
        let stated = stated.ok_or_else(|| context.error("keys", "a list of one to 16 keys"))?;
        let keys = units::signing_keys(stated);
        let keys = keys.ok_or_else(|| context.error("keys", "each key's number once"))?;
        Ok(Keys::new(keys))
    }

    fn checked_founders(&self, context: &BlockContext<'_>) -> Result<Vec<String>, ConfigError> {
        let founders = self.founders.clone().unwrap_or_default();
        let fits = |name: &String| !name.is_empty() && name.len() <= member_info::MAX_TEXT_BYTES;
        if !founders.iter().all(fits) {
            return Err(context.error("founders", "names of 1 to 64 bytes"));
        }
        Ok(founders)
    }

    fn parameters(&self, context: &BlockContext<'_>) -> Result<MembershipConfig, ConfigError> {
        let default = MembershipConfig::default();
        let probe_interval =
            TimeSpan::value_or(self.probe_interval.as_ref(), default.probe_interval);
        if !(MIN_PROBE_INTERVAL..=MAX_PROBE_INTERVAL).contains(&probe_interval) {
            return Err(context.error("beat", "a time from \"50ms\" to \"1m\""));
        }
        // The probe timeout and the join delay are proportional to the interval.
        let probe_timeout = probe_interval * default.probe_timeout / default.probe_interval;
        let join_delay = default.join_delay * probe_interval / default.probe_interval;
        Ok(MembershipConfig {
            probe_interval,
            probe_timeout,
            join_delay: TimeSpan::value_or(self.join_delay.as_ref(), join_delay),
            ..default
        })
    }

    fn checked_max_connections(
        &self,
        descriptors: usize,
        context: &BlockContext<'_>,
    ) -> Result<usize, ConfigError> {
        let default = (descriptors / 16).max(4);
        let connections = self.max_connections.map_or(default, |n| n as usize);
        if connections > descriptors / 4 {
            let expected = format!("at most {}, a quarter of the descriptors", descriptors / 4);
            return Err(context.error("connections", &expected));
        }
        Ok(connections)
    }
}
