//! Actions on a whole deployment that runs in the test process.

mod common;

use std::{thread, time::Duration};

use guavacourse::{
    configs::{node::NodeConfig, settings::Settings},
    edge::entry::EntryServer,
};
use guavacourse_daemons::{
    client::{Answer, Header},
    deployment::{Deployment, Plan},
};
use guavacourse_standins::{LeafFaults, Outage, PlatformFaults, ReplyFault};
use smol::{Timer, future::FutureExt};

use common::{INSTANCES, inventory};

const BODY: &[u8] = br#"{"worker": "W-2201"}"#;

fn deployment() -> Deployment {
    Deployment::start(&Plan::new(inventory())).expect("a deployment")
}

fn post(deployment: &Deployment, entry: usize, path: &str, headers: &[Header<'_>]) -> Answer {
    post_body(deployment, entry, path, headers, BODY)
}

fn post_body(
    deployment: &Deployment,
    entry: usize,
    path: &str,
    headers: &[Header<'_>],
    body: &[u8],
) -> Answer {
    let mut caller = deployment.caller(entry);
    smol::block_on(caller.post(path, headers, body)).expect("an answer")
}

fn mint(deployment: &Deployment, entry: usize) -> String {
    let answer = post(deployment, entry, "/tickets", &[]);
    answer.body["ticket"].as_str().expect("a ticket").to_owned()
}

fn book(deployment: &Deployment, entry: usize, ticket: &str) -> Answer {
    let headers = [("ticket", ticket), ("key", "7")];
    post(deployment, entry, "/actions/book", &headers)
}

fn runs(deployment: &Deployment, ticket: &str) -> u32 {
    let (id, _) = ticket.rsplit_once('.').expect("a ticket has a tag");
    deployment.leaves.runs(id)
}

/// Formats an answer without its id, which differs in each run.
fn show(answer: &Answer) -> String {
    let text = |field: &str| answer.body[field].as_str().unwrap_or_default();
    let (error, reason) = (text("error"), text("reason"));
    format!("{} {error} {reason}: {}", answer.status, text("message"))
}

fn take_store_down(deployment: &Deployment) {
    deployment.platform.set_faults(PlatformFaults {
        down: Outage::Close,
        ..PlatformFaults::default()
    });
}

#[test]
fn each_entry_repeats_the_outcome_of_a_ticket() {
    let deployment = deployment();
    let ticket = mint(&deployment, 0);
    let answers: Vec<Answer> = (0..INSTANCES)
        .map(|entry| book(&deployment, entry, &ticket))
        .collect();
    assert_eq!(answers[0].status, 200, "{:?}", answers[0]);
    assert!(answers.iter().all(|answer| answer.body == answers[0].body));
    assert_eq!(runs(&deployment, &ticket), 1);
    let other = [("ticket", ticket.as_str()), ("key", "8")];
    let mismatches: Vec<String> = (0..INSTANCES)
        .map(|entry| show(&post(&deployment, entry, "/actions/book", &other)))
        .collect();
    insta::assert_debug_snapshot!(mismatches);
    deployment.stop();
}

#[test]
fn each_entry_repeats_the_outcome_of_a_key() {
    let deployment = deployment();
    let headers = [("idempotency-key", "slip-17"), ("subject", "Hawassa")];
    let answers: Vec<Answer> = (0..INSTANCES)
        .map(|entry| post(&deployment, entry, "/actions/book", &headers))
        .collect();
    assert_eq!(answers[0].status, 200, "{:?}", answers[0]);
    assert!(answers.iter().all(|answer| answer.body == answers[0].body));
    assert_eq!(deployment.leaves.runs("key:slip-17"), 1);
    let other = post_body(&deployment, 1, "/actions/book", &headers, b"{}");
    assert_eq!(other.status, 409);
    deployment.stop();
}

#[test]
fn tickets_are_served_while_the_store_is_down() {
    let deployment = deployment();
    take_store_down(&deployment);
    let served = (0..60)
        .filter(|number| {
            let ticket = mint(&deployment, *number);
            let answer = book(&deployment, number + 1, &ticket);
            answer.status == 200 && runs(&deployment, &ticket) == 1
        })
        .count();
    assert_eq!(served, 60);
    let key = [
        ("idempotency-key", "slip-18"),
        ("key", "7"),
        ("first-try", "true"),
    ];
    let first = post(&deployment, 0, "/actions/book", &key);
    let resent = post(&deployment, 1, "/actions/book", &key[..2]);
    assert_eq!(deployment.leaves.runs("key:slip-18"), 0);
    insta::assert_debug_snapshot!([show(&first), show(&resent)]);
    deployment.stop();
}

#[test]
fn an_action_continues_after_its_caller_disconnects() {
    let deployment = deployment();
    deployment.leaves.set_faults(&LeafFaults {
        slow: 100.0,
        ..LeafFaults::default()
    });
    let ticket = mint(&deployment, 0);
    abandon(&deployment, &[("ticket", &ticket), ("key", "7")]);
    let answer = book(&deployment, 1, &ticket);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(runs(&deployment, &ticket), 1);
    deployment.stop();
}

#[test]
fn a_graceful_stop_finishes_actions_of_disconnected_callers() {
    let deployment = deployment();
    deployment.leaves.set_faults(&LeafFaults {
        slow: 150.0,
        ..LeafFaults::default()
    });
    let headers = [("idempotency-key", "slip-19"), ("key", "7")];
    abandon(&deployment, &headers);
    let Deployment {
        entries, platform, ..
    } = deployment;
    for entry in entries {
        entry.stop();
    }
    let (claim, _) = platform.value("claims/slip-19").expect("a claim");
    let claim = String::from_utf8(claim).expect("UTF-8");
    assert!(
        claim.contains("\"done\""),
        "the claim has no outcome: {claim}"
    );
}

/// Sends a booking and disconnects once a leaf runs it.
fn abandon(deployment: &Deployment, headers: &[Header<'_>]) {
    let mut caller = deployment.caller(0);
    let sent = async {
        let answer = caller.post("/actions/book", headers, BODY).await;
        panic!("answered before the caller disconnected: {answer:?}");
    };
    let running = async {
        while deployment.leaves.all_runs().is_empty() {
            Timer::after(Duration::from_millis(2)).await;
        }
    };
    smol::block_on(sent.or(running));
}

#[test]
fn a_lost_reply_of_the_leaf_leaves_the_outcome_unknown_for_good() {
    let deployment = deployment();
    deployment.leaves.set_faults(&LeafFaults {
        reply: Some(ReplyFault::Lost),
        ..LeafFaults::default()
    });
    let ticket = mint(&deployment, 0);
    let lost = book(&deployment, 0, &ticket);
    deployment.leaves.set_faults(&LeafFaults::default());
    let resent = book(&deployment, 1, &ticket);
    thread::sleep(Duration::from_millis(100));
    assert_eq!(runs(&deployment, &ticket), 1);
    insta::assert_debug_snapshot!([show(&lost), show(&resent)]);
    deployment.stop();
}

#[test]
fn bad_requests_name_the_field() {
    let deployment = deployment();
    let ticket = mint(&deployment, 0);
    let mut forged = mint(&deployment, 0);
    forged.replace_range(forged.len() - 4.., "0000");
    let t = ("ticket", ticket.as_str());
    let k = ("key", "7");
    let cases: [(&str, &[Header<'_>], &[u8]); 12] = [
        ("book", &[k], BODY),
        ("book", &[t, ("idempotency-key", "a"), k], BODY),
        ("book", &[("ticket", "x.1.2"), k], BODY),
        ("book", &[("ticket", &forged), k], BODY),
        ("book", &[("idempotency-key", "a/b"), k], BODY),
        ("book", &[t], BODY),
        ("book", &[t, ("key", "seven")], BODY),
        ("book", &[t, ("key", "70000")], BODY),
        ("book", &[t, k, ("first-try", "yes")], BODY),
        ("book", &[t, k, ("deadline-ms", "0")], BODY),
        ("book", &[t, k], b"{\"worker\":"),
        ("dance", &[t, k], BODY),
    ];
    let shown: Vec<String> = cases
        .into_iter()
        .map(|(kind, headers, body)| {
            let path = format!("/actions/{kind}");
            show(&post_body(&deployment, 0, &path, headers, body))
        })
        .collect();
    insta::assert_debug_snapshot!(shown);
    assert!(deployment.leaves.all_runs().is_empty());
    assert_eq!(book(&deployment, 0, &ticket).status, 200);
    deployment.stop();
}

/// Sends a booking under a key, which is not marked as the first try.
fn book_key(deployment: &Deployment, entry: usize, key: &str) -> Answer {
    let headers = [("idempotency-key", key), ("key", "7")];
    post(deployment, entry, "/actions/book", &headers)
}

// Guards against a second run of an action whose claim was lost: the store came back from
// a copy that is older than the claim, so that the key looks unused.
#[test]
fn a_key_whose_claim_was_lost_runs_nothing() {
    for away in [false, true] {
        let mut deployment = deployment();
        deployment.platform.send_era();
        let copy = deployment.platform.copy();
        assert_eq!(book_key(&deployment, 0, "slip-20").status, 200);
        if away {
            take_store_down(&deployment);
            let refused = book_key(&deployment, 0, "slip-21");
            assert_eq!(refused.body["reason"], "store-down", "{refused:?}");
        }
        deployment.platform.restore(&copy);
        deployment.platform.set_faults(PlatformFaults::default());
        for entry in 0..INSTANCES {
            let lost = book_key(&deployment, entry, "slip-20");
            assert_eq!(lost.body["reason"], "claim-lost", "{lost:?}");
        }
        // A process that starts later learns of the restore from the store.
        let settings = Settings {
            node: NodeConfig {
                instance: "instance-9".to_owned(),
                data_centre: "dc0".to_owned(),
                platform: deployment.platform.address(),
                seeds: vec![deployment.entries[0].fleet_address()],
                ..NodeConfig::default()
            },
            ..Settings::default()
        };
        let late = EntryServer::start(settings).expect("an entry");
        deployment.entries.push(late);
        while book_key(&deployment, INSTANCES, "slip-20").status == 503 {
            thread::sleep(Duration::from_millis(20));
        }
        for _ in 0..2 {
            let lost = book_key(&deployment, INSTANCES, "slip-20");
            assert_eq!(lost.body["reason"], "claim-lost", "{lost:?}");
        }
        assert_eq!(deployment.leaves.runs("key:slip-20"), 1);
        let first = [
            ("idempotency-key", "slip-22"),
            ("key", "7"),
            ("first-try", "true"),
        ];
        let answer = post(&deployment, 1, "/actions/book", &first);
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(book_key(&deployment, 2, "slip-22").body, answer.body);
        assert_eq!(deployment.leaves.runs("key:slip-22"), 1);
        deployment.stop();
    }
}

// Guards against keys that stay unusable where no copy was restored.
#[test]
fn keys_are_claimed_as_before_in_the_first_era() {
    let deployment = deployment();
    deployment.platform.send_era();
    for entry in 0..INSTANCES {
        assert_eq!(book_key(&deployment, entry, "slip-23").status, 200);
    }
    assert_eq!(deployment.leaves.runs("key:slip-23"), 1);
    deployment.stop();
}
