//! Measures how evenly an amount is distributed over weighted parties.

/// How evenly an amount is distributed. Each figure is 1 if every party has an amount in proportion to its
/// weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fairness {
    /// The largest ratio of the amount of a party to its amount in an even distribution.
    pub max_ratio: f64,
    /// The smallest such ratio.
    pub min_ratio: f64,
    /// Jain's fairness index of these ratios: 1 / n if one of n parties has everything (Jain, Chiu, Hawe,
    /// 1984).
    pub jain_index: f64,
}

impl Fairness {
    const PERFECT: Fairness = Fairness { max_ratio: 1.0, min_ratio: 1.0, jain_index: 1.0 };
}

/// Measures how evenly an amount is distributed. `parties` yields the amount and the weight of each party.
/// Parties of weight 0 or below are ignored; a total of 0 counts as evenly distributed.
pub fn fairness(parties: impl IntoIterator<Item = (f64, f64)>) -> Fairness {
    let parties: Vec<(f64, f64)> = parties.into_iter().filter(|(_, weight)| *weight > 0.0).collect();
    let total: f64 = parties.iter().map(|(amount, _)| amount).sum();
    let total_weight: f64 = parties.iter().map(|(_, weight)| weight).sum();
    if total <= 0.0 {
        return Fairness::PERFECT;
    }
    let (mut max_ratio, mut min_ratio) = (0.0f64, f64::INFINITY);
    let (mut sum, mut sum_of_squares) = (0.0, 0.0);
    for (amount, weight) in &parties {
        let ratio = amount / (total * weight / total_weight);
        max_ratio = max_ratio.max(ratio);
        min_ratio = min_ratio.min(ratio);
        sum += ratio;
        sum_of_squares += ratio * ratio;
    }
    Fairness { max_ratio, min_ratio, jain_index: sum * sum / (parties.len() as f64 * sum_of_squares) }
}
