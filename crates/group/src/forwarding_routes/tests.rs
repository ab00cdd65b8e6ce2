//! Forwarding routes.

use super::*;

/// A link between two members carries nothing in one direction, while both hear a third one. The message must go by the
/// third, and directly again as soon as the reports say that nothing better is known.
#[test]
fn a_message_goes_round_where_the_direct_way_does_not_carry_it() {
    let mut routes = ForwardingRoutes::new("a");
    let names = |names: &[&str]| names.iter().map(|n| n.to_string()).collect::<Vec<_>>();
    assert_eq!(routes.route_to(0.0, "c"), Route::Direct, "nothing is known");
    routes.note_report(0.0, "b", names(&["a", "c"]));
    routes.note_report(0.0, "c", names(&["a", "b"]));
    assert_eq!(routes.route_to(10.0, "c"), Route::Direct);
    routes.note_report(20.0, "c", names(&["b"]));
    assert_eq!(routes.route_to(30.0, "c"), Route::Via("b".into()));
    routes.note_report(40.0, "b", names(&["c"]));
    assert_eq!(
        routes.route_to(50.0, "c"),
        Route::Direct,
        "nobody hears this member: nothing is better"
    );
    routes.note_report(60.0, "b", names(&["a", "c"]));
    assert_eq!(
        routes.route_to(2000.0, "c"),
        Route::Direct,
        "what was known is old"
    );
    routes.note_heard(0.0, "b");
    routes.note_heard(300.0, "c");
    assert_eq!(
        (routes.hears(350.0), routes.hears(500.0)),
        (names(&["b", "c"]), names(&["c"]))
    );
}
