//! The parts of the load tool that need no running system.

use std::time::Duration;

use guavacourse::modules::{
    catalog::Catalog,
    inventory::{Class, Config, DataCentre, Kind, Leaf, Service},
    keys::KEY_SPACE,
};
use guavacourse_daemons::load::{
    Experiment, Failure, Sample, Scenario, Tally, arrivals, capacity, mean_service_time, scaled,
    slowed,
};
use guavacourse_standins::ServiceTime;

const SECOND: Duration = Duration::from_secs(1);

/// An inventory of `count` services of two replicas, and one kind over them.
fn config(count: usize) -> Config {
    let names: Vec<String> = (1..=count).map(|i| format!("s-{i:02}")).collect();
    let leaf = |name: String, dc: &str| Leaf {
        name,
        data_centre: dc.to_owned(),
        until: KEY_SPACE,
        ..Leaf::default()
    };
    let service = |name: &String| Service {
        name: name.clone(),
        slots: 3,
        connections: 10,
        leaves: vec![
            leaf(format!("{name}-1"), "a"),
            leaf(format!("{name}-2"), "b"),
        ],
        ..Service::default()
    };
    let data_centre = |name: &str| DataCentre {
        name: name.to_owned(),
        ..DataCentre::default()
    };
    let kind = |name: &str, class, worth| Kind {
        name: name.to_owned(),
        class,
        worth,
        services: names.clone(),
        least_coverage: 0.9,
        ..Kind::default()
    };
    Config {
        data_centres: vec![data_centre("a"), data_centre("b")],
        services: names.iter().map(service).collect(),
        kinds: vec![
            kind("find", Class::Query, 5),
            kind("book", Class::Action, 20),
        ],
        ..Config::default()
    }
}

fn sample(millis: u64, coverage: Option<f64>) -> Sample {
    Sample {
        latency: Duration::from_millis(millis),
        coverage,
        ..Sample::default()
    }
}

#[test]
fn arrivals_are_seeded() {
    let rates = [500.0, 0.0, 100.0];
    let first = arrivals(&rates, 10 * SECOND, 7);
    assert_eq!(first, arrivals(&rates, 10 * SECOND, 7));
    assert_ne!(first, arrivals(&rates, 10 * SECOND, 8));
    assert!(first.is_sorted_by_key(|arrival| arrival.at));
    let counts = [0, 1, 2].map(|kind| first.iter().filter(|a| a.kind == kind).count());
    assert_eq!(counts, [5013, 0, 1003]);
}

#[test]
fn capacity_of_busiest_shard() {
    let service = ServiceTime {
        median: Duration::from_millis(10),
        spread: 0.3,
    };
    let catalog = Catalog::new(1, &config(4));
    let rate = capacity(&catalog, &catalog.kinds["find"], &service).expect("has shards");
    let mean = mean_service_time(&service);
    insta::assert_snapshot!(format!("{rate:.1} a second, {mean:?} a call"), @"573.6 a second, 10.460279ms a call");
}

#[test]
fn scale() {
    let config = config(10);
    let counts = [1.0, 0.5, 0.25, 0.0].map(|fraction| {
        let scaled = scaled(&config, fraction);
        (scaled.services.len(), scaled.kinds[0].services.len())
    });
    assert_eq!(counts, [(10, 10), (5, 5), (3, 3), (1, 1)]);
}

#[test]
fn slowdown() {
    let slowed = slowed(&config(1), 4.0);
    assert_eq!(slowed.kinds[0].deadline, Duration::from_millis(400));
    let experiment = Experiment {
        slowdown: 4.0,
        ..Experiment::default()
    };
    let median = experiment.slowed_service().median;
    assert_eq!(median, Duration::from_millis(32));
}

#[test]
fn scenarios() {
    let config = config(1);
    for scenario in Scenario::ALL {
        assert_eq!(scenario.name().parse(), Ok(scenario));
        let experiment = scenario.experiment(&config, 9 * SECOND);
        let text = toml::to_string(&experiment).expect("TOML");
        let read: Experiment = toml::from_str(&text).expect("an experiment");
        assert_eq!(read, experiment, "{text}");
    }
    let overload = Scenario::Overload.experiment(&config, 9 * SECOND);
    insta::assert_debug_snapshot!(overload.mix);
    insta::assert_debug_snapshot!("nothing".parse::<Scenario>());
    let experiment: Experiment = toml::from_str("").expect("every key has a default");
    assert_eq!(experiment, Experiment::default());
}

#[test]
fn figures() {
    let mut tally = Tally::new(config(1).kinds.remove(0));
    for millis in 1..=98 {
        tally.add(sample(millis, Some(1.0)));
    }
    tally.add(sample(50, Some(0.8)));
    tally.add(sample(300, Some(0.9)));
    tally.add(Sample {
        failure: Some(Failure::Timeout),
        ..sample(100, None)
    });
    insta::assert_debug_snapshot!(tally.figures(None));
    let after = tally.figures(Some(Duration::ZERO));
    assert_eq!(after.incomplete_for, Some(Duration::from_millis(300)));
}
