//! The handle through which the rest of the ingress reaches the group's thread.

use super::call::{CallResult, MembershipStatus, Request, View};
use driftgap_group::Proposal;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// Most requests that are queued for the group's thread.
const MAX_QUEUED_REQUESTS: usize = 256;
/// Longer than the group's thread takes for any answer. A thread that exceeds it has ended or
/// hangs.
const THREAD_TIMEOUT: Duration = Duration::from_millis(2600);
/// The answer when the thread has ended or hangs.
const NO_ANSWER: &str = "the group's part of this ingress does not answer";

/// Why there is no answer from the group's thread.
enum NoAnswer {
    /// The request could not be queued and is not carried out.
    NotQueued,
    /// The request was queued and may be carried out.
    NotAnswered,
}

/// Sends calls to the group and reads its published state.
#[derive(Clone)]
pub struct Group {
    requests: mpsc::Sender<Request>,
    view: watch::Receiver<View>,
}

impl Group {
    /// Returns a handle, and the receiver from which the group's thread takes requests.
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
            .map_err(|_| NoAnswer::NotQueued)?;
        match tokio::time::timeout(THREAD_TIMEOUT, receiver).await {
            Ok(Ok(answer)) => Ok(answer),
            _ => Err(NoAnswer::NotAnswered),
        }
    }

    /// Proposes a change to the group. Returns once it is committed, or after 2.6 s at the latest
    /// if the result is unknown.
    pub async fn propose(&self, proposal: Proposal) -> CallResult {
        let ended = self.request(|answer| Request::Proposal(proposal, answer));
        match ended.await {
            Ok(ended) => ended,
            Err(NoAnswer::NotAnswered) => CallResult::Unknown,
            Err(NoAnswer::NotQueued) => CallResult::Refused(NO_ANSWER.into()),
        }
    }

    /// Reads the group's state linearizably: it includes every change that was acknowledged to any
    /// caller.
    pub async fn read(&self) -> CallResult {
        let ended = self.request(Request::Read).await;
        ended.unwrap_or_else(|_| CallResult::Refused(NO_ANSWER.into()))
    }

    /// Returns the status of this ingress in the group.
    pub async fn membership_status(&self) -> MembershipStatus {
        let status = self.request(Request::MembershipStatus).await;
        status.unwrap_or_else(|_| MembershipStatus::Failed(NO_ANSWER.into()))
    }

    /// Transfers leadership to another member before the process ends.
    pub async fn leave(&self) {
        let _ = self.request(Request::Leave).await;
    }

    /// Returns a receiver for the group's state and its changes.
    pub fn view(&self) -> watch::Receiver<View> {
        self.view.clone()
    }
}
