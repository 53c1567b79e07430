//! The command line and the commands of the proxy program.

use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Args, Parser, Subcommand};
use gaugestep_config::schema::Operator;
use gaugestep_control_plane::client::SubscriberSettings;
use gaugestep_control_plane::error_line;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::config::{self, Config};
use crate::logging::{self, LineFormat};
use crate::memory::allocator;
use crate::server::{ResourceLimits, Server, preallocate_descriptor_table};
use crate::{admin, process_exit, task};

/// A proxy before query engines: cancels stragglers after a learned timeout and relaunches them once.
#[derive(Parser)]
#[command(name = "gaugestep", disable_version_flag = true)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the proxy in the foreground until SIGTERM; SIGHUP reloads the configuration.
    Serve(ServeOptions),
    /// Checks whether a configuration file is valid.
    CheckConfig {
        /// The configuration file.
        #[arg(env = "EDGE_CONFIG")]
        config: PathBuf,
    },
    /// Prints the version.
    Version,
}

#[derive(Args)]
struct ServeOptions {
    /// The configuration file.
    #[arg(long, env = "EDGE_CONFIG")]
    config: PathBuf,
    /// The address of the HTTP API for operators; overrides the configuration's `management`.
    #[arg(long, env = "EDGE_MANAGEMENT")]
    management: Option<SocketAddr>,
    /// The descriptor of a listening socket inherited from the platform; overrides the configuration's
    /// `listen`.
    #[arg(long, env = "EDGE_SOCKET_FD")]
    socket_fd: Option<RawFd>,
    /// The operator's configuration file in protobuf text format; see deploy/operator.textproto.
    #[arg(long, env = "GAUGESTEP_OPERATOR")]
    operator: Option<PathBuf>,
    /// Writes the log as JSON lines.
    #[arg(long, env = "GAUGESTEP_LOG_JSON")]
    log_json: bool,
}

/// Runs the program. Errors are printed as one line on standard error.
pub fn run() -> ExitCode {
    allocator::configure();
    process_exit::install();
    let cli = Cli::try_parse().unwrap_or_else(|error| {
        process_exit::mark_planned();
        error.exit()
    });
    let result = match cli.command {
        Command::Serve(options) => serve(options),
        Command::CheckConfig { config } => check_config(&config),
        Command::Version => {
            println!("gaugestep {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    process_exit::mark_planned();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gaugestep: {}", error_line(&*error));
            ExitCode::FAILURE
        }
    }
}

fn check_config(path: &Path) -> anyhow::Result<()> {
    let config = Config::load(path)?;
    ResourceLimits::new(&config.limits, false).memory_plan(&config.limits)?;
    println!("{}: can be used; listens on {}", config.name, config.listen_address);
    Ok(())
}

/// Runs the proxy until a signal stops it.
fn serve(options: ServeOptions) -> anyhow::Result<()> {
    // Signals are registered first, because SIGHUP terminates a process that does not handle it.
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|error| anyhow::Error::new(error).context("cannot register signal handlers"))?;
    let config = Config::load(&options.config)?;
    let initial_json = config::read_json(&options.config)?;
    preallocate_descriptor_table(config.limits.descriptors);
    let format = if options.log_json { LineFormat::Json } else { LineFormat::Text };
    let log = logging::start(format);
    task::init_scheduler();
    let name = config.name.clone();
    let admin_address = options.management.or(config.admin_address);
    let operator = options.operator.as_deref();
    let control = operator.map(|path| subscriber_settings(path, &config)).transpose()?.flatten();
    let server = Arc::new(Server::start(config, options.socket_fd, control, log.set_directives)?);
    if let Some(address) = admin_address {
        admin::start(address, server.clone())?;
    }
    let filter = std::env::var(logging::FILTER_VARIABLE).unwrap_or_default();
    tracing::info!(name, log = filter, "serving");
    handle_signals(signals, &server, &options.config, &initial_json)
}

/// Reloads the configuration on each SIGHUP, and shuts the proxy down on any other signal. Blocks the main
/// thread.
fn handle_signals(
    mut signals: Signals,
    server: &Server,
    path: &Path,
    initial_json: &serde_json::Value,
) -> anyhow::Result<()> {
    for signal in signals.forever() {
        if signal == SIGHUP {
            reload(server, path, initial_json);
            continue;
        }
        tracing::info!(signal, response_window_ms = server.response_window_ms(), "shutting down");
        server.shut_down();
        tracing::info!("shut down");
        return Ok(());
    }
    Err(anyhow::anyhow!("the signal iterator ended unexpectedly"))
}

/// Reloads the configuration file. An invalid file is logged and changes nothing.
fn reload(server: &Server, path: &Path, initial_json: &serde_json::Value) {
    match Config::reload(path, initial_json) {
        Ok(config) => {
            server.reconfigure(config);
            server.reload_counts.record_applied();
            tracing::info!("configuration reloaded");
        }
        Err(error) => {
            tracing::error!("cannot reload the configuration, which stays unchanged: {}", error_line(&error));
            server.reload_counts.record_rejected();
        }
    }
}

/// Reads the settings of the control servers from an operator's file. Returns `None` if the file has none.
fn subscriber_settings(path: &Path, config: &Config) -> anyhow::Result<Option<SubscriberSettings>> {
    let operator: Operator = gaugestep_control_plane::read_text_file("Operator", path)?;
    let Some(control) = operator.control else { return Ok(None) };
    let build = env!("CARGO_PKG_VERSION");
    let settings = SubscriberSettings::from_config(&control, &config.name, build, config.seed)?;
    Ok(Some(settings))
}
