//! The real proxy: command line and logging.

mod config;
mod exits;
mod facade;
mod net;

use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use clap::{Parser, Subcommand};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use config::Config;

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

fn main() -> ExitCode {
    exits::watch();
    let cli = Cli::try_parse().unwrap_or_else(|told| {
        exits::planned();
        told.exit()
    });
    let done = match cli.command {
        Command::Serve { config, management, socket_fd } => serve(&config, management, socket_fd),
        Command::CheckConfig { config } => Config::load(&config).map(|config| {
            println!("{}: can be used; listens on {}", config.name, config.listen);
        }),
        Command::Version => {
            println!("gaugestep {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    exits::planned();
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("gaugestep: {message}");
            ExitCode::FAILURE
        }
    }
}

fn serve(path: &Path, management: Option<SocketAddr>, socket_fd: Option<RawFd>) -> Result<(), String> {
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
    let filter = tracing_subscriber::EnvFilter::try_from_env("GAUGESTEP_LOG")
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("gaugestep=info"));
    tracing_subscriber::fmt().with_writer(writer).with_env_filter(filter).with_ansi(false).init();
    net::task::set_up();
    let name = config.name.clone();
    let management = management.or(config.management);
    let server = Arc::new(net::server::Server::start(config, socket_fd)?);
    if let Some(address) = management {
        net::ops::open(address, server.clone())?;
    }
    tracing::info!(name, "serving");
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

/// Has the kernel make room for all descriptors that the process may hold. Guards against doing so under load: with
/// more than one thread each step (64, 128, 256, ...) waits for the whole machine, and the worker stood still for
/// seconds in `accept`.
fn make_descriptors(most: usize) {
    let last = i32::try_from(most.saturating_sub(1)).unwrap_or(i32::MAX);
    if let Err(error) = rustix::io::fcntl_dupfd_cloexec(std::io::stderr(), last) {
        eprintln!("gaugestep: no room for {most} descriptors: {error}");
    }
}
