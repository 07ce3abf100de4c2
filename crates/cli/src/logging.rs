//! Set-up of logging.

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

/// Maximum number of lines below the level WARN that are written per second.
const MAX_LINES_PER_SECOND: u64 = 500;
/// Maximum number of lines that wait to be written; further lines are dropped.
const MAX_QUEUED_LINES: usize = 4_096;
/// Size of the output buffer, in bytes.
const WRITE_BUFFER_LEN: usize = 64 * 1024;

/// Starts writing logs to standard error.
///
/// # Errors
///
/// Returns an error if `log.level` is not a valid filter or a logger is already set.
pub fn start(log: &Log) -> Result<()> {
    let builder = tracing_subscriber::fmt()
        .with_env_filter(env_filter(log)?)
        .with_writer(std::io::stderr);
    let result = match log.format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    result.map_err(|e| eyre!("failed to initialize logging: {e}"))
}

/// Starts writing logs to standard output from a background thread, so that a reader that stops
/// reading does not block the threads that log. Lines below the level WARN are rate-limited; all
/// lines are limited by the length of the queue. Dropping the guard flushes the queue.
///
/// # Errors
///
/// Returns an error if `log.level` is not a valid filter or a logger is already set.
pub fn start_bounded(log: &Log) -> Result<(WorkerGuard, DroppedLines)> {
    let stdout = BufWriter::with_capacity(WRITE_BUFFER_LEN, std::io::stdout());
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .finish(stdout);
    let limit = RateLimit::new(MAX_LINES_PER_SECOND);
    let dropped_lines = limit.dropped_lines.clone();
    let layer = tracing_subscriber::fmt::layer().with_writer(writer);
    let layer: Box<dyn Layer<Registry> + Send + Sync> = match log.format {
        LogFormat::Text => layer.with_ansi(false).boxed(),
        LogFormat::Json => layer.json().flatten_event(true).with_target(false).boxed(),
    };
    let layer = layer.with_filter(limit).with_filter(env_filter(log)?);
    tracing_subscriber::registry()
        .with(layer)
        .try_init()
        .map_err(|e| eyre!("failed to initialize logging: {e}"))?;
    Ok((guard, dropped_lines))
}

fn env_filter(log: &Log) -> Result<EnvFilter> {
    EnvFilter::try_new(&log.level)
        .wrap_err_with(|| format!("log.level: `{}` is not a valid filter", log.level))
}

/// Counter of the lines that the rate limit dropped.
#[derive(Clone, Debug, Default)]
pub struct DroppedLines(Arc<AtomicU64>);

impl DroppedLines {
    /// Returns the number of lines dropped since the start.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Filter that admits a limited number of lines per second, and all warnings and errors.
#[derive(Debug)]
pub struct RateLimit {
    per_second: u64,
    started: Instant,
    /// The current second since `started` in the upper half, the number of lines in it in the lower
    /// half.
    window: AtomicU64,
    dropped_lines: DroppedLines,
}

/// Width of the line count in `RateLimit::window`, in bits.
const LINE_COUNT_BITS: u32 = 32;

impl RateLimit {
    /// Creates a limit of `per_second` lines per second.
    #[must_use]
    pub fn new(per_second: u64) -> Self {
        Self {
            per_second,
            started: Instant::now(),
            window: AtomicU64::new(0),
            dropped_lines: DroppedLines::default(),
        }
    }

    /// Returns the counter of dropped lines.
    #[must_use]
    pub fn dropped_lines(&self) -> DroppedLines {
        self.dropped_lines.clone()
    }

    fn admits(&self) -> bool {
        let second = self.started.elapsed().as_secs();
        let count = |window: u64| {
            if window >> LINE_COUNT_BITS == second {
                window + 1
            } else {
                (second << LINE_COUNT_BITS) + 1
            }
        };
        let update = self
            .window
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |window| {
                Some(count(window))
            });
        let lines = update.map_or(0, count) & ((1 << LINE_COUNT_BITS) - 1);
        let admits = lines <= self.per_second;
        if !admits {
            self.dropped_lines.0.fetch_add(1, Ordering::Relaxed);
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
