//! Graceful shutdown: the process finishes the requests that it has received, closes idle
//! connections, and exits in bounded time.
//!
//! The process accepts connections for [`ACCEPT_AFTER_STOP_MS`] more. An inherited RESP listener is
//! released at once, since another process accepts from its queue; HTTP/2 continues for that time
//! in any case. Clients may keep sending on connections that stay open, so requests that arrive too
//! late to be finished are rejected before any attempt. The process waits for at most the longest
//! deadline of a class, stops reading, answers the remaining requests as rejected or failed, and
//! exits.

use super::ingress::Ingress;
use super::statistics::log_statistics;
use crate::frontend::http2::Http2Frontend;
use crate::frontend::resp::RespFrontend;
use crate::runtime::dispatcher::Dispatcher;
use driftgap_admin::StopStages;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, JoinHandle};

/// Time after SIGTERM during which new connections are accepted, ms: clients that do not know of
/// the stop yet still connect.
const ACCEPT_AFTER_STOP_MS: f64 = 500.0;
/// Longest time after the listeners close during which requests are forwarded, ms. They arrive on
/// new connections and behind requests that were in flight.
const MAX_FORWARDING_MS: f64 = 1000.0;
/// Upper bound of the longest deadline in the shutdown's time limit, ms. The platform's limit for a
/// stop assumes it.
const MAX_COUNTED_DEADLINE_MS: f64 = 3000.0;
/// Longest run time of the process beyond the longest deadline, ms: the time to accept connections
/// and to write answers.
const ACCEPT_AND_WRITE_MARGIN_MS: f64 = 650.0;
/// Requests that are unanswered this long before the end are answered as rejected or failed, ms.
/// The time is for writing these answers.
const FINAL_ANSWERS_MARGIN_MS: f64 = 150.0;
/// Interval between two checks whether all connections have closed.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The frontends that serve clients, with their accept tasks.
pub(super) struct Frontends {
    resp: Rc<RespFrontend>,
    resp_accept: JoinHandle<()>,
    /// Whether the RESP listener was inherited: another process accepts from the same queue.
    inherited: bool,
    http2: Option<(Rc<Http2Frontend>, JoinHandle<()>)>,
}

impl Frontends {
    /// Starts to accept RESP clients.
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

    /// Starts to accept HTTP/2 clients as well.
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

    /// Stops accepting, then asks every connection to close as soon as no answer is pending on it.
    async fn stop_accepting(&mut self, dispatcher: &Dispatcher, begun_ms: f64) {
        if self.inherited {
            // New clients wait in the queue from which the other process accepts.
            self.resp_accept.abort();
            self.resp.drain();
        }
        if !self.inherited || self.http2.is_some() {
            let end = dispatcher.clock().instant(begun_ms + ACCEPT_AFTER_STOP_MS);
            tokio::time::sleep_until(end.into()).await;
        }
        // Awaiting the aborted task makes sure that its listener is closed.
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

    /// Reads no more requests. Those that have been read are answered.
    fn stop_reading(&self) {
        self.resp.stop_reading();
    }

    /// Waits until every connection has closed, at most until `end_ms`. Returns whether all have.
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

/// Returns when the stages of the shutdown begin. A request that is forwarded at the last moment has
/// at least half of the longest deadline left until the final answers.
fn stop_stages(inherited: bool, counted_deadline_ms: f64) -> StopStages {
    let draining_ms = if inherited { 0.0 } else { ACCEPT_AFTER_STOP_MS };
    let forwarding_ms = (counted_deadline_ms / 2.0).min(MAX_FORWARDING_MS);
    StopStages {
        draining_ms,
        drained_ms: ACCEPT_AFTER_STOP_MS + forwarding_ms,
    }
}

/// Drains the ingress: finishes the requests that were received, closes idle connections, and
/// returns in time for the process to exit.
pub(super) async fn drain(ingress: &Ingress, mut frontends: Frontends) {
    let dispatcher = &ingress.dispatcher;
    let begun_ms = dispatcher.now();
    tracing::info!(
        unanswered = dispatcher.unanswered(),
        clients = frontends.connections(),
        "stopping: finishing the requests that were received"
    );
    let counted_deadline_ms = dispatcher
        .longest_deadline_ms()
        .min(MAX_COUNTED_DEADLINE_MS);
    let stages = stop_stages(frontends.inherited, counted_deadline_ms);
    dispatcher.drain().stop(begun_ms, stages);
    frontends.stop_accepting(dispatcher, begun_ms).await;
    let end_ms = begun_ms + counted_deadline_ms + ACCEPT_AND_WRITE_MARGIN_MS;
    let last_answers_at_ms = end_ms - FINAL_ANSWERS_MARGIN_MS;
    if !frontends
        .all_closed_by(dispatcher, last_answers_at_ms)
        .await
    {
        tracing::info!(
            unanswered = dispatcher.unanswered(),
            "drain time limit reached: answering the remaining requests as rejected or failed"
        );
        // A request that was read after these answers could run and get none.
        frontends.stop_reading();
        dispatcher.answer_all_now();
        frontends.all_closed_by(dispatcher, end_ms).await;
    }
    log_statistics(ingress);
    tracing::info!(ms = (dispatcher.now() - begun_ms).round(), "stopped");
}
