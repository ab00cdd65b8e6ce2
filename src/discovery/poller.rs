//! Polls the discovery agent: one HTTP call at a time on a persistent connection. It owns the
//! connection, the request format and the time-outs, and never reuses a connection after a failed
//! call.

use super::poll_schedule::PollSchedule;
use crate::buffer::ring_buffer::{RingBuffer, RingBufferFull};
use crate::buffer::socket_io::{readable, uninterrupted, writable};
use crate::protocol::resp::{http_answer, http_answer_at_end, HttpAnswer, Malformed, Parsed};
use crate::runtime::clock::Clock;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at};

/// Longest answer, bytes. Bounds the memory that a faulty agent can make this process use.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Wait parameter of a poll that is to be answered at once, ms.
const IMMEDIATE_WAIT_MS: f64 = 1.0;

/// A poll without an answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum PollError {
    #[error("the connect timed out")]
    ConnectTimeout,
    #[error("no complete answer within the time limit")]
    AnswerTimeout,
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    #[error("the answer is not valid HTTP: {0}")]
    Malformed(#[from] Malformed),
    #[error("the answer exceeds {MAX_ANSWER_BYTES} bytes: {0}")]
    AnswerTooLong(#[from] RingBufferFull),
}

/// What a poll requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum PollRequest {
    /// The full list, answered at once.
    FullList,
    /// The changes after this version, answered at once.
    Changes { version: u64 },
    /// The changes after this version, answered as soon as there are any.
    Watch { version: u64 },
}

impl PollRequest {
    pub fn is_watch(self) -> bool {
        matches!(self, PollRequest::Watch { .. })
    }

    /// How long the agent may hold the call before it answers, ms.
    fn wait_ms(self, schedule: &PollSchedule) -> f64 {
        match self {
            PollRequest::FullList => 0.0,
            PollRequest::Changes { .. } => IMMEDIATE_WAIT_MS,
            PollRequest::Watch { .. } => schedule.watch_ms,
        }
    }

    /// Time limit of the answer on an established connection.
    fn answer_timeout(self, schedule: &PollSchedule) -> Duration {
        let beyond_wait_ms = if self.is_watch() {
            schedule.watch_grace_ms
        } else {
            schedule.answer_timeout_ms
        };
        duration(self.wait_ms(schedule) + beyond_wait_ms)
    }

    fn path(self, schedule: &PollSchedule) -> String {
        match self {
            PollRequest::FullList => "/api/targets".to_string(),
            PollRequest::Changes { version } | PollRequest::Watch { version } => {
                let wait = self.wait_ms(schedule) as u64;
                format!("/api/targets?index={version}&wait={wait}")
            }
        }
    }
}

/// Polls one agent.
pub(super) struct Poller {
    agent: SocketAddr,
    schedule: PollSchedule,
    connection: Option<Connection>,
}

impl Poller {
    pub fn new(agent: SocketAddr, schedule: PollSchedule) -> Poller {
        Poller {
            agent,
            schedule,
            connection: None,
        }
    }

    pub fn agent(&self) -> SocketAddr {
        self.agent
    }

    /// Closes the connection.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Makes one poll, with the time-outs of the schedule.
    ///
    /// # Errors
    /// The connect failed, no answer came in time, or the answer is malformed.
    pub async fn poll(&mut self, request: PollRequest) -> Result<HttpAnswer, PollError> {
        let answer_timeout = request.answer_timeout(&self.schedule);
        self.connect().await?;
        timeout(answer_timeout, self.exchange(request))
            .await
            .unwrap_or(Err(PollError::AnswerTimeout))
    }

    /// Makes one poll that is abandoned when the clock shows `deadline`, ms, and not earlier.
    ///
    /// # Errors
    /// As for [`Poller::poll`].
    pub async fn poll_until(
        &mut self,
        request: PollRequest,
        clock: &Clock,
        deadline: f64,
    ) -> Result<HttpAnswer, PollError> {
        let poll = async {
            self.connect().await?;
            self.exchange(request).await
        };
        timeout_at(clock.instant(deadline).into(), poll)
            .await
            .unwrap_or(Err(PollError::AnswerTimeout))
    }

    async fn connect(&mut self) -> Result<(), PollError> {
        if self.connection.is_some() {
            return Ok(());
        }
        let connect_timeout = duration(self.schedule.connect_timeout_ms);
        let stream = timeout(connect_timeout, TcpStream::connect(self.agent))
            .await
            .map_err(|_| PollError::ConnectTimeout)??;
        let _ = stream.set_nodelay(true);
        self.connection = Some(Connection {
            stream,
            input: RingBuffer::new(MAX_ANSWER_BYTES),
        });
        Ok(())
    }

    /// Sends a request and reads its answer. The connection is kept only if the answer leaves it
    /// open.
    async fn exchange(&mut self, request: PollRequest) -> Result<HttpAnswer, PollError> {
        let mut connection = self.connection.take().ok_or(PollError::ConnectTimeout)?;
        let path = request.path(&self.schedule);
        connection.send(&path, self.agent).await?;
        let answer = connection.read_answer().await?;
        if !answer.close {
            self.connection = Some(connection);
        }
        Ok(answer)
    }
}

struct Connection {
    stream: TcpStream,
    input: RingBuffer,
}

impl Connection {
    async fn send(&mut self, path: &str, agent: SocketAddr) -> Result<(), PollError> {
        let request = format!("GET {path} HTTP/1.1\r\nHost: {agent}\r\n\r\n");
        let mut rest = request.as_bytes();
        while !rest.is_empty() {
            writable(&self.stream).await?;
            match uninterrupted(|| self.stream.try_write(rest)) {
                Ok(written) => rest = &rest[written..],
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Err(e.into()),
            }
        }
        Ok(())
    }

    /// Reads the next complete answer.
    async fn read_answer(&mut self) -> Result<HttpAnswer, PollError> {
        loop {
            if let Parsed::Complete(answer, length) = http_answer(self.input.contiguous())? {
                self.input.consume(length);
                return Ok(answer);
            }
            readable(&self.stream).await?;
            let free = self.input.free_slice()?;
            match uninterrupted(|| self.stream.try_read(free)) {
                Ok(0) => return self.answer_at_end(),
                Ok(read) => self.input.commit(read),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Err(e.into()),
            }
        }
    }

    /// Reads an answer without a length, which ends when the agent closes the connection; a reset
    /// does not end it.
    fn answer_at_end(&mut self) -> Result<HttpAnswer, PollError> {
        match http_answer_at_end(self.input.contiguous()) {
            Ok(Parsed::Complete(answer, _)) => Ok(answer),
            _ => Err(std::io::Error::from(ErrorKind::UnexpectedEof).into()),
        }
    }
}

fn duration(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1e3)
}
