//! The command `completions`.

use clap::CommandFactory as _;
use clap_complete::Shell;

use crate::cli::args::Cli;
use crate::cli::exit::ExitStatus;

/// Prints completions for a shell.
pub(crate) fn print(shell: Shell) -> ExitStatus {
    clap_complete::generate(shell, &mut Cli::command(), "gaugestep-control", &mut std::io::stdout());
    ExitStatus::Success
}
