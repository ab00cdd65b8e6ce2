//! One attempt over HTTP/2: interprets the answer to the request, and streams a long body to the
//! client. `http2_request` sends the request.

use crate::buffer::body_stream::BodySender;
use crate::config::settings::Platform;
use crate::decision::Outcome;
use crate::protocol::resp::{MAX_COMPLETE_BODY_BYTES, MAX_STREAMED_BODY_BYTES};
use crate::protocol::{attempt_outcome, endpoint_report, http2};
use crate::request::{AttemptResult, AttemptStart, ResponseBody};
use crate::upstream::http2_request::Answer;
use crate::upstream::running_attempt::AbandonHandle;
use crate::upstream::shared_connection::StreamSlot;
use crate::upstream::{dial, http2_request, Upstream, STREAM_STALL_TIMEOUT};
use bytes::Bytes;
use h2::RecvStream;
use http::header::CONTENT_LENGTH;
use http::HeaderMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Runs one attempt to its end.
pub(super) async fn exchange(
    upstream: &Upstream,
    attempt: &AttemptStart,
    addr: SocketAddr,
    handle: &AbandonHandle,
) -> AttemptResult {
    let Some(shared) = dial::shared(upstream, attempt.endpoint, addr).await else {
        return AttemptResult::with_outcome(Outcome::ConnectFailed);
    };
    let result = match http2_request::send(upstream, attempt, &shared, handle).await {
        Ok(answer) => read_answer(upstream, attempt, answer).await,
        Err(outcome) => AttemptResult::with_outcome(outcome),
    };
    handle.take();
    let now_ms = upstream.dispatcher.now();
    shared.last_used_ms.set(now_ms);
    if !matches!(result.outcome, Outcome::Reset | Outcome::ConnectFailed) {
        shared.last_received_ms.set(now_ms);
    }
    result
}

async fn read_answer(upstream: &Upstream, attempt: &AttemptStart, answer: Answer) -> AttemptResult {
    let platform = upstream.dispatcher.platform();
    let (head, mut stream) = answer.response.into_parts();
    let result = AttemptResult {
        load_report: load_report(platform, &head.headers),
        ..AttemptResult::with_outcome(attempt_outcome::of_http2_head(head.status, &head.headers))
    };
    if result.outcome != Outcome::Ok {
        return result;
    }
    let body = match streamed_length(&head.headers) {
        Some(size) => start_streaming(upstream, attempt, stream, answer.slot, size).await,
        None => http2::collect(&mut stream, upstream.stall_timeout(), || {
            upstream.report_stall(attempt)
        })
        .await
        .map(ResponseBody::Complete),
    };
    match body {
        Some(body) => AttemptResult {
            body: Some(body),
            settled_units: settled_units(platform, &head.headers),
            ..result
        },
        // The endpoint has begun to answer, so it has run the request, whatever ended the stream.
        None => {
            tracing::debug!(id = attempt.request.id, "attempt with an incomplete answer");
            AttemptResult::with_outcome(Outcome::Reset)
        }
    }
}

fn load_report(platform: &Platform, headers: &HeaderMap) -> Vec<f64> {
    headers
        .get(http2::LOAD_REPORT)
        .map_or(Vec::new(), |report| {
            endpoint_report::load_report(platform, report.as_bytes())
        })
}

fn settled_units(platform: &Platform, headers: &HeaderMap) -> Option<f64> {
    let usage = headers.get(http2::USAGE)?;
    endpoint_report::settled_units(platform, usage.as_bytes())
}

/// The length of a body that is too long to be buffered completely; none if it is short or its
/// length is not given.
fn streamed_length(headers: &HeaderMap) -> Option<usize> {
    let length: usize = headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()?;
    (MAX_COMPLETE_BODY_BYTES + 1..=MAX_STREAMED_BODY_BYTES)
        .contains(&length)
        .then_some(length)
}

/// Waits for the first chunk of a body and streams the body from there on. Returns none if the stream
/// ended before: until then, the attempt can be repeated at another endpoint.
async fn start_streaming(
    upstream: &Upstream,
    attempt: &AttemptStart,
    mut stream: RecvStream,
    slot: StreamSlot,
    size: usize,
) -> Option<ResponseBody> {
    let on_stall = || upstream.report_stall(attempt);
    let first = http2::next_chunk(&mut stream, upstream.stall_timeout(), on_stall).await;
    let first = first?.ok()?;
    let (sender, receiver) = upstream.dispatcher.body_streams().open(size);
    spawn_local(async move {
        stream_body(stream, first, sender).await;
        drop(slot);
    });
    Some(ResponseBody::Streaming(Rc::new(receiver)))
}

/// Streams a body at the rate at which its client reads; unread data stays in the stream's
/// flow-control window. Ends the stream when the client disconnects or the endpoint stalls.
async fn stream_body(mut stream: RecvStream, first: Bytes, sender: BodySender) {
    let mut chunk = first;
    loop {
        if !forward(&mut stream, chunk, &sender).await || sender.unsent_bytes() == 0 {
            return;
        }
        match timeout(STREAM_STALL_TIMEOUT, stream.data()).await {
            Ok(Some(Ok(next))) => chunk = next,
            _ => return,
        }
    }
}

/// Forwards one chunk. Returns false if the client needs no more data or the stream has ended.
async fn forward(stream: &mut RecvStream, mut chunk: Bytes, sender: &BodySender) -> bool {
    while !chunk.is_empty() {
        if sender.is_receiver_dropped() || sender.unsent_bytes() == 0 {
            return false;
        }
        let taken = sender.write(&chunk);
        let _ = chunk.split_to(taken);
        if stream.flow_control().release_capacity(taken).is_err() {
            return false;
        }
        if taken == 0 {
            sender.wait_for_space().await;
        }
    }
    true
}
