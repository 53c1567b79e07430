//! `gaugestep`: the proxy between PostgreSQL clients and query engines.

use std::process::ExitCode;

fn main() -> ExitCode {
    gaugestep_proxy::run()
}
