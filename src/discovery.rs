//! The long polls that follow the name table at its agent. It owns the one connection to the agent, the version
//! held and the back-off. It must never leave more than 200 ms between an answer and the next poll, or give up
//! the last list for an answer that makes no sense.

use crate::api::{HostState, ListKind};
use crate::hub::Hub;
use crate::ring::Ring;
use crate::wire::{http_answer, HttpAnswer, Parsed};
use serde_json::Value;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long one poll may wait for news, ms.
const POLL_MS: u64 = 20_000;
/// An answer later than the poll's own wait by this much will not come.
const GRACE: Duration = Duration::from_secs(3);
/// Back-off after a failed poll: first, most.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));

/// One connection to the agent.
struct Poll {
    stream: TcpStream,
    ring: Ring,
}

async fn call(poll: &mut Poll, path: &str, host: SocketAddr) -> std::io::Result<HttpAnswer> {
    use std::io::{Error, ErrorKind};
    let request = format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n");
    let mut rest = request.as_bytes();
    while !rest.is_empty() {
        poll.stream.writable().await?;
        match poll.stream.try_write(rest) {
            Ok(n) => rest = &rest[n..],
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    loop {
        match http_answer(poll.ring.whole()) {
            Ok(Parsed::Whole(answer, n)) => {
                poll.ring.consume(n);
                return Ok(answer);
            }
            Ok(Parsed::More(_)) => {}
            Err(e) => return Err(Error::new(ErrorKind::InvalidData, e)),
        }
        poll.stream.readable().await?;
        let spare = poll.ring.spare().map_err(|e| Error::new(ErrorKind::InvalidData, e))?;
        match poll.stream.try_read(spare) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(n) => poll.ring.filled(n),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
}

/// Follows the agent for as long as the program runs.
pub async fn follow(hub: Rc<Hub>, agent: SocketAddr) {
    let (mut version, mut back_off, mut poll): (Option<u64>, Duration, Option<Poll>) =
        (None, BACK_OFF.0, None);
    let mut complained = false;
    loop {
        let result = step(&mut poll, agent, version).await;
        match result.and_then(|answer| take(&hub, &answer)) {
            Ok(news) => {
                version = Some(news);
                back_off = BACK_OFF.0;
                complained = false;
            }
            Err(problem) => {
                if !complained {
                    tracing::warn!(%agent, problem, "discovery; the last list stays");
                }
                complained = true;
                poll = None;
                tokio::time::sleep(back_off).await;
                back_off = (back_off * 2).min(BACK_OFF.1);
            }
        }
    }
}

/// One poll: the whole list first, then what comes after the version held.
async fn step(
    poll: &mut Option<Poll>,
    agent: SocketAddr,
    version: Option<u64>,
) -> Result<HttpAnswer, String> {
    if poll.is_none() {
        let dial = timeout(Duration::from_secs(1), TcpStream::connect(agent)).await;
        let stream = dial.map_err(|_| "no connection".to_string())?.map_err(|e| e.to_string())?;
        let _ = stream.set_nodelay(true);
        *poll = Some(Poll { stream, ring: Ring::new(8 * 1024 * 1024) });
    }
    let Some(connection) = poll.as_mut() else { return Err("no connection".into()) };
    let (path, wait) = match version {
        None => ("/api/targets".to_string(), GRACE),
        Some(v) => (format!("/api/targets?index={v}&wait={POLL_MS}"), Duration::from_millis(POLL_MS) + GRACE),
    };
    let answer = timeout(wait, call(connection, &path, agent)).await;
    let answer = answer.map_err(|_| "no answer".to_string())?.map_err(|e| e.to_string())?;
    if answer.close {
        *poll = None;
    }
    Ok(answer)
}

fn take(hub: &Rc<Hub>, answer: &HttpAnswer) -> Result<u64, String> {
    if answer.status != 200 {
        return Err(format!("status {}", answer.status));
    }
    let value: Value = serde_json::from_slice(&answer.body).map_err(|e| e.to_string())?;
    let news = hub.table().take(&value).map_err(|e| e.to_string())?;
    let version = news.version;
    hub.discovery_answered();
    if news.kind == ListKind::Full || !news.entries.is_empty() {
        let (kind, entries) = (news.kind, news.entries);
        let ids =
            |gone: bool| entries.iter().filter(move |e| (e.state == HostState::Gone) == gone).map(|e| e.host);
        let (gone, named): (HashSet<_>, HashSet<_>) = (ids(true).collect(), ids(false).collect());
        hub.names(kind, entries);
        hub.table().forget(|id| gone.contains(&id) || kind == ListKind::Full && !named.contains(&id));
    }
    Ok(version)
}
