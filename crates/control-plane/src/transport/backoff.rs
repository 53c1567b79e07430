//! When to connect again. Decides waits that spread hundreds of proxies which lose one service at the same moment.

/// Milliseconds: the widest first wait, and the widest of all.
const BASE_WIDTH: f64 = 250.0;
const MAX_WIDTH: f64 = 8_000.0;
/// A stream that held for so many milliseconds was a good one: what went wrong before it is forgotten.
const RESET_AFTER: f64 = 10_000.0;

/// Waits that double, each drawn evenly from none to all of its width ("full jitter").
pub struct Backoff {
    random: oorandom::Rand64,
    failures: u32,
}

impl Backoff {
    /// No failure yet; `seed` differs from proxy to proxy.
    pub fn new(seed: u64) -> Self {
        Backoff { random: oorandom::Rand64::new(seed.into()), failures: 0 }
    }

    /// A stream has ended, or did not come up, after it was of use for `held` milliseconds. The milliseconds to wait.
    pub fn next_delay(&mut self, held: f64) -> f64 {
        self.failures = if held >= RESET_AFTER { 1 } else { self.failures.saturating_add(1) };
        let width = (BASE_WIDTH * f64::from(self.failures - 1).exp2()).min(MAX_WIDTH);
        self.random.rand_float() * width
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn waits_widen_are_bounded_and_start_anew_behind_a_good_stream() {
        let mut backoff = Backoff::new(1);
        for failure in 0..2_000u32 {
            let width = (BASE_WIDTH * f64::from(failure.min(20)).exp2()).min(MAX_WIDTH);
            assert!((0.0..=width).contains(&backoff.next_delay(0.0)));
        }
        assert!(backoff.next_delay(RESET_AFTER) <= BASE_WIDTH);
    }

    /// Three hundred proxies that lose their service at one moment: no tenth of the first width sees a third of them.
    #[test]
    fn many_come_back_spread_out() {
        let mut slots = [0; 10];
        for seed in 0..300 {
            slots[(Backoff::new(seed).next_delay(0.0) / BASE_WIDTH * 10.0) as usize] += 1;
        }
        assert!(slots.iter().all(|count| (10..60).contains(count)), "{slots:?}");
    }
}
