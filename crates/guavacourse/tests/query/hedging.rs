//! Tests which leaf the hedge of a late call is sent to.

use guavacourse::modules::{call::NotRun, load_balancer::LoadBalancer};

use crate::fixture::{DATA_CENTRES, Driver, Fixture, ms, request};

/// Starts a query at 9 s on a balancer that knows its leaves' latencies: `near` ms for
/// the leaf in its own data centre, `far` ms for the others.
fn start_warm(near: u64, far: u64) -> Driver {
    start_warm_refusing(near, far, |round| round % 3 == 0)
}

/// Does the same as [`start_warm`]; the near leaf refuses the call in the rounds for
/// which `refused` returns true.
fn start_warm_refusing(near: u64, far: u64, refused: impl Fn(u64) -> bool) -> Driver {
    let view = Fixture {
        shards: 1,
        ..Fixture::default()
    }
    .view(1);
    let mut balancer = LoadBalancer::new(DATA_CENTRES[0]);
    for round in 1..90 {
        let start = ms(round * 100);
        let mut driver = Driver::start_with(&view, balancer, request(), start);
        let first = driver.take_sent()[0];
        driver.now = ms(round * 100 + near);
        if refused(round) {
            driver.refuse(first, NotRun::NotOwner);
            let second = driver.take_sent()[0];
            driver.now = ms(round * 100 + near + far);
            driver.reply_rows(second, 7);
        } else {
            driver.reply_rows(first, 7);
        }
        balancer = driver.balancer;
    }
    Driver::start_with(&view, balancer, request(), ms(9_000))
}

#[test]
fn hedge_goes_to_a_near_replica() {
    let mut driver = start_warm(10, 11);
    let first = driver.take_sent()[0];
    driver.advance(ms(9_030));
    assert_ne!(driver.take_sent()[0].call.leaf, first.call.leaf);
}

#[test]
fn late_hedge_is_followed_by_a_second() {
    let mut driver = start_warm(10, 11);
    driver.advance(ms(9_085));
    let mut called: Vec<_> = driver
        .take_sent()
        .iter()
        .map(|sent| sent.call.leaf)
        .collect();
    assert_eq!(called.len(), 3, "a call and two hedges");
    called.sort_unstable();
    called.dedup();
    assert_eq!(called.len(), 3, "each hedge goes to another leaf");
}

#[test]
fn hedge_goes_to_the_same_leaf_if_replicas_are_far() {
    let mut driver = start_warm(5, 50);
    let first = driver.take_sent()[0];
    driver.advance(ms(9_009));
    let hedge = driver.take_sent()[0];
    assert_eq!(hedge.call.leaf, first.call.leaf);
    driver.advance(ms(9_030));
    let second = driver.take_sent()[0];
    assert_ne!(
        second.call.leaf, first.call.leaf,
        "the second hedge goes to a far leaf"
    );
    driver.reply_rows(second, 7);
    assert_eq!(
        driver.cancelled.len(),
        2,
        "the first reply with rows cancels the other calls"
    );
    assert_eq!(driver.answer().trace.hedges, 2);
}

/// Guards against a late hedge for a near leaf with few samples: latencies of far
/// leaves, which most samples come from, must not set its delay.
#[test]
fn hedge_delay_of_a_leaf_with_few_replies_ignores_far_leaves() {
    let mut driver = start_warm_refusing(5, 50, |round| round % 8 > 0);
    let first = driver.take_sent()[0];
    driver.advance(ms(9_009));
    let hedge = driver.take_sent()[0];
    assert_eq!(hedge.call.leaf, first.call.leaf);
}

#[test]
fn refused_hedge_goes_to_another_replica() {
    let mut driver = start_warm(5, 50);
    let first = driver.take_sent()[0];
    driver.advance(ms(9_009));
    let hedge = driver.take_sent()[0];
    driver.refuse(hedge, NotRun::QueueFull);
    driver.advance(ms(9_009));
    assert_ne!(driver.take_sent()[0].call.leaf, first.call.leaf);
    let stats = driver
        .balancer
        .leaf(first.call.leaf)
        .expect("the leaf was called");
    assert!(
        !stats.avoided(driver.now),
        "a refused hedge does not count as a failure"
    );
}

#[test]
fn no_hedge_that_would_miss_the_deadline() {
    let mut driver = start_warm(60, 61);
    driver.take_sent();
    driver.advance(ms(9_099));
    assert!(driver.sent.is_empty());
}
