//! Reloads the configuration and the operator's file of a running gateway, as on SIGHUP.

use leverpoint_config::ConfigError;
use leverpoint_config::node::{self, NodeConfig};
use leverpoint_config::operator::{self, OperatorConfig};

use crate::gateway::{Gateway, backpressure_limits, replication_settings};
use crate::membership;

/// Keys of the operator's file that apply to new connections only: both ends agree on them when connecting.
const NEW_CONNECTION_KEYS: [&str; 2] = ["slow.kernel", "slow.caps"];

/// Keys of the block `members` that apply without a restart.
const RELOADABLE_MEMBER_KEYS: [&str; 3] = ["members.keys", "members.seeds", "members.reach"];

/// Whether a change of this key of the operator's file takes effect only after a restart.
fn needs_restart(key: &str) -> bool {
    let reloadable = RELOADABLE_MEMBER_KEYS
        .iter()
        .any(|prefix| key.starts_with(prefix));
    key.starts_with("copies") || key.starts_with("members") && !reloadable
}

impl Gateway {
    /// Reads the configuration and the operator's file again. An invalid file is logged and changes nothing.
    pub fn reload(&self) {
        let environment = |name: &str| std::env::var(name).ok();
        self.apply_configuration(node::reload(&self.node.path, environment));
        self.reload_operator_file();
    }

    /// Applies a configuration that was read again: the address of discovery changes at once, all else needs a restart.
    ///
    /// Logs which keys need one. An error is logged and changes nothing.
    pub fn apply_configuration(&self, reloaded: Result<NodeConfig, ConfigError>) {
        match reloaded {
            Ok(reloaded) => {
                let mut needs_restart = self.node.changed_keys(&reloaded);
                needs_restart.retain(|key| key != "discovery");
                let moved = self.discovery_address.set(reloaded.discovery);
                slog::info!(self.log, "configuration reloaded"; "discovery" => reloaded.discovery.to_string(),
                    "moved" => moved, "needs_restart" => needs_restart.join(" "));
            }
            Err(error) => {
                slog::error!(self.log, "configuration rejected"; "why" => error.to_string());
            }
        }
    }

    fn reload_operator_file(&self) {
        let mut current = self.operator.borrow_mut();
        let Some(file) = current.path() else { return };
        match operator::from_file(file).and_then(|reloaded| self.apply_operator(&current, reloaded))
        {
            Ok(reloaded) => *current = reloaded,
            Err(error) => {
                slog::error!(self.log, "operator's file rejected"; "why" => error.to_string());
            }
        }
    }

    /// Applies a changed operator's file in place of `current` and returns it; nothing is applied if any part is
    /// invalid.
    fn apply_operator(
        &self,
        current: &OperatorConfig,
        reloaded: OperatorConfig,
    ) -> Result<OperatorConfig, ConfigError> {
        replication_settings(&self.node, &reloaded)?;
        let limits = backpressure_limits(&self.node, &reloaded)?;
        let membership = membership::membership_settings(&self.node, &reloaded)?;
        let changed = current.changed_keys(&reloaded);
        self.client_connections.set_limits(limits);
        if let (Some(member), Some(membership)) = (&self.member, &membership) {
            let fleet = membership::fleet_identity(membership);
            member.reconfigure(fleet, &membership.seeds);
        }
        let filter_changed = |matches: &dyn Fn(&str) -> bool| {
            let all = changed.iter().map(String::as_str);
            all.filter(|key| matches(key)).collect::<Vec<_>>()
        };
        let new_connections_only = filter_changed(&|key| NEW_CONNECTION_KEYS.contains(&key));
        slog::info!(self.log, "operator's file reloaded"; "changed" => changed.join(" "),
            "needs_restart_for_open_connections" => new_connections_only.join(" "));
        let after_restart = filter_changed(&needs_restart);
        if !after_restart.is_empty() {
            slog::warn!(self.log, "operator's file change needs a restart"; "keys" => after_restart.join(" "));
        }
        Ok(reloaded)
    }
}
