//! `gaugestep-control`: the control server for versioned configuration, and the operators' commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    gaugestep_control_plane::cli::run()
}
