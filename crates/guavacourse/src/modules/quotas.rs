//! Limits on the requests of customers, summed over the fleet.

mod tolerance;

pub use self::tolerance::Tolerance;
