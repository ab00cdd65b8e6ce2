//! Simulated endpoints, over RESP and HTTP/2. An attempt is answered as the scenario says.

use super::*;

/// Delay of the duplicate of `late_duplicate`.
const DUPLICATE_DELAY: Duration = Duration::from_millis(5);
/// The duplicate is written within this time after the start of the first answer, or not at all.
/// The program detects a duplicate for 10 ms; 2 ms of these are left for its transport.
const DUPLICATE_LIMIT: Duration = Duration::from_millis(8);

/// Returns a large value: each byte depends on its position.
pub(super) fn large(n: &str) -> Vec<u8> {
    (0..n.parse::<u32>().unwrap())
        .map(|i| (i % 251) as u8)
        .collect()
}

/// Pause after each chunk of a large value.
const CHUNK_PAUSE: Duration = Duration::from_millis(100);
/// Number and size of the chunks with which `slow_start` begins.
const SLOW_CHUNKS: usize = 10;
const SLOW_CHUNK_BYTES: usize = 200;

/// A large value in the chunks in which an endpoint sends it.
pub(super) struct LargeValue<'a> {
    /// The size that the endpoint announces.
    announced_size: &'a str,
    /// The chunks, each with the pause before it.
    chunks: Vec<(Duration, Vec<u8>)>,
    /// Whether the reply is ended in order after the chunks.
    ends_in_order: bool,
}

/// Returns the large value of a reply, or none if the reply is not a large value.
pub(super) fn large_value(behavior: &str) -> Option<LargeValue<'_>> {
    let (behavior, announced_size) = behavior.split_once(' ')?;
    if let Some(paused) = paused_value(behavior, announced_size) {
        return Some(paused);
    }
    if !["large", "truncated", "short", "pieces"].contains(&behavior) {
        return None;
    }
    let value = large(announced_size);
    let half = value.len() / 2;
    let (chunks, ends_in_order) = match behavior {
        "truncated" => (vec![value[..half].to_vec()], false),
        "short" => (vec![b"nine-long".to_vec()], true),
        "pieces" => (
            value.chunks(value.len() / 12).map(<[u8]>::to_vec).collect(),
            true,
        ),
        _ => (vec![value], true),
    };
    let chunks = (0..)
        .zip(chunks)
        .map(|(i, chunk)| (CHUNK_PAUSE * u32::from(i > 0), chunk))
        .collect();
    Some(LargeValue {
        announced_size,
        chunks,
        ends_in_order,
    })
}

/// Returns the value of `late_body MS N`, `halting MS N` or `slow_start MS N`.
fn paused_value<'a>(behavior: &str, arguments: &'a str) -> Option<LargeValue<'a>> {
    if !["late_body", "halting", "slow_start"].contains(&behavior) {
        return None;
    }
    let (ms, announced_size) = arguments.split_once(' ')?;
    let pause = Duration::from_millis(ms.parse().ok()?);
    let value = large(announced_size);
    let (half, slow) = (value.len() / 2, SLOW_CHUNKS * SLOW_CHUNK_BYTES);
    let chunks = match behavior {
        "late_body" => vec![(pause, value)],
        "halting" => vec![
            (Duration::ZERO, value[..half].to_vec()),
            (pause, value[half..].to_vec()),
        ],
        _ => value[..slow]
            .chunks(SLOW_CHUNK_BYTES)
            .chain([&value[slow..]])
            .map(|chunk| (pause / SLOW_CHUNKS as u32, chunk.to_vec()))
            .collect(),
    };
    Some(LargeValue {
        announced_size,
        chunks,
        ends_in_order: true,
    })
}

/// Returns a value as the scenario language names it. A large value is named by its length and by
/// whether its bytes are as an endpoint sent them.
pub(super) fn describe_value(value: &[u8]) -> String {
    if value.len() < 1000 {
        return String::from_utf8_lossy(value).to_string();
    }
    let good = value == large(&value.len().to_string());
    format!("{} {}", value.len(), if good { "bytes" } else { "CORRUPT" })
}

/// Returns the use report and the value of `cost N V`.
pub(super) fn split_cost(v: &str) -> (String, &str) {
    let (cost, v) = v.split_once(' ').unwrap();
    (format!("used=37,cost={cost}"), v)
}

/// Waits for the delay of `after MS REPLY`, and returns the reply. Returns any other reply at once.
async fn after_delay(behavior: String) -> String {
    let Some((delay_ms, reply)) = behavior
        .strip_prefix("after ")
        .and_then(|rest| rest.split_once(' '))
    else {
        return behavior;
    };
    tokio::time::sleep(Duration::from_millis(delay_ms.parse().unwrap())).await;
    reply.to_string()
}

/// Returns the bytes of a reply, or those that a fault sends in its place.
fn resp_reply(behavior: &str) -> String {
    match behavior.split_once(' ').unwrap_or((behavior, "")) {
        ("value" | "last" | "late_duplicate", v) => {
            format!("*3\r\n${}\r\n{v}\r\n$-1\r\n$-1\r\n", v.len())
        }
        ("cost", v) => {
            let (statistics, v) = split_cost(v);
            format!(
                "*3\r\n${}\r\n{v}\r\n${}\r\n{statistics}\r\n$-1\r\n",
                v.len(),
                statistics.len()
            )
        }
        ("busy" | "refuse", _) => "-BUSY\r\n".to_string(),
        ("error", _) => "-ERR failed\r\n".to_string(),
        ("half" | "hang", _) => "*3\r\n$10\r\nabc".to_string(),
        ("twice", v) => format!("*3\r\n${0}\r\n{v}\r\n$-1\r\n$-1\r\n", v.len()).repeat(2),
        ("unknown_error", _) => "-what is this\r\n".to_string(),
        ("odd_fields", v) => format!("*3\r\n${}\r\n{v}\r\n+what\r\n$9\r\nlat_ms=no\r\n", v.len()),
        ("garbage", _) => "!what is this\r\n".to_string(),
        _ => String::new(),
    }
}

impl Shared {
    /// Reads more bytes into the buffer once the endpoints do not hang. Returns false at the end of the
    /// connection or on an error.
    async fn read_unless_hung(&self, stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
        let mut hung = self.hung.subscribe();
        loop {
            let _ = hung.wait_for(|hung| !hung).await;
            tokio::select! {
                biased;
                _ = hung.changed() => {}
                read = read_some(stream, buffer) => return read,
            }
        }
    }
}

/// Serves one RESP connection of an endpoint.
pub(super) async fn resp_endpoint(name: String, mut stream: TcpStream, shared: Shared) {
    // Without this, a duplicate would wait for the acknowledgement of the first answer.
    stream.set_nodelay(true).unwrap();
    let mut buffer = Vec::new();
    loop {
        let (id, used) = loop {
            if let Ok(Parsed::Complete(words, n)) = request_words(&buffer) {
                break (
                    words
                        .get(2)
                        .map(|id| String::from_utf8_lossy(id).to_string()),
                    n,
                );
            }
            if !shared.read_unless_hung(&mut stream, &mut buffer).await {
                return;
            }
        };
        buffer.drain(..used);
        let Some(id) = id else {
            // A health check.
            let _ = stream
                .write_all(format!("${}\r\n{LOAD_REPORT}\r\n", LOAD_REPORT.len()).as_bytes())
                .await;
            continue;
        };
        let Ok(behavior) = shared.attempt_arrived(&name, &id).await else {
            return;
        };
        let behavior = after_delay(behavior).await;
        if let Some(LargeValue {
            announced_size,
            chunks,
            ends_in_order,
        }) = large_value(&behavior)
        {
            let _ = stream
                .write_all(format!("*3\r\n${announced_size}\r\n").as_bytes())
                .await;
            for (pause, chunk) in chunks {
                tokio::time::sleep(pause).await;
                let _ = stream.write_all(&chunk).await;
            }
            tokio::time::sleep(CHUNK_PAUSE).await;
            if !ends_in_order {
                return;
            }
            let _ = stream.write_all(b"\r\n$-1\r\n$-1\r\n").await;
            continue;
        }
        let reply = resp_reply(&behavior);
        let answered_at = Instant::now();
        let _ = stream.write_all(reply.as_bytes()).await;
        if behavior.starts_with("late_duplicate") {
            tokio::time::sleep(DUPLICATE_DELAY).await;
            // On a busy machine the sleep may exceed the time for which duplicates are detected.
            if answered_at.elapsed() <= DUPLICATE_LIMIT {
                let _ = stream.write_all(reply.as_bytes()).await;
                shared
                    .duplicates_written
                    .set(shared.duplicates_written.get() + 1);
            }
        }
        if behavior == "tcp_reset" {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return;
        }
        if matches!(
            behavior.split(' ').next(),
            Some("half" | "reset" | "goaway" | "last")
        ) {
            return;
        }
    }
}

/// Sends GOAWAY with last stream id 0: no stream that the client opened was processed.
pub(super) async fn reject_by_goaway(mut stream: TcpStream) {
    let _ = stream.write_all(&[0, 0, 0, 4, 0, 0, 0, 0, 0]).await;
    let mut buffer = Vec::new();
    // After the 24 bytes of the preface: skips frames up to the headers of the first stream.
    let headers = |bytes: &[u8]| {
        let mut at = 24;
        while let Some([a, b, c, kind]) = bytes.get(at..at + 4) {
            if *kind == 1 {
                return true;
            }
            at += 9 + usize::from(*a) * 65536 + usize::from(*b) * 256 + usize::from(*c);
        }
        false
    };
    while !headers(&buffer) && read_some(&mut stream, &mut buffer).await {}
    let _ = stream
        .write_all(&[0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0])
        .await;
    tokio::time::sleep(Duration::from_millis(50)).await;
}

/// Serves one HTTP/2 connection of an endpoint.
pub(super) async fn http2_endpoint(name: String, stream: TcpStream, shared: Shared) {
    if *shared.reject_by_goaway.borrow() {
        return reject_by_goaway(stream).await;
    }
    let socket = socket2::SockRef::from(&stream).try_clone().unwrap();
    let mut hung = shared.hung.subscribe();
    let _ = hung.wait_for(|hung| !hung).await;
    let mut builder = h2::server::Builder::new();
    if let Some(max_streams) = shared.max_streams.get() {
        builder.max_concurrent_streams(max_streams);
    }
    let Ok(mut connection) = builder.handshake(stream).await else {
        return;
    };
    let goaway = Rc::new(tokio::sync::Notify::new());
    let tcp_reset = Rc::new(tokio::sync::Notify::new());
    loop {
        let is_hung = *hung.borrow_and_update();
        let next = tokio::select! {
            _ = hung.changed() => continue,
            next = connection.accept(), if !is_hung => next,
            () = tcp_reset.notified() => return socket.set_linger(Some(Duration::ZERO)).unwrap(),
            () = goaway.notified() => { connection.abrupt_shutdown(h2::Reason::NO_ERROR); continue }
        };
        let Some(Ok((request, respond))) = next else {
            return;
        };
        let stream = Http2Stream {
            name: name.clone(),
            shared: shared.clone(),
            goaway: goaway.clone(),
            tcp_reset: tcp_reset.clone(),
        };
        spawn_local(stream.serve(request, respond));
    }
}

/// One stream of an HTTP/2 endpoint.
struct Http2Stream {
    name: String,
    shared: Shared,
    /// Ends the connection with GOAWAY.
    goaway: Rc<tokio::sync::Notify>,
    /// Resets the TCP connection.
    tcp_reset: Rc<tokio::sync::Notify>,
}

/// Returns a response head with this status.
fn head(status: u16) -> http::response::Builder {
    http::Response::builder().status(status)
}

impl Http2Stream {
    async fn serve(
        self,
        request: http::Request<h2::RecvStream>,
        mut respond: h2::server::SendResponse<Bytes>,
    ) {
        let Some(id) = request
            .headers()
            .get("req-id")
            .map(|id| id.to_str().unwrap().to_string())
        else {
            // A health check.
            let load = http::Response::new(());
            let mut send = respond.send_response(load, false).unwrap();
            return send
                .send_data(Bytes::from_static(LOAD_REPORT.as_bytes()), true)
                .unwrap();
        };
        let mut body = request.into_body();
        while let Some(Ok(chunk)) = body.data().await {
            let _ = body.flow_control().release_capacity(chunk.len());
        }
        let behavior = tokio::select! {
            behavior = self.shared.attempt_arrived(&self.name, &id) => behavior,
            _ = poll_fn(|cx| respond.poll_reset(cx)) => return,
        };
        let Ok(behavior) = behavior else { return };
        let behavior = tokio::select! {
            behavior = after_delay(behavior) => behavior,
            _ = poll_fn(|cx| respond.poll_reset(cx)) => return,
        };
        match large_value(&behavior) {
            Some(large_value) => send_large_value(large_value, &behavior, respond).await,
            None => self.respond(&behavior, respond).await,
        }
    }

    async fn respond(&self, behavior: &str, mut respond: h2::server::SendResponse<Bytes>) {
        match behavior.split_once(' ').unwrap_or((behavior, "")) {
            (word @ ("value" | "cost"), v) => {
                let (mut head, mut v) = (head(200), v);
                if word == "cost" {
                    let (statistics, value) = split_cost(v);
                    (head, v) = (head.header("srv-use", statistics), value);
                }
                let mut send = respond
                    .send_response(head.body(()).unwrap(), false)
                    .unwrap();
                send.send_data(Bytes::copy_from_slice(v.as_bytes()), true)
                    .unwrap();
            }
            ("busy", _) => {
                let declined = head(503).header("srv-declined", "1").body(()).unwrap();
                respond.send_response(declined, true).unwrap();
            }
            ("error" | "garbage", _) => {
                respond
                    .send_response(head(500).body(()).unwrap(), true)
                    .unwrap();
            }
            ("half", _) => {
                let mut send = respond
                    .send_response(head(200).body(()).unwrap(), false)
                    .unwrap();
                send.send_data(Bytes::from_static(b"abc"), false).unwrap();
                tokio::time::sleep(Duration::from_millis(20)).await;
                send.send_reset(h2::Reason::INTERNAL_ERROR);
            }
            ("refuse", _) => respond.send_reset(h2::Reason::REFUSED_STREAM),
            ("hang", _) => {
                let mut send = respond
                    .send_response(head(200).body(()).unwrap(), false)
                    .unwrap();
                send.send_data(Bytes::from_static(b"abc"), false).unwrap();
                std::future::pending::<()>().await;
            }
            ("goaway", _) => {
                self.goaway.notify_one();
                std::future::pending::<()>().await;
            }
            ("tcp_reset", _) => {
                self.tcp_reset.notify_one();
                std::future::pending::<()>().await;
            }
            _ => respond.send_reset(h2::Reason::INTERNAL_ERROR),
        }
    }
}

/// Sends a large value in chunks, and ends or breaks it off as the reply says.
async fn send_large_value(
    large_value: LargeValue<'_>,
    behavior: &str,
    mut respond: h2::server::SendResponse<Bytes>,
) {
    let LargeValue {
        announced_size,
        chunks,
        ends_in_order,
    } = large_value;
    let head = head(200)
        .header("content-length", announced_size)
        .body(())
        .unwrap();
    let mut send = respond.send_response(head, false).unwrap();
    for (pause, chunk) in chunks {
        tokio::time::sleep(pause).await;
        if !send_body(&mut send, chunk.into(), false).await {
            return;
        }
    }
    tokio::time::sleep(CHUNK_PAUSE).await;
    if !ends_in_order {
        return send.send_reset(h2::Reason::INTERNAL_ERROR);
    }
    if behavior.starts_with("short") {
        std::future::pending::<()>().await;
    }
    let _ = send.send_data(Bytes::new(), true);
}
