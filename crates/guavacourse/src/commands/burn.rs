//! `guavacourse burn`: shows how fast each kind spends its error budget.

use std::collections::BTreeMap;

use bpaf::Bpaf;
use serde::Serialize;

use super::{
    Exit,
    failure::Failure,
    fleet::{Fleet, fleet, get},
    output::Output,
};
use crate::modules::burn::{Counts, KindBurn};

/// Arguments of the subcommand.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(args), ignore_rustdoc)]
pub(super) struct Args {
    #[bpaf(external)]
    fleet: Fleet,
}

#[derive(Debug, Serialize)]
struct Body {
    /// Burn rates of each kind, from the counts of all entries that answered.
    kinds: Vec<KindReport>,
    /// Entries that answered.
    answered: Vec<String>,
    /// Entries that did not answer.
    silent: Vec<String>,
}

#[derive(Debug, Serialize)]
struct KindReport {
    kind: String,
    worth: u32,
    objective: f64,
    windows: Vec<WindowReport>,
}

#[derive(Debug, Serialize)]
struct WindowReport {
    window: String,
    counts: Counts,
    /// Burn rate: the failure rate divided by the allowed failure rate; 1 spends
    /// the error budget exactly. Null if no failure is allowed and some happened.
    burn: f64,
}

/// Runs the subcommand.
pub(super) fn run(args: &Args) -> Result<Output, Failure> {
    smol::block_on(burn(args))
}

async fn burn(args: &Args) -> Result<Output, Failure> {
    let mut sums: BTreeMap<String, KindBurn> = BTreeMap::new();
    let (mut answered, mut silent) = (Vec::new(), Vec::new());
    for (entry, name) in args.fleet.entries().await? {
        match get::<Vec<KindBurn>>(entry, "/burn").await {
            Some(kinds) => {
                for kind in kinds {
                    add_counts(&mut sums, kind);
                }
                answered.push(name);
            }
            None => silent.push(name),
        }
    }
    let body = Body {
        kinds: sums.into_values().map(kind_report).collect(),
        answered,
        silent,
    };
    Ok(Output::new(Exit::Done, render(&body), &body))
}

/// Adds the counts of one entry to the sums over all entries.
fn add_counts(sums: &mut BTreeMap<String, KindBurn>, kind: KindBurn) {
    let Some(sum) = sums.get_mut(&kind.kind) else {
        sums.insert(kind.kind.clone(), kind);
        return;
    };
    for (sum, window) in sum.windows.iter_mut().zip(&kind.windows) {
        sum.counts.add(window.counts);
    }
}

fn kind_report(kind: KindBurn) -> KindReport {
    let objective = kind.objective;
    let windows = kind.windows.into_iter().map(|window| WindowReport {
        burn: window.counts.burn_rate(objective),
        window: window.window,
        counts: window.counts,
    });
    KindReport {
        kind: kind.kind,
        worth: kind.worth,
        objective,
        windows: windows.collect(),
    }
}

fn render(body: &Body) -> String {
    let mut lines = Vec::new();
    for kind in &body.kinds {
        lines.push(format!(
            "{} (worth {}, objective {})",
            kind.kind, kind.worth, kind.objective
        ));
        lines.extend(kind.windows.iter().map(window_line));
    }
    if body.kinds.is_empty() {
        lines.push("no entry answered; name one with --entry IP:PORT".to_owned());
    }
    for name in &body.silent {
        lines.push(format!("{name}: no answer; check that it runs"));
    }
    lines.join("\n")
}

fn window_line(window: &WindowReport) -> String {
    format!(
        "  {:>3}: {} of {} served, burn {:.1}",
        window.window, window.counts.good, window.counts.total, window.burn
    )
}
