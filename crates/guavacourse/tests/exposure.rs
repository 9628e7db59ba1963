//! Exposure of a request, combined over its attempts.

use guavacourse::modules::{
    call::{NotRun, Outcome, Unknown},
    exposure::Exposure,
};

const EXPOSURES: [Exposure; 3] = [Exposure::Unsent, Exposure::Refused, Exposure::MaybeRun];

#[test]
fn merge_keeps_the_greater_exposure() {
    for a in EXPOSURES {
        assert_eq!(a.merge(a), a);
        assert_eq!(a.merge(Exposure::Unsent), a);
        assert_eq!(a.merge(Exposure::MaybeRun), Exposure::MaybeRun);
        for b in EXPOSURES {
            assert_eq!(a.merge(b), b.merge(a));
        }
    }
}

#[test]
fn only_proven_refusals_say_not_run() {
    let refused = Exposure::of(&Outcome::NotRun(NotRun::Shed));
    let unknown = Exposure::of(&Outcome::Unknown(Unknown::Closed));
    assert!(refused.proves_not_run());
    assert!(!unknown.proves_not_run());
    assert!(!refused.merge(unknown).proves_not_run());
}
