//! Single decisions: shards left out, spare shards of parts, late queries, rates.

use std::time::Duration;

use guavacourse::modules::{
    catalog::ShardKey,
    contention::{
        late::LateQueries,
        rates::{Evidence, Room, ShardRates},
        scarcity::{Need, ShardState, Verdict, plan},
        spare::own_spare,
    },
    placement::outlook::ShardOutlook,
};

use crate::fleet::ms;

fn state(expected: u64, room: Room) -> ShardState {
    let expected = Duration::from_millis(expected);
    let outlook = ShardOutlook {
        expected,
        waiting: expected / 2,
        contended: room != Room::Free,
        avoided: false,
    };
    ShardState { outlook, room }
}

fn known<const N: usize>(states: [ShardState; N]) -> [Option<ShardState>; N] {
    states.map(Some)
}

fn need(spare: usize) -> Need {
    Need {
        to_target: Duration::from_millis(200),
        to_deadline: Duration::from_millis(1_500),
        spare,
        own_spare: spare,
    }
}

// Guards against leaving out another shard than the scarcest.
#[test]
fn the_scarcest_shard_is_left_out_first() {
    let shards = known([
        state(20, Room::Free),
        state(100, Room::Tight),
        state(300, Room::None),
        state(250, Room::None),
    ]);
    assert_eq!(plan(&shards, need(1), 0).left_out, [2]);
    assert_eq!(plan(&shards, need(4), 0).left_out, [2, 3, 1]);
}

// Guards against using up all spare shards, so that one lost call makes the query late.
#[test]
fn one_spare_shard_is_kept_in_reserve() {
    let shards = known([state(300, Room::None); 5]);
    let planned = plan(&shards, need(5), 0);
    assert_eq!((planned.left_out.len(), planned.held.len()), (4, 0));
    assert_eq!(planned.verdict, Verdict::InTime);
}

// Guards against beginning queries that are lost anyway, and against refusing those that
// can still be served late.
#[test]
fn a_query_is_refused_only_if_it_cannot_be_served_before_its_deadline() {
    let late = known([state(300, Room::None), state(1_400, Room::None)]);
    let planned = plan(&late, need(1), 0);
    assert_eq!(planned.verdict, Verdict::Late);
    assert_eq!((planned.left_out, planned.held), (vec![1], vec![0]));
    let lost = known([state(1_600, Room::None); 2]);
    assert_eq!(plan(&lost, need(1), 0).verdict, Verdict::Unservable);
    assert_eq!(plan(&lost, need(2), 0).verdict, Verdict::InTime);
}

// Guards against leaving out a shard that is slow though nothing waits there.
#[test]
fn a_slow_shard_without_competition_is_not_scarce() {
    let mut slow = state(300, Room::Free);
    slow.outlook.waiting = Duration::ZERO;
    assert!(plan(&known([slow]), need(1), 0).left_out.is_empty());
}

// Guards against the parts of one query leaving out more shards together than it may:
// each process decides without knowing of the others.
#[test]
fn parts_leave_out_no_more_than_the_query_may() {
    for (shards, spare) in [(36, 1), (36, 5), (54, 2), (3, 8)] {
        for draw in 0..1_000 {
            let part = |n: usize| own_spare(spare, shards, draw * 7_919, |at| at % 3 == n);
            let sum = part(0) + part(1) + part(2);
            assert_eq!(sum, spare.min(shards), "{shards} shards, draw {draw}");
        }
    }
}

// Guards against late queries that go on beginning while all of them are lost, and
// against counting one for ever that its driver gave up.
#[test]
fn late_queries_are_limited_while_they_are_lost() {
    let mut late = LateQueries::default();
    for round in 0..10 {
        let now = ms(round * 2_000);
        let deadline = now.after(Duration::from_secs(1));
        let begun = (0..10).filter(|_| late.start(deadline, now)).count();
        assert!(begun >= 1, "no query shows when the contention ends");
        assert!(round < 3 || begun == 1, "{begun} begin in round {round}");
        late.ended(deadline, false);
    }
    let now = ms(30_000);
    let deadline = now.after(Duration::from_secs(1));
    for _ in 0..8 {
        late.start(deadline, now);
        late.ended(deadline, true);
    }
    assert!((0..10).filter(|_| late.start(deadline, now)).count() > 4);
}

// Guards against a rate that stays low after the contention has ended, and against one
// that does not fall to what the shard answers.
#[test]
fn the_rate_of_calls_follows_the_answers_of_a_contended_shard() {
    let mut rates = ShardRates::default();
    let shard = ShardKey::default();
    let long = Duration::from_millis(150);
    let mut called = 0;
    for now in 1..=4_000 {
        if now % 10 == 0 {
            rates.ask(shard, ms(now));
            if rates.room(shard, 1, ms(now)) != Room::None {
                rates.sent(shard);
                called += u32::from(now > 2_000);
            }
        }
        if now % 40 == 0 {
            rates.answered(shard, ms(now));
            rates.observe(shard, (long, long), Evidence::Answer, ms(now));
        }
    }
    assert!(
        called <= 50,
        "{called} calls in 2 s, 50 of which are answered"
    );
    assert_eq!(rates.contended(), 1);
    for now in 4_001..=6_000 {
        if now % 10 == 0 {
            rates.ask(shard, ms(now));
            rates.answered(shard, ms(now));
            rates.observe(shard, (Duration::ZERO, long), Evidence::Answer, ms(now));
        }
    }
    assert_eq!(rates.contended(), 0);
}

// Guards against refusing queries for seconds after a link was cut: calls without an
// answer look as if they waited for each other.
#[test]
fn one_answer_ends_a_limit_that_is_based_on_silence() {
    let mut rates = ShardRates::default();
    let shard = ShardKey::default();
    let long = Duration::from_millis(300);
    for now in (100..1_000).step_by(100) {
        rates.ask(shard, ms(now));
        rates.observe(shard, (long, long), Evidence::Silence, ms(now));
    }
    (0..4).for_each(|_| rates.sent(shard));
    assert_eq!(rates.room(shard, 1, ms(1_000)), Room::None);
    let mut answered = rates.clone();
    answered.observe(shard, (Duration::ZERO, long), Evidence::Answer, ms(1_001));
    assert_eq!(answered.room(shard, 1, ms(1_001)), Room::Free);
    assert_eq!(
        rates.room(shard, 1, ms(2_000)),
        Room::Free,
        "without news for 1 s"
    );
}

// Guards against a query of low worth taking the last room at a contended shard after
// one of higher worth found none.
#[test]
fn room_is_kept_for_queries_of_higher_worth() {
    let mut rates = ShardRates::default();
    let shard = ShardKey::default();
    for now in 1..100 {
        rates.ask(shard, ms(now));
    }
    let wait = Duration::from_millis(100);
    rates.observe(shard, (wait, wait), Evidence::Answer, ms(100));
    let tight = (101..5_000).find(|now| rates.room(shard, 1, ms(*now)) == Room::Tight);
    let now = ms(tight.expect("the shard has room in time"));
    rates.reserve(10, now);
    assert_eq!(rates.room(shard, 1, now), Room::None);
    assert_eq!(rates.room(shard, 10, now), Room::Tight);
}
