//! Measures the cost of a configuration: memory, processor time to compile it, and
//! size of its text and deltas.

#![expect(
    clippy::cast_precision_loss,
    reason = "figures are printed with few digits"
)]

use std::{fmt::Write, time::Instant};

use anyhow::bail;
use guavacourse::modules::{catalog::Catalog, check, delta::Delta};

use super::usage::resident_bytes;

/// Copies held at the same time for each memory figure.
const COPIES: usize = 20;

/// Numbers of leaves in the measured inventories.
pub(super) const LEAF_COUNTS: [usize; 3] = [90, 900, 3_700];

/// Measures the memory of a compiled configuration and the time to read, check and
/// compile it.
pub(super) fn memory() -> anyhow::Result<()> {
    for leaves in LEAF_COUNTS {
        let text = inventory(leaves, 0);
        let before = resident_bytes()?;
        let start = Instant::now();
        let mut held = Vec::new();
        for _ in 0..COPIES {
            let Ok(config) = check::read(&text) else {
                bail!("the inventory of {leaves} leaves is not valid");
            };
            held.push((text.clone(), Catalog::new(1, &config)));
        }
        let time = start.elapsed();
        let growth = resident_bytes()?.saturating_sub(before);
        let copies = COPIES as f64;
        println!(
            "configuration of {leaves} leaves: {:.0} KB held with its text, {:.0} bytes per leaf; \
             read, checked and compiled in {:.2} ms",
            growth as f64 / copies / 1_000.0,
            growth as f64 / copies / leaves as f64,
            time.as_secs_f64() * 1_000.0 / copies,
        );
        drop(held);
    }
    Ok(())
}

/// Measures the bytes of a whole configuration and of a delta that changes one line
/// of it, and the time to compute the delta.
pub(super) fn deltas() -> anyhow::Result<()> {
    for leaves in LEAF_COUNTS {
        let (old, new) = (inventory(leaves, 0), inventory(leaves, 1));
        let start = Instant::now();
        let delta = Delta::between(&old, &new);
        let time = start.elapsed();
        println!(
            "configuration of {leaves} leaves: {} bytes of text; delta of one line: {} bytes, \
             computed in {:.2} ms",
            new.len(),
            serde_json::to_vec(&delta)?.len(),
            time.as_secs_f64() * 1_000.0,
        );
    }
    Ok(())
}

/// Returns an inventory in TOML with one service for every three leaves, which are
/// its replicas; `seed` changes one line.
pub(super) fn inventory(leaves: usize, seed: u32) -> String {
    let mut text = format!("epoch = 1\n# change {seed}\n");
    for dc in 0..3 {
        text.push_str("[[data-centres]]\n");
        writeln!(text, "name = \"dc-{dc}\"\nregion = \"region-{dc}\"").unwrap_or_default();
    }
    for leaf in 0..leaves {
        let (service, dc) = (leaf / 3, leaf % 3);
        if dc == 0 {
            text.push_str("[[services]]\nslots = 3\nconnections = 30\nconnect = \"6ms\"\n");
            writeln!(text, "name = \"service-{service}\"\nleaves = [").unwrap_or_default();
        }
        let (high, low) = (leaf / 200, leaf % 200 + 1);
        writeln!(
            text,
            "  {{ name = \"service-{service}-{dc}\", data-centre = \"dc-{dc}\", \
             address = \"10.1.{high}.{low}:8080\", from = 0, until = 65536 }},"
        )
        .unwrap_or_default();
        if dc == 2 || leaf + 1 == leaves {
            text.push_str("]\n");
        }
    }
    text
}
