//! Forwards the log lines of the Raft library to `tracing`.

use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, o};

struct TracingDrain;

impl Drain for TracingDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        match record.level() {
            Level::Critical | Level::Error => tracing::error!("raft: {}", record.msg()),
            Level::Warning => tracing::debug!("raft: {}", record.msg()),
            Level::Info | Level::Debug | Level::Trace => tracing::trace!("raft: {}", record.msg()),
        }
        Ok(())
    }
}

/// Creates the logger for the library. Its warnings are logged at debug level, because they are frequent and
/// only of interest to developers.
pub(super) fn logger() -> Logger {
    Logger::root(TracingDrain, o!())
}
