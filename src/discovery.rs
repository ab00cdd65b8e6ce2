//! The long polls that follow the name table at its agent. It owns the one connection to the agent, the version
//! held and the back-off. It must never leave more than 200 ms between an answer and the next poll, or give up
//! the last list for an answer that makes no sense.

use crate::api::{HostState, ListKind};
use crate::hub::Hub;
use crate::ring::Ring;
use crate::wire::{http_answer, http_answer_at_end, HttpAnswer, Parsed};
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How often an ingress asks, and for how long it waits: all that bounds the age of its list, ms.
///
/// Where lists are pushed the agent is of this machine, answers at once and costs nothing, so asking is short and
/// often. Where they come on request discovery is one service for the whole fleet, takes its calls in turn, and also
/// works on those that have been given up: calls that come faster than it works keep it overbooked for good.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Pace {
    /// A watch waits so long for news.
    watch: f64,
    /// An answer to a watch that is later than its wait by this will not come.
    grace: f64,
    /// Nor one to a call that is answered at once, by then.
    answer: f64,
    /// A connection that is not up by then will not come up.
    dial: f64,
    /// The back-off after the first failure, and the longest; either is spread by half of it.
    back_off: (f64, f64),
    /// The first call of a process that holds a list comes within this.
    first: f64,
}

/// Pushed lists.
const PUSHED: Pace =
    Pace { watch: 2000.0, grace: 500.0, answer: 500.0, dial: 300.0, back_off: (20.0, 100.0), first: 0.0 };
/// On request: so long for what comes behind a watch's wait, for an answer and for a connection.
const GRACE_MS: f64 = 1000.0;
const ANSWER_MS: f64 = 2000.0;
const DIAL_MS: f64 = 500.0;
/// Ingresses up to which discovery is asked at once, and for each of them the first back-off, ms.
const FEW: f64 = 10.0;
const BACK_OFF: f64 = 10.0;
/// For each further one, ms: it leaves discovery this long for a call.
const EACH: f64 = 200.0;
/// Part of discovery's time that watches opened anew take, and the range of a watch's wait, ms.
const RENEWALS: f64 = 0.6;
const WATCH: (f64, f64) = (2000.0, 20_000.0);
/// The longest back-off lies within these, ms.
const LONGEST: (f64, f64) = (500.0, 10_000.0);
/// The first call waits no longer, ms: what is new counts as told 6 s after the start.
const FIRST: f64 = 4500.0;
/// A call that is to be answered at once waits this long for news, ms.
const AT_ONCE_MS: f64 = 1.0;

impl Pace {
    fn of(on_request: bool, gateways: u32) -> Pace {
        if !on_request {
            return PUSHED;
        }
        let all = f64::from(gateways.max(1));
        let first = BACK_OFF * all.min(FEW) + EACH / 2.0 * (all - FEW).max(0.0);
        Pace {
            watch: (EACH * all / RENEWALS).clamp(WATCH.0, WATCH.1),
            grace: GRACE_MS,
            answer: ANSWER_MS,
            dial: DIAL_MS,
            back_off: (first, (5.0 * first).clamp(LONGEST.0, LONGEST.1)),
            first: (EACH * (all - FEW)).clamp(0.0, FIRST),
        }
    }

    /// How long to wait after so many failures in a row, ms; `luck` from 0 to 1 spreads the ingresses over time.
    fn back_off(&self, fails: u32, luck: f64) -> f64 {
        let (first, longest) = self.back_off;
        (first * f64::from(1u32 << fails.min(16))).min(longest) * (0.5 + luck)
    }
}

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
            // Without a length the end is the end of the connection; a reset is none.
            Ok(0) => match http_answer_at_end(poll.ring.whole()) {
                Ok(Parsed::Whole(answer, _)) => return Ok(answer),
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
pub async fn follow(hub: Rc<Hub>, agent: SocketAddr, mut version: Option<u64>, seed: u64) {
    let settings = &hub.platform().module;
    let pace = Pace::of(settings.list_on_request, settings.gateways);
    let (mut fails, mut poll, mut dice) = (0, None, oorandom::Rand32::new(seed));
    let mut complained = false;
    if version.is_some() {
        sleep(pace.first * f64::from(dice.rand_float())).await;
    }
    loop {
        // Guards against an old list behind an agent that says nothing: as long as it has not answered, every call
        // is to be answered at once, so that silence is told from a want of news.
        let wait = if fails == 0 { pace.watch } else { AT_ONCE_MS };
        let result = step(&mut poll, agent, version, wait, &pace).await;
        match result.and_then(|answer| take(&hub, &answer)) {
            Ok(news) => {
                version = Some(news);
                fails = 0;
                complained = false;
            }
            Err(problem) => {
                // The last watch fell silent: each ingress sees so at the end of its own, so they come one by one.
                let silent = fails == 0 && version.is_some() && problem == SILENT;
                if !complained {
                    tracing::warn!(%agent, problem, "discovery; the last list stays");
                }
                complained = true;
                poll = None;
                if !silent {
                    sleep(pace.back_off(fails, f64::from(dice.rand_float()))).await;
                }
                fails += 1;
            }
        }
    }
}

/// A call that was not answered in time.
const SILENT: &str = "no answer";

fn span(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1e3)
}

async fn sleep(ms: f64) {
    tokio::time::sleep(span(ms)).await;
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
        let stream = dial.map_err(|_| "no connection".to_string())?.map_err(|e| e.to_string())?;
        let _ = stream.set_nodelay(true);
        *poll = Some(Poll { stream, ring: Ring::new(8 * 1024 * 1024) });
    }
    let Some(connection) = poll.as_mut() else { return Err("no connection".into()) };
    let (path, within) = match version {
        None => ("/api/targets".to_string(), pace.answer),
        Some(v) if wait > AT_ONCE_MS => (watch(v, wait), wait + pace.grace),
        Some(v) => (watch(v, wait), wait + pace.answer),
    };
    let answer = timeout(span(within), call(connection, &path, agent)).await;
    let answer = answer.map_err(|_| SILENT.to_string())?.map_err(|e| e.to_string())?;
    if answer.close {
        *poll = None;
    }
    Ok(answer)
}

/// Applies an answer of discovery's to the name table and the core; the version that is held from now on.
///
/// # Errors
/// The status is not 200, or the body is no list; what is held stays.
pub fn take(hub: &Rc<Hub>, answer: &HttpAnswer) -> Result<u64, String> {
    if answer.status != 200 {
        return Err(format!("status {}", answer.status));
    }
    let value: Value = serde_json::from_slice(&answer.body).map_err(|e| e.to_string())?;
    let news = hub.table().take(&value).map_err(|e| e.to_string())?;
    let version = news.version;
    hub.discovery_answered();
    if news.kind == ListKind::Full || !news.entries.is_empty() {
        let (kind, entries) = (news.kind, news.entries);
        // One answer may say several things of an instance: the last one counts, as for the core.
        let last: HashMap<_, _> = entries.iter().map(|e| (e.host, e.state == HostState::Gone)).collect();
        hub.names(kind, entries);
        hub.table().forget(|id| last.get(&id).copied().unwrap_or(kind == ListKind::Full));
    }
    Ok(version)
}

#[cfg(test)]
mod tests;
