//! Typical latency of each class, and slowness of each endpoint relative to it.
//!
//! **Inputs.** The time from sending an attempt to its answer in seconds, of successful attempts
//! only.
//!
//! **Rule.** The typical latency of a class is a moving average over all endpoints, without the
//! answers of endpoints whose slowness is [`SLOW_ENDPOINT_RATIO`] or more. The slowness of an
//! endpoint is a moving average of its latencies as multiples of the typical latency. It decays to
//! 1 with a time constant of [`SLOWNESS_TIME_CONSTANT`] seconds.
//!
//! **Guards.** Requests differ more in size than endpoints do in speed: one long answer must not
//! make an endpoint slow, hence the limits on a single sample. A slow endpoint must not raise the
//! typical latency, or no endpoint would count as slow any more. Known harm: the typical latency
//! follows a class that becomes slower everywhere only after some tens of answers.

/// Typical latency of a class before its first answer, as a share of the latency objective.
const INITIAL_LATENCY_OBJECTIVES: f64 = 0.25;
/// Weight of one answer in the typical latency: a memory of about ten answers.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.1;
/// Upper bound of one sample of the typical latency, in typical latencies.
const MAX_LATENCY_SAMPLE: f64 = 10.0;
/// Slowness from which the answers of an endpoint do not update the typical latency.
const SLOW_ENDPOINT_RATIO: f64 = 3.0;
/// Weight of one answer in the slowness of an endpoint: a memory of about twelve answers.
const SLOWNESS_SAMPLE_WEIGHT: f64 = 0.08;
/// Upper bound of one sample of an endpoint's slowness, in typical latencies.
const MAX_SLOWNESS_SAMPLE: f64 = 4.0;
/// Time constant, s, with which slowness decays: an endpoint that is no longer selected gives no
/// new samples.
const SLOWNESS_TIME_CONSTANT: f64 = 8.0;
/// Lower bound of the typical latency, s, in a ratio: keeps the division finite.
const MIN_TYPICAL_LATENCY: f64 = 1e-6;

/// Returns the typical latency of a class before its first answer, s.
pub(super) fn initial_typical_latency(latency_objective: f64) -> f64 {
    INITIAL_LATENCY_OBJECTIVES * latency_objective
}

/// Adds an answer that took `latency` seconds to the typical latency of its class.
pub(super) fn update_typical_latency(typical: &mut f64, latency: f64, slowness: &Slowness) {
    if slowness.ratio < SLOW_ENDPOINT_RATIO {
        *typical += LATENCY_SAMPLE_WEIGHT * (latency.min(MAX_LATENCY_SAMPLE * *typical) - *typical);
    }
}

/// Latency of an endpoint as a multiple of the typical latency of the same class.
pub(super) struct Slowness {
    ratio: f64,
    /// When the ratio was last updated, s.
    updated_at: f64,
}

impl Default for Slowness {
    fn default() -> Slowness {
        Slowness {
            ratio: 1.0,
            updated_at: 0.0,
        }
    }
}

impl Slowness {
    /// Returns the multiple at `now` (s).
    pub(super) fn at(&self, now: f64) -> f64 {
        1.0 + (self.ratio - 1.0) * (-(now - self.updated_at) / SLOWNESS_TIME_CONSTANT).exp()
    }

    /// Adds an answer that took `latency` seconds; `typical` is the typical latency of its class,
    /// s.
    pub(super) fn record(&mut self, now: f64, latency: f64, typical: f64) {
        let sample = (latency / typical.max(MIN_TYPICAL_LATENCY)).min(MAX_SLOWNESS_SAMPLE);
        self.ratio = self.at(now);
        self.ratio += SLOWNESS_SAMPLE_WEIGHT * (sample - self.ratio);
        self.updated_at = now;
    }

    /// Discards the slowness of the previous process after a restart.
    pub(super) fn reset(&mut self) {
        self.ratio = 1.0;
    }
}
