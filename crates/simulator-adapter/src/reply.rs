//! The lines that answer a batch.

use std::fmt::Write as _;

use gaugestep_dispatch::Action;
use gaugestep_dispatch::interface::RequestId;

/// The line that ends a reply.
pub(crate) const END_OF_REPLY: &str = "done\n";

/// Appends one action of a dispatcher to a reply, as a line of the protocol.
///
/// # Panics
///
/// Never: a string takes all that is written to it.
pub fn write_action(dispatcher: u64, action: &Action, reply: &mut String) {
    let written = match action {
        Action::Send { id: RequestId(req), engine } => {
            writeln!(reply, "forward dispatcher_id={dispatcher} req={req} node={}", engine.0)
        }
        Action::Cancel { id: RequestId(req), attempt } => {
            writeln!(reply, "cancel dispatcher_id={dispatcher} req={req} send_no={}", attempt.0)
        }
        Action::Reject { id: RequestId(req), retry_after, .. } => {
            writeln!(reply, "bounce dispatcher_id={dispatcher} req={req} wait_ms={retry_after:.3}")
        }
        Action::Fail { id: RequestId(req) } => {
            writeln!(reply, "respond_error dispatcher_id={dispatcher} req={req}")
        }
        Action::SetAttemptOptions { id: RequestId(req), memory_mb, priority } => writeln!(
            reply,
            "set_terms dispatcher_id={dispatcher} req={req} memory_grant={memory_mb:.0} importance={priority}"
        ),
        Action::SetTimer { timer, delay } => {
            writeln!(reply, "sleep dispatcher_id={dispatcher} handle={} offset_ms={delay:.3}", timer.0)
        }
        Action::Log(text) => {
            writeln!(reply, "record dispatcher_id={dispatcher} text={}", text.replace('\n', " "))
        }
    };
    written.expect("a string takes all that is written to it");
}
