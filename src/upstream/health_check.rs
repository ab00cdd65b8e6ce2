//! One health check: requests the load report of an endpoint.

use crate::decision::driver::EndpointId;
use crate::decision::Outcome;
use crate::discovery::registry::EndpointProtocol;
use crate::protocol::resp::{push_words, Reply};
use crate::protocol::{endpoint_report, http2, wire_names};
use crate::upstream::connection::Incoming;
use crate::upstream::reply_pace::ReplyPace;
use crate::upstream::{dial, Upstream};
use http::{Request, StatusCode};
use std::net::SocketAddr;
use tokio::time::Instant;

/// URI at which an HTTP/2 endpoint serves its load report.
const LOAD_REPORT_URI: &str = "http://instance/-/load";

/// The outcome of a health check and the load report, which is empty if there was none.
type HealthCheckResult = (Outcome, Vec<f64>);

/// Runs a health check over the endpoint's protocol.
pub(super) async fn check(upstream: &Upstream, endpoint: EndpointId) -> HealthCheckResult {
    match upstream.address(endpoint) {
        Some((addr, EndpointProtocol::Resp)) => check_resp(upstream, endpoint, addr).await,
        Some((addr, EndpointProtocol::Http2)) => check_http2(upstream, endpoint, addr).await,
        None => without_report(Outcome::ConnectFailed),
    }
}

fn without_report(outcome: Outcome) -> HealthCheckResult {
    (outcome, Vec::new())
}

async fn check_resp(
    upstream: &Upstream,
    endpoint: EndpointId,
    addr: SocketAddr,
) -> HealthCheckResult {
    let Some(connection) = dial::exclusive(upstream, endpoint, addr).await else {
        return without_report(Outcome::ConnectFailed);
    };
    let words = wire_names::LOAD_REPORT_REQUEST;
    let mut bytes = Vec::new();
    push_words(&mut bytes, words.len(), words.iter().map(|w| w.as_bytes()));
    if connection.queue(&bytes).is_err() || !connection.write_queued(|| true).await {
        return without_report(Outcome::ConnectFailed);
    }
    let platform = upstream.dispatcher.platform();
    let interpret = |reply: Reply| match reply {
        Reply::Bulk(Some(report)) => {
            Some((Outcome::Ok, endpoint_report::load_report(platform, report)))
        }
        Reply::Error(_) => Some(without_report(Outcome::Error)),
        _ => None,
    };
    let deadline = Instant::now() + upstream.connect_timeout;
    let pace = ReplyPace::new(upstream.stall_timeout(), deadline);
    let incoming = connection
        .read_reply(pace, &upstream.dispatcher.reply_budget(), || {}, interpret)
        .await;
    match incoming {
        Ok(Incoming::Reply(result)) => {
            upstream.return_to_pool(endpoint, connection);
            result
        }
        _ => without_report(Outcome::Reset),
    }
}

async fn check_http2(
    upstream: &Upstream,
    endpoint: EndpointId,
    addr: SocketAddr,
) -> HealthCheckResult {
    let Some(shared) = dial::shared(upstream, endpoint, addr).await else {
        return without_report(Outcome::ConnectFailed);
    };
    let _slot = shared.stream_slot().await;
    let Ok(mut send) = shared.send.clone().ready().await else {
        return without_report(Outcome::ConnectFailed);
    };
    let Ok(request) = Request::get(LOAD_REPORT_URI).body(()) else {
        return without_report(Outcome::ConnectFailed);
    };
    let Ok((response, _)) = send.send_request(request, true) else {
        return without_report(Outcome::ConnectFailed);
    };
    let Ok(response) = response.await else {
        return without_report(Outcome::Reset);
    };
    let (head, mut stream) = response.into_parts();
    match http2::collect(&mut stream, upstream.stall_timeout(), || {}).await {
        Some(report) if head.status == StatusCode::OK => {
            shared.last_received_ms.set(upstream.dispatcher.now());
            let load = endpoint_report::load_report(upstream.dispatcher.platform(), &report);
            (Outcome::Ok, load)
        }
        _ => without_report(Outcome::Error),
    }
}
