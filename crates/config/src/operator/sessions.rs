//! The block `sessions`: how sessions are tracked beyond what passes through this process. Fields have the terms of
//! `leverpoint-sessions`.

use std::time::Duration;

use leverpoint_backpressure::Ticks;
use leverpoint_sessions::{Key, Keys, SessionConfig};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::document::BlockContext;
use crate::settings::ticks_to_duration;
use crate::units::{self, HexNumber, Secret, TimeSpan};
use crate::value_path::ConfigError;

/// 20 ms between group commits: fifty commits a second, which the slowest disk in use keeps up with.
const DEFAULT_COMMIT_INTERVAL: Ticks = 200;

/// Tracking of sessions beyond this process: what a read must see, whichever gateway took its session's writes.
#[derive(Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Block {
    /// Whether sessions are tracked; without it a session's read must see what passed through this process.
    #[schemars(extend("x-expected" = "true or false"))]
    #[serde(rename = "follow")]
    enabled: Option<bool>,
    /// Whether a session may use another gateway while this one runs.
    #[schemars(extend("x-expected" = "true or false"))]
    #[serde(rename = "moves")]
    allow_other_gateways: Option<bool>,
    /// Whether there is no other gateway at all, not even while this one is down.
    #[schemars(extend("x-expected" = "true or false"))]
    #[serde(rename = "alone")]
    single_instance: Option<bool>,
    /// Folder on a persistent disk, for the positions that sessions have written.
    #[schemars(length(min = 1, max = 4096), extend("x-expected" = "the path of a folder"))]
    #[serde(rename = "disk")]
    storage_dir: Option<String>,
    /// How much of it a crash may lose.
    #[serde(rename = "loses")]
    commit_interval: Option<TimeSpan>,
    /// A session that was seen here within this time has used no other gateway since.
    #[serde(rename = "stays")]
    exclusive_for: Option<TimeSpan>,
    /// How far any two machines' clocks may differ.
    #[serde(rename = "clocks")]
    max_clock_skew: Option<TimeSpan>,
    /// How long a session's position is known exactly after the session was last seen.
    #[serde(rename = "exact")]
    exact_for: Option<TimeSpan>,
    /// Number of sessions whose positions are known exactly at most.
    #[schemars(range(min = 16, max = 16_000_000), extend("x-expected" = "a whole number from 16 to 16000000"))]
    #[serde(rename = "known")]
    max_sessions: Option<u32>,
    /// Cells of the sketch of sessions that are no longer known exactly, for each row and minute.
    #[schemars(range(min = 16, max = 16_000_000), extend("x-expected" = "a whole number from 16 to 16000000"))]
    #[serde(rename = "cells")]
    sketch_width: Option<u32>,
    /// Keys of session tokens, the one that signs first; without any, clients carry no tokens.
    #[schemars(length(max = 16), extend("x-expected" = "a list of up to 16 keys"))]
    keys: Option<Vec<Secret>>,
    /// Secret of the hash that numbers sessions, the same for all gateways; else each process has its own.
    #[serde(rename = "number")]
    hash_secret: Option<HexNumber>,
}

/// Configuration of session tracking.
#[derive(Clone, Debug)]
pub struct SessionTracking {
    /// Parameters of the tracking.
    pub config: SessionConfig,
    /// Keys that sign session tokens; empty where clients carry none.
    pub keys: Keys,
    /// Secret of the hash that numbers sessions.
    pub hash_secret: u64,
    /// Folder in which positions are persisted, and the interval of commits: a crash loses at most the positions of
    /// that span and of one commit.
    pub disk: Option<(String, Duration)>,
}

impl Block {
    /// Whether sessions are tracked under the numbers that all gateways share, as all have the same `hash_secret`.
    pub(crate) fn is_shared(&self) -> bool {
        self.enabled.unwrap_or(false) && self.hash_secret.is_some()
    }

    /// How far any two machines' clocks may differ.
    pub(crate) fn max_clock_skew(&self) -> Ticks {
        TimeSpan::value_or(
            self.max_clock_skew.as_ref(),
            SessionConfig::default().max_clock_skew,
        )
    }

    /// Returns the configuration of session tracking; `None` if sessions are not tracked. `seed` takes the place of an
    /// absent `hash_secret`.
    ///
    /// # Errors
    ///
    /// Names the first key that contradicts another one.
    pub(crate) fn session_tracking(
        &self,
        seed: u64,
        context: &BlockContext<'_>,
    ) -> Result<Option<SessionTracking>, ConfigError> {
        if !self.enabled.unwrap_or(false) {
            return Ok(None);
        }
        let keys = self.checked_keys(context)?;
        let hash_secret = self.hash_secret.as_ref().and_then(HexNumber::value);
        let disk = self.storage_dir.clone().map(|folder| {
            let commit_interval =
                TimeSpan::value_or(self.commit_interval.as_ref(), DEFAULT_COMMIT_INTERVAL);
            (folder, ticks_to_duration(commit_interval))
        });
        Ok(Some(SessionTracking {
            config: self.parameters(),
            keys: Keys::new(keys),
            hash_secret: hash_secret.unwrap_or(seed),
            disk,
        }))
    }

    fn parameters(&self) -> SessionConfig {
        let default = SessionConfig::default();
        let single_instance = self.single_instance.unwrap_or(false);
        let allow_other_gateways = self.allow_other_gateways.unwrap_or(!single_instance);
        SessionConfig {
            exclusive_for: allow_other_gateways
                .then(|| TimeSpan::value_or(self.exclusive_for.as_ref(), 0)),
            single_instance,
            max_clock_skew: self.max_clock_skew(),
            exact_for: TimeSpan::value_or(self.exact_for.as_ref(), default.exact_for),
            max_sessions: self
                .max_sessions
                .map_or(default.max_sessions, |n| n as usize),
            sketch_width: self
                .sketch_width
                .map_or(default.sketch_width, |n| n as usize),
        }
    }

    /// Checks the keys that depend on each other, and returns the keys that sign tokens.
    fn checked_keys(&self, context: &BlockContext<'_>) -> Result<Vec<Key>, ConfigError> {
        let keys = units::signing_keys(self.keys.as_deref().unwrap_or_default())
            .ok_or_else(|| context.error("keys", "each key's number once"))?;
        if !keys.is_empty() && self.hash_secret.is_none() {
            return Err(context.error(
                "number",
                "sixteen hexadecimal digits, as tokens are bound to sessions",
            ));
        }
        if self.single_instance.unwrap_or(false) && self.allow_other_gateways == Some(true) {
            return Err(context.error("moves", "false, as sessions.alone is true"));
        }
        if self.storage_dir.is_some() && self.hash_secret.is_none() {
            return Err(context.error(
                "number",
                "sixteen hexadecimal digits, as sessions are kept by them",
            ));
        }
        Ok(keys)
    }
}
