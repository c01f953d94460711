//! The operator's own file, in HCL: options for which the platform's configuration has no key.
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
    #[serde(rename = "slow")]
    backpressure: backpressure::Block,
    sessions: sessions::Block,
    #[serde(rename = "members")]
    membership: membership::Block,
    #[serde(rename = "copies")]
    replication: replication::Block,
}

/// The operator's file, checked. The default has no file and no options.
#[derive(Debug, Default)]
pub struct OperatorConfig {
    document: Document,
    blocks: Blocks,
}

/// Returns the JSON schema of the file. `leverpoint check --schema` prints it, descriptions included: these are the doc
/// comments of the blocks' types and of their fields.
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

/// Checks a file's text; `path` names it in errors.
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
    /// The file's path; `None` if there is no file.
    pub fn path(&self) -> Option<&str> {
        self.document.path()
    }

    /// Returns the limits for slow clients: `defaults`, which follow from the machine, overridden by what the file
    /// states.
    ///
    /// # Errors
    ///
    /// Names the first size that contradicts another one, or is below `longest_message`, in bytes.
    pub fn backpressure_limits(
        &self,
        defaults: Limits,
        longest_message: usize,
    ) -> Result<Limits, ConfigError> {
        let context = self.document.block("slow");
        self.blocks
            .backpressure
            .limits(defaults, longest_message, &context)
    }

    /// Returns how sessions are tracked; `None` if they are not. `seed` is the secret of the hash that numbers them if
    /// the file has none.
    ///
    /// # Errors
    ///
    /// Names the first key that contradicts another one.
    pub fn session_tracking(&self, seed: u64) -> Result<Option<SessionTracking>, ConfigError> {
        let context = self.document.block("sessions");
        self.blocks.sessions.session_tracking(seed, &context)
    }

    /// Returns the membership of this process in its fleet; `None` if it belongs to none. `name` and `zone` are the
    /// process's own, `descriptors` the number of file descriptors that it may use.
    ///
    /// # Errors
    ///
    /// Names the first key that is missing or wrong.
    pub fn membership(
        &self,
        name: &str,
        zone: &str,
        descriptors: usize,
    ) -> Result<Option<MembershipSettings>, ConfigError> {
        let process = ProcessIdentity {
            name,
            zone,
            descriptors,
        };
        let context = self.document.block("members");
        self.blocks.membership.membership(&process, &context)
    }

    /// Returns how this gateway's state is replicated; `None` if it is not. `longest_timeout` is the longest time that
    /// a client waits or a retry is deduplicated.
    ///
    /// # Errors
    ///
    /// Names the first key that is wrong, or that requires a key of another block which is missing.
    pub fn replication(
        &self,
        longest_timeout: Ticks,
    ) -> Result<Option<ReplicationSettings>, ConfigError> {
        let prerequisites = ReplicationPrerequisites {
            max_clock_skew: self.blocks.sessions.max_clock_skew(),
            longest_timeout,
            is_member: self.blocks.membership.is_member(),
            shares_sessions: self.blocks.sessions.is_shared(),
        };
        let context = self.document.block("copies");
        self.blocks
            .replication
            .replication(&prerequisites, &context)
    }

    /// Returns the paths of the keys that differ in `other`.
    pub fn changed_keys(&self, other: &OperatorConfig) -> Vec<String> {
        self.document.changed_keys(&other.document)
    }
}
