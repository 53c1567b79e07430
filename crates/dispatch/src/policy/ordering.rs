//! Ordered queues: the requests of one key run one at a time, in the order of arrival.

use super::*;

impl OrderedQueues {
    /// Whether the request's key lets it run now.
    pub fn is_next(&self, context: &Context, new: &NewRequest) -> bool {
        let Some(queue) = self.get(context.settings.order_key(new)) else { return true };
        queue.ids.front() == Some(&new.id) && context.now >= queue.paused_until
    }

    /// How many requests the head of the request's queue works for, with itself.
    pub fn len(&self, context: &Context, new: &NewRequest) -> usize {
        self.get(context.settings.order_key(new)).map_or(1, |queue| queue.ids.len().max(1))
    }

    /// Pauses the request's key after an attempt that might still be running.
    pub fn on_attempt_ended(&mut self, context: &Context, new: &NewRequest, outcome: Outcome) {
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            self.pause(new.order_key.as_ref(), context.now + context.settings.order_pause + 1.0);
        }
    }
}
