//! Groups of real processes on loopback, whose figures check those of simulated groups of the same
//! size.

mod group;
mod process;
mod relay;

pub use group::{RealError, RealGroup};
pub use relay::{FrameCounter, Relay, RelayCounts};
