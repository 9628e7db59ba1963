//! Measures the memory and processor time of tickets.

use std::sync::Arc;

use super::usage::{current_thread_cpu_strict, resident_bytes};
use anyhow::ensure;
use guavacourse::{
    configs::ledger::LedgerConfig,
    modules::{
        ledger::{Digest, Ledger, LedgerAdmission, RECORD_BYTES},
        outcome::ActionOutcome,
        tickets::{Issuer, Ticket, TicketOrigin},
        time::Time,
    },
};

/// Body that each action returns.
const ROWS: &[u8] = br#"[{"worker":"W-2201","site":"Kandapola","shift":"dawn","booked":true}]"#;

/// Mints `count` tickets, uses each once and resends each once.
///
/// # Errors
///
/// Returns an error if memory or processor time cannot be read, or the ledger did not
/// keep an outcome.
#[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub(super) fn run(count: usize) -> anyhow::Result<()> {
    let issuer = Issuer::new("instance-1", 0x9f31_0000_0000_0001);
    let mut ledger = Ledger::new(LedgerConfig {
        kept_bytes: usize::MAX,
        ..LedgerConfig::default()
    });
    let now = |i: usize| Time(u64::try_from(i).unwrap_or(u64::MAX));
    let start = current_thread_cpu_strict()?;
    let tickets: Vec<String> = (0..count)
        .map(|i| issuer.sign(ledger.allocate(now(i))).to_string())
        .collect();
    let mint = current_thread_cpu_strict()?.saturating_sub(start);
    let digest = Digest::of("book-gang", 4711, ROWS);
    let before = resident_bytes()?;
    let start = current_thread_cpu_strict()?;
    for text in &tickets {
        let serial = own_serial(&issuer, text)?;
        let admission = ledger.begin(serial, digest, now(count));
        ensure!(
            admission == LedgerAdmission::Run,
            "a new ticket did not run"
        );
        let outcome = ActionOutcome::Done(Arc::from(ROWS));
        ledger.finish(serial, outcome, now(count));
    }
    let used = current_thread_cpu_strict()?.saturating_sub(start);
    let after = resident_bytes()?;
    let start = current_thread_cpu_strict()?;
    for text in &tickets {
        let admission = ledger.begin(own_serial(&issuer, text)?, digest, now(count));
        ensure!(
            matches!(admission, LedgerAdmission::Ended(_)),
            "the ledger did not keep an outcome"
        );
    }
    let resent = current_thread_cpu_strict()?.saturating_sub(start);
    let each = count.max(1) as f64;
    println!("{count} tickets minted, used and kept");
    println!(
        "mint and write       {:>8.0} ns",
        mint.as_nanos() as f64 / each
    );
    println!(
        "parse, admit, finish {:>8.0} ns",
        used.as_nanos() as f64 / each
    );
    println!(
        "parse, repeat        {:>8.0} ns",
        resent.as_nanos() as f64 / each
    );
    println!(
        "record               {RECORD_BYTES:>8} bytes, plus {} of body",
        ROWS.len()
    );
    let growth = after.saturating_sub(before) as f64 / each;
    println!("resident growth      {growth:>8.0} bytes per ticket kept");
    Ok(())
}

/// Returns the serial of a ticket that `issuer` has minted.
fn own_serial(issuer: &Issuer, text: &str) -> anyhow::Result<guavacourse::modules::ledger::Serial> {
    let ticket: Ticket = text.parse()?;
    match issuer.origin(&ticket)? {
        TicketOrigin::Own(serial) => Ok(serial),
        TicketOrigin::PastIncarnation | TicketOrigin::Other => {
            anyhow::bail!("{text} was minted by another issuer")
        }
    }
}
