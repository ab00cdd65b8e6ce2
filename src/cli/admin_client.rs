//! Calls to a running ingress, as staff make them.

use super::environment::{admin_address, EnvironmentError};
use crate::config::settings::Config;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A running ingress accepts a call within this.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// A call that waits for the group is answered within this, one way or the other.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The environment names no usable address.
    #[error("{0}")]
    Environment(#[from] EnvironmentError),
    /// Nobody is said to answer calls.
    #[error("EDGE_CONFIG: operator: not set; a running ingress is called there")]
    NoAddress,
    /// The ingress at this address does not answer.
    #[error("{0}: {1}")]
    Connection(SocketAddr, io::Error),
}

/// The answer to a call: a line that begins with `ACK` or `NAK`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallAnswer {
    /// The line, without its end.
    pub line: String,
}

impl CallAnswer {
    /// Whether it is a yes.
    pub fn is_ack(&self) -> bool {
        self.line.starts_with("ACK")
    }
}

/// Makes one call to the running ingress of this configuration.
///
/// # Errors
/// Why there is no answer.
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
