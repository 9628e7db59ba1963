//! Measures the unit costs (slopes) that the capacity page lists.

use guavacourse_daemons::measure;

fn main() -> anyhow::Result<()> {
    measure::command().run().run()
}
