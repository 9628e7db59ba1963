//! What a process accepts from a registry that lags, fails and contains entries
//! written by other systems.

use std::time::Duration;

use guavacourse::modules::{
    catalog::LeafId,
    collections::Map,
    crash_evidence::{CrashReport, CrashedLeaf},
    directory::{Change, Deployment, Directory, DirectoryEvent, LeafRecord, RegistryReading},
    inventory::{Address, Kind, LeafState},
    keys::KeyRange,
    members::{Member, MemberState},
    time::Time,
};

fn at(millis: u64) -> Time {
    Time::default().after(Duration::from_millis(millis))
}

fn record(name: &str, born: u64, sequence: u64) -> LeafRecord {
    LeafRecord {
        name: name.to_owned(),
        service: "desk".to_owned(),
        address: Address::default(),
        data_centre: "dc-a".to_owned(),
        slots: 3,
        state: MemberState::Live,
        born,
        sequence,
        cold: Duration::ZERO,
    }
}

fn member(name: &str) -> Change {
    Change::Member(Member {
        name: name.to_owned(),
        ..Member::default()
    })
}

fn deployed(version: u64, kind: &str) -> Change {
    Change::Deployed(Box::new(Deployment {
        version,
        kinds: vec![Kind {
            name: kind.to_owned(),
            services: vec!["desk".to_owned()],
            ..Kind::default()
        }],
        ..Deployment::default()
    }))
}

/// Returns a reading of the whole registry with these leaves.
fn reading(names: &[&str]) -> RegistryReading {
    let leaves = names.iter().map(|name| Change::Leaf(record(name, 1, 1)));
    RegistryReading {
        as_of: 1,
        changes: leaves.collect(),
    }
}

/// Returns a directory with leaves `a` and `b` and version 3 of the configuration.
fn directory() -> Directory {
    let mut directory = Directory::default();
    directory.replace(reading(&["a", "b"]), at(0));
    assert!(directory.apply(deployed(3, "search"), at(0)));
    directory
}

/// Returns the names of the serving leaves, sorted.
fn serving_leaves(directory: &Directory) -> Vec<String> {
    let catalog = directory.catalog();
    let serving = catalog.leaves.values();
    let serving = serving.filter(|leaf| leaf.state == LeafState::Serving);
    let mut names: Vec<String> = serving.map(|leaf| leaf.name.clone()).collect();
    names.sort();
    names
}

#[test]
fn a_version_never_goes_back() {
    let mut directory = directory();
    assert!(!directory.apply(deployed(2, "old"), at(1)));
    assert!(!directory.apply(deployed(3, "other"), at(1)));
    assert!(directory.catalog().kinds.contains_key("search"));
    assert!(directory.apply(deployed(9, "new"), at(2)));
    assert_eq!(directory.catalog().revision, 9);
}

#[test]
fn an_old_entry_changes_nothing() {
    let mut directory = directory();
    let draining = LeafRecord {
        state: MemberState::Leaving,
        ..record("a", 1, 5)
    };
    assert!(directory.apply(Change::Leaf(draining), at(1)));
    assert!(!directory.apply(Change::Leaf(record("a", 1, 4)), at(2)));
    assert!(!directory.apply(Change::Leaf(record("a", 0, 9)), at(2)));
    assert_eq!(serving_leaves(&directory), ["b"]);
    assert!(directory.apply(Change::Leaf(record("a", 2, 0)), at(3)));
    assert_eq!(serving_leaves(&directory), ["a", "b"]);
    assert_eq!(directory.incarnations().get(&LeafId::of("a")), Some(&2));
}

#[test]
fn an_old_entry_brings_no_leaf_back() {
    let mut directory = directory();
    assert!(directory.apply(Change::LeafGone("a".to_owned()), at(1)));
    assert!(!directory.apply(Change::Leaf(record("a", 1, 0)), at(2)));
    assert_eq!(serving_leaves(&directory), ["b"]);
}

#[test]
fn a_leaf_whose_entry_is_missing_without_an_outage_is_removed_at_once() {
    let mut directory = directory();
    assert!(directory.apply(Change::LeafGone("a".to_owned()), at(1)));
    assert_eq!(serving_leaves(&directory), ["b"]);
    assert!(directory.replace(reading(&["a"]), at(2)));
    assert_eq!(serving_leaves(&directory), ["a"]);
}

#[test]
fn a_leaf_whose_entry_expired_in_an_outage_is_kept_for_two_seconds() {
    let mut directory = directory();
    directory.record_outage(at(10_000));
    assert!(!directory.apply(Change::LeafGone("a".to_owned()), at(10_100)));
    assert!(!directory.replace(reading(&[]), at(10_200)));
    assert_eq!(serving_leaves(&directory), ["a", "b"]);
    assert!(!directory.apply(Change::Leaf(record("b", 1, 7)), at(11_900)));
    assert_eq!(directory.next_tick(), Some(at(12_200)));
    assert!(!directory.tick(at(12_100)));
    assert!(directory.tick(at(12_200)));
    assert_eq!(serving_leaves(&directory), ["b"]);
    assert_eq!(directory.next_tick(), None);
}

#[test]
fn connections_are_shared_by_the_members() {
    let mut directory = directory();
    let connections = [("desk".to_owned(), 31)].into_iter().collect();
    for name in ["m-1", "m-2", "m-3"] {
        assert!(directory.apply(member(name), at(1)));
    }
    let deployment = Deployment {
        version: 4,
        connections,
        ..Deployment::default()
    };
    directory.apply(Change::Deployed(Box::new(deployment)), at(1));
    let catalog = directory.catalog();
    let key = catalog
        .shard_of("desk", KeyRange::ALL)
        .expect("the service has a shard");
    let service = catalog.shards[key].service;
    assert_eq!(catalog.services[service].connections, 10);
}

#[test]
fn a_process_whose_entry_was_removed_counts_for_30_seconds() {
    let mut directory = directory();
    for name in ["m-1", "m-2"] {
        directory.apply(member(name), at(0));
    }
    directory.apply(Change::MemberGone("m-1".to_owned()), at(1_000));
    assert_eq!(directory.members().count(), 2);
    directory.apply(member("m-1"), at(5_000));
    assert!(!directory.tick(at(40_000)));
    directory.replace(reading(&["a", "b"]), at(50_000));
    assert!(!directory.tick(at(79_999)));
    assert!(directory.tick(at(80_000)));
    assert_eq!(directory.members().count(), 0);
}

#[test]
fn an_unreadable_entry_is_reported_once_and_changes_nothing() {
    let mut directory = directory();
    directory.take_events();
    let unreadable = |fault: &str| Change::Unreadable {
        key: "k".to_owned(),
        fault: fault.to_owned(),
    };
    let event = |fault: &str| DirectoryEvent::Unreadable {
        key: "k".to_owned(),
        fault: fault.to_owned(),
    };
    for fault in ["no version", "no version", "no routes"] {
        assert!(!directory.apply(unreadable(fault), at(1)));
    }
    let events = directory.take_events();
    assert_eq!(events, [event("no version"), event("no routes")]);
    assert_eq!(
        (serving_leaves(&directory).len(), directory.version()),
        (2, 3)
    );
}

// Guards against entries of other writers that fill the log, or the memory: a text of any
// length in one, one that changes without end, or any number of them.
#[test]
fn reports_of_unreadable_entries_are_bounded() {
    let mut directory = directory();
    directory.take_events();
    let unreadable = |key: String, fault: String| Change::Unreadable { key, fault };
    let long = "é".repeat(100_000);
    directory.apply(unreadable(long.clone(), long), at(1));
    let events = directory.take_events();
    let [DirectoryEvent::Unreadable { key, fault }] = events.as_slice() else {
        panic!("one event: {}", events.len());
    };
    assert_eq!((key.len(), fault.len()), (200, 200));
    for number in 0..1_000 {
        directory.apply(unreadable("k".to_owned(), format!("fault {number}")), at(2));
    }
    assert_eq!(directory.take_events().len(), 4);
    for _ in 0..2 {
        for number in 0..10_000 {
            directory.apply(unreadable(format!("k-{number}"), "bad".to_owned()), at(3));
        }
    }
    assert_eq!(directory.take_events().len(), 254);
    assert_eq!(directory.unreadable(), 21_001);
    // Room for others once a whole reading does not hold them.
    directory.replace(reading(&["a", "b"]), at(4));
    directory.apply(unreadable("k-1".to_owned(), "bad".to_owned()), at(5));
    let reported = |event: &DirectoryEvent| matches!(event, DirectoryEvent::Unreadable { .. });
    assert!(directory.take_events().iter().any(reported));
}

// A change that a peer cannot read would cost it all others of the same message.
#[test]
fn records_of_any_values_reach_peers() {
    let texts = ["", "\0\r\n\u{7f}", "\"'\\", "\u{2028}é🌧", "0s"];
    let times = [
        Duration::ZERO,
        Duration::from_nanos(1),
        Duration::from_secs_f64(1e-3 / 3.0),
        Duration::from_secs(u64::MAX),
        Duration::MAX,
    ];
    for (text, cold) in texts.into_iter().zip(times) {
        let record = LeafRecord {
            name: text.to_owned(),
            service: text.to_owned(),
            data_centre: text.to_owned(),
            slots: u32::MAX,
            born: u64::MAX,
            sequence: u64::MAX,
            cold,
            ..record("a", 1, 2)
        };
        let change = Change::Leaf(record);
        let sent = serde_json::to_vec(&change).expect("encoded");
        let received: Change = serde_json::from_slice(&sent).expect("decoded");
        assert_eq!(received, change);
    }
}

#[test]
fn each_change_is_passed_to_followers_once() {
    let mut directory = directory();
    directory.take_changes();
    let same_leaf = Change::Leaf(record("a", 1, 2));
    directory.apply(same_leaf, at(1));
    directory.apply(deployed(2, "old"), at(1));
    directory.apply(member("m-1"), at(1));
    directory.apply(member("m-1"), at(1));
    directory.apply(Change::LeafGone("b".to_owned()), at(1));
    directory.apply(Change::MemberGone("m-1".to_owned()), at(1));
    directory.apply(Change::MemberGone("m-1".to_owned()), at(2));
    let expected = [
        member("m-1"),
        Change::LeafGone("b".to_owned()),
        Change::MemberGone("m-1".to_owned()),
    ];
    assert_eq!(directory.take_changes(), expected);
    assert_eq!(directory.take_changes(), []);
}

#[test]
fn a_follower_with_the_whole_state_agrees_with_its_source() {
    let mut directory = directory();
    directory.apply(member("m-1"), at(1));
    directory.apply(member("m-2"), at(1));
    directory.apply(Change::MemberGone("m-2".to_owned()), at(1));
    let text = serde_json::to_string(&directory.full_state()).expect("changes serialise");
    let reading = RegistryReading {
        as_of: 1,
        changes: serde_json::from_str(&text).expect("changes deserialise"),
    };
    let mut follower = Directory::default();
    follower.apply(Change::Leaf(record("old", 1, 1)), at(1));
    follower.apply(member("m-2"), at(1));
    assert!(follower.replace(reading, at(2)));
    assert_eq!(serving_leaves(&follower), serving_leaves(&directory));
    assert_eq!(follower.version(), directory.version());
    let live = |directory: &Directory| {
        let members = directory.members();
        let live = members.filter(|member| member.state == MemberState::Live);
        live.map(|member| member.name.clone()).collect::<Vec<_>>()
    };
    assert_eq!(live(&follower), ["m-1"]);
}

#[test]
fn followers_receive_a_leaf_kept_after_an_outage_and_its_removal() {
    let mut directory = directory();
    directory.record_outage(at(1_000));
    directory.apply(Change::LeafGone("a".to_owned()), at(1_100));
    let is_a = |change: &Change| matches!(change, Change::Leaf(record) if record.name == "a");
    assert!(directory.full_state().iter().any(is_a));
    directory.take_changes();
    assert!(directory.tick(at(3_300)));
    assert_eq!(directory.take_changes(), [Change::LeafGone("a".to_owned())]);
}

// Guards against a log line for each of the leaves at each start of a process.
#[test]
fn a_first_reading_is_reported_by_one_event() {
    let mut directory = Directory::new("front-1", Map::default());
    directory.replace(reading(&["a", "b", "c"]), at(1));
    assert_eq!(
        directory.take_events(),
        [DirectoryEvent::Loaded { leaves: 3 }]
    );
    directory.replace(reading(&["a", "b", "c", "d"]), at(2));
    assert!(matches!(
        directory.take_events().as_slice(),
        [DirectoryEvent::Registered { leaf, .. }] if leaf == "d"
    ));
}

fn crashed(content: u64, leaf: &str) -> Change {
    Change::Crashed(CrashReport {
        content,
        leaf: crashed_leaf(leaf),
        alone: false,
        trial: 0,
    })
}

fn crashed_leaf(name: &str) -> CrashedLeaf {
    CrashedLeaf {
        name: name.to_owned(),
        born: 1,
    }
}

#[test]
fn crashes_that_several_processes_report_quarantine_content() {
    let mut directory = Directory::new("front-1", Map::default());
    for leaf in ["a", "b", "c"] {
        assert!(directory.apply(crashed(7, leaf), at(1)));
        assert!(!directory.apply(crashed(7, leaf), at(1)));
    }
    assert_eq!(
        directory.take_events(),
        [DirectoryEvent::Quarantined {
            content: 7,
            leaves: ["a", "b", "c"].map(crashed_leaf).to_vec()
        }]
    );
    assert!(directory.crashes().is_quarantined(7));
    let mut follower = Directory::new("front-2", Map::default());
    for change in directory.full_state() {
        follower.apply(change, at(2));
    }
    assert!(follower.crashes().is_quarantined(7));
}

#[test]
fn a_report_that_a_reading_no_longer_holds_is_forgotten() {
    let mut directory = Directory::new("front-1", Map::default());
    directory.apply(crashed(7, "a"), at(1));
    directory.apply(crashed(8, "a"), at(1));
    let mut kept = reading(&[]);
    kept.changes.push(crashed(8, "a"));
    assert!(directory.replace(kept, at(2)));
    assert_eq!(directory.crashes().leaves(7), []);
    assert_eq!(directory.crashes().leaves(8), [crashed_leaf("a")]);
}

/// Returns the state of each leaf in the catalog, by name.
fn states(directory: &Directory) -> Vec<(String, LeafState)> {
    let catalog = directory.catalog();
    let leaves = catalog.leaves.values();
    let mut states: Vec<_> = leaves.map(|leaf| (leaf.name.clone(), leaf.state)).collect();
    states.sort_by(|a, b| a.0.cmp(&b.0));
    states
}

/// Guards against calls to a data centre that operators have evacuated.
#[test]
fn an_evacuation_takes_the_leaves_of_a_data_centre_out_of_use() {
    let mut directory = directory();
    let other = LeafRecord {
        data_centre: "dc-b".to_owned(),
        ..record("c", 1, 1)
    };
    directory.apply(Change::Leaf(other), at(0));
    assert!(directory.apply(Change::Evacuated("dc-a".to_owned()), at(1)));
    assert!(!directory.apply(Change::Evacuated("dc-a".to_owned()), at(2)));
    assert_eq!(serving_leaves(&directory), ["c"]);
    assert!(
        directory
            .full_state()
            .contains(&Change::Evacuated("dc-a".to_owned()))
    );
    assert!(directory.apply(Change::EvacuationEnded("dc-a".to_owned()), at(3)));
    assert_eq!(serving_leaves(&directory), ["a", "b", "c"]);
}

/// Guards against an evacuation that ends because the store has lost its entry for a
/// moment.
#[test]
fn an_evacuation_outlasts_an_outage() {
    let mut directory = directory();
    directory.apply(Change::Evacuated("dc-a".to_owned()), at(0));
    directory.record_outage(at(1_000));
    assert!(!directory.replace(reading(&["a", "b"]), at(2_000)));
    assert_eq!(serving_leaves(&directory), [""; 0]);
    directory.apply(Change::Evacuated("dc-a".to_owned()), at(2_500));
    assert!(!directory.tick(at(9_000)));
    assert!(directory.replace(reading(&["a", "b"]), at(9_000)));
    assert_eq!(serving_leaves(&directory), ["a", "b"]);
}

/// Guards against calls to a leaving leaf after it may have exited: the time counts from
/// the last moment at which it was known not to be leaving.
#[test]
fn a_leaving_leaf_may_be_called_for_a_part_of_its_drain_time() {
    let leaving = |sequence, born| LeafRecord {
        state: MemberState::Leaving,
        ..record("a", born, sequence)
    };
    let mut directory = directory().with_drain(Duration::from_secs(10));
    directory.set_known_at(Some(at(500)));
    directory.apply(Change::Leaf(leaving(2, 1)), at(3_000));
    assert_eq!(states(&directory)[0], ("a".to_owned(), LeafState::Leaving));
    assert_eq!(directory.draining().get(&LeafId::of("a")), Some(&at(7_500)));
    // Later entries do not prolong it.
    directory.set_known_at(Some(at(4_000)));
    directory.apply(Change::Leaf(leaving(3, 1)), at(5_000));
    assert_eq!(directory.draining().get(&LeafId::of("a")), Some(&at(7_500)));
    // Nothing is known of the start of the drain of the next incarnation.
    directory.apply(Change::Leaf(leaving(1, 2)), at(6_000));
    assert_eq!(directory.draining().get(&LeafId::of("a")), None);
    directory.apply(Change::Leaf(record("b", 1, 2)), at(6_000));
    directory.apply(Change::Evacuated("dc-a".to_owned()), at(6_000));
    assert!(directory.draining().is_empty());
}

/// Guards against too many calls to a leaf that has just started or become cold again.
#[test]
fn a_cold_leaf_is_known_with_its_rate_until_it_is_warm() {
    let cold = |sequence, millis| {
        Change::Leaf(LeafRecord {
            cold: Duration::from_millis(millis),
            ..record("a", 1, sequence)
        })
    };
    let mut directory = directory();
    assert!(directory.apply(cold(2, 3_000), at(1_000)));
    assert!(
        directory.cold_leaves().is_empty(),
        "the service sets no limit"
    );
    let Change::Deployed(mut deployment) = deployed(4, "search") else {
        panic!("a deployment");
    };
    deployment.warm_ups = [("desk".to_owned(), 20.0)].into_iter().collect();
    directory.apply(Change::Deployed(deployment), at(1_000));
    let known = |directory: &Directory| {
        let leaf = directory.cold_leaves().get(&LeafId::of("a")).copied();
        leaf.map(|leaf| (leaf.rate.to_string(), leaf.until))
    };
    assert_eq!(known(&directory), Some(("20".to_owned(), at(4_000))));
    assert!(!directory.apply(cold(3, 1_900), at(2_200)), "the same end");
    assert!(
        directory.apply(cold(4, 3_000), at(3_000)),
        "it became cold again"
    );
    assert!(directory.apply(cold(5, 0), at(5_000)));
    assert_eq!(known(&directory), None);
}

/// Returns what a peer that follows the directory learns next.
fn gone_members(directory: &mut Directory) -> Vec<String> {
    let changes = directory.take_changes().into_iter();
    let gone = changes.filter_map(|change| match change {
        Change::MemberGone(name) => Some(name),
        _ => None,
    });
    gone.collect()
}

// Guards against a leaf that left and is called again: an older copy of the registry holds
// its last entry.
#[test]
fn an_older_copy_does_not_bring_back_a_leaf_that_left() {
    for restored in [false, true] {
        let mut directory = directory();
        assert!(directory.apply(Change::LeafGone("b".to_owned()), at(0)));
        if restored {
            directory.record_restore(at(10));
        }
        let back = directory.replace(reading(&["a", "b"]), at(10));
        assert_eq!(back, !restored);
        assert_eq!(
            serving_leaves(&directory).len(),
            if restored { 1 } else { 2 }
        );
        directory.apply(Change::Leaf(record("b", 1, 2)), at(20));
        assert_eq!(serving_leaves(&directory), ["a", "b"]);
    }
}

// Guards against leaves that a restore takes out of service, and against dead ones that
// stay.
#[test]
fn leaves_that_an_older_copy_lacks_are_kept_for_a_while() {
    let mut directory = directory();
    directory.record_restore(at(0));
    assert!(!directory.replace(reading(&["a"]), at(0)));
    assert!(!directory.apply(Change::LeafGone("a".to_owned()), at(3_000)));
    directory.apply(Change::Leaf(record("a", 1, 1)), at(3_500));
    assert!(!directory.tick(at(5_900)));
    assert_eq!(serving_leaves(&directory), ["a", "b"]);
    assert!(directory.tick(at(6_000)));
    assert_eq!(serving_leaves(&directory), ["a"]);
}

// Guards against processes that count as leaving because the copy is older than their
// registration, and against shares that dead ones keep.
#[test]
fn processes_that_an_older_copy_lacks_are_kept_until_they_have_had_time_to_register() {
    let mut directory = directory();
    directory.apply(member("front-1"), at(0));
    directory.apply(member("front-2"), at(0));
    directory.record_restore(at(0));
    directory.replace(reading(&["a", "b"]), at(0));
    assert!(directory.members().all(|m| m.state == MemberState::Live));
    assert_eq!(directory.next_tick(), Some(at(6_000)));
    directory.apply(member("front-1"), at(4_000));
    directory.take_changes();
    assert!(directory.tick(at(6_000)));
    assert_eq!(gone_members(&mut directory), ["front-2"]);
    let live = directory.members().filter(|m| m.state == MemberState::Live);
    assert_eq!(live.count(), 1);
}

// Guards against content that crashes leaves again because the copy lacks the reports.
#[test]
fn crashes_that_an_older_copy_lacks_are_not_forgotten() {
    let report = CrashReport {
        content: 7,
        leaf: CrashedLeaf {
            name: "a".to_owned(),
            born: 1,
        },
        alone: false,
        trial: 0,
    };
    for restored in [false, true] {
        let mut directory = directory();
        directory.apply(Change::Crashed(report.clone()), at(0));
        if restored {
            directory.record_restore(at(0));
        }
        directory.replace(reading(&["a", "b"]), at(10));
        assert_eq!(directory.crashes().reports().count(), usize::from(restored));
        directory.replace(reading(&["a", "b"]), at(6_000));
        assert_eq!(directory.crashes().reports().count(), 0);
    }
}
