//! The command `serve`, which runs the control server until SIGTERM or SIGINT.

use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use gaugestep_config::schema;
use gaugestep_coroutine_io::task;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing_subscriber::EnvFilter;

use crate::server::settings::{Settings, SettingsError};
use crate::server::{ControlServer, StartError};
use crate::text_file::{TextFileError, read_text_file};

/// How long a server that shuts down waits for other members to take over its roles.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(1);
/// The environment variable with the log filter.
const LOG_FILTER_VARIABLE: &str = "GAUGESTEP_LOG";
const DEFAULT_LOG_FILTER: &str = "info,may=warn";

/// Why the control server cannot run.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The file of the settings cannot be read or parsed.
    #[error(transparent)]
    TextFile(#[from] TextFileError),
    /// The settings are invalid.
    #[error("{}: {source}", path.display())]
    InvalidSettings {
        /// The file of the settings.
        path: PathBuf,
        /// The first fault that was found.
        source: SettingsError,
    },
    /// The handlers of SIGTERM and SIGINT cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The control server cannot be started.
    #[error(transparent)]
    Start(#[from] StartError),
}

/// Runs the server in the foreground until SIGTERM or SIGINT.
pub(crate) fn serve(config: &Path, restored: bool, json: bool) -> Result<(), ServeError> {
    let settings = Settings { restored, ..read_settings(config)? };
    start_log(json);
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(ServeError::Signals)?;
    task::init_scheduler();
    let (listen, operators) = (settings.listen, settings.operators);
    let server = ControlServer::start(settings, random_seed())?;
    tracing::info!(%listen, %operators, "serving");
    let signal = signals.forever().next();
    server.hand_over_all(HAND_OVER_TIMEOUT);
    tracing::info!(signal, "stopped");
    Ok(())
}

fn read_settings(path: &Path) -> Result<Settings, ServeError> {
    let config: schema::Service = read_text_file("Service", path)?;
    Settings::from_schema(&config)
        .map_err(|source| ServeError::InvalidSettings { path: path.to_owned(), source })
}

/// Starts logging to stderr. An invalid filter is replaced by the default one, as it must not prevent the
/// start.
fn start_log(json: bool) {
    let filter = std::env::var(LOG_FILTER_VARIABLE)
        .ok()
        .and_then(|directives| EnvFilter::try_new(gaugestep_log_filter::expand(&directives)).ok())
        .unwrap_or_else(|| EnvFilter::new(DEFAULT_LOG_FILTER));
    let log = tracing_subscriber::fmt().with_writer(io::stderr).with_env_filter(filter).with_ansi(false);
    if json {
        log.json().flatten_event(true).init();
    } else {
        log.init();
    }
}

/// Returns a seed that differs between processes, also between those that start at the same moment.
fn random_seed() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(1, |since| since.as_nanos() as u64) ^ (u64::from(std::process::id()) << 40)
}
