//! Merging of the instance list, which processes read at different times and
//! exchange with each other.

use std::{net::Ipv4Addr, time::Duration};

use guavacourse::modules::{
    inventory::Address,
    members::{Member, MemberState, Role},
    merged_list::{MergeResult, MergedList},
    read_budget::ReadBudget,
    roster::ProcessName,
    time::Time,
};

const CHANGED: MergeResult = MergeResult {
    changed: true,
    settled: true,
};
const SAME: MergeResult = MergeResult {
    changed: false,
    settled: true,
};
const DEFERRED: MergeResult = MergeResult {
    changed: false,
    settled: false,
};

fn seconds(seconds: u64) -> Time {
    Time::default().after(Duration::from_secs(seconds))
}

fn member(role: Role, incarnation: u64, state: MemberState) -> Member {
    Member {
        name: "a".to_owned(),
        role,
        state,
        incarnation,
        ..Member::default()
    }
}

fn live(incarnation: u64) -> Member {
    member(Role::Relay, incarnation, MemberState::Live)
}

fn leaving(incarnation: u64) -> Member {
    member(Role::Relay, incarnation, MemberState::Leaving)
}

fn name() -> ProcessName {
    ProcessName::of(&live(1))
}

/// Returns the state and incarnation of member `a`; `gone` if the list has dropped
/// it, or `unknown`.
fn describe(merged: &MergedList) -> String {
    match merged.get(&name()) {
        None => "unknown".to_owned(),
        Some(record) if record.gone => "gone".to_owned(),
        Some(record) => format!("{:?} {}", record.member.state, record.member.incarnation),
    }
}

/// Sends `to` the records of `from` in the groups that differ. Returns whether a
/// record of `to` changed.
fn send_records(from: &MergedList, to: &mut MergedList, now: Time) -> bool {
    to.merge_records(from.differing(to.digests(), now), now)
}

#[test]
fn a_single_reader_accepts_every_reading() {
    let mut merged = MergedList::default();
    for (second, list) in (0..).zip([vec![live(1)], vec![leaving(1)], vec![], vec![live(2)]]) {
        assert_eq!(merged.merge_reading(list.clone(), seconds(second)), CHANGED);
        assert_eq!(merged.merge_reading(list, seconds(second)), SAME);
    }
    assert_eq!(describe(&merged), "Live 2");
}

fn member_at(port: u16) -> Member {
    Member {
        address: Address((Ipv4Addr::LOCALHOST, port).into()),
        ..live(1)
    }
}

#[test]
fn each_reader_keeps_the_addresses_of_its_own_readings() {
    let (mut near, mut far) = (MergedList::default(), MergedList::default());
    near.merge_reading(vec![member_at(1)], seconds(0));
    assert!(send_records(&near, &mut far, seconds(1)));
    assert_eq!(far.merge_reading(vec![member_at(2)], seconds(2)), SAME);
    assert!(!send_records(&far, &mut near, seconds(3)));
    assert!(!send_records(&near, &mut far, seconds(3)));
    near.mark_leaving(&name(), 1, seconds(4));
    assert!(send_records(&near, &mut far, seconds(5)));
    assert_eq!(near.digest(), far.digest());
    let address = |merged: &MergedList| merged.get(&name()).expect("known").member.address;
    assert_eq!(
        [address(&near), address(&far)],
        [member_at(1).address, member_at(2).address]
    );
    assert_eq!(describe(&far), "Leaving 1");
}

#[test]
fn a_lagging_reader_reverts_no_change() {
    let (mut ahead, mut behind) = (MergedList::default(), MergedList::default());
    behind.merge_reading(vec![live(1)], seconds(0));
    let history = [vec![live(1)], vec![leaving(1)], vec![], vec![live(2)]];
    for (second, list) in (1..).zip(history.clone()) {
        ahead.merge_reading(list, seconds(second));
        send_records(&ahead, &mut behind, seconds(second));
    }
    for (second, list) in (5..).zip(&history[1..3]) {
        assert_eq!(
            behind.merge_reading(list.clone(), seconds(second)),
            DEFERRED
        );
        assert!(!send_records(&behind, &mut ahead, seconds(second)));
    }
    assert_eq!(behind.merge_reading(history[3].clone(), seconds(8)), SAME);
    assert_eq!(describe(&ahead), "Live 2");
}

#[test]
fn a_lasting_difference_is_accepted() {
    let (mut one, mut other) = (MergedList::default(), MergedList::default());
    one.merge_reading(vec![live(1)], seconds(0));
    send_records(&one, &mut other, seconds(0));
    assert_eq!(other.merge_reading(vec![], seconds(1)), DEFERRED);
    assert_eq!(other.merge_reading(vec![], seconds(31)), CHANGED);
    assert!(send_records(&other, &mut one, seconds(31)));
    assert_eq!(describe(&one), "gone");
}

#[test]
fn a_restart_is_accepted_at_once() {
    let (mut one, mut other) = (MergedList::default(), MergedList::default());
    one.merge_reading(vec![live(1)], seconds(0));
    other.merge_reading(vec![live(1)], seconds(0));
    one.mark_leaving(&name(), 1, seconds(5));
    send_records(&one, &mut other, seconds(5));
    assert_eq!(other.merge_reading(vec![live(2)], seconds(6)), CHANGED);
}

#[test]
fn a_leaving_process_never_becomes_live_again_but_a_backend_server_may() {
    let mut process = MergedList::default();
    process.merge_reading(vec![live(1)], seconds(0));
    process.mark_leaving(&name(), 1, seconds(1));
    assert_eq!(process.merge_reading(vec![live(1)], seconds(90)), SAME);
    assert_eq!(describe(&process), "Leaving 1");
    let mut peer = MergedList::default();
    peer.merge_reading(vec![live(1)], seconds(95));
    assert!(!send_records(&peer, &mut process, seconds(95)));
    assert!(send_records(&process, &mut peer, seconds(95)));
    assert_eq!(peer.digest(), process.digest());

    let mut server = MergedList::default();
    server.merge_reading(
        vec![member(Role::Leaf, 1, MemberState::Leaving)],
        seconds(0),
    );
    let back = server.merge_reading(vec![member(Role::Leaf, 1, MemberState::Live)], seconds(1));
    assert_eq!(back, CHANGED);
}

#[test]
fn a_reader_that_was_frozen_reverts_no_change() {
    let (mut frozen, mut other) = (MergedList::default(), MergedList::default());
    frozen.merge_reading(vec![live(1)], seconds(0));
    send_records(&frozen, &mut other, seconds(0));
    let answer = other.differing(&[], seconds(1));
    other.merge_reading(vec![live(1)], seconds(2));
    other.merge_reading(vec![leaving(1)], seconds(60));
    other.merge_reading(vec![live(2)], seconds(100));
    other.merge_reading(vec![live(3)], seconds(140));
    // The frozen process resumes and hears from a peer before it handles the replies
    // to requests from before the freeze: one to the list and one to another peer.
    send_records(&other, &mut frozen, seconds(200));
    assert_eq!(frozen.merge_reading(vec![live(2)], seconds(101)), DEFERRED);
    assert!(!frozen.merge_records(answer, seconds(1)));
    assert!(!send_records(&frozen, &mut other, seconds(200)));
    assert_eq!(describe(&frozen), "Live 3");
}

#[test]
fn an_older_removal_does_not_override_a_later_reading() {
    let (mut one, mut other, mut third) = (
        MergedList::default(),
        MergedList::default(),
        MergedList::default(),
    );
    one.merge_reading(vec![live(1)], seconds(0));
    third.merge_reading(vec![live(1)], seconds(0));
    third.merge_reading(vec![], seconds(5));
    other.merge_reading(vec![live(1)], seconds(10));
    one.merge_records(other.differing(&[], seconds(10)), seconds(10));
    assert!(!send_records(&third, &mut one, seconds(11)));
}

#[test]
fn a_peer_does_not_bring_back_a_removed_member() {
    let (mut partitioned, mut other) = (MergedList::default(), MergedList::default());
    partitioned.merge_reading(vec![live(1)], seconds(0));
    send_records(&partitioned, &mut other, seconds(0));
    assert_eq!(other.merge_reading(vec![], seconds(40)), CHANGED);
    assert!(
        !send_records(&partitioned, &mut other, seconds(300)),
        "the removal is remembered"
    );
    assert!(!other.has_expired(|_| false, seconds(600)));
    assert!(!other.has_expired(|_| true, seconds(700)));
    assert!(other.has_expired(|_| false, seconds(700)));
    other.expire(|_| false, seconds(700));
    // Once the removal is forgotten, a peer brings the member back until the next
    // reading.
    assert!(send_records(&partitioned, &mut other, seconds(700)));
    assert_eq!(other.merge_reading(vec![], seconds(700)), CHANGED);
}

#[test]
fn only_groups_that_differ_are_sent() {
    let named = |i: u32| Member {
        name: format!("leaf-{i}"),
        role: Role::Leaf,
        ..Member::default()
    };
    let mut one = MergedList::default();
    let mut members: Vec<Member> = (0..4_780).map(named).collect();
    one.merge_reading(members.clone(), seconds(0));
    let mut other = one.clone();
    assert!(one.differing(other.digests(), seconds(0)).is_empty());
    members[7].state = MemberState::Leaving;
    one.merge_reading(members, seconds(1));
    let sent = one.differing(other.digests(), seconds(1));
    assert_eq!(sent.len(), 22, "the members of one group of 256");
    assert!(other.merge_records(sent, seconds(1)));
    assert_eq!(one.digest(), other.digest());
}

/// Readers that see the list with different lags, from 0 to 19 s, and exchange
/// records in pairs agree with the list after it has stopped changing.
#[test]
fn readers_agree_after_the_list_stops_changing() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut history: Vec<Vec<Member>> = vec![vec![live(1)]];
        let mut incarnation = 1;
        for _ in 0..60 {
            let last = history.last().cloned().unwrap_or_default();
            let next = match (rng.u8(..8), last.first().map(|m| m.state)) {
                (0, Some(MemberState::Live)) => vec![leaving(incarnation)],
                (0, _) => vec![],
                (1, _) => {
                    incarnation += 1;
                    vec![live(incarnation)]
                }
                _ => last,
            };
            history.push(next);
        }
        let lags: Vec<usize> = (0..5).map(|_| rng.usize(..20)).collect();
        let mut readers = vec![MergedList::default(); lags.len()];
        for second in 0..history.len() + 120 {
            let now = seconds(second as u64);
            let reader = rng.usize(..readers.len());
            let past = second.saturating_sub(lags[reader]).min(history.len() - 1);
            readers[reader].merge_reading(history[past].clone(), now);
            let from = readers[rng.usize(..readers.len())].clone();
            let to = rng.usize(..readers.len());
            send_records(&from, &mut readers[to], now);
        }
        let mut expected = MergedList::default();
        expected.merge_reading(history.last().cloned().unwrap_or_default(), seconds(0));
        for reader in &readers {
            assert_eq!(
                describe(reader).replace("gone", "unknown"),
                describe(&expected),
                "seed {seed}"
            );
        }
    }
}

#[test]
fn a_large_list_is_read_seldom() {
    let mut budget = ReadBudget::new(seconds(0));
    budget.spend(17_000, seconds(0));
    assert_eq!(
        budget.wait(seconds(0)),
        Duration::ZERO,
        "a small list needs no wait"
    );
    let mut now = seconds(0);
    let mut readings = 0;
    while now < seconds(86_400) {
        budget.spend(765_000, now);
        readings += 1;
        now = now.after(budget.wait(now) + Duration::from_millis(1));
    }
    assert_eq!(
        readings, 59,
        "one read every 1,494 s, after a shorter first wait"
    );
}

#[test]
fn a_fleet_that_starts_together_does_not_read_in_step() {
    let mut rng = fastrand::Rng::with_seed(1);
    let first_wait = |_| {
        let mut budget = ReadBudget::new(seconds(0));
        budget.spend(765_000, seconds(0));
        budget.first_wait(rng.f64(), seconds(0))
    };
    let mut waits: Vec<Duration> = (0..1_080).map(first_wait).collect();
    waits.sort_unstable();
    let gaps = waits.windows(2).map(|pair| pair[1].saturating_sub(pair[0]));
    let longest = gaps.max().expect("many waits").max(waits[0]);
    assert!(
        longest < Duration::from_secs(10),
        "no process reads the list for {longest:?}"
    );
}
