//! What became of a job, from lines of played days.

use cardamomslip_cli::explain::{Cause, Explanation, LogLine};

/// Names each case: a log, a job, what became of it, and a finding that must stand there.
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
    /// A burst: the job waited for most of its client's patience and was refused.
    refused_under_load("refused-under-load.log", "df2a522870a00fd4")
        => Cause::Overloaded, "none of its tasks was started";
    /// One of its workers failed everything.
    worker_failed("worker-failed.log", "fdf7063b42b67054")
        => Cause::OutOfTime, "workers set aside after failures";
    /// The VM that ran it stood still.
    runner_lost("runner-lost.log", "a9bf5cac2b36259a")
        => Cause::RunnerLost, "connections between its VMs and others that broke";
}

#[test]
fn a_job_that_no_line_mentions_is_not_explained() {
    let line = LogLine::parse(r#"{"timestamp":"t","message":"started"}"#, "vm").expect("a line");
    assert!(Explanation::find("0123456789abcdef", &[line]).is_none());
}

#[test]
fn what_is_no_log_line_is_left_out() {
    assert_eq!(LogLine::parse("thread panicked at {", "vm"), None);
    assert_eq!(LogLine::parse(r#"{"level":"INFO"}"#, "vm"), None);
}
