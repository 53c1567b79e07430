//! The stable text form of the dispatcher's actions, and the names under which events and actions are
//! counted.
//!
//! This file alone maps types, variants and fields of the interface to the texts of the digests. The texts
//! are part of the golden file and must not change when the interface renames something. Floats are written
//! as their bits, so that a difference in the last bit is detected. The texts of log lines are not part of
//! the digests, so that they can be reworded.

use std::fmt::Write as _;

use gaugestep_dispatch::interface::{Action, Event, Millis, Outcome, ProgressReport, RejectReason};

/// The kinds of action in the order of the golden file; each must occur.
pub const ACTION_KINDS: [&str; 7] = ["send", "cancel", "reject", "fail", "set_terms", "set_timer", "log"];

/// The reject reasons in the order of the golden file; each must occur.
pub const REJECT_REASONS: [&str; 4] = ["attempts_failed", "expired_waiting", "too_long", "overloaded"];

/// The kinds of event in the order of the golden file; each must occur.
pub const EVENT_KINDS: [&str; 12] = [
    "engine_list",
    "engine_changes",
    "request",
    "attempt_end",
    "streaming",
    "progress",
    "client_gone",
    "closing_by",
    "place_granted",
    "settings_update",
    "probe_result",
    "timer",
];

/// The outcomes of an attempt in the order of the golden file; each must occur.
pub const OUTCOMES: [&str; 8] =
    ["served", "failed", "rejected", "timed_out", "connect_failed", "reset", "cancelled", "not_sent"];

/// The kinds of progress report in the order of the golden file; each must occur.
pub const PROGRESS_KINDS: [&str; 4] = ["done", "spills", "waits_for_memory", "waits_for_load"];

/// The name of an action's kind.
pub fn action_kind(action: &Action) -> &'static str {
    match action {
        Action::Send { .. } => "send",
        Action::Cancel { .. } => "cancel",
        Action::Reject { .. } => "reject",
        Action::Fail { .. } => "fail",
        Action::SetAttemptOptions { .. } => "set_terms",
        Action::SetTimer { .. } => "set_timer",
        Action::Log(_) => "log",
    }
}

/// The name of a reject reason.
pub fn reject_reason(reason: RejectReason) -> &'static str {
    match reason {
        RejectReason::AttemptsFailed => "attempts_failed",
        RejectReason::QueueTimeout => "expired_waiting",
        RejectReason::TooLong => "too_long",
        RejectReason::Overloaded => "overloaded",
    }
}

/// The name of an event's kind.
pub fn event_kind(event: &Event) -> &'static str {
    match event {
        Event::EngineList(_) => "engine_list",
        Event::EngineChanges(_) => "engine_changes",
        Event::Request(_) => "request",
        Event::AttemptEnded(_) => "attempt_end",
        Event::StreamingStarted(..) => "streaming",
        Event::Progress(..) => "progress",
        Event::ClientGone(_) => "client_gone",
        Event::ShutdownBy(_) => "closing_by",
        Event::PositionAssigned(..) => "place_granted",
        Event::SettingsUpdated(_) => "settings_update",
        Event::ProbeResult(..) => "probe_result",
        Event::Timer(_) => "timer",
    }
}

/// The name of an attempt's outcome.
pub fn outcome(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Failed => "failed",
        Outcome::Rejected => "rejected",
        Outcome::TimedOut => "timed_out",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "not_sent",
    }
}

/// The name of a progress report's kind.
pub fn progress_kind(report: ProgressReport) -> &'static str {
    match report {
        ProgressReport::Done(_) => "done",
        ProgressReport::Spills(_) => "spills",
        ProgressReport::WaitsForMemory => "waits_for_memory",
        ProgressReport::WaitsForLoad => "waits_for_load",
    }
}

/// Appends one action as one line.
pub fn write_action(text: &mut String, action: &Action) {
    let kind = action_kind(action);
    let written = match action {
        Action::Send { id, engine } => writeln!(text, "{kind} {} {}", id.0, engine.0),
        Action::Cancel { id, attempt } => writeln!(text, "{kind} {} {}", id.0, attempt.0),
        Action::Reject { id, retry_after, reason } => {
            writeln!(text, "{kind} {} {} {}", id.0, bits(*retry_after), reject_reason(*reason))
        }
        Action::Fail { id } => writeln!(text, "{kind} {}", id.0),
        Action::SetAttemptOptions { id, memory_mb, priority } => {
            writeln!(text, "{kind} {} {} {priority}", id.0, bits(*memory_mb))
        }
        Action::SetTimer { timer, delay } => writeln!(text, "{kind} {} {}", timer.0, bits(*delay)),
        Action::Log(_) => writeln!(text, "{kind}"),
    };
    written.expect("a string takes any text");
}

/// Appends the line that precedes the actions of one call: its number, its time and the name of the call.
pub fn write_call(text: &mut String, number: u64, now: Millis, call: &str) {
    writeln!(text, "call {number} {} {call}", bits(now)).expect("a string takes any text");
}

/// Appends the result of `Dispatcher::sendable_until`.
pub fn write_sendable_until(text: &mut String, until: Millis) {
    writeln!(text, "sendable_until {}", bits(until)).expect("a string takes any text");
}

/// Appends the result of `Dispatcher::ejected_count`.
pub fn write_ejected_count(text: &mut String, engines: usize) {
    writeln!(text, "avoided {engines}").expect("a string takes any text");
}

/// A float as its bits in hexadecimal.
fn bits(value: f64) -> String {
    format!("{:016x}", value.to_bits())
}
