//! The log: structured lines on standard error. It is not needed to serve: an ingress whose log cannot be set up says
//! so and goes on without.

use clap::ValueEnum;
use tracing_subscriber::EnvFilter;

/// How log lines look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// A line of text an event, fields as `name=value`.
    #[default]
    Text,
    /// A JSON object a line.
    Json,
}

/// Sets up the log; `RUST_LOG` sets the level, `info` where it is unset or makes no sense.
///
/// # Errors
/// There is a log already.
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
