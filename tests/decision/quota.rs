//! Limits on attempts in flight.

use super::*;

#[test]
fn attempt_limit_shares_sum_to_the_limit() {
    let mut admitted = 0;
    for position in 0..2 {
        let mut settings = settings();
        settings.ingress_index = position;
        settings.plans[0].max_in_flight = 7;
        let mut ingress = TestIngress::new(settings, 4);
        for _ in 0..30 {
            let id = ingress.request(0, 0, 5, 1.0);
            admitted += usize::from(!ingress.is_rejected(id));
        }
    }
    assert_eq!(admitted, 7);
}
