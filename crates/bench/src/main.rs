//! Benchmarks of the dispatcher.

mod deployment;
mod policy_bench;
mod sim;
mod workload;

use eyre::{Result, bail};
use getopts::Options;

const USAGE: &str = "Usage: cardamomslip-bench policy [--seed N] [--format csv]";

/// Seed if none is given.
const DEFAULT_SEED: u64 = 1;

fn main() -> Result<()> {
    let mut opts = Options::new();
    opts.optopt("", "seed", "seed of the workload", "N");
    opts.optopt("", "format", "output format: csv", "FORMAT");
    let matches = match opts.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(e) => bail!("{e}\n{}", opts.usage(USAGE)),
    };
    if matches
        .opt_str("format")
        .is_some_and(|format| format != "csv")
    {
        bail!("the only format is csv\n{}", opts.usage(USAGE));
    }
    let seed = matches.opt_get_default("seed", DEFAULT_SEED)?;
    match matches.free.first().map(String::as_str) {
        Some("policy") => policy_bench::print_csv(&policy_bench::run(seed)),
        _ => bail!(opts.usage(USAGE)),
    }
    Ok(())
}
