//! One HTTP/2 connection: its handshake, its streams, and its end.

use super::{stream, CLIENT_TIMEOUT};
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
/// Most bytes that a connection may have sent us and we have not read.
const CONNECTION_WINDOW: u32 = 256 * 1024;
/// What a stream may send beyond the longest body before we have read it, bytes.
const STREAM_WINDOW_MARGIN: u32 = 1024;
/// Most bytes that `h2` may hold of what is to be sent on one connection.
const MAX_UNSENT: usize = 256 * 1024;
/// Most reset streams that `h2` remembers, or has not handed over yet. Bounds memory.
const MAX_REMEMBERED_RESETS: usize = 64;
/// Most streams of a connection that may be reset unanswered within [`RESET_WINDOW_MS`]. Far above what a client does
/// whose users lose patience.
const MAX_RESETS: u32 = 200;
/// Over this time resets are counted, ms.
const RESET_WINDOW_MS: f64 = 10_000.0;
/// A draining connection without an open stream, or whose handshake is not complete, is closed after this: its client
/// has that long to acknowledge GOAWAY, or to open the streams that crossed it.
const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// Streams that were reset unanswered since a time.
#[derive(Clone, Copy)]
struct ResetCount {
    count: u32,
    since_ms: f64,
}

/// One client's connection.
pub(super) struct Connection {
    pub(super) dispatcher: Rc<Dispatcher>,
    pub(super) peer: IpAddr,
    /// Wakes the connection's task: it is to send GOAWAY.
    drain_requested: Notify,
    /// Wakes the connection's task: too many streams were reset.
    reset_flood: Notify,
    draining: Cell<bool>,
    open_streams: Cell<usize>,
    /// When it was opened, or a stream began or ended, ms.
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

    /// Whether no stream is open on it, and it has not been told to end.
    pub(super) fn is_idle(&self) -> bool {
        self.open_streams.get() == 0 && !self.draining.get()
    }

    /// Sends GOAWAY, once; open streams are finished.
    pub(super) fn drain(&self) {
        if !self.draining.replace(true) {
            self.drain_requested.notify_one();
        }
    }

    /// Counts a stream that its client has reset unanswered. Guards against a client that opens and resets streams
    /// for ever (CVE-2023-44487, "rapid reset"): no stream is open for long, so no bound on open streams sees it, and
    /// each costs an attempt. Above the bound the connection ends.
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

type Handshake = h2::server::Connection<TcpStream, Bytes>;

/// Serves a connection until it ends.
pub(super) async fn serve(
    this: &Rc<Connection>,
    stream: TcpStream,
    max_streams: u32,
) -> Result<(), h2::Error> {
    let Some(mut connection) = handshake(this, stream, max_streams).await? else {
        return Ok(());
    };
    if this.draining.get() {
        // The handshake has taken the notice.
        this.drain_requested.notify_one();
    }
    // When a draining connection is looked at next.
    let mut close_at: Option<Instant> = None;
    loop {
        tokio::select! {
            // Guards the places of others: a client that is cut off never acknowledges GOAWAY.
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

/// Completes the handshake; none: the client has not completed it in time.
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
        connection = builder.handshake::<_, Bytes>(stream) => connection.map(Some),
        () = drained => Ok(None),
        () = tokio::time::sleep(CLIENT_TIMEOUT) => Ok(None),
    }
}
