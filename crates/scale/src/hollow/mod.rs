//! Hollow fleets: the program's own code for hundreds of ingresses in one process. Links are byte queues in memory and
//! time is virtual; sockets, disks and the wait for them are all that is stood in. The same seed gives the same run.

mod cpu;
pub mod group;
pub mod ingresses;
mod schedule;
mod wire;

pub use cpu::{CpuSpan, CpuTimer};
pub use schedule::Schedule;
pub use wire::{Traffic, Wire};
