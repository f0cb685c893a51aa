//! Log records.

use slog::Drain;
use slog::Level;
use slog::Logger;

use crate::LogLevel;

/// Makes the logger of the process, which writes to standard error.
///
/// # Example
///
/// ```
/// use celeryshore_node::LogLevel;
///
/// let log = celeryshore_node::logger(LogLevel::Info);
/// slog::info!(log, "node: example");
/// ```
pub fn logger(level: LogLevel) -> Logger {
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let format = slog_term::FullFormat::new(decorator).build().fuse();
    let leveled = format.filter_level(level.into()).fuse();
    let drain = slog_async::Async::new(leveled).build().fuse();
    Logger::root(drain, slog::o!())
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
