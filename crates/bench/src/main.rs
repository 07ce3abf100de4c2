//! Benchmarks of the dispatcher.

mod deployment;
mod faults_bench;
mod load_bench;
mod policy_bench;
mod proc_stat;
mod sim;
mod slopes;
mod workload;

use eyre::{Result, bail};
use getopts::Options;
use load_bench::LoadShape;

const USAGE: &str = "Usage: cardamomslip-bench policy|faults|slopes|load [--seed N] [--format csv]";

/// Seed of the workload if `--seed` is not given.
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
        bail!(
            "unknown format: only csv is supported\n{}",
            opts.usage(USAGE)
        );
    }
    let seed = matches.opt_get_default("seed", DEFAULT_SEED)?;
    match matches.free.first().map(String::as_str) {
        Some("policy") => policy_bench::print_csv(&policy_bench::run(seed)),
        Some("faults") => faults_bench::print_csv(seed),
        Some("slopes") => slopes::print_csv(),
        Some("load") => run_load()?,
        _ => bail!(opts.usage(USAGE)),
    }
    Ok(())
}

/// Runs the load benchmark with one daemon, then with seven.
fn run_load() -> Result<()> {
    load_bench::print_header();
    for (daemons, callers, tasks) in [(1, 4, 50), (1, 16, 50), (7, 14, 50), (7, 28, 20)] {
        load_bench::run(LoadShape {
            daemons,
            callers,
            tasks,
        })?;
    }
    Ok(())
}
