//! Simulated fleets: hundreds of ingresses that run the program's own code in one process. Only
//! sockets, disks and the waits for them are simulated: links are byte queues in memory, and time is
//! virtual. The same seed gives the same run. "Hollow" in names of this crate means such a fleet.

mod cpu;
pub mod group;
pub mod ingresses;
mod network;
mod schedule;

pub use cpu::{CpuSpan, CpuTimer};
pub use network::{Network, Traffic};
pub use schedule::Schedule;
