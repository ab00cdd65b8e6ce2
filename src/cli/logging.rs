//! The log: structured lines on standard error. Serving does not depend on it: if the log cannot be
//! set up, the program reports that and serves without a log.

use clap::ValueEnum;
use tracing_subscriber::EnvFilter;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// One line of text per event, with fields as `name=value`.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Sets up the log. `RUST_LOG` sets the level; `info` if it is unset or invalid.
///
/// # Errors
/// A log is already set up.
pub fn start(format: LogFormat) -> Result<(), tracing_subscriber::util::TryInitError> {
    use tracing_subscriber::util::SubscriberInitExt;
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    match format {
        LogFormat::Text => lines.with_ansi(false).finish().try_init(),
        LogFormat::Json => lines.json().flatten_event(true).finish().try_init(),
    }
}
