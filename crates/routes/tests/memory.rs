//! What rules take of memory, by an allocator that counts, and how long reading them takes. The tests run one
//! behind the other.

mod common;

use common::{mapping, read_on, request, route, routes, POOLS};
use driftgap_routes::{Router, Rules, Verdict};
use oorandom::Rand32;
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

#[global_allocator]
static GLOBAL: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Most heap that a route may take, in bytes.
const MOST_BYTES_A_ROUTE: f64 = 400.0;
/// Most heap that a rule may take that makes a command with an id of its own, in bytes.
const MOST_BYTES_A_MAPPING: f64 = 800.0;
/// Changes of one file.
const CHANGES: usize = 10_000;

/// Held by the test that counts.
static COUNTING: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    COUNTING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Bytes that are held since a region began.
fn held(region: &Region<'_, System>) -> isize {
    let change = region.change();
    change.bytes_allocated as isize - change.bytes_deallocated as isize
}

/// The numbers of routes that are counted: with optimisation as many as the system must bear.
fn sizes() -> Vec<usize> {
    if cfg!(debug_assertions) {
        vec![100, 1_000, 10_000]
    } else {
        vec![100, 1_000, 10_000, 63_000]
    }
}

fn read(text: &str, previous: Option<&Rules>) -> Rules {
    read_on(text, previous).unwrap_or_else(|faults| panic!("{}", faults.join("\n")))
}

/// Reads a file and tells what each of its rules takes.
fn bytes_a_rule(text: &str) -> f64 {
    let region = Region::new(GLOBAL);
    let rules = read(text, None);
    let each = held(&region) as f64 / rules.len() as f64;
    let estimated = rules.heap_bytes() as f64 / rules.len() as f64;
    println!("{} rules: {each:.0} bytes each, {estimated:.0} by estimate", rules.len());
    assert!((0.8..=1.25).contains(&(estimated / each)), "{estimated} for {each}");
    each
}

#[test]
fn a_route_takes_at_most_400_bytes() {
    let _alone = alone();
    // What is made once in a process.
    drop(read(&routes(1), None));
    for count in sizes() {
        let each = bytes_a_rule(&routes(count));
        assert!(each <= MOST_BYTES_A_ROUTE, "{count} routes: {each} bytes each");
        let mappings: String = (0..count).map(mapping).collect();
        let each = bytes_a_rule(&mappings);
        assert!(each <= MOST_BYTES_A_MAPPING, "{count} mappings: {each} bytes each");
    }
}

#[test]
fn an_unchanged_rule_is_held_once_by_the_old_and_the_new_rules() {
    let _alone = alone();
    const RULES: usize = 5_000;
    let text = routes(RULES);
    let changed = text.replace("/programmes/7/", "/programmes/seven/");
    let other: String = [POOLS.to_string()].into_iter().chain((RULES..2 * RULES).map(route)).collect();
    let region = Region::new(GLOBAL);
    let old = read(&text, None);
    let one_set = held(&region);
    let new = read(&changed, Some(&old));
    let both = held(&region);
    println!("{one_set} bytes for one set, {both} for two that differ in one rule");
    assert!(both < one_set * 3 / 2, "{both} {one_set}");
    // Another file throughout is held beside the old one until that is dropped.
    let mut router = Router::new(new);
    drop(old);
    let replaced = router.replace(read(&other, Some(router.rules())), 0.0, 0.0);
    assert!(held(&region) < one_set * 5 / 2);
    drop(replaced);
    let after = held(&region);
    assert!((after - one_set).abs() < one_set / 10, "{after} {one_set}");
}

#[test]
fn memory_is_as_at_first_after_ten_thousand_changes() {
    let _alone = alone();
    const RULES: usize = 40;
    let seed = 7;
    println!("seed {seed}");
    let mut random = Rand32::new(seed);
    let first: Vec<usize> = (0..RULES).collect();
    let text = |rules: &[usize]| -> String {
        let rules =
            rules.iter().map(|number| if number % 3 == 0 { mapping(*number) } else { route(*number) });
        [POOLS.to_string()].into_iter().chain(rules).collect()
    };
    let mut router = Router::new(read(&text(&first), None));
    let mut now = 0.0;
    let mut replace = |router: &mut Router, rules: &[usize]| {
        now += 1.0;
        let next = read(&text(rules), Some(router.rules()));
        drop(router.replace(next, now, 0.0).expect("bits for the pools"));
    };
    replace(&mut router, &first);
    let region = Region::new(GLOBAL);
    let (mut rules, mut most) = (first.clone(), 0);
    for _ in 0..CHANGES {
        let at = random.rand_range(0..RULES as u32) as usize;
        // Numbers that were never there before, and some that were.
        rules[at] = random.rand_range(0..1 << 20) as usize;
        rules.sort_unstable();
        rules.dedup();
        rules.resize_with(RULES, || random.rand_range(1 << 20..1 << 21) as usize);
        replace(&mut router, &rules);
        most = most.max(held(&region));
    }
    replace(&mut router, &first);
    let (left, whole) = (held(&region), router.rules().heap_bytes() as isize);
    println!("{left} bytes more after {CHANGES} changes, {most} at most, of {whole}");
    assert!(left.abs() < 2_000, "{left}");
    assert!(most < whole / 2, "{most} of {whole}");
    assert!(matches!(router.route(&request("/"), now), Verdict::Go(_)));
}

#[test]
fn reading_one_change_takes_a_small_part_of_reading_all() {
    let _alone = alone();
    for count in sizes() {
        let text = routes(count);
        let (begun, old) = (Instant::now(), read(&text, None));
        let all = begun.elapsed();
        let changed = text.replace("/programmes/7/", "/programmes/seven/");
        let (begun, new) = (Instant::now(), read(&changed, Some(&old)));
        let one = begun.elapsed();
        let mut router = Router::new(old);
        let begun = Instant::now();
        let replaced = router.replace(new, 0.0, 0.0);
        let replacing = begun.elapsed();
        println!("{count} routes: {all:?} to read, {one:?} with one change, {replacing:?} to replace");
        if count >= 1_000 {
            assert!(one < all / 2, "{one:?} of {all:?}");
        }
        drop(replaced);
    }
}
