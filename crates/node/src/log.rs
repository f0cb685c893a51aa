//! Log records.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog_async::AsyncGuard;

use crate::LogLevel;

/// Time in which the last lines have to be read; a small part of the seconds that
/// a process has for its end.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Makes the logger of the process, which writes to standard output. Records are
/// written out when the guard is dropped at the latest. What nobody reads is dropped:
/// it delays no request, and neither it nor a closed pipe ends the process.
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
    // Whoever reads the lines may be gone; there is nobody else to tell.
    let format = slog_term::FullFormat::new(decorator).build().ignore_res();
    let leveled = format.filter_level(level.into()).ignore_res();
    let (drain, guard) = slog_async::Async::new(leveled).build_with_guard();
    let guard = LogGuard(Some(guard));
    (Logger::root(drain.ignore_res(), slog::o!()), guard)
}

/// Writes the lines that still wait when it is dropped, as far as they are read in
/// time.
pub struct LogGuard(Option<AsyncGuard>);

impl Drop for LogGuard {
    fn drop(&mut self) {
        let guard = self.0.take();
        let (tx, rx) = mpsc::channel();
        thread::spawn(move || {
            drop(guard);
            // Fails if the time is over.
            let _ = tx.send(());
        });
        // Ends with an error once the time is over; the lines left are lost then.
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
