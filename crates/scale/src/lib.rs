//! Capacity measurements: what the control side of an ingress costs in heap, processor time and messages as the
//! deployment around it grows, and the lines fitted through the figures.
//!
//! An [`Experiment`](experiment::Experiment) measures one topic at several sizes. [`run`] measures every point in
//! a process of its own, [`fit`] puts a line through the points of each quantity, [`report`] renders tables and
//! plots, and [`results`] holds the JSON forms of all of it.
//!
//! The measured code is that of the `driftgap` library; only sockets, files' locations and the waiting between two
//! timers are simulated ([`ingress`]). Fleets of hundreds of ingresses share one process ([`hollow`]); real processes check
//! that these tell the truth ([`check`], [`real`]).

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
