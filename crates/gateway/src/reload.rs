//! Reloading the configuration and the operator's file.

use leverpoint_config::ConfigError;
use leverpoint_config::node::{self, NodeConfig};
use leverpoint_config::operator::{self, OperatorConfig};

use crate::gateway::{Gateway, backpressure_limits, replication_settings};
use crate::membership;

/// Keys of the operator's file that hold for new connections alone, as both ends agree on them when connecting.
const KEYS_OF_NEW_CONNECTIONS: [&str; 2] = ["slow.kernel", "slow.caps"];

/// Keys of the block `members` that hold without a restart.
const RELOADABLE_MEMBER_KEYS: [&str; 3] = ["members.keys", "members.seeds", "members.reach"];

/// Whether a changed key of the operator's file holds only after a restart.
fn needs_restart(key: &str) -> bool {
    let reloadable = RELOADABLE_MEMBER_KEYS
        .iter()
        .any(|prefix| key.starts_with(prefix));
    key.starts_with("copies") || key.starts_with("members") && !reloadable
}

impl Gateway {
    /// Reads the configuration and the operator's file again; a faulty file changes nothing.
    pub fn reload(&self) {
        let environment = |name: &str| std::env::var(name).ok();
        self.apply_configuration(node::reread(&self.node.path, environment));
        self.reload_operator_file();
    }

    /// Applies a configuration that was read again: discovery's address holds at once, all else needs a restart.
    pub fn apply_configuration(&self, reloaded: Result<NodeConfig, ConfigError>) {
        match reloaded {
            Ok(reloaded) => {
                let mut needs_restart = self.node.changed_keys(&reloaded);
                needs_restart.retain(|key| key != "discovery");
                let moved = self.agent.set(reloaded.discovery);
                slog::info!(self.log, "configuration reloaded"; "discovery" => reloaded.discovery.to_string(),
                    "moved" => moved, "needs_restart" => needs_restart.join(" "));
            }
            Err(fault) => {
                slog::error!(self.log, "configuration rejected"; "why" => fault.to_string());
            }
        }
    }

    fn reload_operator_file(&self) {
        let mut held = self.operator.borrow_mut();
        let Some(file) = held.path() else { return };
        match operator::from_file(file).and_then(|reloaded| self.apply_operator(&held, reloaded)) {
            Ok(reloaded) => *held = reloaded,
            Err(fault) => {
                slog::error!(self.log, "operator's file rejected"; "why" => fault.to_string());
            }
        }
    }

    /// Applies an operator's file in place of the one held, and returns it.
    fn apply_operator(
        &self,
        held: &OperatorConfig,
        reloaded: OperatorConfig,
    ) -> Result<OperatorConfig, ConfigError> {
        replication_settings(&self.node, &reloaded)?;
        let limits = backpressure_limits(&self.node, &reloaded)?;
        let membership = membership::membership_settings(&self.node, &reloaded)?;
        let changed = held.changed_keys(&reloaded);
        self.client_connections.set_limits(limits);
        if let (Some(member), Some(membership)) = (&self.member, &membership) {
            let fleet = membership::fleet_identity(membership);
            member.reconfigure(fleet, &membership.seeds);
        }
        let keys = |is_meant: &dyn Fn(&str) -> bool| {
            let keys = changed.iter().map(String::as_str);
            keys.filter(|key| is_meant(key)).collect::<Vec<_>>()
        };
        let waiting = keys(&|key| KEYS_OF_NEW_CONNECTIONS.contains(&key));
        slog::info!(self.log, "operator's file reloaded"; "changed" => changed.join(" "),
            "needs_restart_for_open_connections" => waiting.join(" "));
        let later = keys(&needs_restart);
        if !later.is_empty() {
            slog::warn!(self.log, "operator's file change needs a restart"; "keys" => later.join(" "));
        }
        Ok(reloaded)
    }
}
