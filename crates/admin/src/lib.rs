//! What staff tell a running ingress, as decisions without I/O or a clock: the grammar of their calls, the list of
//! endpoints taken out, and how far the ingress has been emptied. It owns what each call means. It must never open
//! a socket or a file, ask for the time, or decide which endpoint gets a command.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod call;
mod drain;
mod exclusions;

pub use call::{Answer, BadCall, Call, GroupCall, MAX_ID, MAX_LINE};
pub use drain::{DrainControl, DrainState, DRAINED_MS, NOTICE_MS};
pub use exclusions::{ExcludedEndpoints, ExclusionOutcome, MAX_EXCLUDED};
