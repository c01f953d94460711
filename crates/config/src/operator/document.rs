//! The operator's file as a document: its values, and their lines for error messages.

use std::collections::BTreeMap;
use std::ops::Range;

use hcl_edit::Span as _;
use hcl_edit::structure::Body;
use serde_json::Value;

use crate::value_path::{ConfigError, changed_paths};

/// A parsed file; empty if there is none.
#[derive(Debug, Default)]
pub(super) struct Document {
    path: String,
    pub(super) root: Value,
    /// Line numbers of keys, by JSON pointer.
    lines: BTreeMap<String, usize>,
}

/// One block of a document, which names its keys in errors.
pub(crate) struct BlockContext<'a> {
    document: &'a Document,
    block: &'a str,
}

impl BlockContext<'_> {
    /// Creates the error that a key of this block does not have the expected value.
    pub(crate) fn error(&self, key: &str, expected: &str) -> ConfigError {
        let pointer = format!("/{}/{key}", self.block);
        self.document.error(&pointer, expected)
    }
}

impl Document {
    /// Parses a file's text; `path` names it in errors.
    pub(super) fn parse(path: &str, text: &str) -> Result<Self, ConfigError> {
        let body: Body = hcl_edit::parser::parse_body(text).map_err(|e| {
            let (line, message) = (e.location().line(), e.message());
            ConfigError::new(format!("{path}:{line}: expected HCL, but {message}"))
        })?;
        let mut lines = BTreeMap::new();
        find_lines(&mut lines, text, "", &body);
        let root = hcl::from_body(hcl::Body::from(body))
            .map_err(|e| ConfigError::new(format!("{path}: {e}")))?;
        Ok(Document {
            path: path.to_owned(),
            root,
            lines,
        })
    }

    /// The file's path; `None` if there is no file.
    pub(super) fn path(&self) -> Option<&str> {
        Some(self.path.as_str()).filter(|path| !path.is_empty())
    }

    pub(super) fn block<'a>(&'a self, block: &'a str) -> BlockContext<'a> {
        BlockContext {
            document: self,
            block,
        }
    }

    /// Returns the paths of the keys that differ in another document.
    pub(super) fn changed_keys(&self, other: &Document) -> Vec<String> {
        changed_paths(&self.root, &other.root)
    }

    /// Creates the error that the value at a JSON pointer is not the expected one. The line is that of the value's key,
    /// or of its parent's.
    fn error(&self, pointer: &str, expected: &str) -> ConfigError {
        let line = self
            .lines
            .get(pointer)
            .or_else(|| self.lines.get(pointer.rsplit_once('/')?.0));
        let line = line.map_or(String::new(), |line| format!("{line}:"));
        let key = pointer.trim_start_matches('/').replace('/', ".");
        let found = self.describe(pointer);
        ConfigError::new(format!(
            "{}:{line} {key}: expected {expected}, found {found}",
            self.path
        ))
    }

    /// Describes the value at a JSON pointer for an error message.
    fn describe(&self, pointer: &str) -> String {
        match self.root.pointer(pointer) {
            Some(Value::Object(_)) => "a block".to_owned(),
            Some(Value::Array(_)) => "several blocks or a list".to_owned(),
            // Keys are secret and must not get into logs.
            Some(_) if pointer.contains("/keys/") => "another text".to_owned(),
            Some(value) => format!("{value:.60}"),
            None => "nothing".to_owned(),
        }
    }

    /// Creates the error for a value that violates the schema: what was expected of it, or which of its keys is
    /// unknown.
    pub(super) fn schema_violation(&self, schema: &Value, pointer: &str) -> ConfigError {
        let schema = subschema(schema, pointer);
        let known = schema["properties"].as_object();
        if let (Some(known), Some(Value::Object(found))) = (known, self.root.pointer(pointer))
            && let Some(key) = found.keys().find(|key| !known.contains_key(*key))
        {
            let names: Vec<_> = known.keys().map(String::as_str).collect();
            let expected = format!("one of {}", names.join(", "));
            return self.error(&format!("{pointer}/{key}"), &expected);
        }
        let expected = schema["x-expected"].as_str();
        self.error(pointer, expected.unwrap_or("one block without labels"))
    }
}

/// Returns the schema of the value at a JSON pointer.
fn subschema<'a>(schema: &'a Value, pointer: &str) -> &'a Value {
    pointer.split('/').skip(1).fold(schema, |schema, name| {
        // A number addresses an item of a list.
        let is_item = name.parse::<usize>().is_ok() && schema["items"].is_object();
        if is_item {
            &schema["items"]
        } else {
            &schema["properties"][name]
        }
    })
}

/// Adds the lines of the body's keys and blocks; `parent` is the JSON pointer of the block with this body.
fn find_lines(lines: &mut BTreeMap<String, usize>, text: &str, parent: &str, body: &Body) {
    for attribute in body.attributes() {
        let pointer = format!("{parent}/{}", attribute.key.as_str());
        lines.insert(pointer, line_of(text, attribute.key.span()));
    }
    for block in body.blocks() {
        let pointer = format!("{parent}/{}", block.ident.as_str());
        lines
            .entry(pointer.clone())
            .or_insert_with(|| line_of(text, block.ident.span()));
        find_lines(lines, text, &pointer, &block.body);
    }
}

fn line_of(text: &str, span: Option<Range<usize>>) -> usize {
    let before = &text[..span.map_or(0, |span| span.start)];
    1 + before.bytes().filter(|byte| *byte == b'\n').count()
}
