//! Log records.

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog_async::AsyncGuard;

use crate::LogLevel;

/// Makes the logger of the process, which writes to standard output. Records are
/// written out when the guard is dropped at the latest.
///
/// # Example
///
/// ```
/// use celeryshore_node::LogLevel;
///
/// let (log, _guard) = celeryshore_node::logger(LogLevel::Info);
/// slog::info!(log, "node: example");
/// ```
pub fn logger(level: LogLevel) -> (Logger, AsyncGuard) {
    let decorator = slog_term::PlainDecorator::new(std::io::stdout());
    let format = slog_term::FullFormat::new(decorator).build().fuse();
    let leveled = format.filter_level(level.into()).fuse();
    let (drain, guard) = slog_async::Async::new(leveled).build_with_guard();
    (Logger::root(drain.fuse(), slog::o!()), guard)
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
