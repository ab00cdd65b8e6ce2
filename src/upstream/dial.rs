//! Obtains a connection for an attempt or a health check, from the pools or by connecting.

use crate::decision::driver::EndpointId;
use crate::protocol::http2::FairStream;
use crate::units::MS_PER_S;
use crate::upstream::connection::Connection;
use crate::upstream::pools::{ConnectionSlot, REUSE_DELAY_MS};
use crate::upstream::shared_connection::SharedConnection;
use crate::upstream::Upstream;
use bytes::Bytes;
use h2::client::{Builder, Connection as Http2Driver, SendRequest};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Maximum unread bytes of all streams of a shared connection. Large enough that streams of clients
/// that read slowly do not block the others.
const SHARED_WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// Returns a RESP connection for exclusive use; none if no connection could be obtained.
pub(super) async fn exclusive(
    upstream: &Upstream,
    endpoint: EndpointId,
    addr: SocketAddr,
) -> Option<Rc<Connection>> {
    let take_idle = || {
        upstream
            .pools
            .take_idle(upstream.dispatcher.now(), endpoint, addr)
    };
    if let Some(connection) = take_idle() {
        return Some(connection);
    }
    let Some(slot) = upstream
        .pools
        .take_slot(upstream.dispatcher.now(), endpoint)
    else {
        // An idle connection may become available when its reuse delay is over.
        tokio::time::sleep(Duration::from_secs_f64(REUSE_DELAY_MS / MS_PER_S)).await;
        return take_idle();
    };
    match timeout(upstream.connect_timeout, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => {
            let _ = stream.set_nodelay(true);
            Some(Rc::new(Connection::new(stream, addr, slot)))
        }
        _ => {
            upstream
                .pools
                .connect_failed(upstream.dispatcher.now(), endpoint);
            None
        }
    }
}

/// Returns the HTTP/2 connection that the endpoint's attempts share; none if no connection could be
/// obtained.
pub(super) async fn shared(
    upstream: &Upstream,
    endpoint: EndpointId,
    addr: SocketAddr,
) -> Option<Rc<SharedConnection>> {
    if let Some(shared) = upstream.pools.shared(endpoint, addr) {
        return Some(shared);
    }
    let slot = upstream
        .pools
        .take_slot(upstream.dispatcher.now(), endpoint)?;
    let dialled = timeout(upstream.connect_timeout, dial_http2(addr)).await;
    let Ok(Some(dialled)) = dialled else {
        upstream
            .pools
            .connect_failed(upstream.dispatcher.now(), endpoint);
        return None;
    };
    let now_ms = upstream.dispatcher.now();
    let shared = SharedConnection::new(dialled.send, addr, dialled.discard_unsent, now_ms);
    let (alive, end) = (shared.alive.clone(), shared.end());
    spawn_local(run_connection(dialled.driver, alive, end, slot));
    upstream.pools.share(endpoint, &shared);
    Some(shared)
}

/// A new HTTP/2 connection.
struct Dialled {
    send: SendRequest<Bytes>,
    driver: Http2Driver<FairStream, Bytes>,
    discard_unsent: Rc<Cell<bool>>,
}

async fn dial_http2(addr: SocketAddr) -> Option<Dialled> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let _ = stream.set_nodelay(true);
    let stream = FairStream::new(stream);
    let discard_unsent = stream.discard_switch();
    let mut builder = Builder::new();
    builder
        .enable_push(false)
        .initial_connection_window_size(SHARED_WINDOW_BYTES);
    let (send, driver) = builder.handshake::<_, Bytes>(stream).await.ok()?;
    Some(Dialled {
        send,
        driver,
        discard_unsent,
    })
}

/// Runs the I/O of a shared connection until it ends or is ended.
async fn run_connection(
    driver: Http2Driver<FairStream, Bytes>,
    alive: Rc<Cell<bool>>,
    end: Rc<Notify>,
    _slot: ConnectionSlot,
) {
    tokio::select! {
        result = driver => {
            if let Err(e) = result {
                tracing::debug!(error = %e, "HTTP/2 connection to an endpoint failed");
            }
        }
        () = end.notified() => {}
    }
    alive.set(false);
}
