//! Logger of the process.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog_async::AsyncGuard;

use crate::LogLevel;

/// Time limit for writing the queued records at exit; a small part of the seconds
/// that a process has to terminate.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Creates the logger of the process, which writes to standard output.
///
/// A separate thread writes the records, the last ones when the guard is dropped. If
/// the output is not read, records are dropped: neither a full nor a closed pipe delays
/// a request or ends the process.
///
/// # Example
///
/// ```
/// use celeryshore_node::LogLevel;
///
/// let (log, _guard) = celeryshore_node::logger(LogLevel::Info);
/// slog::info!(log, "node: example");
/// ```
pub fn logger(level: LogLevel) -> (Logger, LogGuard) {
    let decorator = slog_term::PlainDecorator::new(std::io::stdout());
    // The output may be closed, and there is no other place to report that.
    let format = slog_term::FullFormat::new(decorator).build().ignore_res();
    let leveled = format.filter_level(level.into()).ignore_res();
    let (drain, guard) = slog_async::Async::new(leveled).build_with_guard();
    let guard = LogGuard(Some(guard));
    (Logger::root(drain.ignore_res(), slog::o!()), guard)
}

/// Guard that writes the queued records when it is dropped. Records that are not read
/// within a short time are lost.
pub struct LogGuard(Option<AsyncGuard>);

impl Drop for LogGuard {
    fn drop(&mut self) {
        let guard = self.0.take();
        let (tx, rx) = mpsc::channel();
        thread::spawn(move || {
            drop(guard);
            // Fails if the receiver has timed out.
            let _ = tx.send(());
        });
        // Returns an error on a timeout; the remaining records are lost then.
        let _ = rx.recv_timeout(FLUSH_TIMEOUT);
    }
}

impl From<LogLevel> for Level {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Critical => Self::Critical,
            LogLevel::Error => Self::Error,
            LogLevel::Warning => Self::Warning,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
        }
    }
}
