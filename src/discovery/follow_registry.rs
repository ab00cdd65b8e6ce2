//! The loop that polls discovery. The result of each poll determines the next request and its time.
//! The loop holds the version of the current list and the number of failures in a row.
//!
//! The next poll follows an answer within 200 ms, and an invalid answer never discards the last
//! list.

use super::apply::{apply_answer, AnswerError};
use super::poll_schedule::{Failures, PollSchedule};
use super::poller::{PollError, PollRequest, Poller};
use crate::runtime::dispatcher::Dispatcher;
use std::net::SocketAddr;
use std::rc::Rc;

/// A failed poll.
#[derive(Debug, thiserror::Error)]
enum FollowError {
    #[error("{0}")]
    Poll(#[from] PollError),
    #[error("{0}")]
    Answer(#[from] AnswerError),
}

/// Polls the discovery agent until the program ends.
///
/// `version` is the version of the list that this process already holds, if any; only later changes
/// are then requested. If all ingresses of a fleet requested the full list at their start, they
/// would overload discovery.
pub async fn follow_registry(
    dispatcher: Rc<Dispatcher>,
    agent: SocketAddr,
    version: Option<u64>,
    seed: u64,
) {
    let settings = &dispatcher.platform().decision;
    let schedule = PollSchedule::new(
        settings.endpoint_list_is_polled,
        settings.ingresses,
        settings.ingress_index,
    );
    let mut follower = Follower {
        dispatcher: &dispatcher,
        schedule,
        poller: Poller::new(agent, schedule),
        random: oorandom::Rand32::new(seed),
        version,
        failures: Failures::default(),
        failure_logged: false,
    };
    if follower.version.is_some() {
        follower.sleep_until_first_poll().await;
    }
    loop {
        follower.poll().await;
    }
}

struct Follower<'a> {
    dispatcher: &'a Rc<Dispatcher>,
    schedule: PollSchedule,
    poller: Poller,
    /// Randomizes poll times, so that ingresses do not poll at the same moment.
    random: oorandom::Rand32,
    /// Version of the current list.
    version: Option<u64>,
    failures: Failures,
    /// Whether the first failure in a row is in the log; later ones are not logged.
    failure_logged: bool,
}

/// The state of one poll.
struct Poll {
    request: PollRequest,
    began_ms: f64,
    /// The time slot at which the poll is abandoned, if the fleet polls in time slots, ms.
    slot_ms: Option<f64>,
}

impl Follower<'_> {
    async fn sleep_until_first_poll(&mut self) {
        let now = self.dispatcher.now();
        let random = self.random();
        self.sleep_until(self.schedule.first_poll_at(now, random))
            .await;
    }

    /// Makes one poll, applies its answer, and waits until the next poll is due.
    async fn poll(&mut self) {
        let poll = self.next_poll();
        match self.poll_and_apply(&poll).await {
            Ok(version) => self.record_success(version),
            Err(error) => self.handle_failure(&poll, &error).await,
        }
    }

    fn next_poll(&self) -> Poll {
        let request = self.next_request();
        let began_ms = self.dispatcher.now();
        let slots = self.schedule.time_slots().filter(|_| !request.is_watch());
        let earliest_ms = began_ms + self.schedule.answer_timeout_ms;
        Poll {
            request,
            began_ms,
            slot_ms: slots.map(|slots| slots.next_slot_at(earliest_ms)),
        }
    }

    /// After a failure, requests immediate answers until the agent has answered once. An
    /// unresponsive agent would otherwise look like one without changes, and an outdated list would
    /// stay in force unnoticed.
    fn next_request(&self) -> PollRequest {
        match self.version {
            None => PollRequest::FullList,
            Some(version) if self.failures.count == 0 => PollRequest::Watch { version },
            Some(version) => PollRequest::Changes { version },
        }
    }

    async fn poll_and_apply(&mut self, poll: &Poll) -> Result<u64, FollowError> {
        let answer = match poll.slot_ms {
            Some(slot_ms) => {
                let clock = self.dispatcher.clock();
                self.poller.poll_until(poll.request, clock, slot_ms).await?
            }
            None => self.poller.poll(poll.request).await?,
        };
        Ok(apply_answer(self.dispatcher, &answer)?)
    }

    fn record_success(&mut self, version: u64) {
        self.version = Some(version);
        self.failures = Failures::default();
        self.failure_logged = false;
    }

    /// Counts the failure and waits until the retry is due.
    async fn handle_failure(&mut self, poll: &Poll, error: &FollowError) {
        if !self.failure_logged {
            let (agent, problem) = (self.poller.agent(), error.to_string());
            tracing::warn!(%agent, problem, "discovery poll failed and will be retried; the last endpoint list stays in force");
        }
        self.failure_logged = true;
        self.poller.disconnect();
        let now = self.dispatcher.now();
        let rejected = !poll.request.is_watch()
            && matches!(error, FollowError::Answer(AnswerError::Status(_)));
        self.failures.add(rejected.then_some(now - poll.began_ms));
        // A timed-out watch needs no pause: each ingress times out at the end of its own watch, so
        // retries are already spread.
        let watch_timed_out =
            poll.request.is_watch() && matches!(error, FollowError::Poll(PollError::AnswerTimeout));
        let slot_reached = !rejected && poll.slot_ms.is_some_and(|slot_ms| now >= slot_ms);
        if watch_timed_out || slot_reached {
            return;
        }
        let random = self.random();
        let retry_at = self.schedule.retry_at(now, self.failures, random);
        self.sleep_until(retry_at).await;
    }

    /// A random number from 0 to 1.
    fn random(&mut self) -> f64 {
        f64::from(self.random.rand_float())
    }

    /// Sleeps until the clock shows `ms`.
    async fn sleep_until(&self, ms: f64) {
        let instant = self.dispatcher.clock().instant(ms);
        tokio::time::sleep_until(instant.into()).await;
    }
}
