//! Settings that make no sense.

use super::*;

#[test]
fn settings_that_make_no_sense_name_their_field() {
    let wrong = |change: fn(&mut Settings)| {
        let mut settings = settings();
        change(&mut settings);
        DecisionEngine::new(settings, 1)
            .err()
            .expect("an error")
            .field
    };
    assert_eq!(wrong(|s| s.ingresses = 0), "gateways");
    assert_eq!(wrong(|s| s.classes.clear()), "classes");
    assert_eq!(
        wrong(|s| s.classes[1].latency_objective = f64::NAN),
        "classes[1].aim"
    );
    assert_eq!(wrong(|s| s.plans[1].burst = 0.0), "plans[1].burst");
    assert_eq!(wrong(|s| s.overload_tolerance = -1.0), "tip_after");
    assert_eq!(wrong(|s| s.ingress_index = 2), "position");
}
