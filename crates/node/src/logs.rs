//! Sets up logging and changes its level at run time.

use tracing_subscriber::{
    EnvFilter, Registry, layer::SubscriberExt, reload, util::SubscriberInitExt,
};

use crate::settings::{Format, Level, Log};

/// Logging could not be started or its level not changed.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// Logging was already started in this process.
    #[error("logging was started before: {0}")]
    Started(#[from] tracing_subscriber::util::TryInitError),
    /// The level could not be changed.
    #[error("the log level could not be changed: {0}")]
    Reload(#[from] reload::Error),
}

/// Changes the log level of the running process.
pub struct LogControl(reload::Handle<EnvFilter, Registry>);

/// Starts logging to standard error.
pub fn start(log: Log) -> Result<LogControl, LogError> {
    let (filter, handle) = reload::Layer::new(filter(log.level));
    let registry = tracing_subscriber::registry().with(filter);
    let layer = tracing_subscriber::fmt::layer().with_writer(std::io::stderr);
    match log.format {
        Format::Text => registry.with(layer).try_init()?,
        Format::Json => registry.with(layer.json()).try_init()?,
    }
    Ok(LogControl(handle))
}

impl LogControl {
    /// Sets the least severe level that is written.
    pub fn set(&self, level: Level) -> Result<(), LogError> {
        Ok(self.0.reload(filter(level))?)
    }
}

/// A filter that logs the crates named in it at `level` and all others at `warn`.
fn filter(level: Level) -> EnvFilter {
    let own = [
        "admin", "conf", "entry", "lease", "ledger", "lentild", "member", "node", "outbound",
        "wire",
    ];
    let directives: Vec<_> = own.iter().map(|name| format!("{name}={}", level.as_str())).collect();
    EnvFilter::new(format!("warn,{}", directives.join(",")))
}
