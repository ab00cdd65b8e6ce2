//! Tests of the forwarding routes.

use super::*;

/// A link fails in one direction, while a third member is connected to both ends. The message must
/// go through the third member, and directly again once no report offers another route.
#[test]
fn message_is_forwarded_when_the_direct_link_fails() {
    let mut routes = ForwardingRoutes::new("a");
    let names = |names: &[&str]| names.iter().map(|n| n.to_string()).collect::<Vec<_>>();
    assert_eq!(routes.route_to(0.0, "c"), Route::Direct, "no reports yet");
    routes.note_report(0.0, "b", names(&["a", "c"]));
    routes.note_report(0.0, "c", names(&["a", "b"]));
    assert_eq!(routes.route_to(10.0, "c"), Route::Direct);
    routes.note_report(20.0, "c", names(&["b"]));
    assert_eq!(routes.route_to(30.0, "c"), Route::Via("b".into()));
    routes.note_report(40.0, "b", names(&["c"]));
    assert_eq!(
        routes.route_to(50.0, "c"),
        Route::Direct,
        "no member can forward"
    );
    routes.note_report(60.0, "b", names(&["a", "c"]));
    assert_eq!(
        routes.route_to(2000.0, "c"),
        Route::Direct,
        "the reports have expired"
    );
    routes.note_direct_frame(0.0, "b");
    routes.note_direct_frame(300.0, "c");
    assert_eq!(
        (routes.receives_from(350.0), routes.receives_from(500.0)),
        (names(&["b", "c"]), names(&["c"]))
    );
}
