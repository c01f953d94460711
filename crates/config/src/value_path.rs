//! Access to the values of a JSON document, with errors that name the value's path and what was expected.

use std::fmt;

use serde_json::Value;

/// An error in the configuration, in one line that names the key and what was expected.
#[derive(Debug)]
pub struct ConfigError(String);

impl ConfigError {
    /// Creates an error with this text, which is one line.
    pub fn new(text: impl Into<String>) -> Self {
        ConfigError(text.into())
    }
}

impl std::error::Error for ConfigError {}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A path in a document, with the value at it if there is one.
pub struct ValuePath<'a> {
    path: String,
    value: Option<&'a Value>,
}

impl<'a> ValuePath<'a> {
    /// Returns the path of the document itself.
    pub fn root(value: &'a Value) -> Self {
        ValuePath {
            path: String::new(),
            value: Some(value),
        }
    }

    /// Returns the path of a key of this object. Its value is absent if it is null, or if there is no such object or
    /// key.
    pub fn get(&self, name: &str) -> ValuePath<'a> {
        let dot = if self.path.is_empty() { "" } else { "." };
        let value = self
            .value
            .and_then(|v| v.get(name))
            .filter(|v| !v.is_null());
        ValuePath {
            path: format!("{}{dot}{name}", self.path),
            value,
        }
    }

    /// The path from the root, as in `report.names[0]`.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// The value, if there is one.
    pub fn value(&self) -> Option<&'a Value> {
        self.value
    }

    /// Creates the error for a value that is missing or not the expected one.
    pub fn error(&self, expected: &str) -> ConfigError {
        match self.value {
            None => ConfigError(format!(
                "{}: expected {expected}, but it is missing",
                self.path
            )),
            Some(Value::Object(_)) => ConfigError(format!(
                "{}: expected {expected}, found an object",
                self.path
            )),
            Some(Value::Array(_)) => {
                ConfigError(format!("{}: expected {expected}, found a list", self.path))
            }
            Some(value) => ConfigError(format!(
                "{}: expected {expected}, found {value:.60}",
                self.path
            )),
        }
    }

    /// Returns what `read` makes of the value; an error if it makes nothing of it, or if there is no value.
    fn require<T>(
        &self,
        expected: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, ConfigError> {
        self.value
            .and_then(read)
            .ok_or_else(|| self.error(expected))
    }

    /// Returns what `read` makes of the value, or the default if there is none.
    ///
    /// # Errors
    ///
    /// Fails if `read` rejects the value.
    pub fn value_or<T>(
        &self,
        default: T,
        read: impl Fn(&Self) -> Result<T, ConfigError>,
    ) -> Result<T, ConfigError> {
        if self.value.is_some() {
            read(self)
        } else {
            Ok(default)
        }
    }

    /// Returns the value as a string.
    pub fn string(&self) -> Result<&'a str, ConfigError> {
        self.require("a text", Value::as_str)
    }

    /// Returns the value as a boolean.
    pub fn boolean(&self) -> Result<bool, ConfigError> {
        self.require("true or false", Value::as_bool)
    }

    /// Returns the value as a number.
    pub fn number(&self) -> Result<f64, ConfigError> {
        self.require("a number", Value::as_f64)
    }

    /// Returns the value as a finite number of 0 or more.
    pub fn non_negative(&self) -> Result<f64, ConfigError> {
        self.require("a number of 0 or more", |v| {
            v.as_f64().filter(|n| n.is_finite() && *n >= 0.0)
        })
    }

    /// Returns the value as a time span in milliseconds, up to 1e12.
    pub fn milliseconds(&self) -> Result<f64, ConfigError> {
        let is_in_range = |n: &f64| (0.0..=1e12).contains(n);
        self.require("milliseconds from 0 to 1e12", |v| {
            v.as_f64().filter(is_in_range)
        })
    }

    /// Returns the value as an integer between two bounds, both included.
    pub fn integer(&self, min: usize, max: usize) -> Result<usize, ConfigError> {
        let read = |v: &Value| {
            v.as_u64()
                .map(|n| n as usize)
                .filter(|n| (min..=max).contains(n))
        };
        self.require(&format!("a whole number from {min} to {max}"), read)
    }

    /// Returns the item of `choices` that the value names.
    pub fn choice<T: Copy>(&self, choices: &[(&str, T)]) -> Result<T, ConfigError> {
        let names: Vec<_> = choices.iter().map(|c| c.0).collect();
        self.require(&format!("one of {}", names.join(", ")), |v| {
            choices
                .iter()
                .find(|c| v.as_str() == Some(c.0))
                .map(|c| c.1)
        })
    }

    /// Returns the value as a list of strings; an absent list is empty.
    pub fn strings(&self) -> Result<Vec<String>, ConfigError> {
        self.items()?
            .iter()
            .map(|item| Ok(item.string()?.to_owned()))
            .collect()
    }

    /// Returns the paths of a list's items; an absent list is empty.
    pub fn items(&self) -> Result<Vec<ValuePath<'a>>, ConfigError> {
        let list = match self.value {
            None => return Ok(Vec::new()),
            Some(value) => value.as_array().ok_or_else(|| self.error("a list"))?,
        };
        let item = |(i, v)| ValuePath {
            path: format!("{}[{i}]", self.path),
            value: Some(v),
        };
        Ok(list.iter().enumerate().map(item).collect())
    }
}

/// Returns the paths of all values that differ between two documents. Objects are compared key by key, lists as a
/// whole.
pub(crate) fn changed_paths(old: &Value, new: &Value) -> Vec<String> {
    let mut paths = Vec::new();
    add_changed_paths(&mut paths, &ValuePath::root(old), &ValuePath::root(new));
    paths
}

fn add_changed_paths(paths: &mut Vec<String>, old: &ValuePath<'_>, new: &ValuePath<'_>) {
    let old_keys = old.value().and_then(Value::as_object);
    let new_keys = new.value().and_then(Value::as_object);
    let (Some(old_keys), Some(new_keys)) = (old_keys, new_keys) else {
        if old.value() != new.value() {
            paths.push(old.path().to_owned());
        }
        return;
    };
    let added = new_keys.keys().filter(|key| !old_keys.contains_key(*key));
    for key in old_keys.keys().chain(added) {
        add_changed_paths(paths, &old.get(key), &new.get(key));
    }
}
