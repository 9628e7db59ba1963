//! Error responses to bad requests.

use guavacourse::modules::inventory::{Class, Config, DataCentre, Instance, Kind, Leaf, Service};
use guavacourse_daemons::{
    client::Header,
    deployment::{Deployment, Plan},
};

/// Returns an inventory with a service of one leaf, and a query and an action on
/// it.
fn config() -> Config {
    let kind = |name: &str, class| Kind {
        name: name.to_owned(),
        class,
        services: vec!["slips".to_owned()],
        ..Kind::default()
    };
    Config {
        epoch: 1,
        data_centres: vec![DataCentre {
            name: "addis".to_owned(),
            region: "addis".to_owned(),
        }],
        instances: vec![Instance {
            name: "addis-1".to_owned(),
            data_centre: "addis".to_owned(),
            ..Instance::default()
        }],
        services: vec![Service {
            name: "slips".to_owned(),
            slots: 2,
            connections: 10,
            leaves: vec![Leaf {
                name: "slips-1".to_owned(),
                data_centre: "addis".to_owned(),
                from: 0,
                until: 65_536,
                ..Leaf::default()
            }],
            ..Service::default()
        }],
        kinds: vec![
            kind("pending", Class::Query),
            kind("approve", Class::Action),
        ],
        ..Config::default()
    }
}

#[test]
fn bad_requests_name_the_field_and_the_remedy() {
    let deployment = Deployment::start(&Plan::new(config())).expect("a deployment");
    let requests: [(&str, &[Header<'_>]); 10] = [
        ("/query/pending", &[("deadline-ms", "soon")]),
        ("/query/pending", &[("deadline-ms", "0")]),
        ("/query/pending", &[("deadline-ms", "3600000")]),
        ("/query/pending", &[("least-coverage", "most")]),
        ("/query/pending", &[("least-coverage", "1.5")]),
        ("/query/approve", &[]),
        ("/query/refuse", &[]),
        ("/actions/approve", &[("key", "1")]),
        ("/actions/approve", &[("ticket", "forged"), ("key", "1")]),
        ("/elsewhere", &[]),
    ];
    let mut responses = Vec::new();
    for (path, headers) in requests {
        let mut caller = deployment.caller(0);
        let answer = smol::block_on(caller.post(path, headers, b"{}")).expect("an answer");
        let text = |field: &str| answer.body[field].as_str().unwrap_or_default().to_owned();
        responses.push(format!(
            "{path} {headers:?}: {} {}: {}",
            answer.status,
            text("error"),
            text("message")
        ));
    }
    insta::assert_snapshot!(responses.join("\n"));
}
