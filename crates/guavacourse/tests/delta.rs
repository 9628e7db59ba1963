//! Deltas between bodies of the configuration, and what is sent to a peer.

use guavacourse::modules::{
    adoption::Stamp,
    archive::{Archive, Body, Transfer},
    delta::{Delta, DeltaMismatch},
};
use proptest::prelude::*;

/// Generates texts with few distinct lines, so that lines repeat.
fn text() -> impl Strategy<Value = String> {
    prop::collection::vec("[ab]{0,2}", 0..40).prop_map(|lines| lines.join("\n"))
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_delta_makes_the_new_text(old in text(), new in text()) {
        let delta = Delta::between(&old, &new);
        prop_assert_eq!(delta.apply(&old), Ok(new.clone()));
        prop_assert_eq!(delta.hunks.is_empty(), old == new);
    }
}

#[test]
fn a_delta_is_rendered_as_text() {
    let old = "a\nb\nc\nd\ne";
    let new = "a\nB\nc\nd\nd2\ne";
    let delta = Delta::between(old, new);
    insta::assert_snapshot!(delta.render(old), @r"
    @@ line 2 @@
    -b
    +B
    @@ line 5 @@
    +d2
    ");
}

#[test]
fn a_delta_for_another_body_is_rejected() {
    let delta = Delta::between("a\nb\nc", "a\nb\nd");
    assert_eq!(delta.apply("a"), Err(DeltaMismatch));
}

fn body(revision: u64, text: &str) -> Body {
    Body {
        stamp: Stamp::of(revision, text.as_bytes()),
        text: text.to_owned(),
    }
}

#[test]
fn a_peer_receives_a_delta_or_the_whole_body() {
    let mut archive = Archive::default();
    assert!(archive.transfer(0).is_none());
    for revision in 1..=6 {
        let lines: Vec<String> = (0..50).map(|i| format!("line {i}")).collect();
        let text = format!("{}\nrevision {revision}", lines.join("\n"));
        archive.push(body(revision, &text));
    }
    let describe = |have| match archive.transfer(have) {
        Some(Transfer::Delta(delta)) => delta.to_string(),
        Some(Transfer::Whole(body)) => format!("whole revision {}", body.stamp.revision),
        None => "nothing".to_owned(),
    };
    let sent: Vec<String> = [0, 2, 3, 5, 6, 9].into_iter().map(describe).collect();
    insta::assert_snapshot!(sent.join("\n"), @r"
    whole revision 6
    whole revision 6
    lines removed: 1, added: 1
    lines removed: 1, added: 1
    lines removed: 0, added: 0
    whole revision 6
    ");
}
