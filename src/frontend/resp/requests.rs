//! Interprets requests: each is answered by the frontend itself or passed to the dispatcher.

use super::connection::Connection;
use crate::protocol::resp::parse_request;
use crate::protocol::wire_names;
use crate::request::ClientRequest;
use crate::routing;
use crate::runtime::dispatcher::Dispatcher;
use driftgap_routes::{LimitPermit, NoHeaders, Verdict};
use std::rc::Rc;

const PONG: &[u8] = b"+PONG\r\n";
const OK: &[u8] = b"+OK\r\n";
const NOT_READY: &[u8] = b"-ERR not ready\r\n";
const INVALID_REQUEST: &[u8] = b"-ERR failed: the command makes no sense\r\n";
const WRONG_ARGUMENTS: &[u8] = b"-ERR wrong number of arguments\r\n";
const UNKNOWN: &[u8] = b"-ERR unknown command\r\n";

/// A request, classified by its verb.
pub(super) enum Received {
    /// A request that the frontend answers itself.
    Answer(&'static [u8]),
    /// A request that makes no sense; holds its answer.
    Invalid(&'static [u8]),
    Request(Box<ClientRequest>),
    /// Closes the connection once all answers are written.
    Quit,
}

/// Why a rule rejected a request.
enum RuleRejection {
    /// A rule rejects the request. The client may retry after `retry_after_ms`.
    Rejected { retry_after_ms: f64 },
    /// The request is invalid for a rule.
    Invalid,
}

/// The verbs of the platform's protocol, as bytes.
const VERB_SAFE: &[u8] = wire_names::VERB_SAFE.as_bytes();
const VERB_WITH_EFFECT: &[u8] = wire_names::VERB_WITH_EFFECT.as_bytes();

/// Interprets the words of one request.
pub(super) fn interpret(dispatcher: &Dispatcher, words: &[&[u8]]) -> Received {
    let verb = words.first().map_or(Vec::new(), |w| w.to_ascii_uppercase());
    match (verb.as_slice(), words.len()) {
        (b"PING", 1) if dispatcher.ready() => Received::Answer(PONG),
        (b"PING", 1) => Received::Answer(NOT_READY),
        (b"QUIT", _) => Received::Quit,
        (VERB_SAFE | VERB_WITH_EFFECT, 4 | 5) => {
            let is_safe = verb == VERB_SAFE;
            match parse_request(dispatcher.platform(), is_safe, &words[1..]) {
                Ok(request) => Received::Request(Box::new(request)),
                Err(problem) => {
                    tracing::debug!(%problem, "invalid request");
                    Received::Invalid(INVALID_REQUEST)
                }
            }
        }
        (VERB_SAFE | VERB_WITH_EFFECT, _) => Received::Invalid(WRONG_ARGUMENTS),
        _ => Received::Invalid(UNKNOWN),
    }
}

impl Connection {
    /// Answers `QUIT`.
    pub(super) fn answer_quit(&self, ticket: u64) {
        self.answer_with(ticket, OK);
    }

    /// Rejects a request before any decision.
    pub(super) fn reject(self: &Rc<Self>, ticket: u64, retry_after_ms: f64) {
        let on_id = |id| self.set_request(ticket, id);
        self.dispatcher
            .reject(retry_after_ms, self.clone(), ticket, on_id);
    }

    /// Passes a request to the dispatcher, unless a rule rejects it.
    pub(super) fn dispatch(self: &Rc<Self>, ticket: u64, mut request: Box<ClientRequest>) {
        let dispatcher = &self.dispatcher;
        match apply_rules(self, &mut request) {
            Ok(limit_permits) => {
                let on_id = |id| self.set_request(ticket, id);
                dispatcher.arrive(*request, self.clone(), ticket, limit_permits, on_id)
            }
            Err(RuleRejection::Rejected { retry_after_ms }) => self.reject(ticket, retry_after_ms),
            Err(RuleRejection::Invalid) => self.answer_with(ticket, INVALID_REQUEST),
        }
    }
}

/// Applies the operator's rules to a request, if there are any. The rules may set its pools, add
/// notes or reject it; they change none of its fields on the wire. Returns the permits that the
/// request holds under the operator's limits.
fn apply_rules(
    connection: &Connection,
    request: &mut ClientRequest,
) -> Result<Vec<LimitPermit>, RuleRejection> {
    let dispatcher = &connection.dispatcher;
    if !dispatcher.has_rules() {
        return Ok(Vec::new());
    }
    let platform = dispatcher.platform();
    let path = routing::request_path(platform, request);
    let rule_request = routing::rule_request(platform, request, &path, &NoHeaders, connection.peer);
    match dispatcher.route(&rule_request) {
        Verdict::Forward(route) => {
            request.attributes.pools = route.pools;
            request.notes = route.notes;
            Ok(route.permits)
        }
        Verdict::Reject { retry_after_ms, by } => {
            tracing::debug!(
                id = request.id,
                by,
                retry_after_ms,
                "request rejected by a rule"
            );
            Err(RuleRejection::Rejected { retry_after_ms })
        }
        Verdict::Invalid { rule, why } => {
            tracing::debug!(id = request.id, rule, why, "request is invalid for a rule");
            Err(RuleRejection::Invalid)
        }
    }
}
