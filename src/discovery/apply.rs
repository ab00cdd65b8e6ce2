//! Applies an answer of the discovery agent: updates the endpoint registry first, then the endpoint
//! list of the decision module. An invalid answer changes nothing.

use super::registry::InvalidEndpointList;
use crate::decision::{EndpointState, ListKind};
use crate::protocol::resp::HttpAnswer;
use crate::runtime::dispatcher::Dispatcher;
use serde_json::Value;
use std::collections::HashMap;
use std::rc::Rc;

/// The status of an answer that carries a list.
const STATUS_OK: u16 = 200;

/// An answer without a usable list; the last endpoint list stays in force.
#[derive(Debug, thiserror::Error)]
pub enum AnswerError {
    /// The status is not 200.
    #[error("the answer has status {0} instead of {STATUS_OK}")]
    Status(u16),
    /// The body is not JSON.
    #[error("the answer is not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The body is JSON, but not an endpoint list.
    #[error("the answer is not an endpoint list: {0}")]
    List(#[from] InvalidEndpointList),
}

/// Applies an answer of the discovery agent to the endpoint registry and the decision module.
/// Returns the version of the list in the answer.
///
/// # Errors
/// The status is not 200, or the body is not an endpoint list. The last list stays in force.
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
    // An answer may list an endpoint more than once: the last entry counts, as in the decision
    // module.
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
