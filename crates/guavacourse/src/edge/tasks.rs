//! Tasks that outlive the request that started them.

use std::cell::RefCell;

use smol::{LocalExecutor, Task};

/// Finished tasks are forgotten once so many are kept.
const PRUNE_AT: usize = 64;

/// Tasks of one thread, joined by the thread that owns them.
#[derive(Default)]
pub(crate) struct Tasks(RefCell<Kept>);

#[derive(Default)]
struct Kept {
    tasks: Vec<Task<()>>,
    /// Tasks that ran at the last pruning.
    running: usize,
}

impl Tasks {
    /// Starts a task.
    pub(crate) fn spawn(
        &self,
        executor: &LocalExecutor<'static>,
        task: impl Future<Output = ()> + 'static,
    ) {
        self.keep(executor.spawn(task));
    }

    /// Keeps a task that was started elsewhere.
    pub(crate) fn keep(&self, task: Task<()>) {
        let mut kept = self.0.borrow_mut();
        if kept.tasks.len() >= 2 * kept.running + PRUNE_AT {
            kept.tasks.retain(|task| !task.is_finished());
            kept.running = kept.tasks.len();
        }
        kept.tasks.push(task);
    }

    /// Cancels all tasks, and waits until they have ended.
    pub(crate) async fn cancel(&self) {
        let tasks = std::mem::take(&mut self.0.borrow_mut().tasks);
        for task in tasks {
            task.cancel().await;
        }
    }

    /// Waits for all tasks, and for those that they start.
    pub(crate) async fn join(&self) {
        loop {
            let tasks = std::mem::take(&mut self.0.borrow_mut().tasks);
            if tasks.is_empty() {
                return;
            }
            for task in tasks {
                task.await;
            }
        }
    }
}
