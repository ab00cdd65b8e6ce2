//! Attempts that an endpoint gets while it is warming up.

use super::*;

#[test]
fn endpoint_that_is_warming_up_gets_few_attempts() {
    let mut settings = settings();
    settings.classes.truncate(1);
    let mut ingress = TestIngress::new(settings, 4);
    let mut sent_while_warming = 0;
    for i in 0..600 {
        ingress.now += 0.01;
        if i == 300 {
            let drained = |h| EndpointEntry {
                state: EndpointState::Draining,
                ..endpoint(h)
            };
            let restarted = EndpointEntry {
                started_at: ingress.now,
                ..endpoint(1)
            };
            let entries = vec![drained(0), restarted, drained(2), drained(3)];
            ingress.handle(Event::EndpointList {
                kind: ListKind::Delta,
                entries,
            });
        }
        let id = ingress.request(0, 0, 1, 1.0);
        let to = ingress.endpoints_sent_to(id);
        ingress.now += 0.001;
        if !to.is_empty() {
            ingress.end_attempt(id, 0, Outcome::Ok);
        }
        ingress.tick(0.0);
        sent_while_warming += usize::from((300..480).contains(&i) && to.contains(&1));
    }
    // A warm endpoint gets about 23 attempts a second, 46 in 2 s. The budget is half of three times
    // 20 to 33 % of that.
    assert!(
        (1..=25).contains(&sent_while_warming),
        "{sent_while_warming} attempts in the first 2 s"
    );
}
