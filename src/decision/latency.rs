//! What latency is usual for a class, and how slow an endpoint is beside the others.
//!
//! **Inputs.** The seconds from sending an attempt to its answer, of served attempts only.
//!
//! **Rule.** The typical latency of a class is a moving average over all endpoints, without the
//! answers of endpoints at [`SLOW_ENDPOINT_RATIO`] times the usual or more. An endpoint's slowness
//! is a moving average of its answers as multiples of that; what it has shown is forgotten with a
//! time constant of [`SLOWNESS_MEMORY`] seconds.
//!
//! **Guards.** Sizes of requests differ more than endpoints do: one long answer must not make an
//! endpoint slow, hence the limits on a single sample. A slow endpoint must not raise what is held
//! to be usual, or nobody would be slow any more. Known harm: a class that becomes slower
//! everywhere is learnt over some tens of answers.

/// Typical latency of a class before its first answer, as a share of the latency objective.
const FIRST_GUESS_OBJECTIVES: f64 = 0.25;
/// Weight of one answer in the typical latency: about ten answers of memory.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.1;
/// Most that one answer counts in the typical latency, in typical latencies.
const MAX_LATENCY_SAMPLE: f64 = 10.0;
/// From this slowness on, an endpoint's answers do not tell what is usual.
const SLOW_ENDPOINT_RATIO: f64 = 3.0;
/// Weight of one answer in an endpoint's slowness: about twelve answers of memory.
const SLOWNESS_SAMPLE_WEIGHT: f64 = 0.08;
/// Most that one answer counts in an endpoint's slowness, in typical latencies.
const MAX_SLOWNESS_SAMPLE: f64 = 4.0;
/// Time constant, s, with which slowness is forgotten: an endpoint that is no longer chosen can
/// show nothing new.
const SLOWNESS_MEMORY: f64 = 8.0;
/// Shortest typical latency, s, that a ratio is computed from: keeps the division finite.
const MIN_TYPICAL_LATENCY: f64 = 1e-6;

/// The first guess of the typical latency of a class, s.
pub(super) fn first_guess(latency_objective: f64) -> f64 {
    FIRST_GUESS_OBJECTIVES * latency_objective
}

/// Takes an answer after `latency` seconds into the typical latency of its class.
pub(super) fn learn_typical(typical: &mut f64, latency: f64, slowness: &Slowness) {
    if slowness.ratio < SLOW_ENDPOINT_RATIO {
        *typical += LATENCY_SAMPLE_WEIGHT * (latency.min(MAX_LATENCY_SAMPLE * *typical) - *typical);
    }
}

/// An endpoint's latency as a multiple of what is usual for the same class.
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
    /// The multiple at `now` (s).
    pub(super) fn at(&self, now: f64) -> f64 {
        1.0 + (self.ratio - 1.0) * (-(now - self.updated_at) / SLOWNESS_MEMORY).exp()
    }

    /// Takes in an answer after `latency` seconds, where `typical` is usual.
    pub(super) fn record(&mut self, now: f64, latency: f64, typical: f64) {
        let sample = (latency / typical.max(MIN_TYPICAL_LATENCY)).min(MAX_SLOWNESS_SAMPLE);
        self.ratio = self.at(now);
        self.ratio += SLOWNESS_SAMPLE_WEIGHT * (sample - self.ratio);
        self.updated_at = now;
    }

    /// A new process has started: nothing is known of its slowness.
    pub(super) fn reset(&mut self) {
        self.ratio = 1.0;
    }
}
