//! Parsing of the operators' configuration.

use guavacourse::modules::{catalog::Catalog, inventory::Config};

#[test]
fn empty_file() {
    let config: Config = toml::from_str("").expect("every key has a default");
    let catalog = Catalog::new(1, &config);
    assert_eq!(catalog.leaves.len(), 0);
}
