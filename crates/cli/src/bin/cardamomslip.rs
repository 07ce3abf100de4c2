//! The operators' command line.

use cardamomslip_cli::client::Client;
use cardamomslip_cli::commands::{self, CommandOptions, Exit};
use eyre::{Result, WrapErr, bail};
use getopts::{Matches, Options};
use std::process::ExitCode;

const USAGE: &str = "Usage: cardamomslip [OPTIONS] COMMAND

Commands:
    check FILE              check a daemon's settings
    explain ID FILE...      explain the outcome of a job from saved logs of entry VMs
    status                  show the status of an entry VM
    evacuations             list the evacuated data centres (--server: a metrics address)
    preset list             list the presets; * marks the active one
    preset show [NAME]      show a preset, by default the active one
    preset apply NAME       activate a preset (needs --why)
    config get              show the active configuration
    config apply FILE       replace the configuration (needs --why)
    config history          list the most recent changes
    audit                   list all accepted changes
    usage                   show the slot time per customer
    drain VM                shut down an entry VM gracefully
    job submit FILE         submit a job
    job get ID              show the state or the outcome of a job
    job cancel ID           cancel a job

Exit codes: 0 success, 1 refused or failed, 2 usage, 3 version conflict, 4 no response";

/// Environment variable that holds the bearer token.
const TOKEN_VAR: &str = "CARDAMOMSLIP_TOKEN";
/// Environment variable that holds the daemon's address.
const SERVER_VAR: &str = "CARDAMOMSLIP_SERVER";
/// Commands that need no token: they call no daemon, or only its metrics address.
const PUBLIC_COMMANDS: [&str; 3] = ["check", "explain", "evacuations"];
/// Address of the daemon if neither `--server` nor the environment gives one.
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
        "version that a change is based on (default: the active one)",
        "N",
    );
    opts.optopt("", "why", "reason for a change", "TEXT");
    opts.optopt("", "key", "idempotency key for submitting a job", "TEXT");
    opts.optopt("", "wait-ms", "wait up to N ms for the job to end", "N");
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
        return usage_error(&opts, "no command given");
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
        .or_else(|| std::env::var(SERVER_VAR).ok());
    let server = server.unwrap_or_else(|| DEFAULT_SERVER.to_owned());
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    let token = if PUBLIC_COMMANDS.contains(&words[0]) {
        String::new()
    } else {
        read_token(matches)?
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

fn read_token(matches: &Matches) -> Result<String> {
    if let Some(file) = matches.opt_str("token-file") {
        let text = std::fs::read_to_string(&file).wrap_err_with(|| format!("can't read {file}"))?;
        return Ok(text.trim().to_owned());
    }
    match std::env::var(TOKEN_VAR) {
        Ok(token) => Ok(token),
        Err(_) => bail!("no token: set {TOKEN_VAR} or pass --token-file"),
    }
}
