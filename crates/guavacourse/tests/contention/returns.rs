//! When refused requests return.

use std::time::Duration;

use guavacourse::modules::{
    contention::returns::{MAX_RETRY, MIN_RETRY, Returns},
    time::Time,
};

use crate::fleet::ms;

/// Interval in milliseconds at which queries are served.
const INTERVAL: u64 = 25;

fn with_room() -> (Returns, Time) {
    let mut returns = Returns::default();
    for number in 1..200 {
        returns.served(ms(number * INTERVAL));
    }
    (returns, ms(200 * INTERVAL))
}

// Guards against a burst whose refused requests return all together, and are refused
// again: 20 requests are refused at once, and 40 a second are served.
#[test]
fn a_burst_of_refused_requests_returns_at_the_rate_of_service() {
    let (mut returns, now) = with_room();
    let limit = Duration::from_secs(3);
    let mut times: Vec<Duration> = (0..20).map(|_| returns.retry_after(limit, now)).collect();
    times.sort_unstable();
    for start in 0..16_u32 {
        let from = Duration::from_millis(50) * start;
        let until = from + Duration::from_millis(100);
        let within = times.iter().filter(|time| **time >= from && **time < until);
        // In 100 ms, 4 are served; each may come a whole interval later than its turn.
        assert!(within.count() <= 6, "{times:?} from {from:?}");
    }
    assert!(times[19] >= Duration::from_millis(400), "{times:?}");
}

// Guards against retry times for which no caller waits, or that a leaf cannot meet.
#[test]
fn retry_times_keep_to_the_time_that_callers_wait() {
    let (mut returns, now) = with_room();
    for left in [400, 600, 1_500, 60_000] {
        let left = Duration::from_millis(left);
        let longest = (left / 3).min(MAX_RETRY);
        for _ in 0..500 {
            let time = returns.retry_after(left, now);
            assert!(time >= MIN_RETRY && time <= longest, "{time:?} of {left:?}");
        }
    }
}

// Guards against retry times that grow for as long as requests are refused.
#[test]
fn later_refusals_do_not_wait_for_earlier_ones_that_have_returned() {
    let (mut returns, now) = with_room();
    for _ in 0..10 {
        returns.retry_after(Duration::from_secs(3), now);
    }
    let later = now.after(Duration::from_secs(2));
    let time = returns.retry_after(Duration::from_secs(3), later);
    assert!(time < Duration::from_millis(80), "{time:?}");
}
