//! One HTTP/2 connection: handshake, streams and close.

use super::{stream, CLIENT_TIMEOUT};
use crate::protocol::http2::FairStream;
use crate::protocol::resp::MAX_COMPLETE_BODY_BYTES;
use crate::runtime::dispatcher::Dispatcher;
use bytes::Bytes;
use h2::server::{Builder, SendResponse};
use h2::{Reason, RecvStream};
use http::Request;
use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Longest header list of one request, bytes.
const MAX_HEADER_LIST: u32 = 16 * 1024;
/// Most bytes that a client may have sent on one connection and the ingress has not read.
const CONNECTION_WINDOW: u32 = 256 * 1024;
/// Bytes that a client may send on a stream beyond the longest body before the ingress has read the
/// body.
const STREAM_WINDOW_MARGIN: u32 = 1024;
/// Most unsent bytes that `h2` buffers for one stream. They count against no budget.
const MAX_UNSENT: usize = 8 * 1024;
/// Most reset streams that `h2` remembers, or holds before the ingress accepts them. Bounds memory.
const MAX_REMEMBERED_RESETS: usize = 64;
/// Most streams of a connection that may be reset unanswered within [`RESET_WINDOW_MS`]. Far more
/// than a client resets because its users cancel.
const MAX_RESETS: u32 = 200;
/// Length of the window in which resets are counted, ms.
const RESET_WINDOW_MS: f64 = 10_000.0;
/// Time after which a draining connection without an open stream, or without a complete handshake,
/// is closed. Until then its client can acknowledge GOAWAY, or open streams that it sent before it
/// received GOAWAY.
const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// The streams that were reset unanswered in the current window.
#[derive(Clone, Copy)]
struct ResetCount {
    count: u32,
    since_ms: f64,
}

/// One client's connection.
pub(super) struct Connection {
    pub(super) dispatcher: Rc<Dispatcher>,
    pub(super) peer: IpAddr,
    /// Wakes the connection's task to send GOAWAY.
    drain_requested: Notify,
    /// Wakes the connection's task because too many streams were reset.
    reset_flood: Notify,
    draining: Cell<bool>,
    open_streams: Cell<usize>,
    /// When the connection was opened or a stream last began or ended, ms.
    pub(super) last_active_ms: Cell<f64>,
    resets: Cell<ResetCount>,
}

impl Connection {
    pub(super) fn new(dispatcher: Rc<Dispatcher>, peer: IpAddr) -> Connection {
        let now = dispatcher.now();
        Connection {
            dispatcher,
            peer,
            drain_requested: Notify::new(),
            reset_flood: Notify::new(),
            draining: Cell::new(false),
            open_streams: Cell::new(0),
            last_active_ms: Cell::new(now),
            resets: Cell::new(ResetCount {
                count: 0,
                since_ms: now,
            }),
        }
    }

    /// Returns whether no stream is open and the connection does not drain.
    pub(super) fn is_idle(&self) -> bool {
        self.open_streams.get() == 0 && !self.draining.get()
    }

    /// Sends GOAWAY once. Open streams are completed.
    pub(super) fn drain(&self) {
        if !self.draining.replace(true) {
            self.drain_requested.notify_one();
        }
    }

    /// Counts a stream that its client has reset unanswered, and closes the connection above
    /// [`MAX_RESETS`]. Stops clients that open and reset streams endlessly (CVE-2023-44487, "rapid
    /// reset"). None of these streams is open for long, so the limit on open streams does not
    /// apply, but each costs an attempt.
    pub(super) fn count_reset(&self) {
        let now = self.dispatcher.now();
        let mut resets = self.resets.get();
        if now - resets.since_ms > RESET_WINDOW_MS {
            resets = ResetCount {
                count: 0,
                since_ms: now,
            };
        }
        resets.count += 1;
        self.resets.set(resets);
        if resets.count > MAX_RESETS {
            self.reset_flood.notify_one();
        }
    }

    fn open_stream(self: &Rc<Self>, request: Request<RecvStream>, respond: SendResponse<Bytes>) {
        self.open_streams.set(self.open_streams.get() + 1);
        self.last_active_ms.set(self.dispatcher.now());
        let connection = self.clone();
        spawn_local(async move {
            stream::serve(&connection, request, respond).await;
            let open_streams = connection.open_streams.get() - 1;
            connection.open_streams.set(open_streams);
            connection.last_active_ms.set(connection.dispatcher.now());
        });
    }
}

type Handshake = h2::server::Connection<FairStream, Bytes>;

/// Serves a connection until it closes.
pub(super) async fn serve(
    this: &Rc<Connection>,
    stream: TcpStream,
    max_streams: u32,
) -> Result<(), h2::Error> {
    let Some(mut connection) = handshake(this, stream, max_streams).await? else {
        return Ok(());
    };
    if this.draining.get() {
        // The handshake consumed the notification.
        this.drain_requested.notify_one();
    }
    // The next time to check a draining connection for open streams.
    let mut close_at: Option<Instant> = None;
    loop {
        tokio::select! {
            // A client that has vanished never acknowledges GOAWAY, and would keep its connection
            // from other clients.
            () = tokio::time::sleep_until(close_at.unwrap_or_else(Instant::now)), if close_at.is_some() => {
                if this.open_streams.get() == 0 {
                    return Ok(());
                }
                close_at = Some(Instant::now() + DRAIN_GRACE);
            }
            accepted = connection.accept() => match accepted {
                Some(accepted) => {
                    let (request, respond) = accepted?;
                    this.open_stream(request, respond);
                }
                None => return Ok(()),
            },
            () = this.drain_requested.notified() => {
                connection.graceful_shutdown();
                close_at = Some(Instant::now() + DRAIN_GRACE);
            }
            () = this.reset_flood.notified() => connection.abrupt_shutdown(Reason::ENHANCE_YOUR_CALM),
        }
    }
}

/// Completes the handshake; returns `None` if the client does not complete it in time.
async fn handshake(
    this: &Connection,
    stream: TcpStream,
    max_streams: u32,
) -> Result<Option<Handshake>, h2::Error> {
    let mut builder = Builder::new();
    builder
        .max_concurrent_streams(max_streams)
        .max_header_list_size(MAX_HEADER_LIST)
        .initial_window_size(MAX_COMPLETE_BODY_BYTES as u32 + STREAM_WINDOW_MARGIN)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_send_buffer_size(MAX_UNSENT)
        .max_concurrent_reset_streams(MAX_REMEMBERED_RESETS)
        .max_pending_accept_reset_streams(MAX_REMEMBERED_RESETS)
        .max_local_error_reset_streams(Some(MAX_REMEMBERED_RESETS));
    let drained = async {
        this.drain_requested.notified().await;
        tokio::time::sleep(DRAIN_GRACE).await;
    };
    tokio::select! {
        connection = builder.handshake::<_, Bytes>(FairStream::new(stream)) => connection.map(Some),
        () = drained => Ok(None),
        () = tokio::time::sleep(CLIENT_TIMEOUT) => Ok(None),
    }
}
