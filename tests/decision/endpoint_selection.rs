//! Endpoints that must not be selected.

use super::*;

#[test]
fn draining_and_removed_endpoints_are_not_selected() {
    let mut ingress = TestIngress::new(settings(), 3);
    let entries = vec![
        EndpointEntry {
            state: EndpointState::Draining,
            ..endpoint(0)
        },
        EndpointEntry {
            state: EndpointState::Gone,
            ..endpoint(1)
        },
    ];
    ingress.handle(Event::EndpointList {
        kind: ListKind::Delta,
        entries,
    });
    for _ in 0..10 {
        let id = ingress.request(0, 0, 1, 1.0);
        assert!(ingress.endpoints_sent_to(id).iter().all(|h| *h == 2));
    }
}
