//! The program: runs the protocol on standard input and output.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use crate::{Host, WireError};

/// Why the program ends with a failure.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error("cannot read standard input: {0}")]
    Read(#[source] io::Error),
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error("cannot write to standard output: {0}")]
    Write(#[source] io::Error),
}

/// Handles the lines of standard input until it ends, and writes the response to each batch.
fn serve() -> Result<(), CommandError> {
    let mut host = Host::new();
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut line = String::new();
    loop {
        line.clear();
        let bytes_read = input.read_line(&mut line).map_err(CommandError::Read)?;
        if bytes_read == 0 {
            return Ok(host.finish()?);
        }
        if let Some(response) = host.handle_line(&line)? {
            let written = output.write_all(response.as_bytes()).and_then(|()| output.flush());
            written.map_err(CommandError::Write)?;
        }
    }
}

/// Runs the program until standard input ends.
pub fn run() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gaugestep-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
