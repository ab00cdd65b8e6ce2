//! The handle by which the rest of the ingress reaches the group's thread.

use super::call::{CallResult, MembershipStatus, Request, View};
use driftgap_group::Proposal;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// Most requests that wait for the group's thread.
const MAX_QUEUED_REQUESTS: usize = 256;
/// The group's thread answers by itself before this; if not, it has ended, or hangs.
const THREAD_TIMEOUT: Duration = Duration::from_millis(2600);
/// The answer for a thread that has ended, or hangs.
const NO_ANSWER: &str = "the group's part of this ingress does not answer";

/// Why the group's thread gave no answer.
enum NoAnswer {
    /// The request was not taken.
    NotAsked,
    /// The request was taken, and may be carried out.
    NotAnswered,
}

/// Calls at the group, and what it holds.
#[derive(Clone)]
pub struct Group {
    requests: mpsc::Sender<Request>,
    view: watch::Receiver<View>,
}

impl Group {
    /// A handle, and the end of it that the group's thread takes requests from.
    pub(super) fn new(view: watch::Receiver<View>) -> (Group, mpsc::Receiver<Request>) {
        let (requests, receiver) = mpsc::channel(MAX_QUEUED_REQUESTS);
        (Group { requests, view }, receiver)
    }

    async fn request<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<T>) -> Request,
    ) -> Result<T, NoAnswer> {
        let (sender, receiver) = oneshot::channel();
        self.requests
            .try_send(request(sender))
            .map_err(|_| NoAnswer::NotAsked)?;
        match tokio::time::timeout(THREAD_TIMEOUT, receiver).await {
            Ok(Ok(answer)) => Ok(answer),
            _ => Err(NoAnswer::NotAnswered),
        }
    }

    /// Proposes something to the group. Returns when it is committed, or will not be known to be in time (2.6 s).
    pub async fn propose(&self, proposal: Proposal) -> CallResult {
        let ended = self.request(|answer| Request::Proposal(proposal, answer));
        match ended.await {
            Ok(ended) => ended,
            Err(NoAnswer::NotAnswered) => CallResult::Unknown,
            Err(NoAnswer::NotAsked) => CallResult::Refused(NO_ANSWER.into()),
        }
    }

    /// A linearizable read of what the group holds: all that any caller was promised is in it.
    pub async fn read(&self) -> CallResult {
        let ended = self.request(Request::Read).await;
        ended.unwrap_or_else(|_| CallResult::Refused(NO_ANSWER.into()))
    }

    /// How the group's part of this ingress stands.
    pub async fn membership_status(&self) -> MembershipStatus {
        let status = self.request(Request::MembershipStatus).await;
        status.unwrap_or_else(|_| MembershipStatus::Failed(NO_ANSWER.into()))
    }

    /// Gives leadership away before the process ends.
    pub async fn leave(&self) {
        let _ = self.request(Request::Leave).await;
    }

    /// What the group holds, and when that changes.
    pub fn view(&self) -> watch::Receiver<View> {
        self.view.clone()
    }
}
