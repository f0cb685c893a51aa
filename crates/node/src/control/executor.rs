//! Runs tasks of the HTTP/2 library.

use std::future::Future;

use async_executor::StaticExecutor;

/// Runs tasks of the HTTP/2 library on the process's executor.
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
