//! The load level follows attempts in flight: five samples in a row, and no hung endpoint.

use super::*;

#[test]
fn five_samples_in_a_row_move_the_load_level_and_four_do_not() {
    let mut ingress = ingress_with_threshold(settings());
    let mut in_flight = Vec::new();
    while in_flight.len() as f64 <= ingress.engine.threshold() {
        in_flight.push(ingress.request(0, 0, 1, 1.0));
    }
    // Each arrival takes a sample before it is sent itself.
    for i in 0..5 {
        assert_eq!(ingress.engine.level(), 0, "after {i} samples above");
        in_flight.push(ingress.request(0, 0, 1, 1.0));
    }
    assert_eq!(ingress.engine.level(), 1);
    // Down again: five samples under the threshold, here departures.
    let (threshold, mut below) = (ingress.engine.threshold(), 0);
    while ingress.engine.level() == 1 {
        assert!(below < 5, "five samples below");
        ingress.end_attempt(in_flight.pop().expect("attempts in flight"), 0, Outcome::Ok);
        below += u32::from((in_flight.len() as f64) < threshold);
    }
    assert_eq!((ingress.engine.level(), below), (0, 5));
}

#[test]
fn a_few_hung_attempts_do_not_hold_the_level_but_many_slow_ones_raise_it() {
    let mut levels = Vec::new();
    for hung in [1, 8] {
        let mut ingress = TestIngress::new(settings(), 8);
        for i in 0..400 {
            ingress.now += 0.02;
            ingress.request(2, 0, 1, 1.0);
            for id in ingress.requests_sent() {
                // One in eight, or all, hang from the second half on.
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
