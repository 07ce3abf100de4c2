//! Set-up of the logs.

use cardamomslip::settings::{Log, LogFormat};
use eyre::{Result, WrapErr, eyre};
use tracing_subscriber::EnvFilter;

/// Starts writing logs to standard error.
///
/// # Errors
///
/// Returns an error if the level is not valid.
pub fn start(log: &Log) -> Result<()> {
    let filter = EnvFilter::try_new(&log.level)
        .wrap_err_with(|| format!("log.level: `{}` is not a filter", log.level))?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let started = match log.format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    started.map_err(|e| eyre!("logs can't be started: {e}"))
}
