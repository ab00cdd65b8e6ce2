//! Documents that the group stores: how startup waits for one, and how an accepted one is
//! submitted.

use super::call::CallResult;
use super::handle::Group;
use driftgap_group::{Document, DocumentKind, Outcome, Proposal, MAX_DOCUMENT};
use std::time::Duration;

/// How long startup waits for the group's answer if the local file is damaged or missing.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long startup then waits for the first version if the group holds none. Other members submit
/// theirs within [`SUBMIT_INTERVAL`] of being able to.
const FIRST_VERSION_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two reads while startup waits.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Pause before a document that the group did not commit is submitted again.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(500);

impl Group {
    /// Returns the last version of a document: the group's if it answers in time, else the local
    /// copy. If neither has one, waits for the first version. Nothing can be submitted
    /// before enough members vote, so a group that has just started answers reads before it holds
    /// any document.
    pub async fn document(&self, kind: DocumentKind) -> Option<Document> {
        let answered = tokio::time::timeout(ANSWER_TIMEOUT, self.until_read(READ_INTERVAL)).await;
        if answered.is_err() {
            tracing::warn!(
                ?kind,
                "the group does not answer: the local copy may be outdated"
            );
        }
        if let Some(known) = self.known_document(kind) {
            return Some(known);
        }
        tracing::info!(
            ?kind,
            "the group holds no version yet: waiting for the first one"
        );
        let first_version = self.until_first_version(kind);
        let first = tokio::time::timeout(FIRST_VERSION_TIMEOUT, first_version).await;
        if first.is_err() {
            tracing::warn!(
                ?kind,
                "no first version of the document arrived within the time limit"
            );
        }
        self.known_document(kind)
    }

    fn known_document(&self, kind: DocumentKind) -> Option<Document> {
        self.view().borrow().documents.get(&kind).cloned()
    }

    /// Returns once the group has answered a read.
    async fn until_read(&self, interval: Duration) {
        while !matches!(self.read().await, CallResult::Done(..)) {
            tokio::time::sleep(interval).await;
        }
    }

    /// Returns once this ingress has received a version of the document, or the group's thread has
    /// ended and none will arrive.
    async fn until_first_version(&self, kind: DocumentKind) {
        let _ = self
            .view()
            .wait_for(|view| view.documents.contains_key(&kind))
            .await;
    }

    /// Submits a document that was accepted here, until the group holds it or a later one. At
    /// startup (`at_start`) a version that the group already holds is kept, because an outdated
    /// file on one machine is not a new version.
    pub async fn submit_document(self, kind: DocumentKind, bytes: Vec<u8>, at_start: bool) {
        if bytes.len() > MAX_DOCUMENT {
            return tracing::warn!(
                ?kind,
                bytes = bytes.len(),
                "document is too large for the group: not submitted"
            );
        }
        // The group's current version must be known before this one is compared with it.
        self.until_read(SUBMIT_INTERVAL).await;
        loop {
            let present = self.known_document(kind);
            match &present {
                Some(present) if present.bytes == bytes => return,
                Some(present) if at_start => {
                    return tracing::warn!(
                        ?kind,
                        number = present.number,
                        "local file differs from the group's last accepted version: not submitted"
                    );
                }
                _ => {}
            }
            let number = present.map_or(0, |present| present.number);
            match self
                .propose(Proposal::Write(kind, number, bytes.clone()))
                .await
            {
                CallResult::Done(Outcome::Written(number), _) => {
                    return tracing::info!(?kind, number, "document stored by the group");
                }
                CallResult::Done(Outcome::Refused, _) => {
                    return tracing::warn!(
                        ?kind,
                        "the group refused the document: not submitted again"
                    );
                }
                _ => tokio::time::sleep(SUBMIT_INTERVAL).await,
            }
        }
    }
}
