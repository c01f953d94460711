//! The operator's own file, in HCL: what the platform's configuration has no key for.
//!
//! Every key may be absent. The file is checked against the schema that is derived from the blocks' types, and an error
//! names file, line, key and what was expected.

mod backpressure;
mod document;
pub mod membership;
pub mod replication;
mod sessions;

use leverpoint_backpressure::{Limits, Ticks};
use schemars::JsonSchema;
use schemars::generate::SchemaSettings;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use self::document::Document;
use self::membership::{MembershipSettings, ProcessIdentity};
use self::replication::{ReplicationPrerequisites, ReplicationSettings};
pub use self::sessions::SessionTracking;
use crate::config_file;
use crate::value_path::ConfigError;

/// The blocks of the file.
#[derive(Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
struct Blocks {
    slow: backpressure::Block,
    sessions: sessions::Block,
    members: membership::Block,
    copies: replication::Block,
}

/// The operator's file, checked; the default is that of no file.
#[derive(Debug, Default)]
pub struct OperatorConfig {
    document: Document,
    blocks: Blocks,
}

/// Returns the JSON schema of the file.
pub fn schema() -> Value {
    let settings = SchemaSettings::draft2020_12().with(|s| s.inline_subschemas = true);
    settings
        .into_generator()
        .into_root_schema_for::<Blocks>()
        .to_value()
}

/// Reads a file and checks it.
///
/// # Errors
///
/// Fails where the file can't be read or does not fit the schema.
pub fn from_file(path: &str) -> Result<OperatorConfig, ConfigError> {
    let text = config_file::read("--operator", path)?;
    let text = String::from_utf8(text)
        .map_err(|_| ConfigError::new(format!("{path}: expected a file of UTF-8")))?;
    from_text(path, &text)
}

/// Checks a file's text; `path` is what errors call it.
///
/// # Errors
///
/// Fails where the text is not HCL or does not fit the schema.
pub fn from_text(path: &str, text: &str) -> Result<OperatorConfig, ConfigError> {
    let document = Document::parse(path, text)?;
    let schema = schema();
    let validator =
        jsonschema::validator_for(&schema).map_err(|e| ConfigError::new(e.to_string()))?;
    if let Some(first) = validator.iter_errors(&document.root).next() {
        let pointer = first.instance_path().to_string();
        return Err(document.schema_violation(&schema, &pointer));
    }
    let blocks = serde_json::from_value(document.root.clone())
        .map_err(|e| ConfigError::new(format!("{path}: {e}")))?;
    Ok(OperatorConfig { document, blocks })
}

impl OperatorConfig {
    /// The file's path, where there is one.
    pub fn path(&self) -> Option<&str> {
        self.document.path()
    }

    /// Returns the limits for slow clients: those that follow from the machine, and above them what the file states.
    ///
    /// # Errors
    ///
    /// Names the first size that does not fit the others, or `longest_message`, in bytes.
    pub fn backpressure_limits(
        &self,
        from: Limits,
        longest_message: usize,
    ) -> Result<Limits, ConfigError> {
        let context = self.document.block("slow");
        self.blocks.slow.limits(from, longest_message, &context)
    }

    /// Returns how sessions are tracked; none where they are not. `seed` numbers them where the file states no number.
    ///
    /// # Errors
    ///
    /// Names the first key that does not fit the others.
    pub fn session_tracking(&self, seed: u64) -> Result<Option<SessionTracking>, ConfigError> {
        let context = self.document.block("sessions");
        self.blocks.sessions.session_tracking(seed, &context)
    }

    /// Returns the fleet that this process is a member of; none where it is of none. `name` and `zone` are the process's
    /// own, `sockets` its descriptors.
    ///
    /// # Errors
    ///
    /// Names the first key that is missing or wrong.
    pub fn membership(
        &self,
        name: &str,
        zone: &str,
        sockets: usize,
    ) -> Result<Option<MembershipSettings>, ConfigError> {
        let process = ProcessIdentity {
            name,
            zone,
            sockets,
        };
        let context = self.document.block("members");
        self.blocks.members.membership(&process, &context)
    }

    /// Returns how this gateway's state is replicated; none where it is not. `longest_timeout` is the longest time that a
    /// client waits or a retry is deduplicated.
    ///
    /// # Errors
    ///
    /// Names the first key that is wrong or lacks what it needs.
    pub fn replication(
        &self,
        longest_timeout: Ticks,
    ) -> Result<Option<ReplicationSettings>, ConfigError> {
        let prerequisites = ReplicationPrerequisites {
            clock_difference: self.blocks.sessions.clock_difference(),
            longest_timeout,
            is_member: self.blocks.members.is_member(),
            shares_sessions: self.blocks.sessions.is_shared(),
        };
        let context = self.document.block("copies");
        self.blocks.copies.replication(&prerequisites, &context)
    }

    /// Returns the paths of the keys that differ in another reading.
    pub fn changed_keys(&self, other: &OperatorConfig) -> Vec<String> {
        self.document.changed_keys(&other.document)
    }
}
