//! The command `serve`, which runs the control server until a signal stops it.

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

/// How long a server waits for other members to take its roles over before it stops.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(1);
/// The environment variable that sets what is logged.
const LOG_FILTER_VARIABLE: &str = "GAUGESTEP_LOG";
const DEFAULT_LOG_FILTER: &str = "info,may=warn";

/// Why the server does not run.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The settings cannot be read.
    #[error(transparent)]
    TextFile(#[from] TextFileError),
    /// The settings cannot be used.
    #[error("{}: {source}", path.display())]
    InvalidSettings {
        /// The file of the settings.
        path: PathBuf,
        /// What is wrong with them.
        source: SettingsError,
    },
    /// The signals that stop the server cannot be waited for.
    #[error("cannot take signals: {0}")]
    Signals(#[source] io::Error),
    /// The server cannot be started.
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

/// Logs to stderr. A filter that cannot be read is as good as none: the server must start all the same.
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

/// A seed that differs between processes, also between those that start at one moment.
fn random_seed() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(1, |since| since.as_nanos() as u64) ^ (u64::from(std::process::id()) << 40)
}
