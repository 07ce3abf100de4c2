//! Tests of `explain` on sample logs from simulations.

use cardamomslip_cli::explain::{Cause, Explanation, LogLine};

/// Messages that were reworded: the text in earlier builds, as in the sample logs, and the current
/// one.
const REWORDED: [(&str, &str); 8] = [
    ("the client left", "client disconnected"),
    (
        "the process stood still; everything is given up",
        "the process stalled for too long; dropping all jobs",
    ),
    (
        "stopping: no new work is taken",
        "shutting down; accepting no new jobs",
    ),
    (
        "stopping a run that takes far too long",
        "stopping a run that takes much longer than predicted",
    ),
    (
        "the lease of a worker has lapsed; its runs are over",
        "worker lease expired; its runs have ended",
    ),
    (
        "a run ended without its task's fault; the task starts again",
        "run ended without a failure of its task; the task will be restarted",
    ),
    (
        "worker set aside after failures",
        "worker ejected after failures",
    ),
    (
        "a worker saw a higher token",
        "worker reported a higher fencing token",
    ),
];

fn explain(text: &str, job: &str) -> Explanation {
    let lines = text.lines();
    let lines: Vec<_> = lines
        .filter_map(|line| LogLine::parse(line, "vm"))
        .collect();
    Explanation::find(job, &lines).expect("lines of the job")
}

/// Checks that a log with the current messages has the same explanation as one of an earlier build.
/// Each reworded message is also added to the end of the log, as the samples don't contain all.
fn assert_same_with_current_messages(text: &str, job: &str) {
    let sample = explain(text, job);
    let mut reworded = text.to_owned();
    for (former, current) in REWORDED {
        reworded = reworded.replace(&format!("\"{former}\""), &format!("\"{current}\""));
    }
    let with_current = explain(&reworded, job);
    assert_eq!(with_current.cause, sample.cause);
    assert_eq!(with_current.findings, sample.findings);
    assert_eq!(with_current.timeline.len(), sample.timeline.len());
    for (former, current) in REWORDED {
        let extended = [former, current].map(|message| {
            let fields = format!(r#""timestamp":"9999","message":"{message}","job":"{job}""#);
            explain(&format!("{text}\nvm {{{fields}}}"), job)
        });
        let [with_former, with_current] = &extended;
        assert_eq!(with_current.cause, with_former.cause, "{current}");
        assert_eq!(with_current.findings, with_former.findings, "{current}");
        assert_ne!(with_former.findings, sample.findings, "{former}");
    }
}

/// Generates one test per case: a log, the id of a job, and the cause and one finding that its
/// explanation must have.
macro_rules! explanations {
    ($($(#[$doc:meta])* $name:ident($log:literal, $job:literal) => $cause:expr, $finding:literal;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            let text = include_str!(concat!("data/", $log));
            let explanation = explain(text, $job);
            assert_eq!(explanation.cause, $cause);
            let found = explanation.findings.iter().any(|finding| finding.contains($finding));
            assert!(found, "expected finding not in {:?}", explanation.findings);
            assert!(explanation.timeline.is_sorted_by_key(|line| line.at.clone()));
            assert_same_with_current_messages(text, $job);
        })*
    };
}

explanations! {
    /// During a burst, the job waited for most of its client's timeout and was refused.
    refused_under_load("refused-under-load.log", "df2a522870a00fd4")
        => Cause::Overloaded, "none of its tasks was started";
    /// One of the job's workers failed every task.
    worker_failed("worker-failed.log", "fdf7063b42b67054")
        => Cause::TimedOut, "times that a worker was ejected after failures";
    /// The process of the VM that ran the job stalled.
    runner_lost("runner-lost.log", "a9bf5cac2b36259a")
        => Cause::RunnerLost, "lost connections between its VMs and their peers";
    /// A task of the job crashed two workers, so the job was given up.
    task_crashed_workers("deadly-task.log", "bc016e4db4686204")
        => Cause::TaskFailed, "it was given up, because workers crashed under a task of it";
    /// A worker refused the stop of a run whose client had left.
    stop_refused("stop-refused.log", "9d20c4f1a7b35e68")
        => Cause::TimedOut, "1 leases of its workers that were let go because a stop had no effect";
}

#[test]
fn job_without_log_lines_is_not_explained() {
    let line = LogLine::parse(r#"{"timestamp":"t","message":"started"}"#, "vm").expect("a line");
    assert!(Explanation::find("0123456789abcdef", &[line]).is_none());
}

#[test]
fn other_lines_are_not_parsed() {
    assert_eq!(LogLine::parse("thread panicked at {", "vm"), None);
    assert_eq!(LogLine::parse(r#"{"level":"INFO"}"#, "vm"), None);
}
