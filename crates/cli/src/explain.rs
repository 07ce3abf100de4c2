//! Explains the outcome of a job from the saved logs of entry VMs.

use eyre::{Result, WrapErr, bail};
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::fmt;
use std::path::Path;

/// Fields that are not in the `name=value` list when a line is printed.
const COMMON_FIELDS: [&str; 4] = ["timestamp", "level", "message", "job"];

/// A log message, recognised by its current text and by those of earlier builds.
#[derive(Clone, Copy, Debug)]
struct Message {
    current: &'static str,
    former: &'static [&'static str],
}

impl Message {
    const fn new(current: &'static str, former: &'static [&'static str]) -> Self {
        Self { current, former }
    }

    fn matches(self, line: &LogLine) -> bool {
        line.message == self.current || self.former.contains(&&*line.message)
    }
}

const JOB_ANSWERED: Message = Message::new("job answered", &[]);
const JOB_REFUSED: Message = Message::new("job refused", &[]);
const CLIENT_DISCONNECTED: Message = Message::new("client disconnected", &["the client left"]);
const RUNS_STARTED: Message = Message::new("runs started", &[]);
const START_UNANSWERED: Message = Message::new("start not answered", &[]);
const START_AWAITED: Message = Message::new(
    "a task waits: a start of it was not answered and may still be carried out",
    &[],
);
const STOP_UNANSWERED: Message = Message::new("stop not answered", &[]);
const STOP_WITHOUT_EFFECT: Message = Message::new("a stop has no effect", &[]);
const LEASE_WITHHELD: Message = Message::new(
    "letting the lease of a worker expire: a stop there has no effect",
    &[],
);
const RUN_TOO_LONG: Message = Message::new(
    "stopping a run that takes much longer than predicted",
    &["stopping a run that takes far too long"],
);
const LEASE_EXPIRED: Message = Message::new(
    "worker lease expired; its runs have ended",
    &["the lease of a worker has lapsed; its runs are over"],
);
const RUN_RESTARTED: Message = Message::new(
    "run ended without a failure of its task; the task will be restarted",
    &["a run ended without its task's fault; the task starts again"],
);
const WORKER_EJECTED: Message = Message::new(
    "worker ejected after failures",
    &["worker set aside after failures"],
);
const WORKER_FENCED: Message = Message::new(
    "worker reported a higher fencing token",
    &["a worker saw a higher token"],
);
const WORKER_LOST: Message = Message::new("worker lost with its runs", &[]);
const TASK_SUSPECTED: Message = Message::new(
    "task is suspected of crashing its worker; it runs alone next",
    &[],
);
const JOB_GIVEN_UP: Message =
    Message::new("giving up a job: a task of it crashes its workers", &[]);
const JOB_SET_ASIDE: Message = Message::new(
    "ending a job: a task of it probably crashed its worker, and others are being tried",
    &[],
);
const QUEUE_CONTAINED: Message =
    Message::new("the queue is contained: its tasks crash workers", &[]);
const QUEUE_RELEASED: Message = Message::new("the queue is released", &[]);
const PROCESS_STALLED: Message = Message::new(
    "the process stalled for too long; dropping all jobs",
    &["the process stood still; everything is given up"],
);
const SHUTTING_DOWN: Message = Message::new(
    "shutting down; accepting no new jobs",
    &["stopping: no new work is taken"],
);
const PROCESS_STARTED: Message = Message::new("started", &[]);
const PEER_DISCONNECTED: Message = Message::new("peer disconnected", &[]);
const CELLS_CHANGED: Message = Message::new("the cells of this VM have changed", &[]);

/// Messages about a VM as a whole that are relevant to every job that the VM ran or placed with a
/// peer.
const VM_MESSAGES: [Message; 7] = [
    QUEUE_CONTAINED,
    QUEUE_RELEASED,
    PROCESS_STALLED,
    SHUTTING_DOWN,
    PROCESS_STARTED,
    PEER_DISCONNECTED,
    CELLS_CHANGED,
];

/// Messages whose occurrences are counted as findings.
const COUNTED_MESSAGES: [(Message, &str); 18] = [
    (WORKER_LOST, "workers lost with runs of it"),
    (
        TASK_SUSPECTED,
        "times that a task of it became a suspect, which runs alone",
    ),
    (
        JOB_GIVEN_UP,
        "times that it was given up, because workers crashed under a task of it",
    ),
    (
        JOB_SET_ASIDE,
        "times that it ended because a task of it probably crashed its worker",
    ),
    (QUEUE_CONTAINED, "times that a VM contained a queue"),
    (
        START_UNANSWERED,
        "start requests without an answer from the worker",
    ),
    (
        START_AWAITED,
        "starts in flight that a task of it waited for",
    ),
    (
        STOP_UNANSWERED,
        "stop requests without an answer from the worker",
    ),
    (STOP_WITHOUT_EFFECT, "runs of it whose stop had no effect"),
    (
        LEASE_WITHHELD,
        "leases of its workers that were let go because a stop had no effect",
    ),
    (RUN_TOO_LONG, "runs stopped because they took far too long"),
    (LEASE_EXPIRED, "leases that expired on its workers"),
    (
        RUN_RESTARTED,
        "runs that ended without a failure of their task",
    ),
    (
        WORKER_EJECTED,
        "times that a worker was ejected after failures",
    ),
    (WORKER_FENCED, "workers acquired by another VM"),
    (PROCESS_STALLED, "stalls of VMs that handled it"),
    (SHUTTING_DOWN, "shutdowns of VMs that handled it"),
    (
        PEER_DISCONNECTED,
        "lost connections between its VMs and their peers",
    ),
];

/// One log line, parsed from JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Time stamp in UTC, in the format of RFC 3339. Lines are ordered by comparing it as text.
    pub at: String,
    /// Name of the VM: the word before the JSON, or the file name without its extension.
    pub vm: String,
    /// Log message.
    pub message: String,
    /// All fields of the JSON object.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line, which may have other words before the JSON. Returns `None` if it is not a log
    /// line. `file` names the VM if there is no word before the JSON.
    #[must_use]
    pub fn parse(text: &str, file: &str) -> Option<Self> {
        let json = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&text[json..]).ok()?;
        let field = |name: &str| fields.get(name)?.as_str().map(str::to_owned);
        let vm = text[..json].split_whitespace().last();
        Some(Self {
            at: field("timestamp")?,
            vm: vm.unwrap_or(file).to_owned(),
            message: field("message")?,
            fields,
        })
    }

    /// Returns a field as text, or an empty string if it is missing.
    fn field_text(&self, name: &str) -> String {
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

    /// Returns the workers in the field `starts`, whose entries have the form
    /// `step.index#run@worker`.
    fn workers(&self) -> impl Iterator<Item = String> {
        let starts = self.field_text("starts");
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
                write!(f, "  {name}={}", self.field_text(name))?;
            }
        }
        Ok(())
    }
}

/// Outcome of a job and its cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The job completed.
    Completed,
    /// A task failed as many times as its queue allows, or workers crashed under it.
    TaskFailed,
    /// The job was refused under load: it would have started too late.
    Overloaded,
    /// The job was refused: one of its tasks fits on no worker.
    Impossible,
    /// The job was refused: no VM held the workers at the time.
    NoRunner,
    /// The job was refused: the VM that should have run it was shutting down.
    Stopping,
    /// The job was refused: tasks of its queue crash workers, and its share of them was in use.
    Contained,
    /// Tasks of the job or of its queue crash workers, and no more workers were risked for it.
    Suspected,
    /// A start of the job was not answered, and may still be carried out.
    StartInFlight,
    /// The VM that ran the job was lost.
    RunnerLost,
    /// The process of the VM that the client called stalled.
    Paused,
    /// The VM shut down before the job ended.
    ShutDown,
    /// The client disconnected or timed out before all tasks had ended.
    TimedOut,
    /// No line records an answer.
    Unknown,
}

impl Cause {
    /// Determines the cause from the last line that records how the job ended.
    fn from_line(last: &LogLine) -> Self {
        if CLIENT_DISCONNECTED.matches(last) {
            return Self::TimedOut;
        }
        let answer = last.field_text("answer");
        let causes = [
            ("Completed", Self::Completed),
            ("Failed", Self::TaskFailed),
            ("Refused { cause: Overloaded", Self::Overloaded),
            ("Refused { cause: Impossible", Self::Impossible),
            ("Refused { cause: NoRunner", Self::NoRunner),
            ("Refused { cause: Stopping", Self::Stopping),
            ("Refused { cause: Contained", Self::Contained),
            ("Lost(Suspected", Self::Suspected),
            ("Lost(StartInFlight", Self::StartInFlight),
            ("Lost(RunnerLost", Self::RunnerLost),
            ("Lost(Paused", Self::Paused),
            ("Lost(Stopping", Self::ShutDown),
            ("Lost(DeadlinePassed", Self::TimedOut),
        ];
        let matching = causes.iter().find(|(text, _)| answer.starts_with(text));
        matching.map_or(Self::Unknown, |(_, cause)| *cause)
    }

    const fn description(self) -> &'static str {
        match self {
            Self::Completed => "the job completed",
            Self::TaskFailed => {
                "a task failed as many times as its queue allows, or crashed its workers"
            }
            Self::Overloaded => "refused under load: the job would have started too late",
            Self::Impossible => "refused: one of its tasks fits on no worker",
            Self::NoRunner => "refused: no VM held the workers at the time",
            Self::Stopping => "refused: the VM that should have run it was shutting down",
            Self::Contained => {
                "refused: tasks of its queue crash workers, and the queue's share of them was in use"
            }
            Self::Suspected => {
                "ended: a task of it, or of its queue, crashes workers, and no more were risked for it"
            }
            Self::StartInFlight => {
                "ended: a start of it was not answered and could not be ruled out in time"
            }
            Self::RunnerLost => "the VM that ran the job was lost; the client resubmits it",
            Self::Paused => "the process of the VM that the client called stalled",
            Self::ShutDown => "the VM shut down before the job ended",
            Self::TimedOut => "the client disconnected or timed out before all tasks had ended",
            Self::Unknown => "no answer was logged: the process ended, or log lines were dropped",
        }
    }
}

/// The outcome of a job, with the log lines and findings that explain it.
#[derive(Clone, Debug)]
pub struct Explanation {
    /// Relevant lines, ordered by time stamp.
    pub timeline: Vec<LogLine>,
    /// Outcome of the last submission of the job.
    pub cause: Cause,
    /// Events that may explain the outcome, one sentence each.
    pub findings: Vec<String>,
}

impl Explanation {
    /// Explains the job with the id `id`. Returns `None` if no line mentions it.
    #[must_use]
    pub fn find(id: &str, lines: &[LogLine]) -> Option<Self> {
        let mut job_lines: Vec<&LogLine> = lines.iter().filter(|line| line.mentions(id)).collect();
        job_lines.sort_by(|a, b| a.at.cmp(&b.at));
        let (first, last) = (&job_lines.first()?.at, &job_lines.last()?.at);
        let workers: BTreeSet<String> = job_lines.iter().flat_map(|line| line.workers()).collect();
        let vms: BTreeSet<&str> = job_lines.iter().map(|line| line.vm.as_str()).collect();
        let is_relevant = |line: &&LogLine| {
            if line.mentions(id) {
                return true;
            }
            let in_time = *first <= line.at && line.at <= *last;
            let of_worker = workers.contains(&line.field_text("worker"));
            let of_vm = vms.contains(line.vm.as_str())
                && VM_MESSAGES.iter().any(|message| message.matches(line));
            in_time && (of_worker || of_vm)
        };
        let mut timeline: Vec<LogLine> = lines.iter().filter(is_relevant).cloned().collect();
        timeline.sort_by(|a, b| a.at.cmp(&b.at));
        let end = job_lines.iter().rev().find(|line| {
            let ends = [JOB_ANSWERED, CLIENT_DISCONNECTED, JOB_REFUSED];
            ends.iter().any(|message| message.matches(line))
        });
        let cause = end.map_or(Cause::Unknown, |end| Cause::from_line(end));
        let findings = summarize(id, &timeline, end.copied());
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
        writeln!(f, "\ncause: {}", self.cause.description())?;
        for finding in &self.findings {
            writeln!(f, "  - {finding}")?;
        }
        Ok(())
    }
}

/// Counts the events of the timeline that may explain the outcome.
fn summarize(id: &str, timeline: &[LogLine], end: Option<&LogLine>) -> Vec<String> {
    // Runs of other jobs on the same workers are part of the timeline but are not counted.
    let is_counted = |line: &&LogLine| line.field_text("run").is_empty() || line.mentions(id);
    let timeline: Vec<&LogLine> = timeline.iter().filter(is_counted).collect();
    let mut found = Vec::new();
    if let Some(end) = end {
        let (age, client_timeout) = (end.field_text("age_ms"), end.field_text("patience_ms"));
        let suffix = if client_timeout.is_empty() {
            String::new()
        } else {
            format!("; the client's timeout was {client_timeout} ms")
        };
        found.push(format!("answered or abandoned after {age} ms{suffix}"));
    }
    let submissions = count(&timeline, JOB_ANSWERED);
    if submissions > 1 {
        found.push(format!("the client submitted it {submissions} times"));
    }
    if count(&timeline, RUNS_STARTED) == 0 {
        found.push("none of its tasks was started".to_owned());
    }
    for (message, text) in COUNTED_MESSAGES {
        let times = count(&timeline, message);
        if times > 0 {
            found.push(format!("{times} {text}"));
        }
    }
    found
}

fn count(timeline: &[&LogLine], message: Message) -> usize {
    let matching = timeline.iter().filter(|line| message.matches(line));
    matching.count()
}

/// Reads the logs in `files`, skipping lines that are not log lines.
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
            bail!("{file} contains no log line");
        }
    }
    Ok(lines)
}
