//! What an endpoint that is warming up is sent.

use super::*;

#[test]
fn an_endpoint_that_is_warming_up_is_given_little() {
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
    // About 23 a second to a warm endpoint: half of three times a fifth to a third of 46 in 2 s.
    assert!(
        (1..=25).contains(&sent_while_warming),
        "{sent_while_warming} attempts in the first 2 s"
    );
}
