//! The log: where its lines go, and which lines are written.

use gaugestep_config::Document;
use gaugestep_config::schema::logging::Level;
use gaugestep_log_filter::expand;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::reload::{self, Handle};
use tracing_subscriber::{EnvFilter, Registry};

/// The environment variable that holds the filter of the start.
pub const FILTER_VARIABLE: &str = "GAUGESTEP_LOG";
/// The filter of the start where there is no valid one.
const DEFAULT_FILTER: &str = "gaugestep=info,gaugestep_control=info";
/// Lines that may wait to be written; more are dropped.
const BUFFERED_LINES: usize = 4096;

/// Sets which lines are logged: those that the directives add to the filter of the start, or that filter alone.
pub type SetLog = Box<dyn Fn(Option<String>) + Send + Sync>;

/// The form of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineFormat {
    /// Text for people.
    Text,
    /// A JSON object.
    Json,
}

/// The log as it has been started. When it is dropped, the lines that wait are written.
pub struct Log {
    /// Sets which lines are logged.
    pub set_log: SetLog,
    /// Writes the last lines when it is dropped.
    _guard: WorkerGuard,
}

/// Why a filter cannot be put into force.
#[derive(Debug, thiserror::Error)]
enum FilterError {
    /// Its directives are invalid.
    #[error(transparent)]
    Parse(#[from] tracing_subscriber::filter::ParseError),
    /// The log has been shut down.
    #[error(transparent)]
    Reload(#[from] reload::Error),
}

/// Starts the log on standard error.
pub fn start(format: LineFormat) -> Log {
    use tracing_subscriber::prelude::*;
    // A thread of its own writes the lines, so that a slow reader of the log blocks no coroutine.
    let (writer, guard): (NonBlocking, WorkerGuard) =
        NonBlockingBuilder::default().buffered_lines_limit(BUFFERED_LINES).finish(std::io::stderr());
    let configured = std::env::var(FILTER_VARIABLE).ok();
    let initial = configured.filter(|filter| EnvFilter::try_new(filter).is_ok());
    let initial = initial.unwrap_or_else(|| DEFAULT_FILTER.into());
    let (filter, handle) = reload::Layer::new(EnvFilter::new(expand(&initial)));
    let lines = tracing_subscriber::fmt::layer().with_writer(writer).with_ansi(false);
    let log = tracing_subscriber::registry().with(filter);
    match format {
        LineFormat::Json => log.with(lines.json().flatten_event(true)).init(),
        LineFormat::Text => log.with(lines).init(),
    }
    let set_log = move |directives: Option<String>| {
        if let Err(error) = set_filter(&handle, &initial, directives.as_deref()) {
            tracing::error!("the log filter is unchanged: {error}");
        }
    };
    Log { set_log: Box::new(set_log), _guard: guard }
}

fn set_filter(
    handle: &Handle<EnvFilter, Registry>,
    initial: &str,
    directives: Option<&str>,
) -> Result<(), FilterError> {
    let filter = match directives {
        None => EnvFilter::new(expand(initial)),
        Some(directives) => EnvFilter::try_new(expand(&format!("{initial},{directives}")))?,
    };
    Ok(handle.reload(filter)?)
}

/// The filter directives of a document; none if it says nothing about logging.
pub fn directives(document: &Document) -> Option<String> {
    let logging = document.logging.as_ref()?;
    let base = level_name(logging.level()).map(|level| format!("gaugestep={level}"));
    let parts =
        logging.parts.iter().filter_map(|part| Some(format!("{}={}", part.name, level_name(part.level())?)));
    let directives: Vec<String> = base.into_iter().chain(parts).collect();
    (!directives.is_empty()).then(|| directives.join(","))
}

fn level_name(level: Level) -> Option<&'static str> {
    match level {
        Level::Unset => None,
        Level::Error => Some("error"),
        Level::Warn => Some("warn"),
        Level::Info => Some("info"),
        Level::Debug => Some("debug"),
        Level::Trace => Some("trace"),
    }
}
