//! Sends the request of an attempt over HTTP/2, on a stream of the shared connection.
//!
//! A body waits for the endpoint's flow control here, not in `h2`: what `h2` has taken it sends whenever
//! the window opens. A piece is passed on only when `h2` can send it at once and the attempt's
//! [`WriteLimit`] still allows it.

use crate::decision::Outcome;
use crate::protocol::{attempt_outcome, http2};
use crate::request::{AttemptStart, MAX_WRITE_MS};
use crate::upstream::running_attempt::{Abandon, AbandonHandle};
use crate::upstream::shared_connection::{SharedConnection, StreamSlot};
use crate::upstream::write_limit::WriteLimit;
use crate::upstream::Upstream;
use bytes::Bytes;
use h2::client::ResponseFuture;
use h2::{RecvStream, SendStream};
use http::Response;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::time::timeout_at;

/// The head of an answer, and the place of its stream, to be kept until the stream has ended.
pub(super) struct Answer {
    pub(super) response: Response<RecvStream>,
    pub(super) slot: StreamSlot,
}

/// Waits for a place among the connection's streams, sends the request, and waits for the head of its
/// answer.
///
/// # Errors
/// The outcome of an attempt without an answer. It is [`Outcome::ConnectFailed`] if the request was not
/// sent completely, so that no endpoint can have run it.
pub(super) async fn send(
    upstream: &Upstream,
    attempt: &AttemptStart,
    shared: &Rc<SharedConnection>,
    handle: &AbandonHandle,
) -> Result<Answer, Outcome> {
    let clock = upstream.dispatcher.clock();
    let begun_by = clock.instant(attempt.written_by_ms - MAX_WRITE_MS);
    let Ok(slot) = timeout_at(begun_by.into(), shared.stream_slot()).await else {
        tracing::debug!(id = attempt.request.id, "no free stream on the connection");
        return Err(Outcome::ConnectFailed);
    };
    let response = exchange(upstream, attempt, shared, handle).await?;
    Ok(Answer { response, slot })
}

/// Sends the request and waits for the head of its answer.
async fn exchange(
    upstream: &Upstream,
    attempt: &AttemptStart,
    shared: &SharedConnection,
    handle: &AbandonHandle,
) -> Result<Response<RecvStream>, Outcome> {
    let mut response = send_head(upstream, attempt, shared, handle).await?;
    let Some(body) = &attempt.request.body else {
        return response.await.map_err(|e| outcome(attempt, &e));
    };
    let limit = WriteLimit::start(&upstream.dispatcher, attempt);
    let body = Bytes::copy_from_slice(body);
    let sent = tokio::select! {
        biased;
        // The endpoint may answer or end the stream before it has the whole request.
        answer = &mut response => return answer.map_err(|e| outcome_if_incomplete(attempt, &e)),
        sent = timeout_at(limit.instant(), send_body(handle, &limit, body)) => sent,
    };
    if sent != Ok(true) {
        tracing::debug!(
            id = attempt.request.id,
            "request not sent completely in time"
        );
        if let Some(Abandon::Reset(mut stream)) = handle.take() {
            stream.send_reset(h2::Reason::CANCEL);
        }
        return Err(Outcome::ConnectFailed);
    }
    response.await.map_err(|e| outcome(attempt, &e))
}

/// Opens a stream with the head of the request.
async fn send_head(
    upstream: &Upstream,
    attempt: &AttemptStart,
    shared: &SharedConnection,
    handle: &AbandonHandle,
) -> Result<ResponseFuture, Outcome> {
    let dispatcher = &upstream.dispatcher;
    let Ok(mut send) = shared.send.clone().ready().await else {
        // The connection accepts no new streams, so the next attempt opens another connection.
        shared.alive.set(false);
        return Err(Outcome::ConnectFailed);
    };
    let now_ms = dispatcher.now();
    if now_ms >= attempt.written_by_ms
        || !upstream.accepts_requests_at(attempt.endpoint, shared.addr)
    {
        return Err(Outcome::ConnectFailed);
    }
    shared.last_used_ms.set(now_ms);
    let wait_ms = attempt.deadline_ms - now_ms;
    let request = http2::upstream_request(dispatcher.platform(), &attempt.request, wait_ms)
        .map_err(|_| Outcome::ConnectFailed)?;
    let has_body = attempt.request.body.is_some();
    let Ok((response, stream)) = send.send_request(request, !has_body) else {
        shared.alive.set(false);
        return Err(Outcome::ConnectFailed);
    };
    handle.set(Abandon::Reset(stream));
    Ok(response)
}

/// Sends the body in pieces, as the endpoint's flow control allows. Returns false if the stream ended or
/// the limit passed before the last piece was sent.
async fn send_body(handle: &AbandonHandle, limit: &WriteLimit<'_>, mut body: Bytes) -> bool {
    loop {
        let capacity = poll_fn(|cx| poll_capacity(handle, cx, body.len())).await;
        let Some(capacity) = capacity.filter(|_| limit.allows_write()) else {
            return false;
        };
        let piece = body.split_to(capacity.min(body.len()));
        let is_last = body.is_empty();
        let sent = handle.with_stream(|stream| stream.send_data(piece, is_last));
        if is_last || !matches!(sent, Some(Ok(()))) {
            return matches!(sent, Some(Ok(())));
        }
    }
}

/// Waits until `h2` can send some of `wanted` bytes at once, and returns how many. Returns none if the
/// stream has ended.
fn poll_capacity(
    handle: &AbandonHandle,
    cx: &mut Context<'_>,
    wanted: usize,
) -> Poll<Option<usize>> {
    if wanted == 0 {
        return Poll::Ready(Some(0));
    }
    let poll = |stream: &mut SendStream<Bytes>| {
        stream.reserve_capacity(wanted);
        let capacity = stream.capacity();
        if capacity > 0 {
            return Poll::Ready(Some(capacity));
        }
        let capacity = ready!(stream.poll_capacity(cx));
        Poll::Ready(capacity.and_then(Result::ok))
    };
    handle.with_stream(poll).unwrap_or(Poll::Ready(None))
}

/// The outcome of an attempt whose stream ended after the request was sent.
fn outcome(attempt: &AttemptStart, error: &h2::Error) -> Outcome {
    tracing::debug!(id = attempt.request.id, %error, "attempt without an answer");
    attempt_outcome::of_http2_error(error)
}

/// The outcome of an attempt whose stream ended before the request was sent completely: no endpoint can
/// have run it.
fn outcome_if_incomplete(attempt: &AttemptStart, error: &h2::Error) -> Outcome {
    match outcome(attempt, error) {
        Outcome::Rejected => Outcome::Rejected,
        _ => Outcome::ConnectFailed,
    }
}
