//! Documents that the group stores: how a start waits for one, and how an accepted one is submitted.

use super::call::CallResult;
use super::handle::Group;
use driftgap_group::{Document, DocumentKind, Outcome, Proposal, MAX_DOCUMENT};
use std::time::Duration;

/// A start whose file is torn or missing waits for the group's answer so long.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Then, where no version of that file is known, it waits for the first one so long: others submit theirs within
/// [`SUBMIT_INTERVAL`] of when they can.
const FIRST_VERSION_TIMEOUT: Duration = Duration::from_secs(5);
/// Between two reads while a start waits.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// What the group did not take is submitted again after this.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(500);

impl Group {
    /// The last version of a document: by the group, if it answers in time, else the one that is known here. Where
    /// neither has one, the first is waited for: nothing can be submitted before enough members vote, so a group that
    /// has just come up answers before it has any.
    pub async fn document(&self, kind: DocumentKind) -> Option<Document> {
        let answered = tokio::time::timeout(ANSWER_TIMEOUT, self.until_read(READ_INTERVAL)).await;
        if answered.is_err() {
            tracing::warn!(
                ?kind,
                "the group cannot be asked: what is known here may be old"
            );
        }
        if let Some(known) = self.known_document(kind) {
            return Some(known);
        }
        tracing::info!(?kind, "the group holds no version yet: waits for the first");
        let first_version = self.until_first_version(kind);
        let first = tokio::time::timeout(FIRST_VERSION_TIMEOUT, first_version).await;
        if first.is_err() {
            tracing::warn!(?kind, "the group has been given no version in time");
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

    /// Returns once a version of the document is known here, or never will be: the group's part has ended.
    async fn until_first_version(&self, kind: DocumentKind) {
        let _ = self
            .view()
            .wait_for(|view| view.documents.contains_key(&kind))
            .await;
    }

    /// Submits what was accepted here, until the group has it or a later one. At a start (`at_start`) the group's own is
    /// left as it is: a file that was forgotten on one machine is no new version.
    pub async fn submit_document(self, kind: DocumentKind, bytes: Vec<u8>, at_start: bool) {
        if bytes.len() > MAX_DOCUMENT {
            return tracing::warn!(
                ?kind,
                bytes = bytes.len(),
                "too large to be stored by the group"
            );
        }
        // What the group holds has to be known before anything is compared with it.
        self.until_read(SUBMIT_INTERVAL).await;
        loop {
            let present = self.known_document(kind);
            match &present {
                Some(present) if present.bytes == bytes => return,
                Some(present) if at_start => {
                    return tracing::warn!(
                        ?kind,
                        number = present.number,
                        "differs from the group's last accepted"
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
                    return tracing::info!(?kind, number, "stored by the group");
                }
                CallResult::Done(Outcome::Refused, _) => {
                    return tracing::warn!(?kind, "refused by the group");
                }
                _ => tokio::time::sleep(SUBMIT_INTERVAL).await,
            }
        }
    }
}
