//! The signals that the process answers to.

use std::future::Future;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The signals that the process answers to: SIGTERM and SIGINT stop it, SIGHUP makes it reload.
pub struct Signals {
    pub(super) terminate: Signal,
    pub(super) interrupt: Signal,
    pub(super) hang_up: Signal,
}

impl Signals {
    /// Listens for them. To be called before anything else: a signal that nobody listens for ends the process.
    ///
    /// # Errors
    /// The system refuses.
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

/// The result of `work`; none if SIGTERM comes while it waits. Work that never waits is always finished.
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
