//! The process's executor.

use std::future::Future;
use std::thread;

use async_executor::StaticExecutor;
use async_executor::Task;

static EXECUTOR: StaticExecutor = StaticExecutor::new();

/// Spawns a task on the process's executor.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(future)
}

/// Runs a future to its end, with the process's tasks on `threads` threads.
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
