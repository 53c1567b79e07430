//! `gaugestep-adapter`: the decision module on the simulator's wire.

use std::process::ExitCode;

fn main() -> ExitCode {
    gaugestep_simulator_adapter::command::run()
}
