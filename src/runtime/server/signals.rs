//! The signals that the process handles.

use std::future::Future;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Receivers of the signals that the process handles: SIGTERM and SIGINT stop it, SIGHUP reloads
/// the configuration.
pub struct Signals {
    pub(super) terminate: Signal,
    pub(super) interrupt: Signal,
    pub(super) hang_up: Signal,
}

impl Signals {
    /// Installs the handlers. Call this before anything else: a signal without a handler ends the
    /// process.
    ///
    /// # Errors
    /// The system rejects a handler.
    pub fn listen() -> std::io::Result<Signals> {
        let [terminate, interrupt, hang_up] = [
            SignalKind::terminate(),
            SignalKind::interrupt(),
            SignalKind::hangup(),
        ]
        .map(signal);
        Ok(Signals {
            terminate: terminate?,
            interrupt: interrupt?,
            hang_up: hang_up?,
        })
    }
}

/// Returns the result of `work`, or `None` if SIGTERM arrives while it waits. Work that never waits
/// always completes.
pub(super) async fn unless_terminated<T>(
    terminate: &mut Signal,
    work: impl Future<Output = T>,
) -> Option<T> {
    tokio::select! {
        biased;
        result = work => Some(result),
        _ = terminate.recv() => None,
    }
}
