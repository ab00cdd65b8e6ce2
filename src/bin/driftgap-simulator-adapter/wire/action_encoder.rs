//! Encodes actions as records of a reply.

use driftgap::decision::Action;

/// The codes of actions on the wire.
mod code {
    pub(super) const SEND: u8 = 1;
    pub(super) const REJECT: u8 = 2;
    pub(super) const FAIL: u8 = 3;
    pub(super) const CANCEL: u8 = 4;
    pub(super) const TIMER: u8 = 5;
    pub(super) const PROBE: u8 = 6;
    pub(super) const FOLLOW_ENDPOINT_LIST: u8 = 11;
    pub(super) const ADD_TO_COUNTER: u8 = 13;
}

/// Value of the record's flag: the endpoint list is to be followed.
const FOLLOW: u8 = 1;

/// Appends one action of an ingress to a reply.
pub fn encode_action(ingress: u16, action: &Action, out: &mut Vec<u8>) {
    out.push(action_code(action));
    out.extend(ingress.to_be_bytes());
    match *action {
        Action::Send {
            id,
            endpoint,
            timeout,
        } => {
            out.extend(id.to_be_bytes());
            out.extend(endpoint.to_be_bytes());
            out.extend(timeout.to_be_bytes());
        }
        Action::Reject { id, retry_after } => {
            out.extend(id.to_be_bytes());
            out.extend(retry_after.to_be_bytes());
        }
        Action::Fail { id } => out.extend(id.to_be_bytes()),
        Action::Cancel { id, attempt } => {
            out.extend(id.to_be_bytes());
            out.extend((attempt as u16).to_be_bytes());
        }
        Action::Timer { after, token } => {
            out.extend(after.to_be_bytes());
            out.extend(token.to_be_bytes());
        }
        Action::Probe { endpoint } => out.extend(endpoint.to_be_bytes()),
        Action::FollowEndpointList => out.push(FOLLOW),
        Action::AddToCounter {
            name,
            amount,
            lives,
        } => {
            out.extend(name.to_be_bytes());
            out.extend((amount as f32).to_be_bytes());
            out.extend(lives.to_be_bytes());
        }
    }
}

fn action_code(action: &Action) -> u8 {
    match action {
        Action::Send { .. } => code::SEND,
        Action::Reject { .. } => code::REJECT,
        Action::Fail { .. } => code::FAIL,
        Action::Cancel { .. } => code::CANCEL,
        Action::Timer { .. } => code::TIMER,
        Action::Probe { .. } => code::PROBE,
        Action::FollowEndpointList => code::FOLLOW_ENDPOINT_LIST,
        Action::AddToCounter { .. } => code::ADD_TO_COUNTER,
    }
}
