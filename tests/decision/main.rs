//! Tests of the decision module without the simulator, one file for each mechanism.

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod counter_health;
mod endpoint_selection;
mod exclusion;
mod lease_window;
mod load_level;
mod outlier_ejection;
mod quota;
mod quota_lease;
mod retry;
mod settings;
mod slow_start;
mod tenant;

use common::*;
use driftgap::decision::*;

/// Returns an ingress that has determined its threshold from answered requests and has no attempts
/// in flight.
fn ingress_with_threshold(settings: Settings) -> TestIngress {
    let mut ingress = TestIngress::new(settings, 4);
    for _ in 0..30 {
        let id = ingress.request(0, 0, 1, 1.0);
        ingress.now += 0.001;
        ingress.end_attempt(id, 0, Outcome::Ok);
    }
    ingress.tick(0.01);
    assert!(
        ingress.engine.threshold() < 20.0,
        "threshold not limited by departures"
    );
    ingress
}
