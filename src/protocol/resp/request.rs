//! Requests in RESP: `VERB tenant id terms [body]`, from clients and to endpoints.

use crate::config::settings::Platform;
use crate::decision::Idempotency;
use crate::protocol::resp::grammar::push_words;
use crate::protocol::wire_names;
use crate::request::{ClientRequest, InvalidRequest};

/// Number of words after the verb in a request without a body.
const WORDS_WITHOUT_BODY: usize = 3;

/// Builds a request from the words after its verb; `safe` is whether the verb was that of safe
/// requests.
///
/// # Errors
/// Returns the first invalid value.
pub fn parse_request(
    platform: &Platform,
    safe: bool,
    words: &[&[u8]],
) -> Result<ClientRequest, InvalidRequest> {
    // An endpoint closes its connection on a malformed request: a safe request must not have a
    // body, and any other request must have one.
    if words.len() != WORDS_WITHOUT_BODY + usize::from(!safe) {
        return Err(InvalidRequest::Term(wire_names::BODY));
    }
    let text = |word: usize, name| {
        std::str::from_utf8(words[word]).map_err(|_| InvalidRequest::Term(name))
    };
    let body = words.get(WORDS_WITHOUT_BODY).map(|body| body.to_vec());
    let terms = text(2, wire_names::TERMS)?.to_string();
    let tenant = text(0, wire_names::TENANT)?;
    let id = text(1, wire_names::REQUEST_ID)?;
    let request = ClientRequest::new(platform, tenant, id, terms, body)?;
    // A peer repeats requests with the verb of safe requests, so another class with this verb could
    // run twice.
    if is_safe(platform, &request) != safe {
        return Err(InvalidRequest::Class);
    }
    Ok(request)
}

/// Appends a request to an endpoint; `wait_ms` is how long this ingress will wait for the answer.
pub fn push_request(out: &mut Vec<u8>, platform: &Platform, request: &ClientRequest, wait_ms: f64) {
    let verb = if is_safe(platform, request) {
        wire_names::VERB_SAFE
    } else {
        wire_names::VERB_WITH_EFFECT
    };
    let terms = terms_with_wait(&request.terms, wait_ms);
    let words = [
        verb.as_bytes(),
        request.tenant.as_bytes(),
        request.id.as_bytes(),
        terms.as_bytes(),
    ];
    let body = request.body.as_deref();
    let count = words.len() + usize::from(body.is_some());
    push_words(out, count, words.into_iter().chain(body));
}

fn is_safe(platform: &Platform, request: &ClientRequest) -> bool {
    platform.decision.classes[request.attributes.class].idempotency == Idempotency::Safe
}

/// The client's terms in their order, with the ingress's wait in place of the client's timeout.
fn terms_with_wait(client_terms: &str, wait_ms: f64) -> String {
    let wait = (wait_ms.max(1.0) as u64).to_string();
    let mut terms = String::with_capacity(client_terms.len() + wait.len());
    for term in client_terms.split(',') {
        if !terms.is_empty() {
            terms.push(',');
        }
        match term.split_once('=') {
            Some((name @ wire_names::CLIENT_TIMEOUT_MS, _)) => terms.extend([name, "=", &wait]),
            _ => terms.push_str(term),
        }
    }
    terms
}
