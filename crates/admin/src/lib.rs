//! Administration of a running ingress, as decisions without I/O or a clock: the grammar of staff's calls, the
//! excluded endpoints, and how far the ingress is drained.
//!
//! It opens no socket or file, does not ask for the time, and does not decide which endpoint gets a request.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod call;
mod drain;
mod exclusions;

pub use call::{Answer, BadCall, Call, GroupCall, MAX_ID, MAX_LINE};
pub use drain::{DrainControl, DrainState, DRAINED_MS, NOTICE_MS};
pub use exclusions::{ExcludedEndpoints, ExclusionOutcome, MAX_EXCLUDED};
