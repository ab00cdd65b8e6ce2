//! Simulated counter and discovery services.

use super::*;

/// The counter service: adds the amount of each call and answers with the total.
pub(super) async fn counter(mut stream: TcpStream, shared: Shared) {
    let mut buffer = Vec::new();
    loop {
        while let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).to_string();
            buffer.drain(..end + 4);
            let path = head.split(' ').nth(1).unwrap();
            let (name, query) = path
                .strip_prefix("/tally/")
                .unwrap()
                .split_once('?')
                .unwrap();
            let amount = query.split('&').find_map(|p| p.strip_prefix("n=")).unwrap();
            let first_counted = shared.first_counted.get().unwrap_or_else(Instant::now);
            shared.first_counted.set(Some(first_counted));
            let total = {
                let mut totals = shared.totals.borrow_mut();
                let total = totals.entry(name.to_string()).or_default();
                *total += amount.parse::<f64>().unwrap();
                total.to_string()
            };
            let mut answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{total}",
                total.len()
            );
            let behavior = shared.counter.borrow().clone();
            match behavior.as_str() {
                "silent" => continue,
                "close" => return,
                "late" => tokio::time::sleep(Duration::from_millis(200)).await,
                "full" => answer = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".into(),
                "garbage" => answer = "what?\r\n\r\n".into(),
                "no_number" => answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwhat".into(),
                "half" => answer = "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nwhat".into(),
                _ => answer.insert_str(0, "HTTP/1.1 103 Early Hints\r\n\r\n"),
            }
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
        if !read_some(&mut stream, &mut buffer).await {
            return;
        }
    }
}

/// The discovery service: answers with the full list, then with the changes since the version of
/// the caller as soon as there are any.
pub(super) async fn discovery(
    mut stream: TcpStream,
    mut changes: watch::Receiver<Vec<String>>,
    shared: Shared,
) {
    let mut buffer = Vec::new();
    loop {
        while !buffer.windows(4).any(|w| w == b"\r\n\r\n") {
            if !read_some(&mut stream, &mut buffer).await {
                return;
            }
        }
        let head = String::from_utf8_lossy(&buffer).to_string();
        buffer.clear();
        let query_number = |name: &str| {
            let value = head.split(name).nth(1)?;
            value.split(['&', ' ']).next()?.parse::<usize>().ok()
        };
        let caller_version = query_number("index=");
        let until = tokio::time::Instant::now()
            + Duration::from_millis(query_number("wait=").unwrap_or(0) as u64);
        while changes.borrow().len() <= caller_version.unwrap_or(0) {
            match tokio::time::timeout_at(until, changes.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return,
                Err(_) => break,
            }
        }
        let behavior = shared.discovery.borrow().clone();
        if behavior == "silent" {
            // As after a network partition: no answer, and the connection stays open.
            std::future::pending::<()>().await;
        }
        if behavior == "reset" {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return;
        }
        let (full, version, servers) = match caller_version {
            None => (true, 1, changes.borrow()[0].clone()),
            Some(caller_version) => (
                false,
                changes.borrow().len(),
                changes.borrow()[caller_version..].join(","),
            ),
        };
        let body = format!(r#"{{"version":{version},"full":{full},"servers":[{servers}]}}"#);
        let mut answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if behavior == "no_length" || behavior == "truncated" {
            let sent_length = if behavior == "truncated" {
                body.len() - 1
            } else {
                body.len()
            };
            let _ = stream
                .write_all(format!("HTTP/1.1 200 OK\r\n\r\n{}", &body[..sent_length]).as_bytes())
                .await;
            // A reset discards what the receiver has not read yet, so the body gets time to be
            // read.
            tokio::time::sleep(Duration::from_millis(30)).await;
            if behavior == "truncated" {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            return;
        }
        match behavior.as_str() {
            "garbage" => answer = "what?\r\n\r\n".into(),
            "indented" => {
                let endpoint_list: serde_json::Value = serde_json::from_str(&body).unwrap();
                let body = serde_json::to_string_pretty(&endpoint_list).unwrap();
                answer = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
            }
            "error" => answer = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".into(),
            "nonsense" => answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]".into(),
            _ => {}
        }
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}
