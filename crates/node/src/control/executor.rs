//! Executor for the tasks of the HTTP/2 library.

use std::future::Future;

use async_executor::StaticExecutor;

/// Spawns the tasks of hyper on the executor of the process.
#[derive(Clone, Copy)]
pub(super) struct HyperExecutor(pub(super) &'static StaticExecutor);

impl<F> hyper::rt::Executor<F> for HyperExecutor
where
    F: Future<Output: Send> + Send + 'static,
{
    fn execute(&self, fut: F) {
        self.0.spawn(fut).detach();
    }
}
