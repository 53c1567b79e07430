//! Sets up logging to standard error, and changes the log filter at run time.

use gaugestep_config::Document;
use gaugestep_config::schema::logging::Level;
use gaugestep_log_filter::expand;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::reload::{self, Handle};
use tracing_subscriber::{EnvFilter, Registry};

/// The environment variable with the initial log filter.
pub const FILTER_VARIABLE: &str = "GAUGESTEP_LOG";
/// The initial filter if [`FILTER_VARIABLE`] is not set or not valid.
const DEFAULT_FILTER: &str = "gaugestep=info,gaugestep_control=info";
/// Maximum number of lines that wait to be written; further lines are dropped.
const BUFFERED_LINES: usize = 4096;

/// Sets the log filter: the initial filter with the given directives appended, or the initial filter alone
/// for `None`.
pub type SetLogDirectives = Box<dyn Fn(Option<String>) + Send + Sync>;

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// The running log. Dropping it writes the lines that still wait.
pub struct Log {
    /// Changes the log filter.
    pub set_directives: SetLogDirectives,
    /// Writes the remaining lines when it is dropped.
    _guard: WorkerGuard,
}

/// The reason why a log filter cannot be applied.
#[derive(Debug, thiserror::Error)]
enum FilterError {
    /// The directives are invalid.
    #[error(transparent)]
    Parse(#[from] tracing_subscriber::filter::ParseError),
    /// The log has been shut down.
    #[error(transparent)]
    Reload(#[from] reload::Error),
}

/// Starts logging to standard error.
pub fn start(format: LineFormat) -> Log {
    use tracing_subscriber::prelude::*;
    // A separate thread writes the lines, so that a slow reader of standard error does not block coroutines.
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
    let set_directives = move |directives: Option<String>| {
        if let Err(error) = set_filter(&handle, &initial, directives.as_deref()) {
            tracing::error!("cannot apply the log filter, which stays unchanged: {error}");
        }
    };
    Log { set_directives: Box::new(set_directives), _guard: guard }
}

/// Replaces the log filter by the initial filter, with the directives appended if there are any.
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

/// Returns the filter directives of a document, or `None` if it does not configure logging.
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
