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
    let Ok(Some((send, driver))) = dialled else {
        upstream
            .pools
            .connect_failed(upstream.dispatcher.now(), endpoint);
        return None;
    };
    let shared = SharedConnection::new(send, addr, upstream.dispatcher.now());
    spawn_local(run_connection(driver, shared.alive.clone(), slot));
    upstream.pools.share(endpoint, &shared);
    Some(shared)
}

async fn dial_http2(
    addr: SocketAddr,
) -> Option<(SendRequest<Bytes>, Http2Driver<FairStream, Bytes>)> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let _ = stream.set_nodelay(true);
    let mut builder = Builder::new();
    builder
        .enable_push(false)
        .initial_connection_window_size(SHARED_WINDOW_BYTES);
    builder
        .handshake::<_, Bytes>(FairStream::new(stream))
        .await
        .ok()
}

/// Runs the I/O of a shared connection until it ends.
async fn run_connection(
    driver: Http2Driver<FairStream, Bytes>,
    alive: Rc<Cell<bool>>,
    _slot: ConnectionSlot,
) {
    if let Err(e) = driver.await {
        tracing::debug!(error = %e, "HTTP/2 connection to an endpoint failed");
    }
    alive.set(false);
}
