//! Formatting of errors for log lines and command output.

use std::error::Error;

/// Formats an error and its chain of sources on one line, separated by colons.
///
/// Errors of this workspace usually include their source in their own text, those of other libraries usually
/// do not. A source whose text the line already contains is therefore skipped.
#[must_use]
pub fn error_line(error: &dyn Error) -> String {
    let mut line = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        let text = error.to_string();
        if !line.contains(&text) {
            line = format!("{line}: {text}");
        }
        source = error.source();
    }
    line
}
