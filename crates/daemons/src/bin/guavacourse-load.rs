//! Load-tests the system, with injected faults and embedded stand-ins.

use std::{fs, path::PathBuf, time::Duration};

use anyhow::Context;
use bpaf::Bpaf;
use guavacourse::modules::inventory::Config;
use guavacourse_daemons::load::{Experiment, Scenario, run, table};

/// Runs experiments, each with the plain and the adaptive policy.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Inventory in TOML; its addresses are not used.
    #[bpaf(argument("FILE"))]
    inventory: PathBuf,
    /// Scenario to run; may be repeated. Runs all of them if none is given.
    #[bpaf(argument("NAME"), many)]
    scenario: Vec<Scenario>,
    /// Experiment in TOML, to run instead of scenarios.
    #[bpaf(argument("FILE"), optional)]
    experiment: Option<PathBuf>,
    /// Seed of the random number generators.
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Duration of the measurement in seconds, for scenarios.
    #[bpaf(argument("N"), fallback(12), display_fallback)]
    seconds: u64,
    /// Fraction of the services to keep, for scenarios.
    #[bpaf(argument("PART"), fallback(1.0), display_fallback)]
    scale: f64,
    /// Factor on all times, for scenarios.
    #[bpaf(argument("FACTOR"), fallback(1.0), display_fallback)]
    slowdown: f64,
    /// One-way delay between data centres in milliseconds, for scenarios.
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    distance: u64,
    /// File to write the reports to, as JSON.
    #[bpaf(argument("FILE"), optional)]
    json: Option<PathBuf>,
}

fn main() -> anyhow::Result<()> {
    let options = options().run();
    let inventory = options.inventory.display().to_string();
    let config: Config = toml::from_str(&read_file(&options.inventory)?)
        .with_context(|| format!("{inventory} is not valid"))?;
    let mut reports = Vec::new();
    for experiment in experiments(&options, &config)? {
        let report = run(&inventory, &config, &experiment)?;
        println!("{}", table(&report));
        reports.push(report);
    }
    if let Some(path) = &options.json {
        let text = serde_json::to_string_pretty(&reports)?;
        fs::write(path, text).with_context(|| format!("cannot write {}", path.display()))?;
    }
    Ok(())
}

fn experiments(options: &Options, config: &Config) -> anyhow::Result<Vec<Experiment>> {
    if let Some(path) = &options.experiment {
        let experiment = toml::from_str(&read_file(path)?)
            .with_context(|| format!("{} is not valid", path.display()))?;
        return Ok(vec![experiment]);
    }
    let scenarios = match options.scenario.as_slice() {
        [] => &Scenario::ALL[..],
        selected => selected,
    };
    let duration = Duration::from_secs(options.seconds);
    let experiment = |scenario: &Scenario| Experiment {
        seed: options.seed,
        scale: options.scale,
        slowdown: options.slowdown,
        distance: Duration::from_millis(options.distance),
        ..scenario.experiment(config, duration)
    };
    Ok(scenarios.iter().map(experiment).collect())
}

fn read_file(path: &PathBuf) -> anyhow::Result<String> {
    fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))
}
