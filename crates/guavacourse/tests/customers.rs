//! Which keys identify a customer, and which configurations of customers are refused.

use std::time::Duration;

use guavacourse::modules::customers::{
    AllowedRegions, ApiKey, Credential, Customer, CustomerFault, Denial, Keyring, Quota,
    Revocation, check,
};

fn key(text: &str) -> ApiKey {
    ApiKey(text.to_owned())
}

fn customer(name: &str, keys: &[&str]) -> Customer {
    Customer {
        name: name.to_owned(),
        keys: keys.iter().map(|text| key(text)).collect(),
        ..Customer::default()
    }
}

fn names(regions: &[&str]) -> Vec<String> {
    regions.iter().map(ToString::to_string).collect()
}

/// Guards against a request that is served for a customer who does not hold its key.
#[test]
fn only_a_known_key_identifies_a_customer() {
    let keyring = Keyring::new(&[customer("one", &["k1", "k2"]), customer("two", &["k3"])]);
    let identify = |credential: Credential, anonymous| {
        let found = keyring.identify(&credential, anonymous);
        found.map(|customer| customer.map(|customer| customer.name.clone()))
    };
    let named = |name: &str| Ok(Some(name.to_owned()));
    assert_eq!(identify(Credential::Key(key("k2")), false), named("one"));
    assert_eq!(identify(Credential::Key(key("k3")), true), named("two"));
    let unknown = Credential::Key(key("k"));
    assert_eq!(identify(unknown.clone(), false), Err(Denial::UnknownKey));
    assert_eq!(identify(unknown, true), Err(Denial::UnknownKey));
    assert_eq!(
        identify(Credential::Missing, false),
        Err(Denial::MissingKey)
    );
    assert_eq!(identify(Credential::Missing, true), Ok(None));
    let malformed = Credential::Malformed("twice");
    assert_eq!(
        identify(malformed, true),
        Err(Denial::MalformedKey("twice"))
    );
}

/// Guards against a configuration that gives one caller the name or quota of another.
#[test]
fn contradicting_customers_are_refused() {
    let quota = |rate, burst| Customer {
        quota: Some(Quota { rate, burst }),
        ..customer("one", &["k1"])
    };
    let refused = |customers: &[Customer]| check(customers).expect_err("a fault");
    assert_eq!(refused(&[customer("", &[])]), CustomerFault::Unnamed);
    assert_eq!(
        refused(&[customer("a\r\nb", &[])]),
        CustomerFault::Unprintable("a\r\nb".to_owned())
    );
    assert_eq!(
        refused(&[customer("one", &["k1"]), customer("one", &["k2"])]),
        CustomerFault::SameName("one".to_owned())
    );
    assert_eq!(
        refused(&[customer("one", &["k1"]), customer("two", &["k1"])]),
        CustomerFault::SharedKey {
            first: "one".to_owned(),
            second: "two".to_owned()
        }
    );
    assert_eq!(
        refused(&[customer("one", &[""])]),
        CustomerFault::EmptyKey("one".to_owned())
    );
    for (rate, burst) in [
        (-1.0, 0.0),
        (1.0, -1.0),
        (f64::INFINITY, 0.0),
        (f64::NAN, 0.0),
    ] {
        let fault = CustomerFault::InvalidQuota("one".to_owned());
        assert_eq!(refused(&[quota(rate, burst)]), fault);
    }
    assert_eq!(check(&[quota(0.5, 0.0), customer("two", &[])]), Ok(()));
}

/// Guards against keys in logs.
#[test]
fn a_key_is_not_printed() {
    let text = format!("{:?}", customer("one", &["secret"]));
    assert!(!text.contains("secret"), "{text}");
}

/// Guards against requests that leave the regions of the route or of the customer.
#[test]
fn both_lists_of_regions_bind() {
    let allows = |first: &[&str], second: &[&str]| {
        let regions = AllowedRegions::in_both(&names(first), &names(second));
        let allowed = ["n", "s"].map(|region| regions.allows(Some(&region.to_owned())));
        (allowed, regions.allows(None))
    };
    assert_eq!(allows(&[], &[]), ([true, true], true));
    assert_eq!(allows(&["n"], &[]), ([true, false], false));
    assert_eq!(allows(&[], &["s"]), ([false, true], false));
    assert_eq!(allows(&["n", "s"], &["s"]), ([false, true], false));
    assert_eq!(allows(&["n"], &["s"]), ([false, false], false));
}

/// Guards against a revoked key that is served by a process without news.
#[test]
fn strict_revocation_needs_recent_knowledge() {
    let second = Duration::from_secs(1);
    let strict = Revocation {
        strict_limit: Some(5 * second),
    };
    assert!(strict.accepts(Some(5 * second)));
    assert!(!strict.accepts(Some(6 * second)));
    assert!(!strict.accepts(None));
    assert!(Revocation::default().accepts(None));
}
