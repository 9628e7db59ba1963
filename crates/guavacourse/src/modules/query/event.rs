//! The context of one event of a query, and the steps that it produces.

use super::{Step, plan::Batch};
use crate::modules::{
    call::AttemptId, inventory::Address, load_balancer::LoadBalancer, time::Time,
};

/// The balancer and the time of one event, with the steps that it produces.
pub(super) struct EventContext<'a> {
    pub(super) balancer: &'a mut LoadBalancer,
    pub(super) now: Time,
    /// Calls to send.
    pub(super) batch: Batch,
    /// Calls to cancel.
    pub(super) cancels: Vec<(Address, AttemptId)>,
    /// Steps that tell relays that content they suspect is harmless.
    clears: Vec<Step>,
}

impl<'a> EventContext<'a> {
    /// Creates the context of an event.
    pub(super) fn new(balancer: &'a mut LoadBalancer, now: Time) -> Self {
        Self {
            balancer,
            now,
            batch: Batch::default(),
            cancels: Vec::new(),
            clears: Vec::new(),
        }
    }

    /// Tells relays that content they suspect is harmless.
    pub(super) fn clear_content(&mut self, relays: &[Address], content: u64) {
        let steps = relays.iter().map(|relay| Step::Clear {
            relay: *relay,
            content,
        });
        self.clears.extend(steps);
    }

    /// Returns all steps: cleared content, then cancellations, then calls.
    pub(super) fn into_steps(self) -> Vec<Step> {
        let mut steps = self.clears;
        steps.extend(group_cancels(self.cancels));
        let sends = self.batch.into_parts().into_iter();
        steps.extend(sends.map(|(relay, part)| Step::Send { relay, part }));
        steps
    }

    /// Returns all steps but the calls, for an event that ends the query.
    pub(super) fn into_final_steps(self) -> Vec<Step> {
        let mut steps = self.clears;
        steps.extend(group_cancels(self.cancels));
        steps
    }
}

/// Groups cancellations by relay.
fn group_cancels(list: Vec<(Address, AttemptId)>) -> Vec<Step> {
    let mut steps: Vec<Step> = Vec::new();
    for (relay, attempt) in list {
        let same = steps.iter_mut().find_map(|step| match step {
            Step::Cancel {
                relay: other,
                attempts,
            } if *other == relay => Some(attempts),
            _ => None,
        });
        match same {
            Some(attempts) => attempts.push(attempt),
            None => steps.push(Step::Cancel {
                relay,
                attempts: vec![attempt],
            }),
        }
    }
    steps
}
