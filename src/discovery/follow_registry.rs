//! The loop that follows discovery: what to poll next, and when, by how the last poll ended. It owns the version held
//! and the failures in a row. It must never leave more than 200 ms between an answer and the next poll, or give up
//! the last list for an answer that makes no sense.

use super::apply::{apply_answer, AnswerError};
use super::poll_schedule::{Failures, PollSchedule};
use super::poller::{PollError, PollRequest, Poller};
use crate::runtime::dispatcher::Dispatcher;
use std::net::SocketAddr;
use std::rc::Rc;

/// A poll that brought no list.
#[derive(Debug, thiserror::Error)]
enum FollowError {
    #[error("{0}")]
    Poll(#[from] PollError),
    #[error("{0}")]
    Answer(#[from] AnswerError),
}

/// Follows the agent for as long as the program runs.
///
/// `version` is that of the list held, if there is one: only what came after it is asked for. The whole list, by
/// all ingresses of a fleet at their start, is what an overloaded discovery can bear least.
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
    /// Spreads the polls of ingresses that would else make them together.
    random: oorandom::Rand32,
    /// Of the list held.
    version: Option<u64>,
    failures: Failures,
    /// The first failure in a row is in the log; the others would say the same.
    failure_logged: bool,
}

/// One poll, as it was made.
struct Poll {
    request: PollRequest,
    began_ms: f64,
    /// The time slot in which it is given up, if its fleet polls in slots, ms.
    slot_ms: Option<f64>,
}

impl Follower<'_> {
    async fn sleep_until_first_poll(&mut self) {
        let now = self.dispatcher.now();
        let random = self.random();
        self.sleep_until(self.schedule.first_poll_at(now, random))
            .await;
    }

    /// Makes one poll, applies what it brings, and waits until the next one is due.
    async fn poll(&mut self) {
        let poll = self.next_poll();
        match self.poll_and_apply(&poll).await {
            Ok(version) => self.succeeded(version),
            Err(error) => self.failed(&poll, &error).await,
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

    /// Guards against an old list behind an agent that says nothing: as long as it has not answered, every poll is to
    /// be answered at once, so that its silence is not taken for a want of changes.
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

    fn succeeded(&mut self, version: u64) {
        self.version = Some(version);
        self.failures = Failures::default();
        self.failure_logged = false;
    }

    /// Notes the failure and waits until the poll is made anew.
    async fn failed(&mut self, poll: &Poll, error: &FollowError) {
        if !self.failure_logged {
            let (agent, problem) = (self.poller.agent(), error.to_string());
            tracing::warn!(%agent, problem, "discovery; the last list stays");
        }
        self.failure_logged = true;
        self.poller.disconnect();
        let now = self.dispatcher.now();
        let rejected = !poll.request.is_watch()
            && matches!(error, FollowError::Answer(AnswerError::Status(_)));
        self.failures.add(rejected.then_some(now - poll.began_ms));
        // A watch that fell silent needs no pause: each ingress sees so at the end of its own, so they come one by one.
        let watch_fell_silent =
            poll.request.is_watch() && matches!(error, FollowError::Poll(PollError::AnswerTimeout));
        let slot_has_come = !rejected && poll.slot_ms.is_some_and(|slot_ms| now >= slot_ms);
        if watch_fell_silent || slot_has_come {
            return;
        }
        let random = self.random();
        let retry_at = self.schedule.retry_at(now, self.failures, random);
        self.sleep_until(retry_at).await;
    }

    /// From 0 to 1.
    fn random(&mut self) -> f64 {
        f64::from(self.random.rand_float())
    }

    /// Sleeps until the clock shows this, ms.
    async fn sleep_until(&self, ms: f64) {
        let instant = self.dispatcher.clock().instant(ms);
        tokio::time::sleep_until(instant.into()).await;
    }
}
