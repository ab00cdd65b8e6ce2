use super::*;

/// Many clients ask for much and read nothing. Each stays within its own bound, and together they would take all
/// memory.
#[test]
fn what_clients_leave_unread_is_bounded_over_all_of_them() {
    let all = Rc::default();
    let (a, b) = (
        ByteBudget::new(Rc::clone(&all), 100),
        ByteBudget::new(Rc::clone(&all), 100),
    );
    assert!(a.add(60) && b.add(40) && !b.add(1));
    a.release(30);
    assert!(b.add(10) && !b.add(60));
    drop(b);
    assert_eq!(all.get(), 30);
}
