//! Clients of an ingress: a stream of requests over RESP or HTTP/2, and operators' calls.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Sends requests over RESP without an end, each after the answer to the previous one. Appends the
/// duration of each to `times`, ms.
pub async fn send_resp_requests(
    at: String,
    i: usize,
    answered: Rc<Cell<u64>>,
    times: Rc<RefCell<Vec<f64>>>,
) {
    let Ok(mut stream) = TcpStream::connect(at).await else {
        return;
    };
    let mut reader = Vec::new();
    loop {
        let tenant = answered.get() % 50;
        let terms = "c=fetch-episode,t=national,d=2000,units=1,spread=1,first=0";
        let id = format!("s{i}-{}", answered.get());
        let request = format!(
            "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n{tenant:016x}\r\n${}\r\n{id}\r\n${}\r\n{terms}\r\n",
            id.len(),
            terms.len()
        );
        let began = Instant::now();
        if stream.write_all(request.as_bytes()).await.is_err() {
            return;
        }
        reader.clear();
        let is_complete = |r: &[u8]| {
            r.starts_with(b"-") && r.ends_with(b"\r\n")
                || r.starts_with(b"$") && r.ends_with(b"news\r\n")
        };
        while !is_complete(&reader) {
            match stream.read_buf(&mut reader).await {
                Ok(n) if n > 0 => {}
                _ => return,
            }
        }
        answered.set(answered.get() + 1);
        times.borrow_mut().push(began.elapsed().as_secs_f64() * 1e3);
        sleep(Duration::from_millis(3)).await;
    }
}

/// Sends requests over HTTP/2 without an end, each after the answer to the previous one.
pub async fn send_http2_requests(at: String, i: usize, answered: Rc<Cell<u64>>) {
    let Ok(stream) = TcpStream::connect(at).await else {
        return;
    };
    let Ok((send, connection)) = h2::client::handshake(stream).await else {
        return;
    };
    spawn_local(connection);
    loop {
        let request = http::Request::post("http://ingress/commands/fetch-episode")
            .header("api-customer", format!("{:016x}", answered.get() % 50))
            .header("req-id", format!("s{i}-{}", answered.get()))
            .header("api-plan", "national")
            .header("req-deadline-ms", "2000")
            .header("api-terms", "units=1,spread=1,first=0")
            .body(())
            .unwrap();
        let Ok(mut ready) = send.clone().ready().await else {
            return;
        };
        let Ok((response, _)) = ready.send_request(request, true) else {
            return;
        };
        let Ok(response) = response.await else { return };
        let mut body = response.into_body();
        while let Some(Ok(part)) = body.data().await {
            let _ = body.flow_control().release_capacity(part.len());
        }
        answered.set(answered.get() + 1);
        sleep(Duration::from_millis(3)).await;
    }
}

/// Sends an operator's call and returns its answer, or an empty string if there is none.
pub async fn call_operator(at: String, text: String) -> String {
    let request = async {
        let mut stream = TcpStream::connect(at).await?;
        stream.write_all(format!("{text}\n").as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok::<_, std::io::Error>(answer.trim_end().to_string())
    };
    // A paused process accepts connections and does not answer.
    match tokio::time::timeout(Duration::from_secs(6), request).await {
        Ok(Ok(answer)) => answer,
        _ => String::new(),
    }
}
