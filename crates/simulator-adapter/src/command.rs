//! Hosts dispatchers on the simulator's wire: standard input to standard output.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use crate::Host;

fn serve() -> Result<(), String> {
    let mut host = Host::new();
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut line = String::new();
    loop {
        line.clear();
        if input.read_line(&mut line).map_err(|error| format!("cannot read the input: {error}"))? == 0 {
            return host.end().map_err(|error| error.to_string());
        }
        if let Some(reply) = host.line(&line).map_err(|error| error.to_string())? {
            let written = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
            written.map_err(|error| format!("cannot write the reply: {error}"))?;
        }
    }
}

/// Runs the program until its input ends.
pub fn run() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("gaugestep-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
