//! When to connect again. Decides waits that spread hundreds of proxies which lose one service at the same moment.

/// Milliseconds: the widest first wait, and the widest of all.
const FIRST: f64 = 250.0;
const MOST: f64 = 8_000.0;
/// A stream that held for so many milliseconds was a good one: what went wrong before it is forgotten.
const HELD: f64 = 10_000.0;

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
    pub fn ended(&mut self, held: f64) -> f64 {
        self.failures = if held >= HELD { 1 } else { self.failures.saturating_add(1) };
        let width = (FIRST * f64::from(self.failures - 1).exp2()).min(MOST);
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
            let width = (FIRST * f64::from(failure.min(20)).exp2()).min(MOST);
            assert!((0.0..=width).contains(&backoff.ended(0.0)));
        }
        assert!(backoff.ended(HELD) <= FIRST);
    }

    /// Three hundred proxies that lose their service at one moment: no tenth of the first width sees a third of them.
    #[test]
    fn many_come_back_spread_out() {
        let mut slots = [0; 10];
        for seed in 0..300 {
            slots[(Backoff::new(seed).ended(0.0) / FIRST * 10.0) as usize] += 1;
        }
        assert!(slots.iter().all(|count| (10..60).contains(count)), "{slots:?}");
    }
}
