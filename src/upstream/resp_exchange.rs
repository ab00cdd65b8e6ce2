//! One attempt over RESP: writes the request, reads and interprets the reply, and streams a long
//! value to the client.

use crate::buffer::body_stream::BodySender;
use crate::buffer::socket_io::{readable, uninterrupted};
use crate::config::settings::Platform;
use crate::decision::driver::EndpointId;
use crate::decision::Outcome;
use crate::protocol::resp::{push_request, streamed_reply_rest, Parsed, Reply, StreamedReply};
use crate::protocol::{attempt_outcome, endpoint_report};
use crate::request::{AttemptResult, AttemptStart, ResponseBody};
use crate::units::MS_PER_S;
use crate::upstream::connection::{Connection, Incoming};
use crate::upstream::reply_pace::ReplyPace;
use crate::upstream::running_attempt::{Abandon, AbandonHandle};
use crate::upstream::write_limit::WriteLimit;
use crate::upstream::{dial, Upstream, STREAM_STALL_TIMEOUT};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{timeout, timeout_at};

/// Initial capacity for an encoded request, in bytes.
const REQUEST_CAPACITY_BYTES: usize = 256;
/// Shortest send timeout, ms: the system takes less than 1 ms as no timeout.
const MIN_SEND_TIMEOUT_MS: f64 = 1.0;
/// Positions of the items after the value of a reply.
const USAGE_ITEM: usize = 0;
const LOAD_REPORT_ITEM: usize = 1;

/// Runs one attempt to its end.
pub(super) async fn exchange(
    upstream: &Rc<Upstream>,
    attempt: &AttemptStart,
    addr: SocketAddr,
    handle: &AbandonHandle,
) -> AttemptResult {
    let Some(connection) = dial::exclusive(upstream, attempt.endpoint, addr).await else {
        return AttemptResult::with_outcome(Outcome::ConnectFailed);
    };
    handle.set(Abandon::Close(connection.clone()));
    if !send(upstream, attempt, &connection).await {
        return AttemptResult::with_outcome(Outcome::ConnectFailed);
    }
    let platform = upstream.dispatcher.platform();
    let deadline = upstream.dispatcher.clock().instant(attempt.deadline_ms);
    let pace = ReplyPace::new(upstream.stall_timeout(), deadline.into());
    let incoming = connection
        .read_reply(
            pace,
            &upstream.dispatcher.reply_budget(),
            || upstream.report_stall(attempt),
            |reply| attempt_result(platform, reply),
        )
        .await;
    handle.take();
    if attempt.repeat_window_end_ms.is_some() {
        connection.set_send_timeout(None);
    }
    let dead = incoming.is_err() && !connection.has_unread_bytes();
    upstream.pools.record_use(connection.idle_class(), dead);
    match incoming {
        Ok(Incoming::Reply(result)) => {
            upstream.return_to_pool(attempt.endpoint, connection);
            result
        }
        Ok(Incoming::Streamed(reply)) => {
            start_streaming(upstream, attempt.endpoint, connection, reply)
        }
        Err(cause) => {
            tracing::debug!(id = attempt.request.id, %addr, %cause, "attempt without a usable reply");
            AttemptResult::with_outcome(Outcome::Reset)
        }
    }
}

/// Writes the request. Returns false if it was not written completely in time, so that no endpoint can
/// have run it. Writes nothing if the endpoint started to drain, or moved, while its connection was
/// being established.
async fn send(upstream: &Upstream, attempt: &AttemptStart, connection: &Connection) -> bool {
    let dispatcher = &upstream.dispatcher;
    let limit = WriteLimit::start(dispatcher, attempt);
    let now_ms = dispatcher.now();
    let wait_ms = attempt.deadline_ms - now_ms;
    let mut bytes = Vec::with_capacity(REQUEST_CAPACITY_BYTES);
    push_request(&mut bytes, dispatcher.platform(), &attempt.request, wait_ms);
    if connection.queue(&bytes).is_err()
        || !upstream.accepts_requests_at(attempt.endpoint, connection.addr())
    {
        return false;
    }
    if let Some(window_end_ms) = attempt.repeat_window_end_ms {
        let window_ms = (window_end_ms - now_ms).max(MIN_SEND_TIMEOUT_MS);
        connection.set_send_timeout(Some(Duration::from_secs_f64(window_ms / MS_PER_S)));
    }
    let written = connection.write_queued(|| limit.allows_write());
    timeout_at(limit.instant(), written).await.unwrap_or(false)
}

/// Interprets a reply; none if it is malformed.
fn attempt_result(platform: &Platform, reply: Reply) -> Option<AttemptResult> {
    match reply {
        Reply::Array(items) => match items.as_slice() {
            [Reply::Bulk(Some(value)), rest @ ..] => Some(served(platform, value, rest)),
            _ => None,
        },
        Reply::Error(text) => error_result(platform, text),
        _ => None,
    }
}

fn served(platform: &Platform, value: &[u8], rest: &[Reply]) -> AttemptResult {
    let usage = text_at(rest, USAGE_ITEM);
    AttemptResult {
        outcome: Outcome::Ok,
        body: Some(ResponseBody::Complete(value.to_vec())),
        load_report: load_report(platform, rest),
        settled_units: usage.and_then(|usage| endpoint_report::settled_units(platform, usage)),
    }
}

/// Interprets an error reply: its first word gives the outcome, its last word may be a load report.
/// Only successful answers settle units.
fn error_result(platform: &Platform, text: &[u8]) -> Option<AttemptResult> {
    let mut words = text.split(|byte| *byte == b' ');
    let outcome = attempt_outcome::of_resp_error(words.next()?)?;
    let report = words.next_back().filter(|word| word.contains(&b'='));
    let load = report.map_or(Vec::new(), |report| {
        endpoint_report::load_report(platform, report)
    });
    Some(AttemptResult {
        load_report: load,
        ..AttemptResult::with_outcome(outcome)
    })
}

/// The load report among the items after a value; empty if there is none.
fn load_report(platform: &Platform, rest: &[Reply]) -> Vec<f64> {
    text_at(rest, LOAD_REPORT_ITEM).map_or(Vec::new(), |report| {
        endpoint_report::load_report(platform, report)
    })
}

/// The text of an item after a value; none if the item is missing, null, or not a bulk string.
fn text_at<'a>(rest: &[Reply<'a>], item: usize) -> Option<&'a [u8]> {
    match rest.get(item) {
        Some(Reply::Bulk(text)) => *text,
        _ => None,
    }
}

/// Ends the attempt as served, with a value that is streamed from now on.
fn start_streaming(
    upstream: &Rc<Upstream>,
    endpoint: EndpointId,
    connection: Rc<Connection>,
    reply: StreamedReply,
) -> AttemptResult {
    let streams = upstream.dispatcher.body_streams();
    let (sender, receiver) = streams.open(reply.value_bytes);
    {
        let mut input = connection.input();
        input.consume(reply.head_bytes);
        let taken = sender.write(input.contiguous());
        input.consume(taken);
        // From here on, the bytes go directly to the client's buffer.
        input.release();
    }
    spawn_local(stream_reply(
        upstream.clone(),
        endpoint,
        connection,
        reply,
        sender,
    ));
    AttemptResult {
        body: Some(ResponseBody::Streaming(Rc::new(receiver))),
        ..AttemptResult::with_outcome(Outcome::Ok)
    }
}

/// Streams the rest of a value at the rate at which its client reads. Then reads the items after
/// the value, and returns the connection to the pool if there was no error.
async fn stream_reply(
    upstream: Rc<Upstream>,
    endpoint: EndpointId,
    connection: Rc<Connection>,
    reply: StreamedReply,
    sender: BodySender,
) {
    if !stream_value(&connection, &sender).await {
        return;
    }
    // Ends the client's answer now, independent of the remaining items.
    drop(sender);
    let rest = read_rest(upstream.dispatcher.platform(), &connection, reply.items);
    let Ok(Some(load)) = timeout(STREAM_STALL_TIMEOUT, rest).await else {
        return;
    };
    if !load.is_empty() {
        upstream.dispatcher.with_requests(|requests, now_ms| {
            requests.health_check_ended(now_ms, endpoint, Outcome::Ok, load)
        });
    }
    upstream.return_to_pool(endpoint, connection);
}

/// Streams a value. Returns false if the client disconnected or the endpoint stalled or ended the
/// connection, which is then to be closed.
async fn stream_value(connection: &Connection, sender: &BodySender) -> bool {
    let stream = connection.stream();
    while sender.unsent_bytes() > 0 {
        if sender.is_receiver_dropped() {
            return false;
        }
        match sender.write_with(|free| uninterrupted(|| stream.try_read(free))) {
            // The buffer is full until the client reads.
            None => sender.wait_for_space().await,
            Some(Ok(0)) => return false,
            Some(Ok(_)) => {}
            Some(Err(e)) if e.kind() == ErrorKind::WouldBlock => {
                let more_to_do = async {
                    tokio::select! {
                        ready = readable(stream) => ready.is_ok(),
                        () = sender.wait_for_space() => true,
                    }
                };
                if !timeout(STREAM_STALL_TIMEOUT, more_to_do)
                    .await
                    .unwrap_or(false)
                {
                    return false;
                }
            }
            Some(Err(_)) => return false,
        }
    }
    true
}

/// Reads the items after a streamed value and returns the load report among them; none if they are
/// malformed or the connection ended.
async fn read_rest(platform: &Platform, connection: &Connection, items: usize) -> Option<Vec<f64>> {
    loop {
        {
            let mut input = connection.input();
            match streamed_reply_rest(input.contiguous(), items) {
                Ok(Parsed::Complete(rest, length)) => {
                    let load = load_report(platform, &rest);
                    input.consume(length);
                    return Some(load);
                }
                Ok(Parsed::More(_)) => {}
                Err(_) => return None,
            }
        }
        if !connection.read_available().ok()? {
            readable(connection.stream()).await.ok()?;
        }
    }
}
