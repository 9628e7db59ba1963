//! Tests that coverage is computed from the merged ranges and the planned keys.

use guavacourse::modules::{
    call::{NotRun, Outcome, Rows, Unknown},
    coverage::{Coverage, CoverageTally},
    keys::{KEY_SPACE, KeyRange},
};
use proptest::{collection::vec, prelude::any};

use crate::fixture::{Driver, Fixture, ms, runner};

/// Checks a coverage against a count of every 256th key: each key is either in one
/// added range or reported missing.
fn check_coverage(coverage: &Coverage, added: &[(usize, KeyRange)], services: usize) {
    let mut covered = 0;
    for service in 0..services {
        let name = format!("service-{service}");
        let cover_count = |key: &u32| {
            let covering = added
                .iter()
                .filter(|(s, range)| *s == service && range.contains(*key));
            covering.count()
        };
        for key in (0..KEY_SPACE).step_by(256) {
            let missing = coverage
                .missing
                .iter()
                .any(|gap| gap.service == name && KeyRange::new(gap.from, gap.until).contains(key));
            assert!(cover_count(&key) <= 1, "key {key} is merged twice");
            assert_ne!(cover_count(&key) == 1, missing, "key {key} of {name}");
            covered += cover_count(&key) as u64 * 256;
        }
    }
    assert_eq!(coverage.covered, covered);
    assert_eq!(coverage.planned, services as u64 * u64::from(KEY_SPACE));
    assert_eq!(
        (coverage.fraction - 1.0).abs() < f64::EPSILON,
        coverage.missing.is_empty()
    );
}

#[test]
fn tally_matches_a_recount_of_random_ranges() {
    let range = (0..=256_u32, 0..=280_u32);
    let ranges = vec((0..3_usize, range), 0..24);
    let property = |ranges: Vec<(usize, (u32, u32))>| {
        let services = ["service-0".to_owned(), "service-1".to_owned()];
        let mut tally = CoverageTally::new(&services);
        let mut added = Vec::new();
        for (service, (from, until)) in ranges {
            let range = KeyRange::new(from * 256, until * 256);
            if tally.add(service, range) {
                added.push((service, range));
            }
        }
        check_coverage(&tally.coverage(), &added, services.len());
        Ok(())
    };
    runner(256)
        .run(&ranges, property)
        .expect("the property holds");
}

#[test]
fn tally_rejects_invalid_and_overlapping_ranges() {
    let mut tally = CoverageTally::new(&["roster".to_owned()]);
    assert!(!tally.is_complete());
    assert!(tally.add(0, KeyRange::new(100, KEY_SPACE)));
    assert!(!tally.add(0, KeyRange::new(99, 101)), "overlap by one key");
    assert!(
        !tally.add(0, KeyRange::new(0, KEY_SPACE)),
        "overlap by all keys"
    );
    assert!(!tally.add(0, KeyRange::new(50, 50)), "empty range");
    assert!(!tally.add(0, KeyRange::new(60, 50)), "reversed range");
    assert!(
        !tally.add(1, KeyRange::new(0, 100)),
        "the service is not planned"
    );
    assert!(tally.add(0, KeyRange::new(0, 100)));
    assert!(tally.is_complete());
}

#[test]
fn tally_without_a_plan_is_not_full() {
    let tally = CoverageTally::new(&[]);
    assert!(!tally.is_complete());
    assert!(tally.fraction().abs() < f64::EPSILON);
}

#[test]
fn gap_in_the_inventory_is_missing() {
    let fixture = Fixture::default();
    let mut config = fixture.config();
    config.services[0].leaves.retain(|leaf| leaf.from == 0);
    let view = std::sync::Arc::new(crate::fixture::view(&config, 1));
    let mut driver = Driver::start_with_coverage(&view, 0.5);
    let sent = driver.take_sent();
    driver.reply_rows(sent[0], 7);
    insta::assert_json_snapshot!(
        driver
            .answer()
            .body
            .as_ref()
            .expect("half is enough")
            .coverage
    );
}

#[test]
fn service_lacking_in_the_inventory_is_missing() {
    let fixture = Fixture::default();
    let mut config = fixture.config();
    config.kinds[0].services.push("ledger".to_owned());
    let view = std::sync::Arc::new(crate::fixture::view(&config, 1));
    let mut driver = Driver::start(&view);
    for sent in driver.take_sent() {
        driver.reply_rows(sent, 7);
    }
    let failure = driver
        .answer()
        .body
        .as_ref()
        .expect_err("half is not enough");
    insta::assert_json_snapshot!(failure.coverage);
}

#[test]
fn empty_rows_are_covered() {
    let mut driver = Driver::start(&Fixture::default().view(1));
    for sent in driver.take_sent() {
        let rows = Rows {
            body: (*b" [ ] ").into(),
            ..driver.rows_of(sent, 7)
        };
        driver.reply(sent.call, Outcome::Rows(rows));
    }
    let body = driver.answer().body.as_ref().expect("complete");
    assert_eq!(body.rows.as_json(), "[]");
    assert!((body.coverage.fraction - 1.0).abs() < f64::EPSILON);
}

#[test]
fn refused_failed_and_malformed_replies_are_not_covered() {
    let bodies: [&[u8]; 6] = [b"", b"[1,2", b"[1],[2]", b"{}", b"[\"\xff\"]", b"null"];
    let mut outcomes = vec![
        Outcome::NotRun(NotRun::Shed),
        Outcome::Unknown(Unknown::Malformed),
        Outcome::Unknown(Unknown::Mismatched),
        Outcome::Unknown(Unknown::Timeout),
    ];
    let view = Fixture::default().view(1);
    let driver = Driver::start(&view);
    let rows = driver.rows_of(driver.sent[0], 7);
    outcomes.extend(bodies.map(|body| {
        Outcome::Rows(Rows {
            body: body.into(),
            ..rows.clone()
        })
    }));
    for outcome in outcomes {
        let mut driver = Driver::start_with_coverage(&view, 0.5);
        let sent = driver.take_sent();
        driver.reply_rows(sent[1], 7);
        driver.reply(sent[0].call, outcome.clone());
        driver.advance(ms(200));
        let body = driver.answer().body.as_ref().expect("half is enough");
        assert_eq!(body.rows.as_json(), "[32768]", "{outcome:?}");
        assert_eq!(body.coverage.covered, 32768, "{outcome:?}");
    }
}

/// Guards against an answer from an outdated inventory that claims full coverage:
/// leaves of a newer partition epoch return rows of the planned key ranges.
#[test]
fn rows_of_a_newer_epoch_are_not_covered() {
    let property = |epoch: u64| {
        let mut driver = Driver::start(&Fixture::default().view(1));
        while driver.answer.is_none() {
            for mut sent in driver.take_sent() {
                sent.epoch = epoch.max(2);
                driver.reply_rows(sent, 7);
            }
            driver.advance(driver.now.after(std::time::Duration::from_millis(5)));
        }
        let failure = driver
            .answer()
            .body
            .as_ref()
            .expect_err("no rows are of the planned epoch");
        assert_eq!(failure.coverage.covered, 0);
        Ok(())
    };
    runner(16)
        .run(&any::<u64>(), property)
        .expect("the property holds");
}
