//! Ordered queues: the requests of one order key run one at a time, in the order of arrival.

use crate::dispatcher::Context;
use crate::interface::{Millis, NewRequest, Outcome};
use crate::requests::OrderedQueues;

/// Time in milliseconds that is added to the pause of a key.
const PAUSE_MARGIN: Millis = 1.0;

impl OrderedQueues {
    /// Whether the request's order key permits it to be sent now: it is the first of its queue, and the queue
    /// is not paused. Requests without a queue always may.
    pub fn is_next(&self, context: &Context, new: &NewRequest) -> bool {
        let Some(queue) = self.get(context.settings.order_key(new)) else { return true };
        queue.ids.front() == Some(&new.id) && context.now >= queue.paused_until
    }

    /// The number of requests in the request's queue, at least 1; 1 for a request without a queue.
    pub fn queue_length(&self, context: &Context, new: &NewRequest) -> usize {
        self.get(context.settings.order_key(new)).map_or(1, |queue| queue.ids.len().max(1))
    }

    /// Pauses the request's order key after an attempt that may still be running.
    pub fn on_attempt_ended(&mut self, context: &Context, new: &NewRequest, outcome: Outcome) {
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            self.pause(new.order_key.as_ref(), context.now + context.settings.order_pause + PAUSE_MARGIN);
        }
    }
}
