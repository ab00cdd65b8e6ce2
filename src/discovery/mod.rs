//! The long polls that follow the endpoint registry at its agent. It owns the one connection to the agent and the version
//! held; `pace` says when it calls. It must never leave more than 200 ms between an answer and the next poll, or
//! give up the last list for an answer that makes no sense.

pub mod inventory;
mod poll_schedule;
pub mod registry;

use crate::buffer::ring_buffer::RingBuffer;
use crate::decision::{EndpointState, ListKind};
use crate::protocol::resp::{http_answer, http_answer_at_end, HttpAnswer, Parsed};
use crate::runtime::clock::Clock;
use crate::runtime::dispatcher::Dispatcher;
use poll_schedule::{Failures, Pace};
use serde_json::Value;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at};

/// A call that is to be answered at once waits this long for news, ms.
const AT_ONCE_MS: f64 = 1.0;

/// One connection to the agent.
struct Poll {
    stream: TcpStream,
    ring: RingBuffer,
}

async fn call(poll: &mut Poll, path: &str, endpoint: SocketAddr) -> std::io::Result<HttpAnswer> {
    use std::io::{Error, ErrorKind};
    let request = format!("GET {path} HTTP/1.1\r\nHost: {endpoint}\r\n\r\n");
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
            Ok(Parsed::Complete(answer, n)) => {
                poll.ring.consume(n);
                return Ok(answer);
            }
            Ok(Parsed::More(_)) => {}
            Err(e) => return Err(Error::new(ErrorKind::InvalidData, e)),
        }
        poll.stream.readable().await?;
        let spare = poll
            .ring
            .spare()
            .map_err(|e| Error::new(ErrorKind::InvalidData, e))?;
        match poll.stream.try_read(spare) {
            // Without a length the end is the end of the connection; a reset is none.
            Ok(0) => match http_answer_at_end(poll.ring.whole()) {
                Ok(Parsed::Complete(answer, _)) => return Ok(answer),
                _ => return Err(ErrorKind::UnexpectedEof.into()),
            },
            Ok(n) => poll.ring.filled(n),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
}

/// Follows the agent for as long as the program runs.
///
/// `version` is that of the list held, if there is one: only what came after it is asked for. The whole list, by
/// all ingresses of a fleet at their start, is what an overbooked discovery can bear least.
pub async fn follow(
    dispatcher: Rc<Dispatcher>,
    agent: SocketAddr,
    mut version: Option<u64>,
    seed: u64,
) {
    let settings = &dispatcher.platform().decision;
    let pace = Pace::of(
        settings.list_on_request,
        settings.ingresses,
        settings.position,
    );
    let (mut failures, mut poll, mut dice) =
        (Failures::default(), None, oorandom::Rand32::new(seed));
    let mut complained = false;
    if version.is_some() {
        let first = pace.first_call(dispatcher.now(), f64::from(dice.rand_float()));
        sleep_until(dispatcher.clock(), first).await;
    }
    loop {
        // Guards against an old list behind an agent that says nothing: as long as it has not answered, every call
        // is to be answered at once, so that silence is told from a want of news.
        let watches = failures.count == 0 && version.is_some();
        let wait = if watches { pace.watch } else { AT_ONCE_MS };
        let began = dispatcher.now();
        let turn = pace
            .turns()
            .filter(|_| !watches)
            .map(|turns| turns.next(began + pace.answer));
        let result = step(&mut poll, agent, version, wait, &pace);
        let result = match turn {
            Some(turn) => until(dispatcher.clock(), turn, result).await,
            None => result.await,
        };
        let refused = !watches && result.as_ref().is_ok_and(|answer| answer.status != OK);
        match result.and_then(|answer| take(&dispatcher, &answer)) {
            Ok(update) => {
                version = Some(update);
                failures = Failures::default();
                complained = false;
            }
            Err(problem) => {
                // The last watch fell silent: each ingress sees so at the end of its own, so they come one by one.
                let silent = watches && problem == SILENT;
                if !complained {
                    tracing::warn!(%agent, problem, "discovery; the last list stays");
                }
                complained = true;
                poll = None;
                let now = dispatcher.now();
                failures.add(refused.then_some(now - began));
                let turn_has_come = !refused && turn.is_some_and(|turn| now >= turn);
                if !silent && !turn_has_come {
                    let again = pace.again(now, failures, f64::from(dice.rand_float()));
                    sleep_until(dispatcher.clock(), again).await;
                }
            }
        }
    }
}

/// The status of an answer that brings a list.
const OK: u16 = 200;
/// A call that was not answered in time.
const SILENT: &str = "no answer";

fn span(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1e3)
}

/// Sleeps until the clock shows this.
async fn sleep_until(clock: &Clock, ms: f64) {
    tokio::time::sleep_until(clock.instant(ms).into()).await;
}

/// The result of a call that is given up when the clock shows this.
async fn until(
    clock: &Clock,
    ms: f64,
    call: impl Future<Output = Result<HttpAnswer, String>>,
) -> Result<HttpAnswer, String> {
    let result = timeout_at(clock.instant(ms).into(), call).await;
    result.unwrap_or_else(|_| Err(SILENT.to_string()))
}

fn watch(version: u64, wait: f64) -> String {
    format!("/api/targets?index={version}&wait={}", wait as u64)
}

/// One call: the whole list first, then what comes after the version held, by a call that waits so long for it, ms.
async fn step(
    poll: &mut Option<Poll>,
    agent: SocketAddr,
    version: Option<u64>,
    wait: f64,
    pace: &Pace,
) -> Result<HttpAnswer, String> {
    if poll.is_none() {
        let dial = timeout(span(pace.dial), TcpStream::connect(agent)).await;
        let stream = dial
            .map_err(|_| "no connection".to_string())?
            .map_err(|e| e.to_string())?;
        let _ = stream.set_nodelay(true);
        *poll = Some(Poll {
            stream,
            ring: RingBuffer::new(8 * 1024 * 1024),
        });
    }
    let Some(connection) = poll.as_mut() else {
        return Err("no connection".into());
    };
    let path = match version {
        None => "/api/targets".to_string(),
        Some(v) => watch(v, wait),
    };
    let within = match version {
        Some(_) if wait > AT_ONCE_MS => Some(wait + pace.grace),
        // In turns the call lasts until the next one, and its caller gives it up then.
        _ if pace.turns().is_some() => None,
        Some(_) => Some(wait + pace.answer),
        None => Some(pace.answer),
    };
    let answer = call(connection, &path, agent);
    let answer = match within {
        Some(within) => timeout(span(within), answer)
            .await
            .map_err(|_| SILENT.to_string())?,
        None => answer.await,
    };
    let answer = answer.map_err(|e| e.to_string())?;
    if answer.close {
        *poll = None;
    }
    Ok(answer)
}

/// Applies an answer of discovery's to the endpoint registry and the core; the version that is held from now on.
///
/// # Errors
/// The status is not 200, or the body is no list; what is held stays.
pub fn take(dispatcher: &Rc<Dispatcher>, answer: &HttpAnswer) -> Result<u64, String> {
    if answer.status != OK {
        return Err(format!("status {}", answer.status));
    }
    let value: Value = serde_json::from_slice(&answer.body).map_err(|e| e.to_string())?;
    let update = dispatcher.table().take(&value).map_err(|e| e.to_string())?;
    let version = update.version;
    dispatcher.mark_discovery_answered();
    if update.kind == ListKind::Full || !update.entries.is_empty() {
        let (kind, entries) = (update.kind, update.entries);
        // One answer may say several things of an endpoint: the last one counts, as for the core.
        let last: HashMap<_, _> = entries
            .iter()
            .map(|e| (e.id, e.state == EndpointState::Gone))
            .collect();
        dispatcher.update_endpoints(kind, entries);
        dispatcher
            .table()
            .forget(|id| last.get(&id).copied().unwrap_or(kind == ListKind::Full));
    }
    Ok(version)
}

#[cfg(test)]
mod tests;
