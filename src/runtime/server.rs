//! The ingress process: start-up, its timers, reloads on SIGHUP, and graceful shutdown.
//!
//! [`run`] shows the whole life of the process. Each phase has a module: `startup` binds and reads everything before
//! the first request, `timers` runs what comes due, `reload` puts a new configuration in force, `shutdown` drains.
//! No other part of the program knows this one, and nothing here decides about a request.

mod descriptors;
mod ingress;
mod inventory;
mod listeners;
mod reload;
mod rules;
mod shutdown;
mod signals;
mod startup;
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

/// Serves until SIGTERM or SIGINT, then drains. `config_path` is where the configuration came from, and is read again
/// on SIGHUP. `client_socket` is the listening socket for RESP clients where the platform hands one to every process
/// of this ingress; without it the process binds its own.
///
/// # Errors
/// What keeps the process from starting. A SIGTERM during start-up is no error.
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
        // Runs beside the drain: answers that are due to clients must not wait for an election.
        spawn_local(async move { group.leave().await });
    }
    shutdown::drain(&ingress, frontends).await;
    Ok(())
}
