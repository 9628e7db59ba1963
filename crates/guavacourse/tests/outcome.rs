//! Tests of the outcomes reported for actions that were not started on this entry.
//! A caller that is told "not run" may submit the action again, so this must not be
//! reported while an earlier copy may have run.

use guavacourse::modules::{
    call::{NotRun, Unknown},
    outcome::{ActionOutcome, NotRunCause, UnknownCause},
};

#[test]
fn only_a_first_try_that_was_not_passed_on_is_reported_as_not_run() {
    let causes = [
        UnknownCause::Expired,
        UnknownCause::HandoverLost,
        UnknownCause::IssuerGone,
        UnknownCause::IssuerUnreachable,
        UnknownCause::StillRunning,
        UnknownCause::StoreDown,
        UnknownCause::Call(Unknown::Closed),
    ];
    for cause in causes {
        assert_eq!(cause.to_outcome(false), ActionOutcome::Unknown(cause));
    }
    let first: Vec<String> = causes
        .iter()
        .map(|cause| format!("{cause} -> {:?}", cause.to_outcome(true)))
        .collect();
    insta::assert_debug_snapshot!(first, @r#"
    [
        "expired -> NotRun(Expired)",
        "handover-lost -> Unknown(HandoverLost)",
        "issuer-gone -> NotRun(IssuerGone)",
        "issuer-unreachable -> NotRun(IssuerUnreachable)",
        "still-running -> Unknown(StillRunning)",
        "store-down -> NotRun(StoreDown)",
        "closed -> Unknown(Call(Closed))",
    ]
    "#);
}

#[test]
fn causes_have_a_text_and_a_remedy() {
    assert_eq!(
        NotRunCause::Call(NotRun::QueueFull).to_string(),
        "queue-full"
    );
    assert_eq!(NotRunCause::StoreDown.to_string(), "store-down");
    assert!(NotRunCause::StoreDown.remedy().contains("/tickets"));
    assert!(UnknownCause::HandoverLost.remedy().contains("same id"));
    assert!(!UnknownCause::IssuerGone.remedy().contains("same id"));
}
