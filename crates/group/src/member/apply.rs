//! Carries out committed entries: proposals on the state, and changes of who votes.

use super::{Event, Member, MemberFailure};
use crate::log_replica::LogReplica;
use crate::state::{OpId, Outcome, Proposed};
use raft::eraftpb::{ConfChange, ConfChangeV2, ConfState, Entry, EntryType};
use raft::RawNode;

impl Member {
    /// Carries out committed entries; true: they have changed who votes.
    pub(super) fn apply(&mut self, entries: Vec<Entry>) -> bool {
        let mut reconfigured = false;
        for entry in entries {
            self.applied = entry.index;
            match entry.get_entry_type() {
                // A new leader's first entry.
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => {
                    if let Err(lost) = self.apply_proposal(&entry) {
                        self.lost = Some(lost);
                        break;
                    }
                }
                EntryType::EntryConfChange => {
                    reconfigured |= self.reconfigure(&entry.data, |node, c: &ConfChange| {
                        node.apply_conf_change(c)
                    });
                }
                EntryType::EntryConfChangeV2 => {
                    reconfigured |= self.reconfigure(&entry.data, |node, c: &ConfChangeV2| {
                        node.apply_conf_change(c)
                    });
                }
            }
        }
        reconfigured
    }

    /// An entry that cannot be read ends the member's vote: to pass it over would be to hold another state than those
    /// who can read it.
    fn apply_proposal(&mut self, entry: &Entry) -> Result<(), MemberFailure> {
        let proposed: Proposed =
            postcard::from_bytes(&entry.data).map_err(|_| MemberFailure::Unknown)?;
        let outcome = self.state.apply(entry.index, &proposed);
        self.events.push(Event::Changed);
        self.report_outcome(proposed.op, outcome);
        Ok(())
    }

    /// Ends the calls that waited for this operation: one of this member's own, and one on a follower's behalf.
    fn report_outcome(&mut self, op: OpId, outcome: Outcome) {
        let ours = op.origin == self.settings.origin;
        if ours && self.calls.remove(&op.number).is_some() {
            self.events.push(Event::Done(op.number, outcome));
        }
        let mut calls = self.calls.iter();
        let number = calls.find(|(_, call)| call.on_behalf_of == Some(op));
        if let Some(number) = number.map(|(number, _)| *number) {
            self.calls.remove(&number);
            self.events.push(Event::DoneFor(op, outcome));
        }
    }

    /// Carries out a change of who votes; true: it could be read.
    fn reconfigure<C: protobuf::Message>(
        &mut self,
        data: &[u8],
        apply: impl FnOnce(&mut RawNode<LogReplica>, &C) -> raft::Result<ConfState>,
    ) -> bool {
        let mut change = C::new();
        if change.merge_from_bytes(data).is_err() {
            return false;
        }
        // The library judged it when it was proposed: one that it refuses now changes nothing on any member.
        if let Ok(conf) = apply(&mut self.node, &change) {
            self.set_configuration(conf);
        }
        true
    }

    fn set_configuration(&mut self, conf: ConfState) {
        let in_use = [
            &conf.voters,
            &conf.learners,
            &conf.voters_outgoing,
            &conf.learners_next,
        ];
        let in_use: Vec<u64> = in_use.into_iter().flatten().copied().collect();
        self.state.forget(&in_use);
        self.conf = conf.clone();
        self.node.mut_store().conf = conf;
        self.events.push(Event::Changed);
    }
}
