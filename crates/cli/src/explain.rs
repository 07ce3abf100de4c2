//! Explains what became of a job, from the saved logs of entry VMs.

use eyre::{Result, WrapErr, bail};
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::fmt;
use std::path::Path;

/// Fields that every line has; they are not shown again.
const COMMON_FIELDS: [&str; 4] = ["timestamp", "level", "message", "job"];
/// Messages of a VM that bear on the jobs that it ran or had placed with others.
const VM_MESSAGES: [&str; 5] = [
    "the process stood still; everything is given up",
    "stopping: no new work is taken",
    "started",
    "peer disconnected",
    "the cells of this VM have changed",
];

/// A line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Time of day, as RFC 3339 in UTC.
    pub at: String,
    /// The VM: the word before the JSON, or the name of the file.
    pub vm: String,
    /// What happened.
    pub message: String,
    /// The other fields.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; words before the JSON are allowed. `None` if it is no log line.
    #[must_use]
    pub fn parse(text: &str, file: &str) -> Option<Self> {
        let json = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&text[json..]).ok()?;
        let of = |name: &str| fields.get(name)?.as_str().map(str::to_owned);
        let vm = text[..json].split_whitespace().last();
        Some(Self {
            at: of("timestamp")?,
            vm: vm.unwrap_or(file).to_owned(),
            message: of("message")?,
            fields,
        })
    }

    /// Returns a field as text, empty if there is none.
    fn text(&self, name: &str) -> String {
        match self.fields.get(name) {
            None => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
        }
    }

    fn mentions(&self, id: &str) -> bool {
        let mut values = self.fields.values();
        values.any(|value| value.as_str().is_some_and(|text| text.contains(id)))
    }

    /// Returns the workers of a line that lists starts as `step.index#run@worker`.
    fn workers(&self) -> impl Iterator<Item = String> {
        let starts = self.text("starts");
        let starts: Vec<String> = starts
            .split_whitespace()
            .filter_map(|start| start.split_once('@'))
            .map(|(_, worker)| worker.to_owned())
            .collect();
        starts.into_iter()
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}  {}  {}", self.at, self.vm, self.message)?;
        for name in self.fields.keys() {
            if !COMMON_FIELDS.contains(&name.as_str()) {
                write!(f, "  {name}={}", self.text(name))?;
            }
        }
        Ok(())
    }
}

/// What became of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It completed.
    Completed,
    /// A task failed as often as its queue allows.
    TaskFailed,
    /// It was refused: its turn would have come too late.
    Overloaded,
    /// It was refused: no worker could ever hold one of its tasks.
    Impossible,
    /// It was refused: no VM held the workers at that moment.
    NoRunner,
    /// It was refused: the VM that should have run it stopped.
    Stopping,
    /// The VM that ran it was lost.
    RunnerLost,
    /// The VM that the client called stood still.
    Paused,
    /// The VM stopped before the job could end.
    StoppedTooEarly,
    /// The client left, or its patience ended, while tasks waited or ran.
    OutOfTime,
    /// No line tells of an answer.
    Unknown,
}

impl Cause {
    /// Reads the cause from the last line that tells what became of the job.
    fn of(last: &LogLine) -> Self {
        if last.message == "the client left" {
            return Self::OutOfTime;
        }
        let answer = last.text("answer");
        let causes = [
            ("Completed", Self::Completed),
            ("Failed", Self::TaskFailed),
            ("Refused { cause: Overloaded", Self::Overloaded),
            ("Refused { cause: Impossible", Self::Impossible),
            ("Refused { cause: NoRunner", Self::NoRunner),
            ("Refused { cause: Stopping", Self::Stopping),
            ("Lost(RunnerLost", Self::RunnerLost),
            ("Lost(Paused", Self::Paused),
            ("Lost(Stopping", Self::StoppedTooEarly),
            ("Lost(DeadlinePassed", Self::OutOfTime),
        ];
        let known = causes.iter().find(|(text, _)| answer.starts_with(text));
        known.map_or(Self::Unknown, |(_, cause)| *cause)
    }

    const fn text(self) -> &'static str {
        match self {
            Self::Completed => "the job completed",
            Self::TaskFailed => "a task failed as often as its queue allows",
            Self::Overloaded => "refused under load: its turn would have come too late",
            Self::Impossible => "refused: no worker could ever hold one of its tasks",
            Self::NoRunner => "refused: no VM held the workers at that moment",
            Self::Stopping => "refused: the VM that should have run it was stopping",
            Self::RunnerLost => "the VM that ran it was lost; the client sends it again",
            Self::Paused => "the VM that the client called stood still",
            Self::StoppedTooEarly => "the VM stopped before the job could end",
            Self::OutOfTime => "the client's patience ended before all tasks were done",
            Self::Unknown => "no line tells of an answer: the VM ended, or lines were left out",
        }
    }
}

/// The lines that bear on a job, and what became of it.
#[derive(Clone, Debug)]
pub struct Explanation {
    /// The lines in the order of time.
    pub timeline: Vec<LogLine>,
    /// What became of the job at its last attempt.
    pub cause: Cause,
    /// Facts that bear on it.
    pub findings: Vec<String>,
}

impl Explanation {
    /// Explains the job with this id. `None` if no line mentions it.
    #[must_use]
    pub fn find(id: &str, lines: &[LogLine]) -> Option<Self> {
        let mut own: Vec<&LogLine> = lines.iter().filter(|line| line.mentions(id)).collect();
        own.sort_by(|a, b| a.at.cmp(&b.at));
        let (first, last) = (&own.first()?.at, &own.last()?.at);
        let workers: BTreeSet<String> = own.iter().flat_map(|line| line.workers()).collect();
        let vms: BTreeSet<&str> = own.iter().map(|line| line.vm.as_str()).collect();
        let bears = |line: &&LogLine| {
            if line.mentions(id) {
                return true;
            }
            let in_time = *first <= line.at && line.at <= *last;
            let of_worker = workers.contains(&line.text("worker"));
            let of_vm = vms.contains(line.vm.as_str()) && VM_MESSAGES.contains(&&*line.message);
            in_time && (of_worker || of_vm)
        };
        let mut timeline: Vec<LogLine> = lines.iter().filter(bears).cloned().collect();
        timeline.sort_by(|a, b| a.at.cmp(&b.at));
        let end = own.iter().rev().find(|line| {
            matches!(
                &*line.message,
                "job answered" | "the client left" | "job refused"
            )
        });
        let cause = end.map_or(Cause::Unknown, |end| Cause::of(end));
        let findings = findings(id, &timeline, end.copied());
        Some(Self {
            timeline,
            cause,
            findings,
        })
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.timeline {
            writeln!(f, "{line}")?;
        }
        writeln!(f, "\ncause: {}", self.cause.text())?;
        for finding in &self.findings {
            writeln!(f, "  - {finding}")?;
        }
        Ok(())
    }
}

/// Counts what happened on the way, for those who don't want to read every line.
fn findings(id: &str, timeline: &[LogLine], end: Option<&LogLine>) -> Vec<String> {
    // Runs of other jobs on the same workers are shown, not counted.
    let counted = |line: &&LogLine| line.text("run").is_empty() || line.mentions(id);
    let timeline: Vec<&LogLine> = timeline.iter().filter(counted).collect();
    let mut found = Vec::new();
    if let Some(end) = end {
        let (age, patience) = (end.text("age_ms"), end.text("patience_ms"));
        let of = if patience.is_empty() {
            String::new()
        } else {
            format!(" of {patience} ms")
        };
        found.push(format!("answered or left after {age} ms{of}"));
    }
    let attempts = count(&timeline, "job answered");
    if attempts > 1 {
        found.push(format!("the client sent it {attempts} times"));
    }
    if count(&timeline, "runs started") == 0 {
        found.push("none of its tasks was started".to_owned());
    }
    let told = [
        (
            "start not answered",
            "starts that the worker did not answer",
        ),
        ("stop not answered", "stops that the worker did not answer"),
        (
            "stopping a run that takes far too long",
            "runs that took far too long",
        ),
        (
            "the lease of a worker has lapsed; its runs are over",
            "leases that lapsed on its workers",
        ),
        (
            "a run ended without its task's fault; the task starts again",
            "runs that ended without their task's fault",
        ),
        (
            "worker set aside after failures",
            "workers set aside after failures",
        ),
        (
            "a worker saw a higher token",
            "workers that another VM took over",
        ),
        (
            "the process stood still; everything is given up",
            "VMs on its way that stood still",
        ),
        (
            "stopping: no new work is taken",
            "VMs on its way that were told to stop",
        ),
        (
            "peer disconnected",
            "connections between its VMs and others that broke",
        ),
    ];
    for (message, text) in told {
        let times = count(&timeline, message);
        if times > 0 {
            found.push(format!("{times} {text}"));
        }
    }
    found
}

fn count(timeline: &[&LogLine], message: &str) -> usize {
    let same = timeline.iter().filter(|line| line.message == message);
    same.count()
}

/// Reads the logs in `files`; lines that are none are left out.
///
/// # Errors
///
/// Returns an error if a file can't be read or has no log line.
pub fn read_logs(files: &[&str]) -> Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file).wrap_err_with(|| format!("can't read {file}"))?;
        let stem = Path::new(file).file_stem().unwrap_or_default();
        let stem = stem.to_string_lossy();
        let before = lines.len();
        lines.extend(text.lines().filter_map(|line| LogLine::parse(line, &stem)));
        if lines.len() == before {
            bail!("{file} has no log line");
        }
    }
    Ok(lines)
}
