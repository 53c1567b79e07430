//! How evenly something lies over those who have a part of it.

/// How evenly something lies. Each figure is 1 where every part is what it should be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fairness {
    /// The largest part over what it should be.
    pub max_ratio: f64,
    /// The smallest part over what it should be.
    pub min_ratio: f64,
    /// Jain's index of the parts over what they should be: 1 / n where one has all (Jain, Chiu, Hawe, 1984).
    pub jain_index: f64,
}

/// How evenly `parts` lie: what each has, and its weight against the others. Parts without weight count nothing.
pub fn fairness(parts: impl IntoIterator<Item = (f64, f64)>) -> Fairness {
    let parts: Vec<(f64, f64)> = parts.into_iter().filter(|(_, weight)| *weight > 0.0).collect();
    let (had, weights) = parts.iter().fold((0.0, 0.0), |sum, part| (sum.0 + part.0, sum.1 + part.1));
    if had <= 0.0 {
        return Fairness { max_ratio: 1.0, min_ratio: 1.0, jain_index: 1.0 };
    }
    let over = |(has, weight): &(f64, f64)| has / (had * weight / weights);
    let (mut most, mut least, mut sum, mut squares) = (0.0f64, f64::INFINITY, 0.0, 0.0);
    for ratio in parts.iter().map(over) {
        (most, least) = (most.max(ratio), least.min(ratio));
        (sum, squares) = (sum + ratio, squares + ratio * ratio);
    }
    Fairness { max_ratio: most, min_ratio: least, jain_index: sum * sum / (parts.len() as f64 * squares) }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_that_has_all_and_all_that_have_the_same() {
        let even = fairness([(2.0, 1.0), (4.0, 2.0), (0.0, 0.0)]);
        assert_eq!((even.max_ratio, even.min_ratio, even.jain_index), (1.0, 1.0, 1.0));
        let one = fairness([(8.0, 1.0), (0.0, 1.0), (0.0, 1.0), (0.0, 1.0)]);
        assert_eq!((one.max_ratio, one.min_ratio, one.jain_index), (4.0, 0.0, 0.25));
        assert_eq!(fairness([(0.0, 1.0)]).jain_index, 1.0, "nothing lies evenly");
    }
}
