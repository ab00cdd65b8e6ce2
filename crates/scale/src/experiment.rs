//! What an experiment is: a topic that is measured at several sizes, and the quantities it yields.

use serde::{Deserialize, Serialize};

/// The unit of a measured quantity.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Unit {
    /// Bytes of heap, of resident memory or on a link.
    Bytes,
    /// Calls of the allocator.
    Allocations,
    /// Processor time.
    Microseconds,
    /// Elapsed time, for latencies.
    Milliseconds,
    /// Messages on links, or calls to other services.
    Messages,
    /// Things: records held, requests refused.
    Count,
}

impl Unit {
    /// The unit as tables and plots write it.
    pub fn label(self) -> &'static str {
        match self {
            Unit::Bytes => "bytes",
            Unit::Allocations => "allocations",
            Unit::Microseconds => "us",
            Unit::Milliseconds => "ms",
            Unit::Messages => "messages",
            Unit::Count => "",
        }
    }

    /// Values under this are none: what grows by less does not grow.
    pub fn negligible(self) -> f64 {
        match self {
            // Hash tables that had entries removed keep a little more or less by chance.
            Unit::Bytes => 4096.0,
            _ => 0.0,
        }
    }
}

/// One quantity at one size.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Measurement {
    /// Name of the quantity, the same at every size: lower case, words joined by `_`.
    pub quantity: String,
    /// Its unit.
    pub unit: Unit,
    /// Its value.
    pub value: f64,
    /// Whether it is counted, so that the same seed gives the same value on any machine.
    pub counted: bool,
}

impl Measurement {
    /// A quantity that is the same on every run with the same seed.
    pub fn counted(quantity: impl Into<String>, unit: Unit, value: f64) -> Measurement {
        Measurement {
            quantity: quantity.into(),
            unit,
            value,
            counted: true,
        }
    }

    /// A quantity that depends on the machine: processor time, elapsed time, resident memory.
    pub fn timed(quantity: impl Into<String>, unit: Unit, value: f64) -> Measurement {
        Measurement {
            quantity: quantity.into(),
            unit,
            value,
            counted: false,
        }
    }
}

/// Why a size could not be measured.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The settings of the simulated ingress make no sense.
    #[error("settings: {0}")]
    Settings(String),
    /// The code under measurement refused its input.
    #[error("{0}")]
    Refused(String),
    /// A file could not be written or read.
    #[error("{0}")]
    File(#[from] std::io::Error),
}

/// A topic that is measured at several sizes along one axis.
pub trait Experiment {
    /// Name on the request line and in result files: lower case, words joined by `-`.
    fn name(&self) -> &'static str;

    /// What is measured, in a sentence.
    fn description(&self) -> &'static str;

    /// What the size counts, for endpoint `backends`.
    fn axis(&self) -> &'static str;

    /// Sizes to measure, smallest first: at least four, the largest at least 30 times the smallest. A quick run
    /// takes smaller ones.
    fn sizes(&self, quick: bool) -> Vec<u64>;

    /// Measures every quantity at one size. Counted quantities depend on `size` and `seed` alone.
    ///
    /// # Errors
    /// The size cannot be measured.
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ExperimentError>;
}
