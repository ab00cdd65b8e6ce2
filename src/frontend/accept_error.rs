//! Errors of accepting a connection: what the listener does before it tries again.

use std::io::{Error, ErrorKind};

/// The code of "too many open files" of this process.
const EMFILE: i32 = 24;

/// What the listener does after an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterAcceptError {
    /// Try again at once: the error concerns one connection, or the call was interrupted.
    TryAgain,
    /// Pause: the system lacks a resource.
    Pause,
    /// Close an idle connection and pause: this process has no free descriptor.
    FreeDescriptor,
}

impl AfterAcceptError {
    /// Classifies an error. Closing a connection helps only if this process lacks descriptors.
    pub(super) fn of(error: &Error) -> AfterAcceptError {
        match (error.raw_os_error(), error.kind()) {
            (Some(EMFILE), _) => AfterAcceptError::FreeDescriptor,
            (_, ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {
                AfterAcceptError::TryAgain
            }
            _ => AfterAcceptError::Pause,
        }
    }
}

#[cfg(test)]
mod tests;
