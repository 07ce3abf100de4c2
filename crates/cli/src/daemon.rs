//! Command line and main function of the entry daemon.

use crate::logging;
use cardamomslip::machine::{Machine, raise_descriptor_limit};
use cardamomslip::{Daemon, Settings, StopHandle};
use eyre::{Result, bail};
use getopts::Options;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::PathBuf;

/// Parsed command line of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonArgs {
    /// Path of the settings file (YAML).
    pub config: PathBuf,
    /// Check the settings and exit without starting the daemon.
    pub check: bool,
}

/// Runs the daemon until a signal stops it.
///
/// # Errors
///
/// Returns an error if the command line or the settings are invalid, or the daemon can't start.
pub fn run() -> Result<()> {
    let Some(args) = DaemonArgs::parse("cardamomslipd")? else {
        return Ok(());
    };
    let settings = Settings::load(&args.config)?;
    raise_descriptor_limit();
    if args.check {
        let limits = settings.limits.ingress(&Machine::detect())?;
        println!("{}: valid", args.config.display());
        println!(
            "callers may hold {} bytes and {} connections",
            limits.bytes, limits.connections
        );
        return Ok(());
    }
    logging::start(&settings.log)?;
    let daemon = Daemon::start(settings)?;
    spawn_signal_thread(daemon.stop_handle())?;
    daemon.wait();
    Ok(())
}

impl DaemonArgs {
    /// Parses the command line of this process. Returns `None` after printing the help or the
    /// version.
    ///
    /// # Errors
    ///
    /// Returns an error that includes the usage if an option is invalid or missing.
    pub fn parse(program: &str) -> Result<Option<Self>> {
        let usage = format!("Usage: {program} --config FILE [--check]");
        let mut opts = Options::new();
        opts.optopt("c", "config", "settings in YAML", "FILE");
        opts.optflag("", "check", "check the settings and exit");
        opts.optflag("h", "help", "print this help");
        opts.optflag("V", "version", "print the version");
        let matches = match opts.parse(std::env::args().skip(1)) {
            Ok(matches) => matches,
            Err(e) => bail!("{e}\n{}", opts.usage(&usage)),
        };
        if matches.opt_present("help") {
            print!("{}", opts.usage(&usage));
            return Ok(None);
        }
        if matches.opt_present("version") {
            println!("{program} {}", env!("CARGO_PKG_VERSION"));
            return Ok(None);
        }
        let Some(config) = matches.opt_str("config") else {
            bail!("--config is missing\n{}", opts.usage(&usage));
        };
        Ok(Some(Self {
            config: config.into(),
            check: matches.opt_present("check"),
        }))
    }
}

/// Starts the signal handler: the first signal begins a graceful stop, the second one stops the
/// daemon immediately.
fn spawn_signal_thread(stop: StopHandle) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    std::thread::spawn(move || {
        let mut stopping = false;
        for signal in signals.forever() {
            if stopping {
                stop.stop_now();
            } else {
                tracing::info!(signal, "stopping gracefully");
                stop.stop();
            }
            stopping = true;
        }
    });
    Ok(())
}
