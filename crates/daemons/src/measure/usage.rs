//! Processor time and memory of processes and threads, read from `/proc`.

use std::{collections::HashMap, ffi::OsString, fs, path::Path, time::Duration};

use anyhow::Context;

/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Returns the processor time that the running threads called `name` have used
/// together.
pub(super) fn thread_cpu(name: &str) -> anyhow::Result<Duration> {
    let mut total = Duration::ZERO;
    for entry in fs::read_dir("/proc/self/task").context("no /proc; run on Linux")? {
        let folder = entry?.path();
        let comm = fs::read_to_string(folder.join("comm")).unwrap_or_default();
        if comm.trim_end() != name {
            continue;
        }
        total += read_schedstat(&folder);
    }
    Ok(total)
}

/// Returns the processor time that the calling thread has used; zero if its
/// counter cannot be read.
pub(super) fn current_thread_cpu() -> anyhow::Result<Duration> {
    let folder = fs::canonicalize("/proc/thread-self").context("no /proc; run on Linux")?;
    Ok(read_schedstat(&folder))
}

/// Returns the processor time that each thread of a process has used, by thread
/// id.
pub(super) fn cpu_by_thread(pid: u32) -> anyhow::Result<HashMap<OsString, Duration>> {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).context("no /proc; run on Linux")?;
    let used = |task: std::io::Result<fs::DirEntry>| {
        let task = task?;
        Ok((task.file_name(), read_schedstat(&task.path())))
    };
    tasks.map(used).collect()
}

/// Reads the processor time of one thread; zero if it has ended.
fn read_schedstat(folder: &Path) -> Duration {
    let stat = fs::read_to_string(folder.join("schedstat")).unwrap_or_default();
    let first = stat.split_whitespace().next().unwrap_or_default();
    Duration::from_nanos(first.parse().unwrap_or_default())
}

/// Returns the resident memory of this process, in bytes.
pub(super) fn resident_bytes() -> anyhow::Result<u64> {
    let statm = fs::read_to_string("/proc/self/statm").context("no /proc; run on Linux")?;
    let pages = statm
        .split_whitespace()
        .nth(1)
        .context("/proc/self/statm has too few fields")?;
    let pages: u64 = pages.parse().context("/proc/self/statm is not numeric")?;
    Ok(pages * PAGE_BYTES)
}

/// Returns the processor time that the calling thread has used, or an error if
/// its counter cannot be read.
pub(super) fn current_thread_cpu_strict() -> anyhow::Result<Duration> {
    let stat =
        fs::read_to_string("/proc/thread-self/schedstat").context("no /proc; run on Linux")?;
    let first = stat
        .split_whitespace()
        .next()
        .context("schedstat has no fields")?;
    Ok(Duration::from_nanos(first.parse()?))
}
