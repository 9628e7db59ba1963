//! Measures the processor time of actions in a whole deployment.

use std::{
    collections::BTreeMap,
    fs,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use guavacourse::modules::inventory::{Class, Config};

use super::usage::thread_cpu;
use crate::{
    client::{Answer, Caller},
    deployment::{Deployment, Plan},
};

/// Callers that send actions concurrently.
const CALLERS: usize = 8;

/// How callers identify their actions.
#[derive(Clone, Copy, Debug)]
enum Identifier {
    /// By a ticket that an entry mints.
    Ticket,
    /// By an idempotency key that the caller chooses.
    Key,
}

/// Time for which the idle deployment is measured before the actions are sent.
const IDLE_PERIOD: Duration = Duration::from_secs(2);

/// Names and roles of the threads whose processor time is reported.
const ROLES: [(&str, &str); 5] = [
    ("traffic-0", "entries, first thread"),
    ("traffic-1", "entries, second thread"),
    ("relay", "relays"),
    ("leaves", "leaves (stand-in)"),
    ("platform", "platform (stand-in)"),
];

/// Sends `count` actions of the first kind of action in an inventory by ticket,
/// and as many by key, each through a randomly chosen entry.
///
/// # Errors
///
/// Returns an error if the inventory cannot be read or the deployment started.
pub(super) fn run(inventory: &Path, count: usize) -> anyhow::Result<()> {
    let name = inventory.display();
    let text = fs::read_to_string(inventory).with_context(|| format!("cannot read {name}"))?;
    let config: Config = toml::from_str(&text).with_context(|| format!("{name} is not valid"))?;
    for identifier in [Identifier::Ticket, Identifier::Key] {
        measure(config.clone(), identifier, count)?;
    }
    Ok(())
}

#[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn measure(config: Config, identifier: Identifier, count: usize) -> anyhow::Result<()> {
    let kind = config.kinds.iter().find(|kind| kind.class == Class::Action);
    let kind = kind.context("the inventory has no kind of class action")?;
    let path = format!("/actions/{}", kind.name);
    let mut plan = Plan::new(config);
    plan.platform.write_rate = u32::MAX;
    plan.platform.read_rate = u32::MAX;
    let deployment = Arc::new(Deployment::start(&plan)?);
    let idle_before = thread_times()?;
    thread::sleep(IDLE_PERIOD);
    let before = thread_times()?;
    let counters_before = deployment.platform.counters();
    let start = Instant::now();
    let answers = send_all(&deployment, identifier, &path, count)?;
    let elapsed = start.elapsed().as_secs_f64();
    let rate = count as f64 / elapsed;
    let after = thread_times()?;
    let counters_after = deployment.platform.counters();
    println!("{identifier:?}: {count} actions by {CALLERS} callers, {rate:.0} per second");
    for (answer, count) in &answers {
        println!("  {count:>6} {answer}");
    }
    for (i, (_, role)) in ROLES.iter().enumerate() {
        let idle =
            before[i].saturating_sub(idle_before[i]).as_secs_f64() / IDLE_PERIOD.as_secs_f64();
        let spent = after[i].saturating_sub(before[i]).as_secs_f64() - idle * elapsed;
        let micros = spent * 1e6 / count.max(1) as f64;
        println!("  {micros:>6.1} us per action above {idle:.4} cores at idle: {role}");
    }
    println!(
        "  {:>6} store reads",
        counters_after.reads - counters_before.reads
    );
    println!(
        "  {:>6} store writes",
        counters_after.writes - counters_before.writes
    );
    Ok(())
}

fn thread_times() -> anyhow::Result<Vec<Duration>> {
    ROLES.iter().map(|(name, _)| thread_cpu(name)).collect()
}

/// Sends the actions of all callers and returns how often each answer came.
fn send_all(
    deployment: &Arc<Deployment>,
    identifier: Identifier,
    path: &str,
    count: usize,
) -> anyhow::Result<BTreeMap<String, usize>> {
    let mut threads = Vec::new();
    for number in 0..CALLERS {
        let deployment = Arc::clone(deployment);
        let path = path.to_owned();
        let work = move || send(&deployment, identifier, &path, number, count / CALLERS);
        let name = format!("callers-{number}");
        threads.push(thread::Builder::new().name(name).spawn(work)?);
    }
    let mut answers = BTreeMap::new();
    for thread in threads {
        let sent = thread.join();
        ensure!(sent.is_ok(), "a caller panicked");
        for answer in sent.unwrap_or_else(|_| Ok(Vec::new()))? {
            *answers.entry(answer).or_default() += 1;
        }
    }
    Ok(answers)
}

/// Sends the actions of one caller and returns a description of each answer.
fn send(
    deployment: &Deployment,
    identifier: Identifier,
    path: &str,
    number: usize,
    count: usize,
) -> anyhow::Result<Vec<String>> {
    let entries = deployment.entries.len();
    let mut callers: Vec<Caller> = (0..entries).map(|i| deployment.caller(i)).collect();
    let mut rng = fastrand::Rng::with_seed(u64::try_from(number)?);
    let mut answers = Vec::with_capacity(count);
    for action in 0..count {
        let (header, id) = match identifier {
            Identifier::Ticket => {
                let minted = callers[rng.usize(..entries)].post("/tickets", &[], b"");
                let answer = smol::block_on(minted)?;
                let ticket = answer.body["ticket"]
                    .as_str()
                    .context("the entry returned no ticket")?;
                ("ticket", ticket.to_owned())
            }
            Identifier::Key => ("idempotency-key", format!("measure-{number}-{action}")),
        };
        let key = rng.u32(..65_536).to_string();
        let headers = [(header, id.as_str()), ("key", &key)];
        let body = format!("{{\"worker\":\"W-{number}-{action}\",\"site\":\"Kandapola\"}}");
        let sent = callers[rng.usize(..entries)].post(path, &headers, body.as_bytes());
        answers.push(describe(&smol::block_on(sent)?));
    }
    Ok(answers)
}

fn describe(answer: &Answer) -> String {
    let text = |field: &str| answer.body[field].as_str().unwrap_or_default();
    match answer.status {
        200 => "done".to_owned(),
        status => format!("{status} {} {}", text("error"), text("reason")),
    }
}
