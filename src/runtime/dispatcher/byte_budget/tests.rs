use super::*;

/// Many clients request large answers and read none. Each stays within a limit of its own, but
/// together they would exhaust the memory.
#[test]
fn limit_is_shared_by_all_clients() {
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
