//! The real proxy: command line and logging.

mod admin;
mod class_registry;
mod config;
mod config_applier;
mod discovery;
mod downstream;
mod facade;
mod process_exit;
mod query;
mod request_lifecycle;
mod server;
mod termination;
mod upstream;

pub(crate) use gaugestep_coroutine_io::{lock, stream, task};

use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use clap::{Parser, Subcommand};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use gaugestep_config::schema::{Control, Operator};
use gaugestep_log_filter::expand;
use tracing_appender::non_blocking::NonBlocking;
use tracing_subscriber::{EnvFilter, reload};

use config::Config;
use config_applier::SetLog;

/// A proxy before query engines: cuts stragglers past a learned timeout and relaunches them once.
#[derive(Parser)]
#[command(name = "gaugestep", disable_version_flag = true)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the proxy in the foreground until SIGTERM; SIGHUP has it read the configuration again.
    Serve {
        /// The configuration.
        #[arg(long, env = "EDGE_CONFIG")]
        config: PathBuf,
        /// Where operators call, in place of the configuration's `management`.
        #[arg(long, env = "EDGE_MANAGEMENT")]
        management: Option<SocketAddr>,
        /// The descriptor of a listening socket that the platform holds, in place of the configuration's `listen`.
        #[arg(long, env = "EDGE_SOCKET_FD")]
        socket_fd: Option<RawFd>,
        /// What operators set beside it, as protobuf text format; see deploy/operator.textproto.
        #[arg(long, env = "GAUGESTEP_OPERATOR")]
        operator: Option<PathBuf>,
        /// The log as JSON lines.
        #[arg(long, env = "GAUGESTEP_LOG_JSON")]
        log_json: bool,
    },
    /// Reads a configuration and says whether it can be used.
    CheckConfig {
        /// The configuration.
        #[arg(env = "EDGE_CONFIG")]
        config: PathBuf,
    },
    /// Prints the version.
    Version,
}

/// Runs the program.
pub fn run() -> ExitCode {
    process_exit::watch();
    let cli = Cli::try_parse().unwrap_or_else(|told| {
        process_exit::planned();
        told.exit()
    });
    let done = match cli.command {
        Command::Serve { config, management, socket_fd, operator, log_json } => {
            serve(&config, management, socket_fd, operator.as_deref(), log_json)
        }
        Command::CheckConfig { config } => Config::load(&config).map(|config| {
            println!("{}: can be used; listens on {}", config.name, config.listen);
        }),
        Command::Version => {
            println!("gaugestep {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    process_exit::planned();
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("gaugestep: {message}");
            ExitCode::FAILURE
        }
    }
}

fn serve(
    path: &Path,
    management: Option<SocketAddr>,
    socket_fd: Option<RawFd>,
    operator: Option<&Path>,
    log_json: bool,
) -> Result<(), String> {
    // First of all: SIGHUP ends a process that does not take it.
    let mut signals =
        Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|error| format!("cannot take signals: {error}"))?;
    let config = Config::load(path)?;
    let shape = config::read(path)?;
    make_descriptors(config.limits.descriptors);
    // Lines are written by a thread of their own, so that a slow reader of the log stops no coroutine.
    let (writer, _guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(4096)
        .finish(std::io::stderr());
    let set_log = start_log(writer, log_json);
    task::init_scheduler();
    let name = config.name.clone();
    let management = management.or(config.management);
    let (seed, control) = (config.seed, operator.map(control).transpose()?.flatten());
    let server = Arc::new(server::Server::start(config, socket_fd, set_log)?);
    if let Some(control) = control {
        let build = env!("CARGO_PKG_VERSION");
        let settings =
            gaugestep_control_plane::client::SubscriberSettings::from_config(&control, &name, build, seed)
                .map_err(|error| error.to_string())?;
        server.follow(settings)?;
    }
    if let Some(address) = management {
        admin::open(address, server.clone())?;
    }
    let log = std::env::var("GAUGESTEP_LOG").unwrap_or_default();
    tracing::info!(name, log, "serving");
    for signal in signals.forever() {
        if signal == SIGHUP {
            match Config::reload(path, &shape) {
                Ok(config) => {
                    server.reconfigure(config);
                    server.reloads.0.fetch_add(1, Ordering::Relaxed);
                    tracing::info!("took the new configuration");
                }
                Err(error) => {
                    tracing::error!("the old configuration stays in force: {error}");
                    server.reloads.1.fetch_add(1, Ordering::Relaxed);
                }
            }
            continue;
        }
        tracing::info!(signal, "draining");
        server.drain();
        tracing::info!("done");
        return Ok(());
    }
    Err("signals are no longer delivered".into())
}

/// What an operator's file says of a control service.
fn control(path: &Path) -> Result<Option<Control>, String> {
    let told: Operator =
        gaugestep_control_plane::read_text_file("Operator", path).map_err(|error| error.to_string())?;
    Ok(told.control)
}

/// Starts the log; what is returned sets what is logged, to what it was at the start where nothing is said.
fn start_log(writer: NonBlocking, json: bool) -> SetLog {
    use tracing_subscriber::prelude::*;
    let told = std::env::var("GAUGESTEP_LOG").ok();
    let at_start = told.filter(|told| EnvFilter::try_new(told).is_ok());
    let at_start = at_start.unwrap_or_else(|| "gaugestep=info,gaugestep_control=info".into());
    let (filter, handle) = reload::Layer::new(EnvFilter::new(expand(&at_start)));
    let lines = tracing_subscriber::fmt::layer().with_writer(writer).with_ansi(false);
    let log = tracing_subscriber::registry().with(filter);
    match json {
        true => log.with(lines.json().flatten_event(true)).init(),
        false => log.with(lines).init(),
    }
    Box::new(move |directives| {
        let filter = match directives {
            None => Ok(EnvFilter::new(expand(&at_start))),
            Some(directives) => EnvFilter::try_new(expand(&format!("{at_start},{directives}"))),
        };
        let set = filter
            .map_err(|error| error.to_string())
            .and_then(|filter| handle.reload(filter).map_err(|error| error.to_string()));
        if let Err(error) = set {
            tracing::error!("the log goes on as it is: {error}");
        }
    })
}

/// Has the kernel make room for all descriptors that the process may hold. Guards against doing so under load: with
/// more than one thread each step (64, 128, 256, ...) waits for the whole machine, and the worker stood still for
/// seconds in `accept`.
fn make_descriptors(most: usize) {
    let last = i32::try_from(most.saturating_sub(1)).unwrap_or(i32::MAX);
    if let Err(error) = rustix::io::fcntl_dupfd_cloexec(std::io::stderr(), last) {
        eprintln!("gaugestep: no room for {most} descriptors: {error}");
    }
}
