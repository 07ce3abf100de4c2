//! What was sent, answered and run, with milliseconds since the start of the script.

use std::sync::{Mutex, OnceLock};
use std::time::Instant;

struct Record {
    began: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

fn record() -> &'static Record {
    RECORD.get_or_init(|| Record {
        began: Instant::now(),
        lines: Mutex::new(Vec::new()),
    })
}

/// Returns the milliseconds since the start of the script.
pub fn now_ms() -> u64 {
    u64::try_from(record().began.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// Adds a line at the present time.
pub fn note(line: impl Into<String>) {
    let at = now_ms();
    record().lines.lock().unwrap().push((at, line.into()));
}

/// Writes the record to a file.
pub fn save(path: &str) {
    let lines = record().lines.lock().unwrap();
    let mut text = String::from("milliseconds since the start: what happened\n");
    for (at, line) in lines.iter() {
        text.push_str(&format!("{at:>6}: {line}\n"));
    }
    if let Err(e) = std::fs::write(path, text) {
        eprintln!("{path}: {e}");
    }
}
