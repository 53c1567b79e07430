//! The program: the protocol on standard input and output.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use crate::{Host, WireError};

/// Why the program ends with a failure.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error("cannot read the input: {0}")]
    Read(#[source] io::Error),
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error("cannot write the reply: {0}")]
    Write(#[source] io::Error),
}

fn serve() -> Result<(), CommandError> {
    let mut host = Host::new();
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut line = String::new();
    loop {
        line.clear();
        if input.read_line(&mut line).map_err(CommandError::Read)? == 0 {
            return Ok(host.finish()?);
        }
        if let Some(reply) = host.handle_line(&line)? {
            let written = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
            written.map_err(CommandError::Write)?;
        }
    }
}

/// Runs the program until its input ends.
pub fn run() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gaugestep-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
