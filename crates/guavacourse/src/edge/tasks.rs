//! Tasks that outlive the request that started them.

use std::cell::RefCell;

use smol::{LocalExecutor, Task};

/// Finished tasks are removed once the set has this many tasks more than twice the
/// number that was running at the last removal.
const PRUNE_THRESHOLD: usize = 64;

/// A set of tasks of one thread, which that thread joins or cancels.
#[derive(Default)]
pub(crate) struct Tasks(RefCell<TaskList>);

#[derive(Default)]
struct TaskList {
    tasks: Vec<Task<()>>,
    /// Number of tasks that were running when finished ones were last removed.
    running: usize,
}

impl Tasks {
    /// Starts a task.
    pub(crate) fn spawn(
        &self,
        executor: &LocalExecutor<'static>,
        task: impl Future<Output = ()> + 'static,
    ) {
        self.add(executor.spawn(task));
    }

    /// Adds a task that was started elsewhere.
    pub(crate) fn add(&self, task: Task<()>) {
        let mut list = self.0.borrow_mut();
        if list.tasks.len() >= 2 * list.running + PRUNE_THRESHOLD {
            list.tasks.retain(|task| !task.is_finished());
            list.running = list.tasks.len();
        }
        list.tasks.push(task);
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
