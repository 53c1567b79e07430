//! Unit tests of the policy's modules. The modules are private to the crate, so these files are compiled into
//! its unit test.

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod fleet;
mod load;
mod ordering;
mod outlier;
mod placement;
mod ranking;
mod records;
mod retry;
mod slow_start;
mod timeout;
mod work;

use crate::dispatcher::Context;
use crate::interface::*;
use crate::requests::{Attempt, Request};

/// A context at this time with these settings.
fn context(now: Millis, settings: Settings) -> Context {
    Context { now, settings }
}

/// The context of one class whose requests may be repeated freely.
fn safe_class(now: Millis) -> Context {
    context(now, common::settings(vec![common::class(Idempotency::Safe, 1.0)]))
}

/// A request that arrived at time 0 and has its deadline a minute later.
fn open_request(number: u32) -> Request {
    Request::new(common::request(number, 0, 60_000.0), 0.0, 4)
}

/// An attempt on this engine that has ended.
fn ended(engine: u32, sent_at: Millis, outcome: Outcome) -> Attempt {
    Attempt { outcome: Some(outcome), ..Attempt::new(EngineId(engine), sent_at) }
}

/// The end of the request's first attempt, `elapsed` after it was sent.
fn attempt_end(number: u32, engine: u32, outcome: Outcome, elapsed: Millis) -> AttemptEnd {
    AttemptEnd {
        id: common::id(number),
        attempt: AttemptNo(0),
        engine: EngineId(engine),
        outcome,
        finished: outcome == Outcome::Served,
        elapsed,
        cost: None,
        load: None,
    }
}
