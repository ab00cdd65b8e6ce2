//! Capacity measurements: the heap, processor time and messages that the control code of an ingress
//! uses as a deployment grows, and straight lines fitted through the measured values.
//!
//! An [`Experiment`](experiment::Experiment) measures one topic at several sizes. [`run`] measures
//! every point in a separate process, [`fit`] fits a line through the points of each quantity,
//! [`report`] renders tables and plots, and [`results`] defines the JSON files.
//!
//! The measured code is that of the `driftgap` library. Only sockets, file locations and the waits
//! between timers are simulated ([`ingress`]). Fleets of hundreds of ingresses share one process
//! ([`hollow`]); [`check`] compares their figures with those of real processes ([`real`]).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod check;
pub mod experiment;
pub mod experiments;
pub mod fit;
pub mod hollow;
pub mod ingress;
pub mod machine;
pub mod page;
pub mod probe;
pub mod real;
pub mod registry;
pub mod report;
pub mod results;
pub mod run;
