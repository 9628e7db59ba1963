//! Tests which queries a process hands over to a strong peer.

use std::sync::Arc;

use guavacourse::modules::{
    catalog::Catalog,
    customers::AllowedRegions,
    delegation::Delegation,
    inventory::{Address, Class, Config, Forward, Kind, Leaf, Service},
    keys::KEY_SPACE,
    members::Member,
    time::Time,
    view::View,
};

fn member(name: &str, power: u32) -> Member {
    Member {
        name: name.to_owned(),
        data_centre: "a".to_owned(),
        queries: Address(([127, 0, 0, 1], 7_741).into()),
        power,
        ..Member::default()
    }
}

fn kind(name: &str, class: Class, services: usize) -> Kind {
    Kind {
        name: name.to_owned(),
        class,
        services: (0..services).map(service_name).collect(),
        ..Kind::default()
    }
}

/// Returns a kind whose requests go to one of eight services.
fn split(name: &str, class: Class) -> Kind {
    Kind {
        forward: Some(Forward {
            weights: vec![1.0; 8],
            ..Forward::default()
        }),
        ..kind(name, class, 8)
    }
}

fn service_name(number: usize) -> String {
    format!("s{number}")
}

/// Returns a view of a weak and a strong process. The first `known` services have a leaf.
fn view(known: usize) -> Arc<View> {
    let services = (0..known).map(|number| Service {
        name: service_name(number),
        leaves: vec![Leaf {
            name: format!("leaf-{number}"),
            until: KEY_SPACE,
            ..Leaf::default()
        }],
        ..Service::default()
    });
    let config = Config {
        services: services.collect(),
        kinds: vec![
            kind("wide", Class::Query, 8),
            kind("one", Class::Query, 1),
            kind("act", Class::Action, 1),
            split("split", Class::Query),
            split("book", Class::Action),
        ],
        ..Config::default()
    };
    Arc::new(View {
        catalog: Arc::new(Catalog::new(1, &config)),
        entries: vec![member("weak", 120), member("strong", 500)],
        ..View::default()
    })
}

/// Returns whether the process `own` hands a query of `kind` over.
fn delegates(own: &Member, view: &Arc<View>, kind: &str) -> bool {
    let mut delegation = Delegation::new(own.clone());
    let kind = &view.catalog.kinds[kind];
    let regions = AllowedRegions::default();
    delegation
        .peer_for_query(view, kind, &regions, Time(1))
        .is_some()
}

#[test]
fn a_weak_process_hands_over_queries_of_many_services() {
    let (weak, strong) = (member("weak", 120), member("strong", 500));
    for known in [0, 8] {
        assert!(delegates(&weak, &view(known), "wide"));
        assert!(!delegates(&strong, &view(known), "wide"));
    }
}

// A process that has just started is ready before it knows the leaves.
#[test]
fn a_process_that_knows_no_leaf_hands_over_what_may_be_repeated() {
    let weak = member("weak", 120);
    assert!(delegates(&weak, &view(0), "one"));
    assert!(!delegates(&weak, &view(0), "act"));
    assert!(!delegates(&weak, &view(1), "one"));
}

// Guards against requests to a single leaf that a peer is asked to run: it saves no work,
// and actions lose what is known of them with the peer.
#[test]
fn a_request_to_one_of_many_services_is_run_here() {
    let weak = member("weak", 120);
    assert!(!delegates(&weak, &view(8), "split"));
    for known in [0, 8] {
        assert!(!delegates(&weak, &view(known), "book"));
    }
}
