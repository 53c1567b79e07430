//! The command `completions`, which prints completion scripts for shells.

use clap::CommandFactory as _;
use clap_complete::Shell;

use crate::cli::args::Cli;
use crate::cli::exit::ExitStatus;

/// Prints the completion script for a shell.
pub(crate) fn print(shell: Shell) -> ExitStatus {
    clap_complete::generate(shell, &mut Cli::command(), "gaugestep-control", &mut std::io::stdout());
    ExitStatus::Success
}
