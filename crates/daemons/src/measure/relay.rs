//! Measures the leaf calls that a relay handles per core-second, and the memory of
//! its state.

use std::{
    collections::HashMap,
    ffi::OsString,
    fs,
    io::{BufRead, BufReader, Read},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::{Context, bail};
use guavacourse::{
    configs::{relay::RelayConfig, settings::Settings},
    edge::{
        clock::Clock,
        published::Published,
        relay::{RelayClient, RelayMessage, RelayServer, RunningRelay},
    },
    modules::{
        admission::{Admission, SessionId},
        call::{AttemptId, Call, Outcome, Part},
        catalog::{Catalog, LeafId},
        inventory::{Address, Config, Leaf, Service},
        keys::KEY_SPACE,
        time::Time,
        view::View,
    },
};
use guavacourse_standins::{FleetSettings, LeafFleet, ServiceTime};
use serde::Serialize;
use smol::LocalExecutor;

use super::usage::{cpu_by_thread, resident_bytes};

/// Leaves behind the relay.
const LEAVES: usize = 64;

/// Slots of each leaf.
const SLOTS: u32 = 8;

/// Calls in flight at a time.
const WINDOW: usize = 256;

/// Leaves over which the state per leaf is measured.
const MEASURED_LEAVES: usize = 37_000;

/// Calls over which the state per call in the core is measured.
const MEASURED_CALLS: u64 = 200_000;

/// Calls over which the state per call in flight is measured.
const MEASURED_FLIGHTS: u64 = 400;

/// Figures of one run.
#[derive(Serialize)]
struct Run {
    batch: usize,
    calls: u64,
    calls_per_second: f64,
    calls_per_core_second: f64,
    micros_per_call: f64,
    /// Processor time per call of the thread that used the most.
    busiest_micros: f64,
    replies_per_delivery: f64,
}

/// Bytes of state per leaf, per call in the core and per call in flight.
#[derive(Serialize)]
struct StateBytes {
    leaf: u64,
    held: u64,
    flight: u64,
}

#[derive(Serialize)]
struct Report {
    runs: Vec<Run>,
    bytes: StateBytes,
}

/// Runs the measurement and prints the figures.
pub(crate) fn run(seconds: u64, bytes: usize, threads: u16, json: bool) -> anyhow::Result<()> {
    let state_bytes = measure_memory()?;
    let mut runs = Vec::new();
    for batch in [1, 8, 64] {
        runs.push(run_batches(
            batch,
            Duration::from_secs(seconds),
            bytes,
            threads,
        )?);
    }
    let report = Report {
        runs,
        bytes: state_bytes,
    };
    if json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print(&report);
    }
    Ok(())
}

fn print(report: &Report) {
    println!("batch   calls/s  calls/core-s  us/call  of busiest thread  replies/delivery");
    for run in &report.runs {
        println!(
            "{:5} {:9.0} {:13.0} {:8.1} {:18.1} {:17.1}",
            run.batch,
            run.calls_per_second,
            run.calls_per_core_second,
            run.micros_per_call,
            run.busiest_micros,
            run.replies_per_delivery
        );
    }
    let bytes = &report.bytes;
    println!("bytes per leaf            {:6}", bytes.leaf);
    println!("bytes per call held        {:6}", bytes.held);
    println!("bytes per call in flight  {:6}", bytes.flight);
}

/// A relay in its own process, as in production. In one process with the load
/// generator it would share the socket reactor, which would cost the relay time.
struct ChildRelay {
    process: Child,
    inventory: PathBuf,
    address: SocketAddr,
}

impl ChildRelay {
    fn start(config: &Config, threads: u16) -> anyhow::Result<Self> {
        let file = format!("guavacourse-measure-{}.toml", std::process::id());
        let inventory = std::env::temp_dir().join(file);
        fs::write(&inventory, toml::to_string(config)?)?;
        let mut process = Command::new(std::env::current_exe()?)
            .args(["relay-child", "--inventory"])
            .arg(&inventory)
            .args(["--threads", &threads.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .context("cannot start this program again as a relay")?;
        let stdout = process
            .stdout
            .take()
            .context("the relay process has no output")?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        Ok(Self {
            process,
            inventory,
            address: line.trim().parse().context("the relay did not start")?,
        })
    }

    fn cpu(&self) -> anyhow::Result<HashMap<OsString, Duration>> {
        cpu_by_thread(self.process.id())
    }

    fn stop(mut self) -> anyhow::Result<()> {
        drop(self.process.stdin.take());
        self.process.wait()?;
        fs::remove_file(&self.inventory)?;
        Ok(())
    }
}

/// Runs a relay for an inventory: prints its address and stops when standard input
/// ends.
pub(crate) fn serve(inventory: &Path, threads: u16) -> anyhow::Result<()> {
    let config: Config = toml::from_str(&fs::read_to_string(inventory)?)?;
    let relay = start_relay(&config, threads)?;
    println!("{}", relay.address());
    std::io::stdin().read_to_end(&mut Vec::new())?;
    relay.stop();
    Ok(())
}

/// Starts leaves and a relay, and measures the relay with calls in batches of
/// `batch`.
fn run_batches(
    batch: usize,
    duration: Duration,
    bytes: usize,
    threads: u16,
) -> anyhow::Result<Run> {
    let fleet = LeafFleet::start_with(&config(LEAVES, SLOTS), &settings())?;
    let relay = ChildRelay::start(fleet.config(), threads)?;
    let executor = Rc::new(LocalExecutor::new());
    let run = executor.run(submit_batches(&executor, &relay, batch, duration, bytes));
    let run = smol::block_on(run)?;
    drop(executor);
    relay.stop()?;
    fleet.stop();
    Ok(run)
}

/// Keeps a window of calls in flight, submitted in batches, for `duration` after a
/// warm-up of a quarter of it.
async fn submit_batches(
    executor: &Rc<LocalExecutor<'static>>,
    relay: &ChildRelay,
    batch: usize,
    duration: Duration,
    bytes: usize,
) -> anyhow::Result<Run> {
    let client = RelayClient::open(executor, relay.address).await?;
    let mut next = 0;
    let mut submit = || {
        next += batch;
        part(next - batch, batch, bytes)
    };
    for _ in 0..WINDOW / batch {
        client.submit(&[submit()]).await?;
    }
    let (mut calls, mut deliveries) = (0, 0);
    let (mut before, mut start) = (relay.cpu()?, Instant::now());
    let mut warm = false;
    let mut unanswered: HashMap<usize, usize> = HashMap::new();
    loop {
        let Some(RelayMessage::Replies(replies)) = client.next().await else {
            bail!("the relay ended the session; see its log");
        };
        deliveries += 1;
        let mut parts = Vec::new();
        for reply in &replies {
            if !matches!(reply.outcome, Outcome::Rows(_)) {
                bail!("a call failed: {:?}", reply.outcome);
            }
            calls += 1;
            let number = usize::try_from(reply.attempt.0)? / batch;
            let left = unanswered.entry(number).or_insert(batch);
            *left -= 1;
            if *left == 0 {
                unanswered.remove(&number);
                parts.push(submit());
            }
        }
        client.submit(&parts).await?;
        if !warm && start.elapsed() > duration / 4 {
            (calls, deliveries, warm) = (0, 0, true);
            (before, start) = (relay.cpu()?, Instant::now());
        }
        if warm && start.elapsed() > duration {
            break;
        }
    }
    let elapsed = start.elapsed().as_secs_f64();
    let spent = |(thread, used): (OsString, Duration)| {
        let earlier = before.get(&thread).copied().unwrap_or_default();
        used.saturating_sub(earlier).as_secs_f64()
    };
    let threads: Vec<f64> = relay.cpu()?.into_iter().map(spent).collect();
    Ok(figures(batch, calls, deliveries, &threads, elapsed))
}

#[allow(clippy::cast_precision_loss, reason = "counts are small")]
fn figures(batch: usize, calls: u64, deliveries: u64, threads: &[f64], elapsed: f64) -> Run {
    let count = calls as f64;
    let used: f64 = threads.iter().sum();
    let busiest = threads.iter().copied().fold(0.0, f64::max);
    Run {
        batch,
        calls,
        calls_per_second: count / elapsed,
        calls_per_core_second: count / used,
        micros_per_call: used * 1e6 / count,
        busiest_micros: busiest * 1e6 / count,
        replies_per_delivery: count / deliveries as f64,
    }
}

fn start_relay(config: &Config, threads: u16) -> anyhow::Result<RunningRelay> {
    let settings = Settings {
        relay: RelayConfig { threads },
        ..Settings::default()
    };
    let view = Published::new(view(config));
    RelayServer::start_with_view(&settings, view, Clock::start(), |_| {})
}

fn view(config: &Config) -> View {
    View {
        catalog: Arc::new(Catalog::new(1, config)),
        ..View::default()
    }
}

fn config(leaves: usize, slots: u32) -> Config {
    let leaf = |i| Leaf {
        name: name(i),
        until: KEY_SPACE,
        ..Leaf::default()
    };
    let service = Service {
        name: "measured".to_owned(),
        slots,
        connections: slots * 4,
        leaves: (0..leaves).map(leaf).collect(),
        ..Service::default()
    };
    Config {
        epoch: 1,
        services: vec![service],
        ..Config::default()
    }
}

fn settings() -> FleetSettings {
    FleetSettings {
        threads: 4,
        service: ServiceTime {
            median: Duration::from_millis(1),
            spread: 0.0,
        },
        ..FleetSettings::default()
    }
}

fn name(leaf: usize) -> String {
    format!("leaf-{leaf}")
}

/// Creates a part of `count` calls, each to the next leaf.
fn part(first: usize, count: usize, bytes: usize) -> Part {
    let call = |i: usize| Call {
        attempt: AttemptId(i as u64),
        leaf: LeafId::of(&name(i % LEAVES)),
        extra: false,
    };
    Part {
        kind: "measured".to_owned(),
        worth: 1,
        budget: Duration::from_secs(10),
        epoch: 1,
        body: Arc::from(vec![b'x'; bytes]),
        calls: (first..first + count).map(call).collect(),
        ..Part::default()
    }
}

/// Measures the state per leaf and per call by the growth of resident memory.
fn measure_memory() -> anyhow::Result<StateBytes> {
    let view = Arc::new(view(&config(MEASURED_LEAVES, SLOTS)));
    let mut core = Admission::default();
    core.configure(view, Time(0));
    let before = resident_bytes()?;
    for leaf in 0..MEASURED_LEAVES {
        core.submit(SessionId(0), single_call(leaf as u64, &name(leaf)), Time(0));
        drop(core.take_steps());
    }
    let leaf_bytes = (resident_bytes()? - before) / MEASURED_LEAVES as u64;

    let before = resident_bytes()?;
    for attempt in 0..MEASURED_CALLS {
        let leaf = usize::try_from(attempt)? % MEASURED_LEAVES;
        let attempt = MEASURED_LEAVES as u64 + attempt;
        core.submit(SessionId(0), single_call(attempt, &name(leaf)), Time(0));
        drop(core.take_steps());
    }
    let held = (resident_bytes()? - before) / MEASURED_CALLS;
    drop(core);
    Ok(StateBytes {
        leaf: leaf_bytes,
        held,
        flight: measure_flights()?,
    })
}

fn single_call(attempt: u64, leaf: &str) -> Part {
    Part {
        calls: vec![Call {
            attempt: AttemptId(attempt),
            leaf: LeafId::of(leaf),
            extra: false,
        }],
        ..part(0, 0, 64)
    }
}

/// Measures the state per call in flight, with calls to a server that never
/// answers.
fn measure_flights() -> anyhow::Result<u64> {
    let server = TcpListener::bind("127.0.0.1:0").context("no free port")?;
    let mut config = config(1, u32::try_from(MEASURED_FLIGHTS)?);
    config.services[0].leaves[0].address = Address(server.local_addr()?);
    let relay = start_relay(&config, 1)?;
    let executor = Rc::new(LocalExecutor::new());
    let server = std::thread::spawn(move || {
        let connections: Vec<_> = server
            .incoming()
            .take(usize::try_from(MEASURED_FLIGHTS)?)
            .collect();
        anyhow::Ok(connections)
    });
    let sending = async {
        let client = RelayClient::open(&executor, relay.address()).await?;
        let before = resident_bytes()?;
        for attempt in 0..MEASURED_FLIGHTS {
            client.submit(&[single_call(attempt, &name(0))]).await?;
        }
        let connections = smol::unblock(move || server.join()).await;
        let after = resident_bytes()?;
        drop(connections);
        anyhow::Ok((after - before) / MEASURED_FLIGHTS)
    };
    let bytes = smol::block_on(executor.run(sending))?;
    drop(executor);
    relay.stop();
    Ok(bytes)
}
