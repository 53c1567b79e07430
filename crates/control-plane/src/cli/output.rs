//! How commands print their results: as text for people, or as one JSON value for machines.

use serde::Serialize;

/// Where and how results are printed.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    json: bool,
}

impl Output {
    /// Prints JSON if `json` is set, text otherwise.
    #[must_use]
    pub fn new(json: bool) -> Self {
        Output { json }
    }

    /// Prints a report. `text` is called only if text is wanted; it ends its own lines.
    pub(crate) fn print(self, report: &impl Serialize, text: impl FnOnce() -> String) {
        if self.json {
            // By way of a value, as that sorts the keys.
            let value = serde_json::to_value(report).expect("reports hold only texts, numbers and lists");
            println!("{value}");
        } else {
            print!("{}", text());
        }
    }
}
