//! Output of command results, as text for people or as one JSON value for programs.

use serde::Serialize;

/// The output format of results, which are printed on stdout.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    json: bool,
}

impl Output {
    /// Creates an output that prints JSON if `json` is true, and text otherwise.
    #[must_use]
    pub fn new(json: bool) -> Self {
        Output { json }
    }

    /// Prints a report. `text` is called only for text output; its result contains the line breaks.
    pub(crate) fn print(self, report: &impl Serialize, text: impl FnOnce() -> String) {
        if self.json {
            // The conversion to a `Value` sorts the keys.
            let value =
                serde_json::to_value(report).expect("reports contain only strings, numbers and lists");
            println!("{value}");
        } else {
            print!("{}", text());
        }
    }
}
