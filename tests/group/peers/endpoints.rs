//! The endpoints of every ingress. They answer each request at once and record when it arrived.

use bytes::Bytes;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// The time of the last request at each endpoint, by name.
pub type Arrivals = Rc<RefCell<HashMap<&'static str, Instant>>>;

/// Runs an endpoint that answers every request at once.
pub async fn resp_endpoint(listener: TcpListener, name: &'static str, arrivals: Arrivals) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let arrivals = arrivals.clone();
        spawn_local(async move {
            let mut buffer = Vec::new();
            while stream.read_buf(&mut buffer).await.is_ok_and(|n| n > 0) {
                while let Ok(driftgap::protocol::resp::Parsed::Complete(_, n)) =
                    driftgap::protocol::resp::request_words(&buffer)
                {
                    buffer.drain(..n);
                    arrivals.borrow_mut().insert(name, Instant::now());
                    let _ = stream
                        .write_all(b"*3\r\n$4\r\nnews\r\n$-1\r\n$-1\r\n")
                        .await;
                }
            }
        });
    }
}

/// Runs an HTTP/2 endpoint that answers every request at once.
pub async fn http2_endpoint(listener: TcpListener, name: &'static str, arrivals: Arrivals) {
    while let Ok((stream, _)) = listener.accept().await {
        let arrivals = arrivals.clone();
        spawn_local(async move {
            let Ok(mut connection) = h2::server::handshake(stream).await else {
                return;
            };
            while let Some(Ok((request, mut respond))) = connection.accept().await {
                if request.headers().contains_key("req-id") {
                    arrivals.borrow_mut().insert(name, Instant::now());
                }
                let Ok(mut send) = respond.send_response(http::Response::new(()), false) else {
                    continue;
                };
                let _ = send.send_data(Bytes::from_static(b"news"), true);
            }
        });
    }
}
