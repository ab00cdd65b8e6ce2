//! The load level of this ingress: 0 (normal), 1 or 2 (overloaded).
//!
//! **Rule.** Every arrival and every departure takes one sample of the attempts that this ingress
//! has in flight. Five consecutive samples above the threshold of the next level raise the level by
//! one; five below the threshold of the current level lower it by one. [`super::admission`] sheds a
//! fixed share of the arrivals at each level.
//!
//! **Inputs.** Attempts in flight (a count); departures, weighted by their latency objectives, per
//! second; the ready endpoints that are not ejected, each counted by its slow-start weight; the
//! number of ingresses. Times in seconds.
//!
//! **Threshold.** By Little's law, a count above [`THRESHOLD_OBJECTIVES`] times the latency
//! objectives of the departures per second cannot be completed in time.
//! [`MIN_ATTEMPTS_PER_ENDPOINT`] attempts per endpoint, over all ingresses together, are always
//! allowed: one is being handled while the next ones wait.
//!
//! **Guards.** A single burst or gap must not change admission, hence five samples. Under overload,
//! departures fall with the rejected requests; a threshold based on departures alone would fall
//! with them until nothing is admitted, hence the minimum, which rejections do not lower. Known
//! harm: after an idle period the threshold lags behind a rising load.

use super::DecisionEngine;

/// Consecutive samples that change the level: few enough to react within a burst, enough to exclude
/// chance.
const SAMPLES_TO_CHANGE: u32 = 5;
/// Threshold of level 2 as a multiple of that of level 1: between the two, rejecting half of the
/// arrivals may be enough.
const LEVEL_2_FACTOR: f64 = 45.0 / 40.0;
/// Share of the latency objective whose departures may be in flight: leaves most of the objective
/// for the work itself.
const THRESHOLD_OBJECTIVES: f64 = 0.12;
/// Attempts that all ingresses together may always have in flight at a warm endpoint: one is being
/// handled, the next ones wait.
const MIN_ATTEMPTS_PER_ENDPOINT: f64 = 3.0;
/// Threshold (attempts) below which the mean count is sampled: single counts of 0 to 3 vary too
/// much.
const MEAN_BELOW_THRESHOLD: f64 = 4.0;
/// Multiple of the threshold's square root by which a single count must exceed the threshold where
/// the mean is sampled: a larger excess is not due to chance.
const CERTAIN_EXCESS_ROOTS: f64 = 3.0;
/// Shortest averaging period, s: a shorter one would follow single requests.
const MIN_AVERAGING_PERIOD: f64 = 1.5;
/// Longest averaging period, s: a longer one would hide that endpoints have slowed down.
const MAX_AVERAGING_PERIOD: f64 = 6.0;
/// Number of departures that an averaging period should contain for a steady mean.
const AVERAGED_DEPARTURES: f64 = 24.0;
/// Lower bound of departures per second in the averaging period: keeps the division finite.
const MIN_DEPARTURE_RATE: f64 = 1e-3;

/// Event that triggers a sample.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum SampleTrigger {
    Arrival,
    Departure,
}

/// The load level, with the samples and the threshold that determine it.
pub(super) struct LoadLevel {
    level: usize,
    /// Attempts in flight above which the level becomes 1; infinite before the first update.
    threshold: f64,
    samples_above: u32,
    samples_below: u32,
    /// Attempts in flight that count as load (see [`super::hedging`] for those that do not).
    in_flight: u32,
    /// Mean over the last `averaging_period` seconds, as of `averaged_at`.
    mean_in_flight: f64,
    /// Sum of the latency objectives (s) of the departures per second.
    departed_objectives: f64,
    /// Departures per second.
    departure_rate: f64,
    averaging_period: f64,
    averaged_at: f64,
}

impl LoadLevel {
    pub(super) fn new() -> LoadLevel {
        LoadLevel {
            level: 0,
            threshold: f64::INFINITY,
            samples_above: 0,
            samples_below: 0,
            in_flight: 0,
            mean_in_flight: 0.0,
            departed_objectives: 0.0,
            departure_rate: 0.0,
            averaging_period: MIN_AVERAGING_PERIOD,
            averaged_at: 0.0,
        }
    }

    /// Starts the averages at `now` (s).
    pub(super) fn start(&mut self, now: f64) {
        self.averaged_at = now;
    }

    pub(super) fn level(&self) -> usize {
        self.level
    }

    pub(super) fn threshold(&self) -> f64 {
        self.threshold
    }

    /// Records an attempt that has been sent.
    pub(super) fn attempt_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Removes this number of attempts, 0 or 1, from the count.
    pub(super) fn stop_counting(&mut self, attempts: u32) {
        self.in_flight -= attempts;
    }

    /// Records a successful request with its latency objective in seconds.
    pub(super) fn departed(&mut self, latency_objective: f64) {
        self.departed_objectives += latency_objective / self.averaging_period;
        self.departure_rate += 1.0 / self.averaging_period;
    }

    /// Takes a sample at `now` (s) and changes the level after enough consecutive samples agree.
    pub(super) fn sample(&mut self, now: f64, trigger: SampleTrigger) {
        self.advance_averages(now);
        let count = self.sampled_count(trigger);
        let next_factor = if self.level == 0 { 1.0 } else { LEVEL_2_FACTOR };
        let next_threshold = self.threshold * next_factor;
        let own_factor = if self.level == 2 { LEVEL_2_FACTOR } else { 1.0 };
        let own_threshold = self.threshold * own_factor;
        let above = self.level < 2 && count > next_threshold;
        let below = self.level > 0 && count < own_threshold;
        self.samples_above = if above { self.samples_above + 1 } else { 0 };
        self.samples_below = if below { self.samples_below + 1 } else { 0 };
        if self.samples_above >= SAMPLES_TO_CHANGE {
            self.change_level(self.level + 1);
        } else if self.samples_below >= SAMPLES_TO_CHANGE {
            self.change_level(self.level - 1);
        }
    }

    fn change_level(&mut self, level: usize) {
        self.level = level;
        self.samples_above = 0;
        self.samples_below = 0;
    }

    /// Returns the count to sample. With a low threshold this is the mean, unless chance cannot
    /// explain the count: an arrival with none in flight, or far too many.
    fn sampled_count(&self, trigger: SampleTrigger) -> f64 {
        let count = f64::from(self.in_flight);
        let few = self.threshold < MEAN_BELOW_THRESHOLD;
        if few && (count > 0.0 || trigger == SampleTrigger::Departure) {
            let certain = count - CERTAIN_EXCESS_ROOTS * self.threshold.sqrt();
            return self.mean_in_flight.max(certain);
        }
        count
    }

    /// Updates the threshold at `now` (s) from the departures and from the number of endpoints,
    /// each counted by its slow-start weight.
    pub(super) fn update_threshold(&mut self, now: f64, endpoints: f64, ingresses: u32) {
        self.advance_averages(now);
        let min = MIN_ATTEMPTS_PER_ENDPOINT * endpoints / f64::from(ingresses);
        self.threshold = (THRESHOLD_OBJECTIVES * self.departed_objectives).max(min);
    }

    fn advance_averages(&mut self, now: f64) {
        let decay = (-(now - self.averaged_at) / self.averaging_period).exp();
        self.mean_in_flight += (1.0 - decay) * (f64::from(self.in_flight) - self.mean_in_flight);
        self.departed_objectives *= decay;
        self.departure_rate *= decay;
        self.averaged_at = now;
        self.averaging_period = (AVERAGED_DEPARTURES / self.departure_rate.max(MIN_DEPARTURE_RATE))
            .clamp(MIN_AVERAGING_PERIOD, MAX_AVERAGING_PERIOD);
    }
}

impl DecisionEngine {
    /// Updates the threshold from the ready endpoints that are not ejected.
    pub(super) fn update_load_threshold(&mut self, now: f64) {
        let endpoints: f64 = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.ready && !endpoint.health.is_ejected())
            .map(|endpoint| self.slow_start.weight(now, endpoint.started))
            .sum();
        self.load
            .update_threshold(now, endpoints, self.settings.ingresses);
    }
}
