//! What a gateway is told about itself: `NODE_*` and the file that `NODE_CONFIG` names.

use std::net::SocketAddr;

use serde_json::Value;

use crate::key::{Fault, Key};
use crate::settings::{self, Opened};

/// What the machine allows the program.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_bytes: usize,
    pub sockets: usize,
}

pub struct Node {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub limits: Limits,
    /// The list of servers as last held, in the form that discovery gives it.
    pub known: Option<Value>,
    pub opened: Opened,
}

/// Reads the environment that `var` looks up, and the file that it names.
pub fn from_environment(var: impl Fn(&str) -> Option<String>) -> Result<Node, Fault> {
    let path = var("NODE_CONFIG")
        .ok_or_else(|| Fault::new("NODE_CONFIG: expected the path of a configuration, but it is not set"))?;
    from_file(&path, var)
}

pub fn from_file(path: &str, var: impl Fn(&str) -> Option<String>) -> Result<Node, Fault> {
    let text = std::fs::read(path)
        .map_err(|e| Fault::new(format!("NODE_CONFIG: expected a readable file, but {path}: {e}")))?;
    read(&text, var)
}

/// A variable that is set goes before the key of the file that says the same.
fn read(text: &[u8], var: impl Fn(&str) -> Option<String>) -> Result<Node, Fault> {
    let value: Value = serde_json::from_slice(text)
        .map_err(|e| Fault::new(format!("NODE_CONFIG: expected a file of JSON, but {e}")))?;
    let top = Key::root(&value);
    let address = |name: &str, variable: &str| {
        let expected = "an address like 127.0.0.1:6432";
        let Some(text) = var(variable) else {
            let key = top.get(name);
            return key.text()?.parse::<SocketAddr>().map_err(|_| key.wrong(expected));
        };
        text.parse().map_err(|_| Fault::new(format!("{variable}: expected {expected}, found {text:?}")))
    };
    let seed = top.get("seed");
    let hex =
        u64::from_str_radix(seed.text()?, 16).map_err(|_| seed.wrong("up to sixteen hexadecimal digits"))?;
    let limits = top.get("limits");
    Ok(Node {
        name: match var("NODE_NAME") {
            Some(name) => name,
            None => top.get("name").text()?.to_owned(),
        },
        listen: address("listen", "NODE_LISTEN")?,
        discovery: address("discovery", "NODE_DISCOVERY")?,
        limits: Limits {
            // What the program is built for, where nothing else is said.
            memory_bytes: limits.get("memory_mb").or(192, |k| k.whole(1, 1 << 20))? << 20,
            sockets: limits.get("sockets").or(1024, |k| k.whole(20, 1 << 20))?,
        },
        known: top.get("known").value().cloned(),
        opened: settings::read_value(hex, &top.get("settings"))?,
    })
}
