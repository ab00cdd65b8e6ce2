//! What compiled tests, their keys and the index over them take on the heap, counted by the allocator. All that
//! is counted is done in one test: the counters are the process's.

mod common;

use common::schema;
use driftgap_expr::{Compiled, Expression, Interner, SelectKey, Selector};
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;

#[global_allocator]
static GLOBAL: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const TESTS: usize = 10_000;
/// Most bytes that one test may take in all, its key and its part of the index included.
const MAX_BYTES: usize = 200;
/// Most bytes that a further test may take whose body others have as well: that of its own handle.
const MAX_SHARED_BYTES: usize = 32;
/// Most bytes a test that building an index may take for a while, beside the index.
const MAX_TRANSIENT_BYTES: usize = 100;

struct Tests {
    compiled: Vec<Compiled>,
    keys: Vec<SelectKey>,
}

fn tests(interner: &mut Interner, text: impl Fn(usize) -> String) -> Tests {
    let mut all = Tests {
        compiled: Vec::with_capacity(TESTS),
        keys: Vec::with_capacity(TESTS),
    };
    let schema = schema();
    for number in 0..TESTS {
        let expression = Expression::new(&text(number), &schema).expect("a test");
        all.compiled.push(expression.compile(interner));
        all.keys.push(expression.select_key(interner));
    }
    all
}

/// Bytes that are held beyond those at a region's begin.
fn held(region: &Region<'_, System>) -> usize {
    let change = region.change();
    change
        .bytes_allocated
        .saturating_sub(change.bytes_deallocated)
}

fn by_prefix(number: usize) -> String {
    let (radio, route) = (number / 100, number % 100);
    format!("request.path.startsWith('/radio-{radio}/route-{route}/') && request.method == 'GET'")
}

fn by_host(number: usize) -> String {
    let (service, path) = (number % 500, number / 500);
    format!("request.agent.orValue('') == 'svc-{service}.example' && request.path.startsWith('/x/{path}/')")
}

#[test]
fn a_test_takes_no_more_than_its_part_of_the_heap() {
    for text in [by_prefix, by_host] {
        let region = Region::new(GLOBAL);
        let mut interner = Interner::new();
        let all = tests(&mut interner, text);
        let selector = Selector::new(all.keys.iter());
        let with_interner = held(&region);
        let estimate: usize = all.compiled.iter().map(Compiled::heap_bytes).sum();
        drop(interner);
        let bytes = held(&region);
        println!(
            "{}: {} bytes a test, {} with the interner, {} of them the index, {} by estimate",
            text(0),
            bytes / TESTS,
            with_interner / TESTS,
            selector.heap_bytes() / TESTS,
            estimate / TESTS
        );
        assert!(
            bytes <= MAX_BYTES * TESTS,
            "{}: {} bytes a test",
            text(0),
            bytes / TESTS
        );
        assert!(
            estimate <= bytes && estimate >= bytes / 3,
            "{estimate} by estimate, {bytes} counted"
        );
        drop((all, selector));
        assert!(held(&region) < TESTS, "{} bytes are left", held(&region));
    }

    let mut interner = Interner::new();
    let region = Region::new(GLOBAL);
    let all: Vec<Compiled> = tests(&mut interner, |_| "request.path == '/a'".to_string()).compiled;
    let bytes = held(&region);
    assert!(
        bytes <= MAX_SHARED_BYTES * TESTS,
        "{} bytes a shared test",
        bytes / TESTS
    );
    assert!(all.iter().all(|one| one.same(&all[0])));
    drop(all);
    interner.sweep();
    assert!(
        held(&region) < TESTS,
        "{} bytes are left after a sweep",
        held(&region)
    );

    // A sweep gives back what was held by the interner alone.
    let region = Region::new(GLOBAL);
    drop(tests(&mut interner, by_prefix));
    assert!(held(&region) > TESTS);
    interner.sweep();
    assert!(
        held(&region) < TESTS,
        "{} bytes are left after a sweep",
        held(&region)
    );

    // All that a build asks for, whether it holds it or not, bounds what it takes for a while.
    let all = tests(&mut interner, by_prefix);
    let region = Region::new(GLOBAL);
    let selector = Selector::new(all.keys.iter());
    let asked = region.change().bytes_allocated;
    let transient = asked.saturating_sub(selector.heap_bytes());
    println!(
        "building an index: {} transient bytes a test",
        transient / TESTS
    );
    assert!(
        transient <= MAX_TRANSIENT_BYTES * TESTS,
        "{} transient bytes a test",
        transient / TESTS
    );
}
