//! Property test: whatever replies arrive, an answer holds rows of one snapshot, each
//! key at most once, and the coverage that it reports is that of its rows.

use std::time::Duration;

use guavacourse::modules::{
    answer::AnswerBody,
    call::{HeldVersions, NotRun, Outcome, Rows, Unknown},
    coverage::CoverageTally,
    keys::KeyRange,
    load_balancer::LoadBalancer,
    query::QueryRequest,
};
use proptest::collection::vec;
use serde::Deserialize;

use crate::fixture::{DATA_CENTRES, Driver, Fixture, SentCall, ms, request, runner};

/// One row of a scripted leaf: the snapshot and the key range that it was read from.
#[derive(Debug, Deserialize)]
struct Row {
    version: u64,
    epoch: u64,
    from: u32,
    until: u32,
}

/// Returns the outcome of a call, or `None` if it gets no reply. `pick` selects the
/// kind of reply, `skew` the newest version of the leaf, 7 to 9.
fn scripted_outcome(driver: &Driver, sent: SentCall, pick: u8, skew: u8) -> Option<Outcome> {
    let newest = 7 + u64::from(skew % 3);
    let expected = if sent.version == 0 {
        newest
    } else {
        sent.version
    };
    let mut rows = driver.rows_of(sent, expected);
    rows.newest = newest;
    match pick % 16 {
        0 => rows.version = newest,
        1 => rows.version = 0,
        2 => rows.epoch += 1,
        3 => rows.epoch = 0,
        4 => rows.range = KeyRange::new(rows.range.from, rows.range.until + 1),
        5 => rows.range = KeyRange::new(0, 65_536),
        6 => return Some(Outcome::NotRun(NotRun::Shed)),
        7 => return Some(Outcome::Unknown(Unknown::Closed)),
        8 => return Some(Outcome::Unknown(Unknown::Malformed)),
        9 => return None,
        10 | 11 => {
            return Some(Outcome::Elsewhere(HeldVersions {
                oldest: newest,
                newest,
                epoch: 1,
            }));
        }
        _ => {}
    }
    rows.body = body(&rows);
    Some(Outcome::Rows(rows))
}

fn body(rows: &Rows) -> std::sync::Arc<[u8]> {
    let row = format!(
        r#"[{{"version":{},"epoch":{},"from":{},"until":{}}}]"#,
        rows.version, rows.epoch, rows.range.from, rows.range.until
    );
    row.into_bytes().into()
}

/// Checks that the rows of an answer are of its snapshot, that no key range is
/// merged twice, and that its coverage is that of its rows.
fn check_answer(answer: &AnswerBody) {
    let rows: Vec<Row> = serde_json::from_str(answer.rows.as_json()).expect("rows are JSON");
    let mut tally = CoverageTally::new(&["roster-0".to_owned()]);
    for row in &rows {
        assert_eq!(row.version, answer.index_version, "{rows:?}");
        assert_eq!(row.epoch, answer.partition_epoch, "{rows:?}");
        assert!(
            tally.add(0, KeyRange::new(row.from, row.until)),
            "merged twice: {rows:?}"
        );
    }
    assert_eq!(tally.coverage(), answer.coverage);
}

fn run_script(script: &[(u8, u8)]) {
    let view = Fixture {
        shards: 4,
        ..Fixture::default()
    }
    .view(1);
    let any_coverage = QueryRequest {
        least_coverage: Some(0.0),
        ..request()
    };
    let mut script = script.iter().copied().cycle();
    let mut balancer = LoadBalancer::new(DATA_CENTRES[0]);
    for query in 0..4 {
        let mut driver =
            Driver::start_with(&view, balancer, any_coverage.clone(), ms(1 + query * 150));
        while driver.answer.is_none() {
            for sent in driver.take_sent() {
                let (pick, skew) = script.next().expect("the script repeats");
                if let Some(outcome) = scripted_outcome(&driver, sent, pick, skew) {
                    driver.reply(sent.call, outcome.clone());
                    // Each reply arrives twice.
                    driver.reply(sent.call, outcome);
                }
            }
            driver.advance(driver.now.after(Duration::from_millis(5)));
        }
        if let Ok(answer) = &driver.answer().body {
            check_answer(answer);
        }
        balancer = driver.balancer;
    }
}

#[test]
fn any_replies_give_one_snapshot() {
    let script = vec((0..=255_u8, 0..=255_u8), 1..64);
    let property = |script: Vec<(u8, u8)>| {
        run_script(&script);
        Ok(())
    };
    runner(2_000)
        .run(&script, property)
        .expect("the property holds");
}
