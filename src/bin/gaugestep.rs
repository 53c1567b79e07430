//! `gaugestep`: the proxy.

use std::process::ExitCode;

fn main() -> ExitCode {
    gaugestep_proxy::run()
}
