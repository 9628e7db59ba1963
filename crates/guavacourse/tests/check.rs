//! Faults that the check of a configuration reports, and their messages.

use guavacourse::modules::{
    catalog::Catalog,
    check::{self, Fault},
    inventory::Config,
};

/// A small configuration without faults.
const VALID: &str = r#"
epoch = 3

[[data-centres]]
name = "kandy"
region = "central"

[[instances]]
name = "one"
data-centre = "kandy"
callers = "10.0.0.1:1"
entry = "10.0.0.1:2"
relay = "10.0.0.1:3"

[[services]]
name = "ledger"
slots = 3
connections = 30
connect = "6ms"
leaves = [
  { name = "a", data-centre = "kandy", address = "10.0.1.1:1", from = 0, until = 30000 },
  { name = "b", data-centre = "kandy", address = "10.0.1.2:1", from = 0, until = 30000 },
  { name = "c", data-centre = "kandy", address = "10.0.1.3:1", from = 30000, until = 65536 },
]

[[kinds]]
name = "wages"
services = ["ledger"]
deadline = "100ms"
settle = "40ms"
least-coverage = 0.9
"#;

/// Replaces the first `from` in the valid configuration by `to`.
fn edited(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "`{from}` is not in the text");
    VALID.replacen(from, to, 1)
}

fn messages(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Returns the faults that an edit of the valid configuration causes.
fn refused(from: &str, to: &str) -> String {
    let faults = check::read(&edited(from, to)).expect_err("the edit causes a fault");
    format!("{from} -> {to}\n{}", messages(&faults))
}

#[test]
fn a_valid_configuration_has_no_faults() {
    assert!(check::read(VALID).is_ok());
}

#[test]
fn refusals() {
    let all = [
        refused("slots = 3", "slotz = 3"),
        refused("connect = \"6ms\"", "connect = 6"),
        refused("connect = \"6ms\"", "connect = \"6\""),
        refused("connect = \"6ms\"", "connect = \"6 parsecs\""),
        refused("\"10.0.1.1:1\"", "\"backend.example:80\""),
        refused("from = 0", "from = -1"),
        refused("epoch = 3", "epoch ="),
        refused("least-coverage = 0.9", "least-coverage = 1.5"),
        refused("least-coverage = 0.9", "least-coverage = nan"),
        refused("settle = \"40ms\"", "settle = \"400ms\""),
        refused("deadline = \"100ms\"", "deadline = \"0s\""),
        refused("slots = 3", "slots = 0"),
        refused("connections = 30", ""),
        refused("services = [\"ledger\"]", "services = [\"ledgers\"]"),
        refused("services = [\"ledger\"]", ""),
        refused(
            "name = \"a\", data-centre = \"kandy\"",
            "name = \"a\", data-centre = \"candy\"",
        ),
        refused("name = \"b\"", "name = \"a\""),
        refused("name = \"b\"", "name = \"\""),
        refused("10.0.1.2:1", "10.0.1.1:1"),
        refused("10.0.1.2:1", "10.0.0.1:2"),
        refused("relay = \"10.0.0.1:3\"", ""),
        refused("from = 30000", "from = 30001"),
        refused("from = 30000", "from = 29000"),
        refused("until = 65536", "until = 65535"),
        refused("until = 65536", "until = 65537"),
        refused("from = 30000", "from = 65536"),
        refused(
            "from = 0, until = 30000 },\n  { name = \"b\"",
            "from = 10, until = 30000 },\n  { name = \"b\"",
        ),
    ];
    insta::assert_snapshot!(all.join("\n\n"));
}

/// Leaves are identified by the hash of their name, so two names with the same hash
/// are a fault.
#[test]
fn names_of_equal_hash() {
    let text = edited("name = \"a\"", "name = \"8yn0iYCKYHlIj4-BwPqk\"");
    let text = text.replace("name = \"b\"", "name = \"GReLUrM4wMqfg9yzV3KQ\"");
    let faults = check::read(&text).expect_err("the hashes are equal");
    insta::assert_snapshot!(messages(&faults), @"leaves `8yn0iYCKYHlIj4-BwPqk` and `GReLUrM4wMqfg9yzV3KQ` have names with the same hash; rename one");
}

#[test]
fn every_fault_is_reported() {
    let text = edited("slots = 3", "slots = 0").replace("settle = \"40ms\"", "settle = \"4s\"");
    let faults = check::read(&text).expect_err("two faults");
    assert_eq!(faults.len(), 2);
}

#[test]
fn epoch_of_a_repartition() {
    let old = check::read(VALID).expect("the configuration is valid");
    let split = VALID.replace("30000", "40000");
    let change = |text: &str| {
        let new = check::read(text).expect("the new configuration is valid on its own");
        messages(&check::check_change(&old, &new))
    };
    assert_eq!(change(VALID), "");
    assert_eq!(change(&split.replace("epoch = 3", "epoch = 4")), "");
    assert_eq!(change(&edited("slots = 3", "slots = 4")), "");
    let moved = VALID.replacen("from = 0, until = 30000", "from = 30000, until = 65536", 1);
    let all = [
        change(&split),
        change(&moved),
        change(&edited("epoch = 3", "epoch = 2")),
    ];
    insta::assert_snapshot!(all.join("\n"));
}

#[test]
fn examples() {
    let sizes: Vec<String> = ["association", "fanos"]
        .into_iter()
        .map(|name| {
            let path = format!("{}/../../examples/{name}.toml", env!("CARGO_MANIFEST_DIR"));
            let text = std::fs::read_to_string(path).expect("the example can be read");
            let config: Config = check::read(&text).expect("the example has no fault");
            let catalog = Catalog::new(1, &config);
            format!(
                "{name}: {} data centres, {} instances, {} services, {} shards, {} leaves, {} kinds",
                config.data_centres.len(),
                config.instances.len(),
                catalog.services.len(),
                catalog.shards.len(),
                catalog.leaves.len(),
                catalog.kinds.len(),
            )
        })
        .collect();
    insta::assert_snapshot!(sizes.join("\n"));
}
