//! A gateway's own configuration: the `NODE_*` variables and the file that `NODE_CONFIG` names.

use std::fmt;
use std::net::SocketAddr;

use serde::de::{Deserialize, Deserializer, MapAccess, Visitor};
use serde_json::value::RawValue;
use serde_json::{Map, Value};

use crate::config_file;
use crate::settings::{self, Settings};
use crate::value_path::{ConfigError, ValuePath, changed_paths};

/// Resource limits of the process.
#[derive(Clone, Copy, Debug)]
pub struct ResourceLimits {
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Number of file descriptors that the process may use.
    pub descriptors: usize,
}

/// Configuration of one gateway.
pub struct NodeConfig {
    /// The file's path.
    pub path: String,
    /// The file's content without the endpoint list, to tell which keys a reload has changed.
    document: Value,
    /// Name of the gateway.
    pub name: String,
    /// Address at which clients are accepted.
    pub listen: SocketAddr,
    /// Address of the agent that serves discovery.
    pub discovery: SocketAddr,
    /// Resource limits of the process.
    pub limits: ResourceLimits,
    /// The last known endpoint list, in the format of discovery. It is kept as text, since the parsed tree takes many
    /// times as much memory.
    pub known_endpoints: Option<Box<RawValue>>,
    /// The settings object, checked and completed.
    pub settings: Settings,
}

const DEFAULT_MEMORY_MB: usize = 192;
const DEFAULT_DESCRIPTORS: usize = 1_024;

/// Keys that are used only at startup; a reload ignores changes of them.
const STARTUP_ONLY_KEYS: [&str; 2] = ["known", "seed"];

impl NodeConfig {
    /// Returns the paths of the keys that differ in `other`, except those that are used only at startup.
    pub fn changed_keys(&self, other: &NodeConfig) -> Vec<String> {
        let mut paths = changed_paths(&self.document, &other.document);
        paths.retain(|key| !STARTUP_ONLY_KEYS.contains(&key.as_str()));
        paths
    }
}

/// A file's content, with the endpoint list (key `known`) kept as unparsed text.
struct Document {
    rest: Value,
    known: Option<Box<RawValue>>,
}

impl<'de> Deserialize<'de> for Document {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct DocumentVisitor;

        impl<'de> Visitor<'de> for DocumentVisitor {
            type Value = Document;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Document, A::Error> {
                let (mut rest, mut known) = (Map::new(), None);
                while let Some(key) = map.next_key::<String>()? {
                    if key == "known" {
                        known = Some(map.next_value()?);
                    } else {
                        rest.insert(key, map.next_value()?);
                    }
                }
                Ok(Document {
                    rest: Value::Object(rest),
                    known,
                })
            }
        }

        from.deserialize_map(DocumentVisitor)
    }
}

/// Reads the environment, which `var` looks up, and the file that `NODE_CONFIG` names.
///
/// A variable that is set overrides the file's key of the same meaning.
///
/// # Errors
///
/// Names the variable or the key that is missing or wrong.
pub fn from_environment(var: impl Fn(&str) -> Option<String>) -> Result<NodeConfig, ConfigError> {
    let path = var("NODE_CONFIG").ok_or_else(|| {
        ConfigError::new("NODE_CONFIG: expected the path of a configuration, but it is not set")
    })?;
    from_file(&path, |name, _| var(name))
}

/// Reads the file again. The environment dates from the start of the process, so now the file's keys override it.
///
/// # Errors
///
/// Names the variable or the key that is missing or wrong.
pub fn reload(path: &str, var: impl Fn(&str) -> Option<String>) -> Result<NodeConfig, ConfigError> {
    from_file(path, |name, key| {
        if key.value().is_some() {
            None
        } else {
            var(name)
        }
    })
}

/// Reads a file; `var` looks up the environment variable that overrides a key, given the variable's name and the key.
///
/// # Errors
///
/// Names the variable or the key that is missing or wrong.
pub fn from_file(
    path: &str,
    var: impl Fn(&str, &ValuePath<'_>) -> Option<String>,
) -> Result<NodeConfig, ConfigError> {
    from_text(path, &config_file::read("NODE_CONFIG", path)?, var)
}

/// Parses a file's content; `path` becomes the path of the result, and `var` is as in [`from_file`].
///
/// # Errors
///
/// Names the variable or the key that is missing or wrong.
pub fn from_text(
    path: &str,
    text: &[u8],
    var: impl Fn(&str, &ValuePath<'_>) -> Option<String>,
) -> Result<NodeConfig, ConfigError> {
    let Document {
        rest: document,
        known,
    } = serde_json::from_slice(text)
        .map_err(|e| ConfigError::new(format!("NODE_CONFIG: expected a file of JSON, but {e}")))?;
    let known = known.filter(|known| known.get() != "null");
    let top = ValuePath::root(&document);
    let seed = top.get("seed");
    let seed_value = u64::from_str_radix(seed.string()?, 16)
        .map_err(|_| seed.error("up to sixteen hexadecimal digits"))?;
    Ok(NodeConfig {
        path: path.to_owned(),
        name: match var("NODE_NAME", &top.get("name")) {
            Some(name) => name,
            None => top.get("name").string()?.to_owned(),
        },
        listen: address(&top.get("listen"), "NODE_LISTEN", &var)?,
        discovery: address(&top.get("discovery"), "NODE_DISCOVERY", &var)?,
        limits: limits(&top.get("limits"))?,
        known_endpoints: known,
        settings: settings::from_value(seed_value, &top.get("settings"))?,
        document,
    })
}

/// Reads an address; the environment variable, if set, overrides the key.
fn address(
    key: &ValuePath<'_>,
    variable: &str,
    var: impl Fn(&str, &ValuePath<'_>) -> Option<String>,
) -> Result<SocketAddr, ConfigError> {
    let expected = "an address like 127.0.0.1:6432";
    match var(variable, key) {
        Some(text) => text.parse().map_err(|_| {
            ConfigError::new(format!("{variable}: expected {expected}, found {text:?}"))
        }),
        None => key.string()?.parse().map_err(|_| key.error(expected)),
    }
}

fn limits(limits: &ValuePath<'_>) -> Result<ResourceLimits, ConfigError> {
    let memory_mb = limits.get("memory_mb");
    let descriptors = limits.get("sockets");
    Ok(ResourceLimits {
        memory_bytes: memory_mb.value_or(DEFAULT_MEMORY_MB, |k| k.integer(1, 1 << 20))? << 20,
        descriptors: descriptors.value_or(DEFAULT_DESCRIPTORS, |k| k.integer(20, 1 << 20))?,
    })
}
