//! Application of committed entries: proposals to the state, and configuration changes to the
//! voters.

use super::{Event, Member, MemberFailure};
use crate::log_replica::LogReplica;
use crate::state::{OpId, Outcome, Proposed};
use raft::eraftpb::{ConfChange, ConfChangeV2, ConfState, Entry, EntryType};
use raft::RawNode;

impl Member {
    /// Applies committed entries. Returns whether the configuration has changed.
    pub(super) fn apply(&mut self, entries: Vec<Entry>) -> bool {
        let mut reconfigured = false;
        for entry in entries {
            self.applied = entry.index;
            match entry.get_entry_type() {
                // A new leader begins its term with an empty entry.
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => {
                    if let Err(failure) = self.apply_proposal(&entry) {
                        self.failure = Some(failure);
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

    /// Applies a proposal to the state. An entry that cannot be decoded stops the member, because
    /// skipping it would make this member's state differ from that of members that can decode it.
    fn apply_proposal(&mut self, entry: &Entry) -> Result<(), MemberFailure> {
        let proposed: Proposed =
            postcard::from_bytes(&entry.data).map_err(|_| MemberFailure::UndecodableEntry)?;
        let outcome = self.state.apply(entry.index, &proposed);
        self.events.push(Event::Changed);
        self.report_outcome(proposed.op, outcome);
        Ok(())
    }

    /// Ends the calls that wait for this operation: one of this member, and one on behalf of a
    /// follower.
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

    /// Applies a configuration change. Returns false if it cannot be decoded.
    fn reconfigure<C: protobuf::Message>(
        &mut self,
        data: &[u8],
        apply: impl FnOnce(&mut RawNode<LogReplica>, &C) -> raft::Result<ConfState>,
    ) -> bool {
        let mut change = C::new();
        if change.merge_from_bytes(data).is_err() {
            return false;
        }
        // The library validated the change when it was proposed. A change that it rejects now has
        // no effect on any member.
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
        self.state.drop_unused_members(&in_use);
        self.conf = conf.clone();
        self.node.mut_store().conf = conf;
        self.events.push(Event::Changed);
    }
}
