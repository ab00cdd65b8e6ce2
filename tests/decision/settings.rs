//! Validation of settings.

use super::*;

#[test]
fn invalid_settings_report_their_field() {
    let invalid_field = |change: fn(&mut Settings)| {
        let mut settings = settings();
        change(&mut settings);
        DecisionEngine::new(settings, 1)
            .err()
            .expect("an error")
            .field
    };
    assert_eq!(invalid_field(|s| s.ingresses = 0), "balancers");
    assert_eq!(invalid_field(|s| s.classes.clear()), "classes");
    assert_eq!(
        invalid_field(|s| s.classes[1].latency_objective = f64::NAN),
        "classes[1].aim"
    );
    assert_eq!(invalid_field(|s| s.plans[1].burst = 0.0), "plans[1].burst");
    assert_eq!(invalid_field(|s| s.overload_tolerance = -1.0), "tip_after");
    assert_eq!(invalid_field(|s| s.ingress_index = 2), "position");
}
