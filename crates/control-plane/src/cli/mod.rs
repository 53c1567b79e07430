//! The command line of `gaugestep-control`: the control service, and the operators' commands.

pub mod admin_client;
mod commands;
mod group_commands;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::cli::commands::{Connect, Out, PublishArgs};
use crate::cli::group_commands::NewMember;
use crate::server::{ControlServer, Settings};
use clap::{CommandFactory as _, Parser, Subcommand};
use gaugestep_config::schema;

/// Versions of the operators' configuration: the service that streams them, and commands to operate it.
#[derive(Parser)]
#[command(name = "gaugestep-control", version)]
struct Cli {
    /// Output for machines: one JSON value, or one a line for `watch`; the service's log as JSON lines.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the service in the foreground until SIGTERM.
    Serve {
        /// The service's file, as protobuf text format; see deploy/control.textproto.
        #[arg(long, env = "GAUGESTEP_CONTROL_CONFIG")]
        config: PathBuf,
        /// Uses a store that is a copy, or older than its seal: whoever used it is gone for good. Only for a service that
        /// is alone.
        #[arg(long)]
        restored: bool,
    },
    /// Says whether a document can be used; needs no service.
    Validate {
        /// The document, as protobuf text format.
        document: PathBuf,
    },
    /// Publishes a document as the next version.
    Publish {
        #[command(flatten)]
        connect: Connect,
        #[command(flatten)]
        publish: PublishArgs,
    },
    /// Lists versions, newest first.
    List {
        #[command(flatten)]
        connect: Connect,
        /// At most so many; 0: all.
        #[arg(long, default_value_t = 20)]
        most: u32,
    },
    /// Shows a version, the newest if none is named.
    Show {
        #[command(flatten)]
        connect: Connect,
        /// Its number.
        #[arg(default_value_t = 0)]
        version: u64,
    },
    /// Shows what differs between two versions, each a number or a file; exit code 1 if anything does.
    Diff {
        #[command(flatten)]
        connect: Connect,
        /// The older one.
        from: String,
        /// The newer one.
        to: String,
    },
    /// Shows each proxy: what it has in force, was offered, and turned down.
    Status {
        #[command(flatten)]
        connect: Connect,
        /// Only this one; exit code 1 if nothing is known of it.
        #[arg(long)]
        proxy: Option<String>,
    },
    /// Follows a version until it was offered to all and every proxy that is here has it (exit code 0), or until it was
    /// halted or overtaken (exit code 3).
    Watch {
        #[command(flatten)]
        connect: Connect,
        /// Its number, the newest if none is named.
        #[arg(default_value_t = 0)]
        version: u64,
        /// Seconds after which to give up, with exit code 4.
        #[arg(long, default_value_t = 600)]
        within: u64,
    },
    /// Publishes the content of an earlier version as the next one, to all at once.
    Rollback {
        #[command(flatten)]
        connect: Connect,
        /// The earlier version.
        to: u64,
        /// Why.
        #[arg(long, default_value = "")]
        note: String,
    },
    /// Shows the services of the group, adds one, or removes one for good. Exit code 1 if no majority is here.
    Members {
        #[command(flatten)]
        connect: Connect,
        #[command(subcommand)]
        change: Option<ChangeMembers>,
    },
    /// Shows who owns what for the fleet, under which term and for how long. Exit code 1 if something has no owner.
    Duties {
        #[command(flatten)]
        connect: Connect,
    },
    /// Shows which proxy has which seat. Exit code 1 if nobody keeps the roster.
    Seats {
        #[command(flatten)]
        connect: Connect,
    },
    /// Has the owner of a duty hand it over to another member, as before maintenance.
    HandOver {
        #[command(flatten)]
        connect: Connect,
        /// The duty.
        #[arg(default_value = gaugestep_leadership::CONFIGURATION_ROLE)]
        duty: String,
        /// The member; whichever has the fewest duties if none is named.
        #[arg(long, default_value_t = 0)]
        to: u64,
    },
    /// Has the owner of a duty go on above all terms that proxies have seen, where whoever had those is gone for good.
    TakeOver {
        #[command(flatten)]
        connect: Connect,
        /// The duty.
        #[arg(default_value = gaugestep_leadership::CONFIGURATION_ROLE)]
        duty: String,
    },
    /// Has there be a further duty, for which the group finds an owner.
    Declare {
        #[command(flatten)]
        connect: Connect,
        /// Its name.
        duty: String,
    },
    /// Prints completions for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

#[derive(Subcommand)]
enum ChangeMembers {
    /// Has a service join that runs on an empty store with `joins: true`.
    Add {
        #[command(flatten)]
        connect: Connect,
        #[command(flatten)]
        new: NewMember,
    },
    /// Has a member leave for good; its number is never used again.
    Remove {
        #[command(flatten)]
        connect: Connect,
        /// Its number.
        number: u64,
    },
}

/// Runs the program.
pub fn run() -> ExitCode {
    let cli = Cli::parse();
    let out = Out { json: cli.json };
    let done = match cli.command {
        Command::Serve { config, restored } => serve(&config, restored, cli.json).map(|()| 0),
        Command::Validate { document } => commands::validate(&out, &document),
        Command::Publish { connect, publish } => commands::publish(&out, &connect, &publish),
        Command::List { connect, most } => commands::list(&out, &connect, most),
        Command::Show { connect, version } => commands::show(&out, &connect, version),
        Command::Diff { connect, from, to } => commands::diff(&out, &connect, &from, &to),
        Command::Status { connect, proxy } => commands::status(&out, &connect, proxy.as_deref()),
        Command::Watch { connect, version, within } => commands::watch(&out, &connect, version, within),
        Command::Rollback { connect, to, note } => commands::rollback(&out, &connect, to, note),
        Command::Members { connect, change } => match change {
            None => group_commands::members(&out, &connect),
            Some(ChangeMembers::Add { connect, new }) => group_commands::add(&out, &connect, &new),
            Some(ChangeMembers::Remove { connect, number }) => group_commands::remove(&out, &connect, number),
        },
        Command::Duties { connect } => group_commands::duties(&out, &connect),
        Command::Seats { connect } => group_commands::seats(&out, &connect),
        Command::HandOver { connect, duty, to } => group_commands::hand_over(&out, &connect, &duty, to),
        Command::TakeOver { connect, duty } => group_commands::take_over(&out, &connect, &duty),
        Command::Declare { connect, duty } => group_commands::declare(&out, &connect, &duty),
        Command::Completions { shell } => {
            let mut command = Cli::command();
            clap_complete::generate(shell, &mut command, "gaugestep-control", &mut std::io::stdout());
            Ok(0)
        }
    };
    match done {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("gaugestep-control: {error}");
            ExitCode::FAILURE
        }
    }
}

/// How long a service that is to end waits until others have its duties.
const HANDED_WITHIN: std::time::Duration = std::time::Duration::from_secs(1);

fn serve(path: &std::path::Path, restored: bool, json: bool) -> Result<(), String> {
    use signal_hook::consts::{SIGINT, SIGTERM};
    let told: schema::Service = crate::read_text_file("Service", path)?;
    let settings = Settings::from_schema(&told).map_err(|error| format!("{}: {error}", path.display()))?;
    let settings = Settings { restored, ..settings };
    let filter = std::env::var("GAUGESTEP_LOG")
        .ok()
        .and_then(|told| tracing_subscriber::EnvFilter::try_new(gaugestep_log_filter::expand(&told)).ok())
        .unwrap_or_else(|| tracing_subscriber::EnvFilter::new("info,may=warn"));
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_env_filter(filter).with_ansi(false);
    match json {
        true => log.json().flatten_event(true).init(),
        false => log.init(),
    }
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT])
        .map_err(|error| format!("cannot take signals: {error}"))?;
    gaugestep_coroutine_io::task::init_scheduler();
    let seed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let seed = seed.map_or(1, |since| since.as_nanos() as u64) ^ (u64::from(std::process::id()) << 40);
    let (listen, operators) = (settings.listen, settings.operators);
    let service = ControlServer::start(settings, seed)?;
    tracing::info!(%listen, %operators, "serving");
    let signal = signals.forever().next();
    service.hand_all_over(HANDED_WITHIN);
    tracing::info!(signal, "stopped");
    Ok(())
}
