//! Scripts of the second review: each starts a small deployment of entry daemons, disturbs it, and
//! checks one rule by what clients and executors saw.
//!
//! Usage: `standins-2 CASE RECORD`. With `TROUBLE=0` the disruption is left out. Exits with 1 if the rule
//! was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod worker;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(file)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standins-2 CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let verdict = match case.as_str() {
        "cancel-zone" => cases::cancel_in_another_zone(trouble),
        "cancel-frozen" => cases::cancel_at_a_frozen_vm(trouble),
        "late-copy" => cases::late_copy_of_a_cancelled_job(trouble),
        "late-start-killed" => cases::late_start_of_a_killed_holder(trouble),
        "late-start" => cases::late_start_after_a_crash(trouble),
        "refused" => cases::refused_after_a_close(trouble),
        _ => None,
    };
    let (code, text) = match verdict {
        Some(true) => (1, "the rule was broken"),
        Some(false) => (0, "the rule held"),
        None => (2, "the case could not run"),
    };
    record::note(text);
    record::save(file);
    println!("{case}: {text}");
    std::process::exit(code);
}
