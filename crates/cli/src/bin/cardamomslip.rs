//! The operators' command line.

use cardamomslip_cli::client::Client;
use cardamomslip_cli::commands::{self, CommandOptions, Exit};
use eyre::{Result, WrapErr, bail};
use getopts::{Matches, Options};
use std::process::ExitCode;

const USAGE: &str = "Usage: cardamomslip [OPTIONS] COMMAND

Commands:
    check FILE              check a daemon's settings
    explain ID FILE...      what became of a job, from saved logs of entry VMs
    status                  snapshot of an entry VM
    preset list             presets; * marks the one in force
    preset show [NAME]      a preset, by default the one in force
    preset apply NAME       put a preset in force (needs --why)
    config get              the configuration in force
    config apply FILE       replace the configuration (needs --why)
    config history          the newest changes
    audit                   all accepted changes
    usage                   slot time per customer
    drain VM                stop an entry VM gracefully
    job submit FILE         submit a job
    job get ID              state or answer of a job
    job cancel ID           cancel a job

Exit codes: 0 done, 1 refused or failed, 2 usage, 3 version conflict, 4 no answer";

/// Environment variable with the bearer token.
const TOKEN_VARIABLE: &str = "CARDAMOMSLIP_TOKEN";
/// Environment variable with the daemon's address.
const SERVER_VARIABLE: &str = "CARDAMOMSLIP_SERVER";
/// Commands that ask no daemon.
const OFFLINE: [&str; 2] = ["check", "explain"];
/// Address of the daemon if none is given.
const DEFAULT_SERVER: &str = "127.0.0.1:7100";

fn options() -> Options {
    let mut opts = Options::new();
    opts.optopt(
        "s",
        "server",
        "address of a daemon ($CARDAMOMSLIP_SERVER)",
        "IP:PORT",
    );
    opts.optopt(
        "",
        "token-file",
        "file with the token ($CARDAMOMSLIP_TOKEN)",
        "FILE",
    );
    opts.optopt(
        "",
        "base",
        "version that a change is based on (default: in force)",
        "N",
    );
    opts.optopt("", "why", "reason of a change", "TEXT");
    opts.optopt("", "key", "idempotency key of a submission", "TEXT");
    opts.optopt("", "wait-ms", "wait for the answer", "N");
    opts.optflag("", "json", "print JSON");
    opts.optflag("h", "help", "print this help");
    opts.optflag("V", "version", "print the version");
    opts
}

fn main() -> ExitCode {
    let opts = options();
    let matches = match opts.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(e) => return usage_error(&opts, &e.to_string()),
    };
    if matches.opt_present("help") {
        print!("{}", opts.usage(USAGE));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("cardamomslip {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if matches.free.is_empty() {
        return usage_error(&opts, "a command is missing");
    }
    match run(&matches) {
        Ok(exit) => ExitCode::from(exit.code()),
        Err(e) if e.downcast_ref::<ureq::Error>().is_some() => {
            eprintln!("{e:#}");
            ExitCode::from(Exit::Unreachable.code())
        }
        Err(e) => usage_error(&opts, &format!("{e:#}")),
    }
}

fn usage_error(opts: &Options, message: &str) -> ExitCode {
    eprintln!("{message}\n\n{}", opts.usage(USAGE));
    ExitCode::from(Exit::Usage.code())
}

fn run(matches: &Matches) -> Result<Exit> {
    let server = matches
        .opt_str("server")
        .or_else(|| std::env::var(SERVER_VARIABLE).ok());
    let server = server.unwrap_or_else(|| DEFAULT_SERVER.to_owned());
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    let token = if OFFLINE.contains(&words[0]) {
        String::new()
    } else {
        token(matches)?
    };
    let opts = CommandOptions {
        json: matches.opt_present("json"),
        base: matches
            .opt_get("base")
            .wrap_err("--base must be a number")?,
        why: matches.opt_str("why"),
        key: matches.opt_str("key"),
        wait_ms: matches
            .opt_get_default("wait-ms", 0)
            .wrap_err("--wait-ms must be a number")?,
    };
    commands::run(&Client::new(&server, &token), &words, &opts)
}

fn token(matches: &Matches) -> Result<String> {
    if let Some(file) = matches.opt_str("token-file") {
        let text = std::fs::read_to_string(&file).wrap_err_with(|| format!("can't read {file}"))?;
        return Ok(text.trim().to_owned());
    }
    match std::env::var(TOKEN_VARIABLE) {
        Ok(token) => Ok(token),
        Err(_) => bail!("no token: set {TOKEN_VARIABLE} or give --token-file"),
    }
}
