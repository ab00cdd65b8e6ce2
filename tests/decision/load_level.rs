//! Changes of the load level by consecutive samples, and attempts that do not count as load.

use super::*;

#[test]
fn load_level_changes_after_five_consecutive_samples() {
    let mut ingress = ingress_with_threshold(settings());
    let mut in_flight = Vec::new();
    while in_flight.len() as f64 <= ingress.engine.threshold() {
        in_flight.push(ingress.request(0, 0, 1, 1.0));
    }
    // Each arrival takes a sample before its own attempt is sent.
    for i in 0..5 {
        assert_eq!(ingress.engine.level(), 0, "raised after {i} samples above");
        in_flight.push(ingress.request(0, 0, 1, 1.0));
    }
    assert_eq!(ingress.engine.level(), 1);
    // Five samples below the threshold, here departures, lower the level again.
    let (threshold, mut below) = (ingress.engine.threshold(), 0);
    while ingress.engine.level() == 1 {
        assert!(below < 5, "level not lowered after five samples below");
        ingress.end_attempt(in_flight.pop().expect("attempts in flight"), 0, Outcome::Ok);
        below += u32::from((in_flight.len() as f64) < threshold);
    }
    assert_eq!((ingress.engine.level(), below), (0, 5));
}

#[test]
fn many_slow_attempts_raise_the_level_few_do_not() {
    let mut levels = Vec::new();
    for hung in [1, 8] {
        let mut ingress = TestIngress::new(settings(), 8);
        for i in 0..400 {
            ingress.now += 0.02;
            ingress.request(2, 0, 1, 1.0);
            for id in ingress.requests_sent() {
                // In the second half, one in eight attempts hangs, or all of them.
                if i < 200 || i % 8 >= hung {
                    ingress.now += 0.005;
                    ingress.end_attempt(id, 0, Outcome::Ok);
                }
            }
            ingress.tick(0.0);
        }
        levels.push(ingress.engine.level());
    }
    assert_eq!(levels, vec![0, 2]);
}
