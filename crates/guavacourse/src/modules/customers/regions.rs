//! Regions in which a request may be served.

use std::sync::Arc;

/// Regions in which a request may be served; all by default.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AllowedRegions(Option<Arc<[String]>>);

impl AllowedRegions {
    /// Returns the regions that both lists allow; an empty list allows all.
    #[must_use]
    pub fn in_both(first: &[String], second: &[String]) -> Self {
        let allowed: Option<Vec<String>> = match (first, second) {
            ([], []) => None,
            ([], only) | (only, []) => Some(only.to_vec()),
            (first, second) => {
                let common = first.iter().filter(|region| second.contains(region));
                Some(common.cloned().collect())
            }
        };
        Self(allowed.map(Arc::from))
    }

    /// Returns whether some regions are not allowed.
    #[must_use]
    pub fn restricted(&self) -> bool {
        self.0.is_some()
    }

    /// Returns whether a region is allowed; one that is not known is only if all are.
    #[must_use]
    pub fn allows(&self, region: Option<&String>) -> bool {
        let Some(allowed) = &self.0 else {
            return true;
        };
        region.is_some_and(|region| allowed.contains(region))
    }
}
