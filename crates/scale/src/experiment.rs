//! The experiment trait: a topic that is measured at several sizes, and the quantities that it
//! reports.

use serde::{Deserialize, Serialize};

/// The unit of a measured quantity.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Unit {
    /// Bytes of heap, of resident memory or sent over a link.
    Bytes,
    /// Calls to the allocator.
    Allocations,
    /// Processor time.
    Microseconds,
    /// Elapsed time, for latencies.
    Milliseconds,
    /// Messages on links, or calls to other services.
    Messages,
    /// Numbers of other items, such as records or refused requests.
    Count,
}

impl Unit {
    /// Returns the unit's name in tables and plots.
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

    /// Returns the bound below which values count as 0: a quantity below it at every size does not
    /// grow.
    pub fn negligible(self) -> f64 {
        match self {
            // A hash table that had entries removed randomly keeps slightly more or less memory.
            Unit::Bytes => 4096.0,
            _ => 0.0,
        }
    }
}

/// One quantity at one size.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Measurement {
    /// Name of the quantity, the same at every size: lower-case words joined by `_`.
    pub quantity: String,
    /// Unit of the value.
    pub unit: Unit,
    /// Measured value.
    pub value: f64,
    /// Whether the value is counted, so that the same seed gives the same value on every machine.
    pub counted: bool,
}

impl Measurement {
    /// Creates a measurement that is the same in every run with the same seed.
    pub fn counted(quantity: impl Into<String>, unit: Unit, value: f64) -> Measurement {
        Measurement {
            quantity: quantity.into(),
            unit,
            value,
            counted: true,
        }
    }

    /// Creates a measurement that depends on the machine: processor time, elapsed time or resident
    /// memory.
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
    /// The settings of the simulated ingress are invalid.
    #[error("invalid settings of the simulated ingress: {0}")]
    Settings(String),
    /// The measured code returned an error, for example because it rejected its input.
    #[error("the measured code failed: {0}")]
    Refused(String),
    /// A file could not be written or read.
    #[error("a file operation failed: {0}")]
    File(#[from] std::io::Error),
}

/// A topic that is measured at several sizes along one axis.
pub trait Experiment {
    /// Name on the command line and in result files: lower-case words joined by `-`.
    fn name(&self) -> &'static str;

    /// One sentence about what is measured.
    fn description(&self) -> &'static str;

    /// What the sizes count, for example `backends`.
    fn axis(&self) -> &'static str;

    /// Sizes to measure in rising order: at least four, the largest at least 30 times the smallest.
    /// A quick run uses smaller sizes.
    fn sizes(&self, quick: bool) -> Vec<u64>;

    /// Measures every quantity at one size. Counted quantities depend only on `size` and `seed`.
    ///
    /// # Errors
    /// The experiment cannot be run at this size.
    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ExperimentError>;
}
