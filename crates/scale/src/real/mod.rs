//! Real processes of the program on loopback: a check that hollow fleets tell the truth at sizes that both can do.

mod group;
mod process;
mod relay;

pub use group::{RealError, RealGroup};
pub use relay::{FrameCounter, Relay, RelayCounts};
