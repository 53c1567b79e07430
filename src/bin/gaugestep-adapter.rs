//! `gaugestep-adapter`: runs the decision module behind the simulator's line protocol.

use std::process::ExitCode;

fn main() -> ExitCode {
    gaugestep_simulator_adapter::command::run()
}
