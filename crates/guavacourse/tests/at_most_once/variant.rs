//! Faulty variants of the protocol, whose faults the search must detect.

/// The protocol, either correct or with one fault.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Variant {
    /// The protocol without a fault.
    Correct,
    /// An entry runs its own ticket without reading which ticket the stored claim
    /// names.
    ClaimUnread,
    /// An action is sent to two leaves at once.
    Hedged,
    /// A restarted entry runs the tickets of its earlier incarnation.
    IncarnationIgnored,
    /// The claim is bound to a lease and is deleted when the lease expires.
    LeasedClaim,
    /// A handover without a reply is reported as not run.
    LostHandoverNotRun,
    /// A serial without a record runs, however old it is.
    NoFloor,
    /// A ticket whose action did not run may be used again.
    RefusalForgotten,
    /// Every copy is treated as the caller's first try.
    ResendsTakenAsFirst,
    /// An unknown outcome is treated as a refusal, so the action is retried.
    RetryAfterUnknown,
    /// A resend runs while the first copy is still running.
    RunningIgnored,
}

/// Faults in the handling of tickets, which keys rely on as well.
pub const TICKET_VARIANTS: [Variant; 8] = [
    Variant::Hedged,
    Variant::IncarnationIgnored,
    Variant::LostHandoverNotRun,
    Variant::NoFloor,
    Variant::RefusalForgotten,
    Variant::ResendsTakenAsFirst,
    Variant::RetryAfterUnknown,
    Variant::RunningIgnored,
];

/// Faults in the claim of a caller's own key.
pub const CLAIM_VARIANTS: [Variant; 2] = [Variant::ClaimUnread, Variant::LeasedClaim];
