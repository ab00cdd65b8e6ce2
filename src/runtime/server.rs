//! The ingress process: start-up, timers, reload on SIGHUP, and graceful shutdown.
//!
//! [`run`] covers the whole life of the process. `startup` reads the files and binds the listeners
//! before the first request, `timers` runs what is due, `reload` puts a new configuration in force,
//! and `shutdown` drains. No other module depends on this one, and nothing here decides about a
//! request.

mod descriptors;
mod ingress;
mod inventory;
mod listeners;
mod reload;
mod rules;
mod shutdown;
mod signals;
mod startup;
mod statistics;
mod timer_delay;
mod timers;

pub use listeners::{InheritedSocketError, ListenError};
pub use signals::Signals;
pub use startup::StartError;

use crate::config::operator_file::OperatorFile;
use crate::config::settings::Config;
use signals::unless_terminated;
use socket2::Socket;
use startup::Started;
use std::path::PathBuf;
use tokio::task::spawn_local;

/// Serves until SIGTERM or SIGINT, then drains. The configuration is read again from `config_path`
/// on SIGHUP. `client_socket` is the inherited listening socket for RESP clients, if the platform
/// passes one to every process of this ingress; otherwise the process binds its own.
///
/// # Errors
/// The cause that keeps the process from starting. SIGTERM during start-up is not an error.
pub async fn run(
    signals: Signals,
    config_path: PathBuf,
    config: Config,
    operator: OperatorFile,
    client_socket: Option<Socket>,
) -> Result<(), StartError> {
    let Signals {
        mut terminate,
        mut interrupt,
        hang_up,
    } = signals;
    let starting = startup::start(config, operator, client_socket);
    let Some(started) = unless_terminated(&mut terminate, starting).await else {
        return Ok(());
    };
    let Started {
        ingress,
        frontends,
        reload,
        group,
    } = started?;
    spawn_local(reload.run(hang_up, config_path));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    if let Some(group) = group {
        // Runs concurrently with the drain: pending answers to clients must not wait for an
        // election.
        spawn_local(async move { group.leave().await });
    }
    shutdown::drain(&ingress, frontends).await;
    Ok(())
}
