//! Learns how far data centres are.

use crate::modules::collections::Map;

/// Least latencies of the calls to each data centre.
#[derive(Clone, Debug, Default)]
pub struct Distances {
    /// In microseconds.
    least: Map<String, f64>,
}

impl Distances {
    /// Records the latency of a call to a leaf in `data_centre`, in microseconds.
    pub fn record(&mut self, data_centre: &str, latency: f64) {
        if let Some(least) = self.least.get_mut(data_centre) {
            *least = least.min(latency);
        } else {
            self.least.insert(data_centre.to_owned(), latency);
        }
    }

    /// Returns the time that a call to `data_centre` takes longer than one to the nearest,
    /// in microseconds; `None` before the first answer from there.
    #[must_use]
    pub fn to(&self, data_centre: &str) -> Option<f64> {
        let own = self.least.get(data_centre)?;
        let nearest = self.least.values().copied().fold(*own, f64::min);
        Some(own - nearest)
    }
}
