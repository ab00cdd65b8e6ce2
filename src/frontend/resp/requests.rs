//! What a client's requests ask for: from the words of one request to an answer of the frontend's own, or to a request
//! for the dispatcher.

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

/// What a client's words ask for.
pub(super) enum Received {
    /// Only for an answer of the frontend's own.
    Answer(&'static [u8]),
    Request(Box<ClientRequest>),
    /// To end the connection once all answers are written.
    Quit,
}

/// What happened to a request before any decision.
enum RuleRejection {
    /// A rule rejects it, to be sent again after so long, ms.
    Rejected { retry_after_ms: f64 },
    /// It is invalid to a rule.
    Invalid,
}

/// The platform's verbs, as bytes.
const VERB_SAFE: &[u8] = wire_names::VERB_SAFE.as_bytes();
const VERB_WITH_EFFECT: &[u8] = wire_names::VERB_WITH_EFFECT.as_bytes();

/// Reads the words of one request.
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
                    Received::Answer(INVALID_REQUEST)
                }
            }
        }
        (VERB_SAFE | VERB_WITH_EFFECT, _) => Received::Answer(WRONG_ARGUMENTS),
        _ => Received::Answer(UNKNOWN),
    }
}

impl Connection {
    /// Answers `QUIT`.
    pub(super) fn answer_quit(&self, ticket: u64) {
        self.answer_with(ticket, OK);
    }

    /// Sends a request on to the dispatcher, unless a rule rejects it.
    pub(super) fn dispatch(self: &Rc<Self>, ticket: u64, mut request: Box<ClientRequest>) {
        let dispatcher = &self.dispatcher;
        let on_id = |id| self.set_request(ticket, id);
        match apply_rules(self, &mut request) {
            Ok(limit_tickets) => {
                dispatcher.arrive(*request, self.clone(), ticket, limit_tickets, on_id)
            }
            Err(RuleRejection::Rejected { retry_after_ms }) => {
                dispatcher.reject(retry_after_ms, self.clone(), ticket, on_id)
            }
            Err(RuleRejection::Invalid) => self.answer_with(ticket, INVALID_REQUEST),
        }
    }
}

/// Takes a request through the operator's rules, if there are any. They may choose its pool, note something on it, or
/// reject it, and change nothing that the platform's protocol says of it. Its places under the operator's limits.
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
    let seen = routing::rule_request(platform, request, &path, &NoHeaders, connection.peer);
    match dispatcher.route(&seen) {
        Verdict::Go(route) => {
            request.attributes.pools = route.pools;
            request.notes = route.notes;
            Ok(route.permits)
        }
        Verdict::Reject { retry_after_ms, by } => {
            tracing::debug!(id = request.id, by, retry_after_ms, "refused by a rule");
            Err(RuleRejection::Rejected { retry_after_ms })
        }
        Verdict::Bad { rule, why } => {
            tracing::debug!(id = request.id, rule, why, "makes no sense to a rule");
            Err(RuleRejection::Invalid)
        }
    }
}
