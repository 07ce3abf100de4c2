//! The record of a case: what was sent, answered and run, in order of time.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record in a file. Clones write to the same one.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(folder.join("record.txt"))?)),
            began: Instant::now(),
        })
    }

    /// Writes a line with the time in milliseconds.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("the record");
        let at = self.began.elapsed().as_millis();
        writeln!(file, "{at:>7} {text}").expect("a line of the record");
    }
}
