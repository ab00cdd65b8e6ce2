//! Administration of a running ingress, without I/O or a clock: the grammar of operators' calls,
//! the excluded endpoints, and the drain state.
//!
//! The crate opens no socket or file, does not read the time, and does not choose endpoints for
//! requests.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod call;
mod drain;
mod exclusions;

pub use call::{Answer, BadCall, Call, GroupCall, MAX_ID, MAX_LINE};
pub use drain::{DrainControl, DrainState, StopStages, DRAINED_MS, NOTICE_MS};
pub use exclusions::{ExcludedEndpoints, ExclusionOutcome, MAX_EXCLUDED};
