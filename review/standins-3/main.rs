//! Runs one case of the review: `standins-3 CASE FOLDER TROUBLE`, in the root of the repository. The
//! folder gets the record.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod executor;
mod fleet;
mod http;
mod json;
mod lab;
mod record;
mod store;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, trouble] = &args[..] else {
        eprintln!("usage: standins-3 CASE FOLDER TROUBLE");
        return ExitCode::from(2);
    };
    let run = match case.as_str() {
        "cancel-elsewhere" => cases::cancel_elsewhere,
        "cancel-in-dropped-queue" => cases::cancel_in_dropped_queue,
        "foreign-service" => cases::foreign_service,
        "foreign-fields" => cases::foreign_fields,
        _ => {
            eprintln!("no such case: {case}");
            return ExitCode::from(2);
        }
    };
    match run(Path::new(folder), trouble != "0") {
        Ok(true) => {
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("{case}: the rule was broken; see record.txt");
            ExitCode::from(1)
        }
        Err(e) => {
            eprintln!("{case}: could not run: {e}");
            ExitCode::from(2)
        }
    }
}
