//! The formats of log lines on standard error: text as `name=value` fields, or one JSON object a line.

use std::fmt::Write as _;
use std::io::Write as _;
use std::time::{SystemTime, UNIX_EPOCH};

use slog::{Drain, KV, OwnedKVList, Record};

/// Writes each record as one line of `name=value` fields to standard error.
///
/// Each line is one write, so no lock is needed to keep lines whole.
pub(super) struct TextFormat;

impl Drain for TextFormat {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let unix_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let mut line = TextLine(format!(
            "at={unix_ms} level={} event={:?}",
            record.level().as_short_str(),
            record.msg().to_string()
        ));
        // Writing to a string does not fail.
        let _ = values.serialize(record, &mut line);
        let _ = record.kv().serialize(record, &mut line);
        line.0.push('\n');
        // A failure is ignored: there is nowhere left to report that standard error is closed.
        let _ = std::io::stderr().write_all(line.0.as_bytes());
        Ok(())
    }
}

/// Writes each record as one JSON object on a line to standard error, in one write.
pub(super) struct JsonFormat;

impl Drain for JsonFormat {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut line = Vec::new();
        let drain = slog_json::Json::new(&mut line).add_default_keys().build();
        let _ = drain.log(record, values);
        drop(drain);
        // A failure is ignored: there is nowhere left to report that standard error is closed.
        let _ = std::io::stderr().write_all(&line);
        Ok(())
    }
}

/// Appends each serialized field to the line as ` name="value"`.
struct TextLine(String);

impl slog::Serializer for TextLine {
    fn emit_arguments(&mut self, key: slog::Key, value: &std::fmt::Arguments<'_>) -> slog::Result {
        let _ = write!(self.0, " {key}={:?}", value.to_string());
        Ok(())
    }
}
