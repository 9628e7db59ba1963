//! Formats reports as text.

use std::{fmt::Write, time::Duration};

use guavacourse::modules::inventory::Policy;
use hdrhistogram::Histogram;

use super::report::{KindFigures, PolicyFigures, Report};

/// Maximum length of a histogram bar, in characters.
const MAX_BAR_LENGTH: u64 = 50;

/// Returns a report as a table.
#[must_use]
pub fn table(report: &Report) -> String {
    let experiment = &report.experiment;
    let mut text = format!(
        "{} on {}, seed {}, {:?} measured, slowdown {}, distance {:?}, \
         leaf calls of {:?} (spread {})\n",
        experiment.name,
        report.inventory,
        experiment.seed,
        experiment.duration,
        experiment.slowdown,
        experiment.distance.mul_f64(experiment.slowdown),
        experiment.slowed_service().median,
        experiment.service.spread,
    );
    text += "policy    kind               sent answered  served   wrong  cov.mean cov.least     p50     p99   p99.9     max incomplete\n";
    for figures in &report.policies {
        for kind in &figures.kinds {
            text += &kind_line(figures.policy, kind);
        }
    }
    for figures in &report.policies {
        text += &failure_lines(figures);
        text += &policy_lines(figures);
    }
    for figures in &report.policies {
        let _ = write!(
            text,
            "{} latency of answers\n{}",
            policy_name(figures.policy),
            figures.histogram
        );
    }
    text
}

fn kind_line(policy: Policy, kind: &KindFigures) -> String {
    format!(
        "{:<9} {:<16} {:>6} {:>8} {:>6.1}% {:>7} {:>9.4} {:>9.4} {} {} {} {} {:>10}\n",
        policy_name(policy),
        kind.kind,
        kind.sent,
        kind.answered,
        100.0 * kind.service,
        kind.wrong,
        kind.coverage_mean,
        kind.coverage_least,
        millis(kind.latency.p50),
        millis(kind.latency.p99),
        millis(kind.latency.p999),
        millis(kind.latency.max),
        kind.incomplete_for
            .map_or("-".to_owned(), |span| format!("{span:.1?}")),
    )
}

/// Returns a line for each kind and cause of failure under a policy.
fn failure_lines(figures: &PolicyFigures) -> String {
    let mut text = String::new();
    for kind in &figures.kinds {
        for (failure, count) in &kind.failures {
            let policy = policy_name(figures.policy);
            let _ = writeln!(
                text,
                "{policy:<9} {:<16} {count} failed: {failure}",
                kind.kind
            );
        }
    }
    text
}

fn policy_lines(figures: &PolicyFigures) -> String {
    let leaves = &figures.leaves;
    format!(
        "{:<9} service by worth {:.2}%, p50 {} p99 {} p99.9 {} ms, extra load {:.2}%, \
         leaf calls {} (cancelled {}, shed {}), sent late {}\n",
        policy_name(figures.policy),
        100.0 * figures.service,
        millis(figures.latency.p50).trim_start(),
        millis(figures.latency.p99).trim_start(),
        millis(figures.latency.p999).trim_start(),
        100.0 * leaves.extra_load,
        leaves.started,
        leaves.cancelled,
        leaves.shed,
        figures.sent_late,
    )
}

/// Formats a histogram of latencies in microseconds as bars, where the upper bound
/// of each bar is twice that of the one before.
pub(super) fn latency_bars(histogram: &Histogram<u64>) -> String {
    let counts: Vec<(u64, u64)> = histogram
        .iter_log(500, 2.0)
        .map(|bar| (bar.value_iterated_to(), bar.count_since_last_iteration()))
        .collect();
    let max_count = counts.iter().map(|bar| bar.1).max().unwrap_or_default();
    let mut text = String::new();
    for (until, count) in counts {
        let len = (count * MAX_BAR_LENGTH).div_ceil(max_count.max(1));
        let bar = "#".repeat(usize::try_from(len).unwrap_or_default());
        let up_to = millis(Duration::from_micros(until));
        let _ = writeln!(text, "  <= {up_to} ms {count:>7} {bar}");
    }
    text
}

fn policy_name(policy: Policy) -> &'static str {
    match policy {
        Policy::Adaptive => "adaptive",
        Policy::Plain => "plain",
    }
}

fn millis(span: Duration) -> String {
    format!("{:>7.1}", span.as_secs_f64() * 1000.0)
}
