//! How evenly something is spread over those who share it.

/// How evenly something is spread. Each figure is 1 if everybody has exactly the share that its weight entitles it to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fairness {
    /// The largest ratio of what somebody has to what it should have.
    pub max_ratio: f64,
    /// The smallest such ratio.
    pub min_ratio: f64,
    /// Jain's fairness index of these ratios: 1 / n if one of n has everything (Jain, Chiu, Hawe, 1984).
    pub jain_index: f64,
}

impl Fairness {
    const PERFECT: Fairness = Fairness { max_ratio: 1.0, min_ratio: 1.0, jain_index: 1.0 };
}

/// Measures how evenly something is spread. `shares` are, for each party, what it has and its weight. Parties without weight
/// are ignored; if nobody has anything, it is spread evenly.
pub fn fairness(shares: impl IntoIterator<Item = (f64, f64)>) -> Fairness {
    let shares: Vec<(f64, f64)> = shares.into_iter().filter(|(_, weight)| *weight > 0.0).collect();
    let total: f64 = shares.iter().map(|(amount, _)| amount).sum();
    let total_weight: f64 = shares.iter().map(|(_, weight)| weight).sum();
    if total <= 0.0 {
        return Fairness::PERFECT;
    }
    let (mut max_ratio, mut min_ratio) = (0.0f64, f64::INFINITY);
    let (mut sum, mut sum_of_squares) = (0.0, 0.0);
    for (amount, weight) in &shares {
        let ratio = amount / (total * weight / total_weight);
        max_ratio = max_ratio.max(ratio);
        min_ratio = min_ratio.min(ratio);
        sum += ratio;
        sum_of_squares += ratio * ratio;
    }
    Fairness { max_ratio, min_ratio, jain_index: sum * sum / (shares.len() as f64 * sum_of_squares) }
}
