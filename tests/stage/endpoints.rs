//! Stand-ins for endpoints, over RESP and HTTP/2: each attempt waits for the scenario to say how it is answered.

use super::*;

/// Between the first and the second answer of `tardy`.
const SECOND_ANSWER_DELAY: Duration = Duration::from_millis(5);
/// From the beginning of the first answer on, a second one is written within this time or not at all: the program
/// promises to notice it for 10 ms, and 2 ms of those are left for it to arrive.
const SECOND_ANSWER_LIMIT: Duration = Duration::from_millis(8);

/// A large value: its bytes tell their places.
pub(super) fn large(n: &str) -> Vec<u8> {
    (0..n.parse::<u32>().unwrap())
        .map(|i| (i % 251) as u8)
        .collect()
}

/// A large value in the parts in which an endpoint sends it, with a pause behind each.
pub(super) struct Parts<'a> {
    /// The size that it promises.
    size: &'a str,
    parts: Vec<Vec<u8>>,
    /// That is all of it.
    whole: bool,
}

pub(super) fn parts(how: &str) -> Option<Parts<'_>> {
    let (how, size) = how.split_once(' ')?;
    if !["large", "truncated", "short", "pieces"].contains(&how) {
        return None;
    }
    let value = large(size);
    let half = value.len() / 2;
    let (parts, whole) = match how {
        "truncated" => (vec![value[..half].to_vec()], false),
        "short" => (vec![b"nine-long".to_vec()], true),
        "pieces" => (
            value.chunks(value.len() / 12).map(<[u8]>::to_vec).collect(),
            true,
        ),
        _ => (vec![value], true),
    };
    Some(Parts { size, parts, whole })
}

/// A value as the language names it: by length, and whether it is as an endpoint gave it, where it is large.
pub(super) fn describe_value(value: &[u8]) -> String {
    if value.len() < 1000 {
        return String::from_utf8_lossy(value).to_string();
    }
    let good = value == large(&value.len().to_string());
    format!("{} {}", value.len(), if good { "bytes" } else { "CORRUPT" })
}

/// The figures on use and the value of `cost N V`.
pub(super) fn split_cost(v: &str) -> (String, &str) {
    let (cost, v) = v.split_once(' ').unwrap();
    (format!("used=37,cost={cost}"), v)
}

/// The bytes of a reply, or what comes in its place.
fn resp_reply(how: &str) -> String {
    match how.split_once(' ').unwrap_or((how, "")) {
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

pub(super) async fn resp_endpoint(name: String, mut stream: TcpStream, shared: Shared) {
    // A second answer goes out when it is written, and not with the acknowledgement of the first.
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
            if !read_some(&mut stream, &mut buffer).await {
                return;
            }
        };
        buffer.drain(..used);
        let Some(id) = id else {
            // A probe.
            let _ = stream
                .write_all(format!("${}\r\n{LOAD}\r\n", LOAD.len()).as_bytes())
                .await;
            continue;
        };
        let Ok(how) = shared.arrive(&name, &id).await else {
            return;
        };
        if let Some(Parts { size, parts, whole }) = parts(&how) {
            let _ = stream
                .write_all(format!("*3\r\n${size}\r\n").as_bytes())
                .await;
            for part in parts {
                let _ = stream.write_all(&part).await;
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            if !whole {
                return;
            }
            let _ = stream.write_all(b"\r\n$-1\r\n$-1\r\n").await;
            continue;
        }
        let reply = resp_reply(&how);
        let answered_at = Instant::now();
        let _ = stream.write_all(reply.as_bytes()).await;
        if how.starts_with("late_duplicate") {
            tokio::time::sleep(SECOND_ANSWER_DELAY).await;
            // On a busy machine the sleep may end later than the program promises anything for.
            if answered_at.elapsed() <= SECOND_ANSWER_LIMIT {
                let _ = stream.write_all(reply.as_bytes()).await;
                shared.second_answers.set(shared.second_answers.get() + 1);
            }
        }
        if how == "tcp_reset" {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return;
        }
        if matches!(
            how.split(' ').next(),
            Some("half" | "reset" | "goaway" | "last")
        ) {
            return;
        }
    }
}

/// Sends GOAWAY with last stream id 0: the streams that were opened have not been seen.
pub(super) async fn unseen(mut stream: TcpStream) {
    let _ = stream.write_all(&[0, 0, 0, 4, 0, 0, 0, 0, 0]).await;
    let mut buffer = Vec::new();
    // Behind the preface: frames up to the headers of the first stream.
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

pub(super) async fn http2_endpoint(name: String, stream: TcpStream, shared: Shared) {
    if *shared.unseen.borrow() {
        return unseen(stream).await;
    }
    let socket = socket2::SockRef::from(&stream).try_clone().unwrap();
    let Ok(mut connection) = h2::server::handshake(stream).await else {
        return;
    };
    let abrupt = Rc::new(tokio::sync::Notify::new());
    let cut = Rc::new(tokio::sync::Notify::new());
    loop {
        let next = tokio::select! {
            next = connection.accept() => next,
            () = cut.notified() => return socket.set_linger(Some(Duration::ZERO)).unwrap(),
            () = abrupt.notified() => { connection.abrupt_shutdown(h2::Reason::NO_ERROR); continue }
        };
        let Some(Ok((request, respond))) = next else {
            return;
        };
        let stream = Http2Stream {
            name: name.clone(),
            shared: shared.clone(),
            abrupt: abrupt.clone(),
            cut: cut.clone(),
        };
        spawn_local(stream.serve(request, respond));
    }
}

/// One stream of an endpoint that speaks HTTP/2.
struct Http2Stream {
    name: String,
    shared: Shared,
    /// Ends the connection with GOAWAY.
    abrupt: Rc<tokio::sync::Notify>,
    /// Resets the connection itself.
    cut: Rc<tokio::sync::Notify>,
}

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
            // A probe.
            let load = http::Response::new(());
            let mut send = respond.send_response(load, false).unwrap();
            return send
                .send_data(Bytes::from_static(LOAD.as_bytes()), true)
                .unwrap();
        };
        let mut body = request.into_body();
        while let Some(Ok(part)) = body.data().await {
            let _ = body.flow_control().release_capacity(part.len());
        }
        let how = tokio::select! {
            how = self.shared.arrive(&self.name, &id) => how,
            _ = poll_fn(|cx| respond.poll_reset(cx)) => return,
        };
        let Ok(how) = how else { return };
        match parts(&how) {
            Some(parts) => send_parts(parts, &how, respond).await,
            None => self.respond(&how, respond).await,
        }
    }

    async fn respond(&self, how: &str, mut respond: h2::server::SendResponse<Bytes>) {
        match how.split_once(' ').unwrap_or((how, "")) {
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
                self.abrupt.notify_one();
                std::future::pending::<()>().await;
            }
            ("tcp_reset", _) => {
                self.cut.notify_one();
                std::future::pending::<()>().await;
            }
            _ => respond.send_reset(h2::Reason::INTERNAL_ERROR),
        }
    }
}

/// A large value, in pieces, as far as it is to come.
async fn send_parts(parts: Parts<'_>, how: &str, mut respond: h2::server::SendResponse<Bytes>) {
    let Parts { size, parts, whole } = parts;
    let head = head(200).header("content-length", size).body(()).unwrap();
    let mut send = respond.send_response(head, false).unwrap();
    for part in parts {
        if !send_body(&mut send, part.into(), false).await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    if !whole {
        return send.send_reset(h2::Reason::INTERNAL_ERROR);
    }
    if how.starts_with("short") {
        std::future::pending::<()>().await;
    }
    let _ = send.send_data(Bytes::new(), true);
}
