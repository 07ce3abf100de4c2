//! Explanations of jobs, from logs of simulated days.

use cardamomslip_cli::explain::{Cause, Explanation, LogLine};

/// Generates one test per case: a log, the id of a job, and the cause and one finding that its
/// explanation must have.
macro_rules! explanations {
    ($($(#[$doc:meta])* $name:ident($log:literal, $job:literal) => $cause:expr, $finding:literal;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            let text = include_str!(concat!("data/", $log));
            let lines: Vec<_> = text.lines().filter_map(|line| LogLine::parse(line, "vm")).collect();
            let explanation = Explanation::find($job, &lines).expect("lines of the job");
            assert_eq!(explanation.cause, $cause);
            let found = explanation.findings.iter().any(|finding| finding.contains($finding));
            assert!(found, "{:?}", explanation.findings);
            assert!(explanation.timeline.is_sorted_by_key(|line| line.at.clone()));
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
