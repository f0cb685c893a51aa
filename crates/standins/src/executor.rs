//! Global task executor of the process.

use std::future::Future;
use std::thread;

use async_executor::StaticExecutor;
use async_executor::Task;

static EXECUTOR: StaticExecutor = StaticExecutor::new();

/// Spawns a task on the global executor.
///
/// The task makes progress only while [`run`] executes.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(future)
}

/// Runs a future to completion, with the spawned tasks on `threads` threads.
///
/// The calling thread is one of them.
///
/// # Example
///
/// ```
/// use celeryshore_standins::executor;
///
/// let sum = executor::run(1, async { executor::spawn(async { 2 }).await + 1 });
/// assert_eq!(sum, 3);
/// ```
pub fn run<T>(threads: usize, future: impl Future<Output = T>) -> T {
    for _ in 1..threads.max(1) {
        thread::spawn(|| async_io::block_on(EXECUTOR.run(std::future::pending::<()>())));
    }
    async_io::block_on(EXECUTOR.run(future))
}
