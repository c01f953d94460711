//! The record of a case: what was sent, answered and run, a line each, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file =
            File::create(path).unwrap_or_else(|e| crate::cannot_run(&format!("{path}: {e}")));
        Record {
            file: Mutex::new(file),
            started: Instant::now(),
        }
    }

    /// Milliseconds since the start of the case.
    pub fn ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>9.1} {text}\n", self.ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64() * 1e3)
}
