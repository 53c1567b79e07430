//! Encodes the lines of the response to a batch.

use std::fmt::Write as _;

use gaugestep_dispatch::Action;
use gaugestep_dispatch::interface::RequestId;

/// The line that ends a response.
pub(crate) const END_OF_RESPONSE: &str = "done\n";

/// Appends an action of the dispatcher with this id to a response, as a line of the protocol.
///
/// # Panics
///
/// Never, as writing to a string cannot fail.
pub fn write_action(dispatcher: u64, action: &Action, response: &mut String) {
    let written = match action {
        Action::Send { id: RequestId(req), engine } => {
            writeln!(response, "forward dispatcher_id={dispatcher} req={req} node={}", engine.0)
        }
        Action::Cancel { id: RequestId(req), attempt } => {
            writeln!(response, "cancel dispatcher_id={dispatcher} req={req} send_no={}", attempt.0)
        }
        Action::Reject { id: RequestId(req), retry_after, .. } => {
            writeln!(response, "bounce dispatcher_id={dispatcher} req={req} wait_ms={retry_after:.3}")
        }
        Action::Fail { id: RequestId(req) } => {
            writeln!(response, "respond_error dispatcher_id={dispatcher} req={req}")
        }
        Action::SetAttemptOptions { id: RequestId(req), memory_mb, priority } => writeln!(
            response,
            "set_terms dispatcher_id={dispatcher} req={req} memory_grant={memory_mb:.0} importance={priority}"
        ),
        Action::SetTimer { timer, delay } => {
            writeln!(response, "sleep dispatcher_id={dispatcher} handle={} offset_ms={delay:.3}", timer.0)
        }
        Action::Log(text) => {
            writeln!(response, "record dispatcher_id={dispatcher} text={}", text.replace('\n', " "))
        }
    };
    written.expect("writing to a string cannot fail");
}
