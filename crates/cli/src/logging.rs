//! Set-up of the logs.

use cardamomslip::settings::{Log, LogFormat};
use eyre::{Result, WrapErr, eyre};
use std::io::BufWriter;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;
use tracing::{Level, Metadata};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Layer, Registry};

/// Lines below a warning that are written in one second at most.
const MAX_LINES_PER_SECOND: u64 = 500;
/// Lines that wait to be written at most; what comes beyond is left out.
const MAX_QUEUE: usize = 4_096;
/// Bytes that are written at once.
const WRITE_BUFFER: usize = 64 * 1024;

/// Starts writing logs to standard error.
///
/// # Errors
///
/// Returns an error if the level is not valid.
pub fn start(log: &Log) -> Result<()> {
    let builder = tracing_subscriber::fmt()
        .with_env_filter(env_filter(log)?)
        .with_writer(std::io::stderr);
    let started = match log.format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    started.map_err(|e| eyre!("logs can't be started: {e}"))
}

/// Starts writing logs to standard output by a thread of its own, so that a reader which stops
/// reading blocks nobody. Lines below a warning are bounded by a rate; the rest is bounded by the
/// queue. Dropping the guard writes what is left.
///
/// # Errors
///
/// Returns an error if the level is not valid.
pub fn start_bounded(log: &Log) -> Result<(WorkerGuard, LeftOut)> {
    let stdout = BufWriter::with_capacity(WRITE_BUFFER, std::io::stdout());
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUE)
        .finish(stdout);
    let limit = RateLimit::new(MAX_LINES_PER_SECOND);
    let left_out = limit.left_out.clone();
    let lines = tracing_subscriber::fmt::layer().with_writer(writer);
    let lines: Box<dyn Layer<Registry> + Send + Sync> = match log.format {
        LogFormat::Text => lines.with_ansi(false).boxed(),
        LogFormat::Json => lines.json().flatten_event(true).with_target(false).boxed(),
    };
    let lines = lines.with_filter(limit).with_filter(env_filter(log)?);
    tracing_subscriber::registry()
        .with(lines)
        .try_init()
        .map_err(|e| eyre!("logs can't be started: {e}"))?;
    Ok((guard, left_out))
}

fn env_filter(log: &Log) -> Result<EnvFilter> {
    EnvFilter::try_new(&log.level)
        .wrap_err_with(|| format!("log.level: `{}` is not a filter", log.level))
}

/// Number of lines that were left out for their rate.
#[derive(Clone, Debug, Default)]
pub struct LeftOut(Arc<AtomicU64>);

impl LeftOut {
    /// Returns the number since the start.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Lets a number of lines pass in each second, and all warnings and errors.
#[derive(Debug)]
pub struct RateLimit {
    per_second: u64,
    started: Instant,
    /// The second in its upper half, the lines in it in its lower half.
    window: AtomicU64,
    left_out: LeftOut,
}

/// Bits of the number of lines in a window.
const LINE_BITS: u32 = 32;

impl RateLimit {
    /// Builds a limit.
    #[must_use]
    pub fn new(per_second: u64) -> Self {
        Self {
            per_second,
            started: Instant::now(),
            window: AtomicU64::new(0),
            left_out: LeftOut::default(),
        }
    }

    /// Returns the counter of lines that were left out.
    #[must_use]
    pub fn left_out(&self) -> LeftOut {
        self.left_out.clone()
    }

    fn admits(&self) -> bool {
        let second = self.started.elapsed().as_secs();
        let count = |window: u64| {
            if window >> LINE_BITS == second {
                window + 1
            } else {
                (second << LINE_BITS) + 1
            }
        };
        let update = self
            .window
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |window| {
                Some(count(window))
            });
        let lines = update.map_or(0, count) & ((1 << LINE_BITS) - 1);
        let admits = lines <= self.per_second;
        if !admits {
            self.left_out.0.fetch_add(1, Ordering::Relaxed);
        }
        admits
    }
}

impl<S> Filter<S> for RateLimit {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &tracing::Event<'_>, _: &Context<'_, S>) -> bool {
        *event.metadata().level() <= Level::WARN || self.admits()
    }
}
