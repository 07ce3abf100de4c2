//! Stand-ins and clients of the cases 11 to 15: `lab-4 CASE FOLDER` runs a case and writes FOLDER/record.txt.
//! It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.

mod cases;
mod fleet;
mod http;
mod json;
mod proxy;
mod record;
mod store;
mod worker;

use std::path::Path;

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: lab-4 CASE FOLDER");
        std::process::exit(2);
    };
    let record = record::Record::create(&Path::new(&folder).join("record.txt"));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match cases::run(&case, &record, has_trouble) {
        Ok(None) => {
            record.note("RESULT: the rule held");
            0
        }
        Ok(Some(what)) => {
            record.note(&format!("RESULT: the rule was broken: {what}"));
            1
        }
        Err(e) => {
            record.note(&format!("RESULT: the case couldn't run: {e}"));
            2
        }
    };
    std::process::exit(code);
}
