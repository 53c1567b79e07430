//! Errors as operators read them.

use std::error::Error;

/// Returns an error and its sources on one line, each behind a colon.
///
/// The errors of this workspace mostly say their sources themselves, those of other libraries mostly do not: a source that
/// the line already contains is not repeated.
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
