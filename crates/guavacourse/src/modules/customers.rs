//! Customers of the callers: whose key a request carries, and where it may be served.

mod customer;
mod fault;
mod keyring;
mod regions;
mod revocation;

pub use self::{
    customer::{ApiKey, Customer, Quota},
    fault::{CustomerFault, check},
    keyring::{Credential, Denial, Keyring},
    regions::AllowedRegions,
    revocation::Revocation,
};
