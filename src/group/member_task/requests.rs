//! Handles requests from the rest of the ingress to a member.

use super::{MemberTask, Participation, WaitingCall};
use crate::group::call::{CallResult, MembershipStatus, Request};
use driftgap_group::{Member, Proposal, ProposalRejected};
use std::time::Instant;
use tokio::sync::oneshot;

/// Why there is no member that could handle a request.
enum NoMember {
    NotAdmitted,
    Failed(String),
}

impl NoMember {
    fn status(self) -> MembershipStatus {
        match self {
            NoMember::NotAdmitted => MembershipStatus::Joining,
            NoMember::Failed(why) => MembershipStatus::Failed(why),
        }
    }

    fn refusal(self) -> CallResult {
        CallResult::Refused(match self {
            NoMember::NotAdmitted => "this ingress has not been let into the group yet".into(),
            NoMember::Failed(why) => why,
        })
    }
}

impl MemberTask {
    fn active_member(&mut self) -> Result<&mut Member, NoMember> {
        match &mut self.participation {
            Participation::Active(peer) => peer.member_mut().ok_or(NoMember::NotAdmitted),
            Participation::Failed(why) => Err(NoMember::Failed(why.clone())),
        }
    }

    pub(super) fn answer(&mut self, request: Request) {
        let now_ms = self.clock.now_ms();
        match request {
            Request::MembershipStatus(answer) => {
                let status = match self.active_member() {
                    Ok(member) => MembershipStatus::Member(Box::new(member.status(now_ms))),
                    Err(no_member) => no_member.status(),
                };
                let _ = answer.send(status);
            }
            Request::Leave(answer) => {
                if let Ok(member) = self.active_member() {
                    member.step_down();
                }
                let _ = answer.send(());
            }
            Request::Proposal(proposal, answer) => {
                self.begin_call(answer, |member| match proposal {
                    Proposal::Invite { .. } | Proposal::Remove(_) => {
                        member.propose_membership(now_ms, proposal)
                    }
                    proposal => member.propose(now_ms, proposal),
                });
            }
            Request::Read(answer) => self.begin_call(answer, |member| member.read(now_ms)),
        }
    }

    /// Starts a call at the member. Its answer is sent on the member's event with the call's
    /// number.
    fn begin_call(
        &mut self,
        answer: oneshot::Sender<CallResult>,
        begin: impl FnOnce(&mut Member) -> Result<u64, ProposalRejected>,
    ) {
        let begun = match self.active_member() {
            Ok(member) => begin(member).map_err(|refusal| CallResult::Refused(refusal.to_string())),
            Err(no_member) => Err(no_member.refusal()),
        };
        match begun {
            Ok(number) => {
                let began = Instant::now();
                let call = WaitingCall { answer, began };
                self.waiting_calls.insert(number, call);
            }
            Err(ended) => {
                let _ = answer.send(ended);
            }
        }
    }
}
