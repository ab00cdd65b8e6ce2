//! Client for administrative calls to a running ingress.

use super::environment::{admin_address, EnvironmentError};
use crate::config::settings::Config;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time limit of the connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit of the answer; calls that wait for the group are answered, with success or failure,
/// within it.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The environment contains no usable address.
    #[error("{0}")]
    Environment(#[from] EnvironmentError),
    /// No address for calls is configured.
    #[error("EDGE_CONFIG: `operator`, the address for administrative calls, is not set")]
    NoAddress,
    /// The ingress at this address did not answer.
    #[error("call to the ingress at {0} failed: {1}")]
    Connection(SocketAddr, io::Error),
}

/// The answer to a call: one line that starts with `ACK` or `NAK`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallAnswer {
    /// The line, without its line break.
    pub line: String,
}

impl CallAnswer {
    /// Whether the call succeeded.
    pub fn is_ack(&self) -> bool {
        self.line.starts_with("ACK")
    }
}

/// Sends one call to the running ingress of this configuration.
///
/// # Errors
/// The call could not be sent or was not answered.
pub fn call(config: &Config, text: &str) -> Result<CallAnswer, CallError> {
    let address = admin_address(config)?.ok_or(CallError::NoAddress)?;
    let line = exchange(address, text).map_err(|e| CallError::Connection(address, e))?;
    Ok(CallAnswer { line })
}

fn exchange(address: SocketAddr, text: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.write_all(format!("{text}\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer.trim_end().to_string())
}
