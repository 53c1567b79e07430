//! The command line of `gaugestep-control`: the command that runs the control server, and the operators'
//! commands, grouped into modules by subject.

pub mod admin_client;
mod args;
mod completions;
pub mod connection;
pub mod exit;
mod members;
mod ordinals;
pub mod output;
mod proxies;
mod publish;
mod roles;
pub mod serve;
mod versions;

use std::process::ExitCode;
use std::time::Duration;

use clap::Parser as _;

use crate::cli::args::{Cli, Command, MembersCommand};
use crate::cli::exit::{CommandResult, ExitStatus};
use crate::cli::output::Output;
use crate::error_line;

/// Parses the command line and runs the command. An error is printed as one line on stderr.
pub fn run() -> ExitCode {
    let Cli { json, command } = Cli::parse();
    match execute(command, json) {
        Ok(status) => status.into(),
        Err(error) => {
            eprintln!("gaugestep-control: {}", error_line(&error));
            ExitCode::FAILURE
        }
    }
}

fn execute(command: Command, json: bool) -> CommandResult {
    let output = Output::new(json);
    match command {
        Command::Serve { config, restored } => {
            serve::serve(&config, restored, json)?;
            Ok(ExitStatus::Success)
        }
        Command::Validate { document } => publish::validate(output, &document),
        Command::Publish { connection, publish } => publish::publish(output, &connection, &publish),
        Command::List { connection, most } => versions::list(output, &connection, most),
        Command::Show { connection, version } => versions::show(output, &connection, version),
        Command::Diff { connection, from, to } => versions::diff(output, &connection, &from, &to),
        Command::Status { connection, proxy } => proxies::status(output, &connection, proxy.as_deref()),
        Command::Watch { connection, version, within } => {
            proxies::watch(output, &connection, version, Duration::from_secs(within))
        }
        Command::Rollback { connection, to, note } => publish::rollback(output, &connection, to, note),
        Command::Members { connection, change: None } => members::list(output, &connection),
        Command::Members { change: Some(change), .. } => match change {
            MembersCommand::Add { connection, new } => members::add(output, &connection, &new),
            MembersCommand::Remove { connection, number } => members::remove(output, &connection, number),
        },
        Command::Duties { connection } => roles::list(output, &connection),
        Command::Seats { connection } => ordinals::list(output, &connection),
        Command::HandOver { connection, duty, to } => roles::hand_over(output, &connection, &duty, to),
        Command::TakeOver { connection, duty } => roles::take_over(output, &connection, &duty),
        Command::Declare { connection, duty } => roles::declare(output, &connection, &duty),
        Command::Completions { shell } => Ok(completions::print(shell)),
    }
}
