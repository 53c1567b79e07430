//! `gaugestep-control`: the control service of versioned configuration, and the operators' commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    gaugestep_control_plane::cli::run()
}
