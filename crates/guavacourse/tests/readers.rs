//! Tests which processes read the registry, and which ones the others follow.

use std::time::Duration;

use guavacourse::modules::{
    inventory::Address,
    members::{Member, MemberState},
    readers::{ReaderPlan, Readers},
};

/// Time within which changes must reach every process.
const MAX_DELAY: Duration = Duration::from_secs(5);

fn member(name: &str, data_centre: &str) -> Member {
    Member {
        name: name.to_owned(),
        data_centre: data_centre.to_owned(),
        address: Address(([127, 0, 0, 1], 7_740).into()),
        ..Member::default()
    }
}

/// Returns `count` processes in each of the data centres `a` and `b`.
fn fleet(count: usize) -> Vec<Member> {
    let local = (0..count).map(|number| member(&format!("a-{number}"), "a"));
    let remote = (0..count).map(|number| member(&format!("b-{number}"), "b"));
    local.chain(remote).collect()
}

/// Returns the plan of the process `own` in data centre `a`.
fn plan(own: &str, fleet: &[Member]) -> ReaderPlan {
    Readers::new(own, "a", MAX_DELAY).plan(fleet)
}

#[test]
fn one_process_of_a_data_centre_reads_and_the_others_follow_it() {
    let fleet = fleet(11);
    let plans: Vec<ReaderPlan> = (0..11).map(|n| plan(&format!("a-{n}"), &fleet)).collect();
    let readers: Vec<usize> = (0..11).filter(|n| plans[*n].sources.is_empty()).collect();
    assert_eq!(readers.len(), 1);
    let reader = format!("a-{}", readers[0]);
    for plan in plans.iter().filter(|plan| !plan.sources.is_empty()) {
        assert_eq!(plan.sources[0].name, reader);
        assert!(plan.sources.len() <= 3);
        assert!(plan.sources.iter().all(|source| source.data_centre == "a"));
        assert!(plan.fallback_age > plan.max_age && plan.fallback_age < MAX_DELAY);
    }
}

#[test]
fn a_few_processes_all_read_the_registry_themselves() {
    let fleet = fleet(3);
    for number in 0..3 {
        let plan = plan(&format!("a-{number}"), &fleet);
        assert_eq!(plan.sources, []);
        assert_eq!(plan.watch_timeout, Duration::from_millis(2_200));
    }
}

#[test]
fn a_process_that_is_not_registered_yet_follows_the_others() {
    assert_eq!(plan("a-new", &fleet(11)).sources.len(), 3);
    assert_eq!(plan("a-new", &[]).sources, []);
}

#[test]
fn the_next_in_order_replaces_a_reader_that_leaves() {
    let mut fleet = fleet(11);
    let order = plan("a-new", &fleet).sources;
    for member in &mut fleet {
        if member.name == order[0].name {
            member.state = MemberState::Leaving;
        }
    }
    assert_eq!(plan("a-new", &fleet).sources[0].name, order[1].name);
    assert_eq!(plan(&order[1].name, &fleet).sources, []);
}

/// Guards against a burst of calls to an unavailable registry: the age from which a
/// process reads it itself must grow with its place in the order.
#[test]
fn processes_read_the_registry_at_staggered_times_if_sources_fail() {
    let fleet = fleet(11);
    let order = plan("a-new", &fleet).sources;
    let limits = order.iter().map(|own| plan(&own.name, &fleet).fallback_age);
    let limits: Vec<Duration> = limits.chain([plan("a-new", &fleet).fallback_age]).collect();
    assert!(
        limits.windows(2).all(|pair| pair[0] < pair[1]),
        "{limits:?}"
    );
}

#[test]
fn strong_processes_are_followed_first() {
    let mut fleet = fleet(11);
    for member in &mut fleet {
        member.power = if member.name == "a-4" { 500 } else { 120 };
    }
    assert_eq!(plan("a-new", &fleet).sources[0].name, "a-4");
    assert_eq!(plan("a-4", &fleet).sources, []);
}

// Guards against a process that is ready while it neither knows a leaf nor can hand a
// request over.
#[test]
fn only_weak_processes_that_nobody_follows_wait_for_a_source_at_their_start() {
    let waits = |fleet: &[Member]| {
        let waits = (0..11).map(|number| plan(&format!("a-{number}"), fleet).start_wait);
        waits.collect::<Vec<Duration>>()
    };
    let mut fleet = fleet(11);
    assert_eq!(waits(&fleet), vec![Duration::ZERO; 11]);
    for member in &mut fleet {
        member.power = if member.name == "a-4" { 500 } else { 120 };
    }
    let waits = waits(&fleet);
    assert_eq!(waits[4], Duration::ZERO);
    assert_eq!(waits.iter().filter(|wait| wait.is_zero()).count(), 3);
    assert!(waits.iter().all(|wait| *wait < MAX_DELAY / 2), "{waits:?}");
    assert_eq!(plan("a-new", &[]).start_wait, Duration::ZERO);
}

// Guards against a process that has lost the registry and follows nobody: the first of
// each data centre has no sources.
#[test]
fn every_process_has_others_to_follow_without_the_registry() {
    for count in [2, 3, 11] {
        let fleet = fleet(count);
        for number in 0..count {
            let own = format!("a-{number}");
            let plan = plan(&own, &fleet);
            let names = plan.sources.iter().chain(&plan.backups);
            let names: Vec<&str> = names.map(|member| member.name.as_str()).collect();
            assert_eq!(names.len(), (plan.sources.len() + 3).min(count - 1));
            assert!(!names.contains(&own.as_str()));
            assert!(plan.backups.iter().all(|peer| peer.data_centre == "a"));
            assert_eq!(plan.remote.len(), 2);
            assert!(plan.remote.iter().all(|peer| peer.data_centre == "b"));
        }
    }
}

// Guards against a process that asks one data centre only, which may have lost the
// registry too, and against one that asks processes which only follow others.
#[test]
fn the_first_process_of_each_other_data_centre_is_asked_first() {
    let names = ["a", "b", "c", "d"];
    let members = names.iter().flat_map(|data_centre| {
        (0..5).map(move |number| member(&format!("{data_centre}-{number}"), data_centre))
    });
    let fleet: Vec<Member> = members.collect();
    let remote = plan("a-0", &fleet).remote;
    assert_eq!(remote.len(), 4);
    let mut first: Vec<&str> = remote[..3].iter().map(|m| m.data_centre.as_str()).collect();
    first.sort_unstable();
    assert_eq!(first, ["b", "c", "d"]);
    for peer in &remote[..3] {
        let own = Readers::new(&peer.name, &peer.data_centre, MAX_DELAY).plan(&fleet);
        assert_eq!(own.sources, []);
    }
}
