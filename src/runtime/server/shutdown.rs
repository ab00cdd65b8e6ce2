//! Graceful shutdown: the process finishes what it has received, ends idle connections, and exits in bounded time.
//!
//! It accepts for [`ACCEPT_AFTER_STOP_MS`] more; an inherited RESP listener is released at once, since another process
//! accepts from its queue, while HTTP/2 goes on for that time in any case. Then it waits for at most the longest deadline
//! of a class, answers what is still unanswered, and exits.

use super::ingress::Ingress;
use super::timers::log_statistics;
use crate::frontend::http2::Http2Frontend;
use crate::frontend::resp::RespFrontend;
use crate::runtime::dispatcher::Dispatcher;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, JoinHandle};

/// New connections are accepted for this long after SIGTERM, ms: clients that have not heard of it still come.
const ACCEPT_AFTER_STOP_MS: f64 = 500.0;
/// The longest deadline counts as this at most, ms: the platform bounds the time of a stop by it.
const MAX_COUNTED_DEADLINE_MS: f64 = 3000.0;
/// The process runs for so long at most beyond the longest deadline, ms: time to accept, and to write answers.
const MARGIN_MS: f64 = 650.0;
/// What is unanswered so long before the end is answered as rejected or failed, ms: answers have to be written.
const LAST_ANSWERS_MS: f64 = 150.0;
/// Open connections are counted this often while the process waits for their end.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The frontends that serve clients, with the tasks that accept for them.
pub(super) struct Frontends {
    resp: Rc<RespFrontend>,
    resp_accept: JoinHandle<()>,
    /// Whether the RESP listener was inherited: another process accepts from the same queue.
    inherited: bool,
    http2: Option<(Rc<Http2Frontend>, JoinHandle<()>)>,
}

impl Frontends {
    /// Begins to accept RESP clients.
    pub(super) fn serve_resp(
        resp: Rc<RespFrontend>,
        listener: TcpListener,
        inherited: bool,
    ) -> Frontends {
        let resp_accept = spawn_local(resp.clone().listen(listener));
        spawn_local(resp.clone().supervise());
        Frontends {
            resp,
            resp_accept,
            inherited,
            http2: None,
        }
    }

    /// Begins to accept HTTP/2 clients too.
    pub(super) fn serve_http2(&mut self, (http2, listener): (Rc<Http2Frontend>, TcpListener)) {
        let accept = spawn_local(http2.clone().listen(listener));
        spawn_local(http2.clone().supervise());
        self.http2 = Some((http2, accept));
    }

    fn connections(&self) -> usize {
        let http2 = self
            .http2
            .as_ref()
            .map_or(0, |(http2, _)| http2.connections());
        self.resp.connections() + http2
    }

    /// Ends accepting, then asks every connection to end as soon as it is owed nothing.
    async fn stop_accepting(&mut self, dispatcher: &Dispatcher, begun_ms: f64) {
        if self.inherited {
            // New clients wait in the queue that the other process accepts from.
            self.resp_accept.abort();
            self.resp.drain();
        }
        if !self.inherited || self.http2.is_some() {
            let end = dispatcher.clock().instant(begun_ms + ACCEPT_AFTER_STOP_MS);
            tokio::time::sleep_until(end.into()).await;
        }
        // Waiting for an aborted task makes sure that its listener is closed.
        if !self.inherited {
            close(&mut self.resp_accept).await;
        }
        if let Some((_, accept)) = &mut self.http2 {
            close(accept).await;
        }
        self.resp.drain();
        if let Some((http2, _)) = &self.http2 {
            http2.drain();
        }
    }

    /// Waits until every connection has ended, at most until `end_ms`; whether they have.
    async fn all_closed_by(&self, dispatcher: &Dispatcher, end_ms: f64) -> bool {
        while self.connections() > 0 && dispatcher.now() < end_ms {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.connections() == 0
    }
}

async fn close(accept: &mut JoinHandle<()>) {
    accept.abort();
    let _ = accept.await;
}

/// Drains the ingress: finishes what was received, ends idle connections, and returns in time for the process to
/// exit.
pub(super) async fn drain(ingress: &Ingress, mut frontends: Frontends) {
    let dispatcher = &ingress.dispatcher;
    let begun_ms = dispatcher.now();
    tracing::info!(
        unanswered = dispatcher.unanswered(),
        clients = frontends.connections(),
        "stopping"
    );
    let notice_ms = if frontends.inherited {
        0.0
    } else {
        ACCEPT_AFTER_STOP_MS
    };
    dispatcher.drain().stop(begun_ms, notice_ms);
    frontends.stop_accepting(dispatcher, begun_ms).await;
    let end_ms = begun_ms
        + dispatcher
            .longest_deadline_ms()
            .min(MAX_COUNTED_DEADLINE_MS)
        + MARGIN_MS;
    let last_answers_at_ms = end_ms - LAST_ANSWERS_MS;
    if !frontends
        .all_closed_by(dispatcher, last_answers_at_ms)
        .await
    {
        tracing::info!(
            unanswered = dispatcher.unanswered(),
            "giving up what is owed"
        );
        dispatcher.answer_all_now();
        frontends.all_closed_by(dispatcher, end_ms).await;
    }
    log_statistics(ingress);
    tracing::info!(ms = (dispatcher.now() - begun_ms).round(), "stopped");
}
