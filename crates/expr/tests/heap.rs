//! Heap use of compiled tests, their keys and the index over them, counted by the allocator. There
//! is a single test, since the allocator counts for the whole process.

mod common;

use common::schema;
use driftgap_expr::{Compiled, Expression, Interner, SelectKey, Selector};
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;

#[global_allocator]
static GLOBAL: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const TESTS: usize = 10_000;
/// Maximum bytes of one test, including its key and its share of the index.
const MAX_BYTES: usize = 200;
/// Maximum bytes of a test whose program other tests share: only its handle is its own.
const MAX_SHARED_BYTES: usize = 32;
/// Maximum temporary bytes for each test while an index is built, in addition to the index.
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
        let expression = Expression::new(&text(number), &schema).expect("a valid test");
        all.compiled.push(expression.compile(interner));
        all.keys.push(expression.select_key(interner));
    }
    all
}

/// Bytes allocated since the start of a region and not yet freed.
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
fn heap_use_of_a_test_is_bounded() {
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
            "{}: {} bytes per test, {} with the interner, {} of them for the index, {} estimated",
            text(0),
            bytes / TESTS,
            with_interner / TESTS,
            selector.heap_bytes() / TESTS,
            estimate / TESTS
        );
        assert!(
            bytes <= MAX_BYTES * TESTS,
            "{}: {} bytes per test",
            text(0),
            bytes / TESTS
        );
        assert!(
            estimate <= bytes && estimate >= bytes / 3,
            "{estimate} bytes estimated, {bytes} counted"
        );
        drop((all, selector));
        assert!(
            held(&region) < TESTS,
            "{} bytes are still allocated",
            held(&region)
        );
    }

    let mut interner = Interner::new();
    let region = Region::new(GLOBAL);
    let all: Vec<Compiled> = tests(&mut interner, |_| "request.path == '/a'".to_string()).compiled;
    let bytes = held(&region);
    assert!(
        bytes <= MAX_SHARED_BYTES * TESTS,
        "{} bytes per test that shares its program",
        bytes / TESTS
    );
    assert!(all.iter().all(|one| one.same(&all[0])));
    drop(all);
    interner.sweep();
    assert!(
        held(&region) < TESTS,
        "{} bytes are still allocated after a sweep",
        held(&region)
    );

    // A sweep frees data that only the interner refers to.
    let region = Region::new(GLOBAL);
    drop(tests(&mut interner, by_prefix));
    assert!(held(&region) > TESTS);
    interner.sweep();
    assert!(
        held(&region) < TESTS,
        "{} bytes are still allocated after a sweep",
        held(&region)
    );

    // The total of all allocations of a build is an upper bound on its temporary memory.
    let all = tests(&mut interner, by_prefix);
    let region = Region::new(GLOBAL);
    let selector = Selector::new(all.keys.iter());
    let asked = region.change().bytes_allocated;
    let transient = asked.saturating_sub(selector.heap_bytes());
    println!(
        "building an index: {} transient bytes per test",
        transient / TESTS
    );
    assert!(
        transient <= MAX_TRANSIENT_BYTES * TESTS,
        "{} transient bytes per test",
        transient / TESTS
    );
}
