//! One HTTP/2 stream, from its headers to its answer.

use super::connection::Connection;
use super::requests::{read_request, Received, RequestError};
use super::CLIENT_TIMEOUT;
use crate::decision::driver::RequestId;
use crate::protocol::http2::{
    answer_response, send_complete_body, send_streaming_body, status_response, Body, BodySent,
};
use crate::request::{ClientRequest, FinalAnswer};
use crate::runtime::dispatcher::{CloseCause, Dispatcher, ResponseSink};
use bytes::Bytes;
use driftgap_routes::LimitPermit;
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::{Request, Response};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time without progress after which a client gives way while all clients together exceed their
/// budget for unread answers. One that reads what it gets is served.
const OVER_BUDGET_TIMEOUT: Duration = Duration::from_millis(250);

/// Passes an answer to the stream that waits for it.
struct StreamSink(RefCell<Option<oneshot::Sender<FinalAnswer>>>);

impl ResponseSink for StreamSink {
    fn answer(&self, _ticket: u64, answer: FinalAnswer) {
        if let Some(sender) = self.0.borrow_mut().take() {
            // The receiver is gone if the stream has just been reset; the answer is dropped.
            let _ = sender.send(answer);
        }
    }
}

/// Serves one stream.
pub(super) async fn serve(
    connection: &Connection,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let dispatcher = &connection.dispatcher;
    let received_ms = dispatcher.now();
    match read_request(dispatcher, connection.peer, request).await {
        Ok(Received::Request(mut request, limit_permits)) => {
            // The client's timeout starts when the client sends the request, not at the end of its
            // body.
            request.client_timeout_ms -= dispatcher.now() - received_ms;
            dispatch(connection, respond, *request, limit_permits).await;
        }
        Ok(Received::Rejected { retry_after_ms }) => {
            wait_for_answer(connection, respond, |sink, id| {
                dispatcher.reject(retry_after_ms, sink, 0, |number| id.set(number));
            })
            .await;
        }
        Ok(Received::Answer(status, text)) => {
            send(dispatcher, respond, status_response(status), text.into()).await;
        }
        Err(RequestError::Status(status, why)) => {
            tracing::debug!(%status, why, "invalid request");
            dispatcher.client_statistics().invalid_request();
            send(dispatcher, respond, status_response(status), why.into()).await;
        }
        Err(RequestError::Reset(reason)) => {
            dispatcher
                .client_statistics()
                .closed(CloseCause::RequestTimeout);
            respond.send_reset(reason);
        }
    }
}

async fn dispatch(
    connection: &Connection,
    mut respond: SendResponse<Bytes>,
    request: ClientRequest,
    limit_permits: Vec<LimitPermit>,
) {
    // The client may have reset the stream right after its body. Do not start work for it then.
    if poll_fn(|cx| Poll::Ready(respond.poll_reset(cx).is_ready())).await {
        return connection.count_reset();
    }
    wait_for_answer(connection, respond, |sink, id| {
        let dispatcher = &connection.dispatcher;
        dispatcher.arrive(request, sink, 0, limit_permits, |number| id.set(number));
    })
    .await;
}

/// Calls `submit`, which hands the request over and stores its number in the cell, then sends the
/// answer once it arrives. If the client resets the stream, the request is cancelled.
async fn wait_for_answer(
    connection: &Connection,
    mut respond: SendResponse<Bytes>,
    submit: impl FnOnce(Rc<dyn ResponseSink>, &Cell<RequestId>),
) {
    let (sender, mut receiver) = oneshot::channel();
    let id = Cell::new(0);
    submit(Rc::new(StreamSink(RefCell::new(Some(sender)))), &id);
    let answer = tokio::select! {
        biased;
        answer = &mut receiver => answer,
        _ = poll_fn(|cx| respond.poll_reset(cx)) => {
            connection.dispatcher.client_gone(id.get());
            return connection.count_reset();
        }
    };
    if let Ok(answer) = answer {
        send_answer(&connection.dispatcher, respond, answer).await;
    }
}

async fn send_answer(
    dispatcher: &Dispatcher,
    mut respond: SendResponse<Bytes>,
    answer: FinalAnswer,
) {
    let (response, body) = answer_response(answer);
    match body {
        Body::Complete(body) => send(dispatcher, respond, response, body).await,
        Body::Streaming(body) => {
            let Ok(mut stream) = respond.send_response(response, false) else {
                return;
            };
            if !send_streaming_body(&mut stream, &body, CLIENT_TIMEOUT).await {
                // The reset shows the client that the body is incomplete.
                dispatcher
                    .client_statistics()
                    .closed(CloseCause::IncompleteBody);
                stream.send_reset(Reason::INTERNAL_ERROR);
            }
        }
    }
}

/// Sends an answer as the client's window allows. Resets the stream of a client that does not read:
/// after [`OVER_BUDGET_TIMEOUT`] if all clients together exceed their budget for unread answers, else after [`CLIENT_TIMEOUT`]
/// without progress.
async fn send(
    dispatcher: &Dispatcher,
    mut respond: SendResponse<Bytes>,
    response: Response<()>,
    body: Bytes,
) {
    let unsent = dispatcher.unsent_budget();
    let within_budget = unsent.add(body.len());
    let client_timeout = if within_budget {
        CLIENT_TIMEOUT
    } else {
        OVER_BUDGET_TIMEOUT
    };
    let Ok(mut stream) = respond.send_response(response, body.is_empty()) else {
        return;
    };
    if body.is_empty() {
        return;
    }
    let sent = send_complete_body(&mut stream, body, client_timeout).await;
    if sent == BodySent::Stalled {
        let cause = if within_budget {
            CloseCause::StalledReader
        } else {
            CloseCause::UnsentBudget
        };
        dispatcher.client_statistics().closed(cause);
        stream.send_reset(Reason::CANCEL);
    }
}
