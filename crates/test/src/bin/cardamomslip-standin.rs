//! Runs one stand-in as a separate process.

use cardamomslip_test::{ExecutorConfig, ExecutorStandIn, PlatformStandIn};
use eyre::{Result, WrapErr, bail, eyre};
use getopts::{Matches, Options};

const USAGE: &str = "Usage: cardamomslip-standin platform --listen IP:PORT [--vms FILE]
       cardamomslip-standin executor --listen IP:PORT --name NAME [--slots N] [--speed X]";

fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let mut opts = Options::new();
    opts.optopt("", "listen", "address to listen on", "IP:PORT");
    opts.optopt("", "vms", "file with the VM list as JSON", "FILE");
    opts.optopt("", "name", "name of the executor", "NAME");
    opts.optopt("", "slots", "slots of the executor (default 8)", "N");
    opts.optopt("", "speed", "speed of the executor (default 1)", "X");
    let matches = opts.parse(&args).wrap_err_with(|| opts.usage(USAGE))?;
    match matches.free.first().map(String::as_str) {
        Some("platform") => run_platform(&matches),
        Some("executor") => run_executor(&matches),
        _ => bail!(opts.usage(USAGE)),
    }
}

fn listen_address(matches: &Matches) -> Result<String> {
    matches
        .opt_str("listen")
        .ok_or_else(|| eyre!("--listen is missing"))
}

fn run_platform(matches: &Matches) -> Result<()> {
    let platform = PlatformStandIn::start(&listen_address(matches)?)?;
    if let Some(file) = matches.opt_str("vms") {
        let text = std::fs::read_to_string(&file).wrap_err_with(|| format!("can't read {file}"))?;
        let list =
            serde_json::from_str(&text).wrap_err_with(|| format!("{file} is not valid JSON"))?;
        platform.set_vm_list(list);
    }
    println!("listening on {}", platform.address());
    platform.wait();
    Ok(())
}

fn run_executor(matches: &Matches) -> Result<()> {
    let executor = ExecutorStandIn::start(ExecutorConfig {
        name: matches
            .opt_str("name")
            .ok_or_else(|| eyre!("--name is missing"))?,
        listen: listen_address(matches)?,
        slots: matches.opt_get_default("slots", 8)?,
        speed: matches.opt_get_default("speed", 1.0)?,
    })?;
    println!("listening on {}", executor.address());
    executor.wait();
    Ok(())
}
