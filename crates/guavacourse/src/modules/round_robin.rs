//! Distributes the requests of a kind over services by weight.

/// Smooth weighted round robin: each service gets its share of every run of
/// requests, not only on average.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Returns the index of the service for the next request; 0 if no weight is
    /// above 0.
    pub fn next(&mut self, weights: &[f64]) -> usize {
        if self.credits.len() != weights.len() {
            self.credits = vec![0.0; weights.len()];
        }
        let total: f64 = weights.iter().map(|weight| weight.max(0.0)).sum();
        for (credit, weight) in self.credits.iter_mut().zip(weights) {
            *credit += weight.max(0.0);
        }
        let candidates = self.credits.iter().enumerate();
        let chosen = candidates
            .filter(|(index, _)| weights[*index] > 0.0)
            .max_by(|(_, a), (_, b)| a.total_cmp(b))
            .map_or(0, |(index, _)| index);
        if let Some(credit) = self.credits.get_mut(chosen) {
            *credit -= total;
        }
        chosen
    }
}
