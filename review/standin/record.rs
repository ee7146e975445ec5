//! The record of a case, and the processes that it started.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Starts the record in the given file.
pub fn start(path: &str) {
    let file = File::create(path).expect("the record can be written");
    let _first = RECORD.set((Instant::now(), Mutex::new(file)));
}

/// Returns the seconds since the start of the record.
pub fn seconds(at: Instant) -> f64 {
    let start = RECORD.get().map_or(at, |record| record.0);
    at.saturating_duration_since(start).as_secs_f64()
}

/// Writes one line, with the time.
pub fn write(line: &str) {
    if let Some((start, file)) = RECORD.get() {
        let mut file = file
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let _full = writeln!(file, "{:8.3} {line}", start.elapsed().as_secs_f64());
    }
}

/// Writes a formatted line to the record.
#[macro_export]
macro_rules! note {
    ($($part:tt)*) => { $crate::record::write(&format!($($part)*)) };
}
