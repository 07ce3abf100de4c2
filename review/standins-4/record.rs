//! What was sent, answered and run, with times in milliseconds since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// What an executor has begun or ended.
#[derive(Clone, Debug)]
pub struct Event {
    pub at_ms: u64,
    pub worker: String,
    pub task: String,
    pub run: u64,
    /// `started`, or how the run ended.
    pub what: &'static str,
}

#[derive(Clone)]
pub struct Record {
    begin: Instant,
    file: Arc<Mutex<File>>,
    events: Arc<Mutex<Vec<Event>>>,
    is_quiet: bool,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { begin: Instant::now(), file: Arc::new(Mutex::new(file)), events: Arc::default(), is_quiet: false }
    }

    pub fn now_ms(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }

    /// Keeps the events of executors, but writes no line for each.
    pub fn quiet(self) -> Self {
        Self { is_quiet: true, ..self }
    }

    pub fn event(&self, worker: &str, task: &str, run: u64, what: &'static str) {
        if !self.is_quiet {
            self.note(&format!("{worker}: {task} run {run} {what}"));
        }
        let (worker, task) = (worker.to_owned(), task.to_owned());
        let event = Event { at_ms: self.now_ms(), worker, task, run, what };
        self.events.lock().expect("no panic").push(event);
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().expect("no panic").clone()
    }

    pub fn note(&self, text: &str) {
        let mut file = self.file.lock().expect("no panic");
        let _ = writeln!(file, "{:>7} ms  {text}", self.begin.elapsed().as_millis());
    }
}
