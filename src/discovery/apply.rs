//! What an answer of discovery's changes: the endpoint registry first, then what the dispatcher shows to the decision.
//! It must never change anything for an answer that makes no sense.

use super::registry::InvalidEndpointList;
use crate::decision::{EndpointState, ListKind};
use crate::protocol::resp::HttpAnswer;
use crate::runtime::dispatcher::Dispatcher;
use serde_json::Value;
use std::collections::HashMap;
use std::rc::Rc;

/// The status of an answer that brings a list.
const STATUS_OK: u16 = 200;

/// An answer that brings no list; the last list stays.
#[derive(Debug, thiserror::Error)]
pub enum AnswerError {
    /// Another status than 200.
    #[error("status {0}")]
    Status(u16),
    /// The body is not JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The body is no list.
    #[error("{0}")]
    List(#[from] InvalidEndpointList),
}

/// Applies an answer of discovery's to the endpoint registry and the decision; the version that it brings.
///
/// # Errors
/// The status is not 200, or the body is no list; the last list stays.
pub fn apply_answer(dispatcher: &Rc<Dispatcher>, answer: &HttpAnswer) -> Result<u64, AnswerError> {
    if answer.status != STATUS_OK {
        return Err(AnswerError::Status(answer.status));
    }
    let list: Value = serde_json::from_slice(&answer.body)?;
    let update = dispatcher.registry().apply_list(&list)?;
    dispatcher.mark_discovery_answered();
    if update.kind == ListKind::Delta && update.entries.is_empty() {
        return Ok(update.version);
    }
    // One answer may say several things of an endpoint: the last one counts, as for the decision.
    let is_gone: HashMap<_, _> = update
        .entries
        .iter()
        .map(|entry| (entry.id, entry.state == EndpointState::Gone))
        .collect();
    dispatcher.update_endpoints(update.kind, update.entries);
    let unnamed_is_gone = update.kind == ListKind::Full;
    dispatcher
        .registry()
        .remove(|id| is_gone.get(&id).copied().unwrap_or(unnamed_is_gone));
    Ok(update.version)
}
