//! The memory of rules, measured with a counting allocator, and the time for reading them. The
//! tests run one after the other on the main thread, because the counters belong to the process and
//! the standard harness allocates on its own threads meanwhile.

mod common;

use common::{mapping, read_with_previous, request, route, routes, POOLS};
use driftgap_routes::{Router, Rules, Verdict, DEFAULT_MAX_BYTES};
use libtest_mimic::{Arguments, Trial};
use oorandom::Rand32;
use peak_alloc::PeakAlloc;
use std::time::Instant;

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Maximum heap of a route, in bytes.
const MAX_BYTES_PER_ROUTE: f64 = 400.0;
/// Maximum heap of a mapping rule with its own id, in bytes.
const MAX_BYTES_PER_MAPPING: f64 = 800.0;
/// Bytes that reading takes for each rule temporarily.
const WORKING_BYTES: usize = 100;
/// Bytes that are reserved for each byte of a text that is parsed in one piece.
const PARSED_FACTOR: f64 = 128.0;
/// Bytes that reading takes for any file, whatever its size.
const FIXED_BYTES: usize = 64 * 1024;
/// Number of changes of one file.
const CHANGES: usize = 10_000;

/// The memory that is allocated after a point in time.
struct Region {
    before: usize,
}

impl Region {
    fn new() -> Region {
        ALLOCATOR.reset_peak_usage();
        Region {
            before: ALLOCATOR.current_usage(),
        }
    }

    /// Returns the bytes that are allocated now.
    fn allocated(&self) -> isize {
        ALLOCATOR.current_usage() as isize - self.before as isize
    }

    /// Returns the maximum of the bytes that were allocated at any time.
    fn peak(&self) -> usize {
        ALLOCATOR.peak_usage().saturating_sub(self.before)
    }
}

/// Returns the numbers of routes that are measured; with optimisation up to the required maximum.
fn sizes() -> Vec<usize> {
    if cfg!(debug_assertions) {
        vec![100, 1_000, 10_000]
    } else {
        vec![100, 1_000, 10_000, 63_000]
    }
}

fn read(text: &str, previous: Option<&Rules>) -> Rules {
    read_with_previous(text, previous).unwrap_or_else(|faults| panic!("{}", faults.join("\n")))
}

/// Reads a file and returns the bytes that each of its rules takes.
fn bytes_per_rule(text: &str) -> f64 {
    let region = Region::new();
    let rules = read(text, None);
    let each = region.allocated() as f64 / rules.len() as f64;
    let estimated = rules.heap_bytes() as f64 / rules.len() as f64;
    println!(
        "{} rules: {each:.0} bytes each, {estimated:.0} by estimate",
        rules.len()
    );
    assert!(
        (0.8..=1.25).contains(&(estimated / each)),
        "{estimated} for {each}"
    );
    each
}

/// An operator plans for 63,000 routes. If a rule took more than the documented memory, a file that
/// should fit would not.
fn route_takes_at_most_400_bytes() {
    // Excludes what is allocated once per process.
    drop(read(&routes(1), None));
    for count in sizes() {
        let each = bytes_per_rule(&routes(count));
        assert!(
            each <= MAX_BYTES_PER_ROUTE,
            "{count} routes: {each} bytes each"
        );
        let mappings: String = (0..count).map(mapping).collect();
        let each = bytes_per_rule(&mappings);
        assert!(
            each <= MAX_BYTES_PER_MAPPING,
            "{count} mappings: {each} bytes each"
        );
    }
}

/// One rule of a large file is edited. If a reload held every unchanged rule twice, a file that
/// takes half of the memory could not be reloaded.
fn old_and_new_rules_share_unchanged_rules() {
    const RULES: usize = 5_000;
    let text = routes(RULES);
    let changed = text.replace("/programmes/7/", "/programmes/seven/");
    let other: String = [POOLS.to_string()]
        .into_iter()
        .chain((RULES..2 * RULES).map(route))
        .collect();
    let region = Region::new();
    let old = read(&text, None);
    let one_set = region.allocated();
    let new = read(&changed, Some(&old));
    let both = region.allocated();
    println!("{one_set} bytes for one set, {both} for two that differ in one rule");
    assert!(both < one_set * 3 / 2, "{both} {one_set}");
    // A file in which every rule has changed is held in addition to the old one until that is
    // dropped.
    let mut router = Router::new(new);
    drop(old);
    let replaced = router.replace(read(&other, Some(router.rules())), 0.0, 0.0);
    assert!(region.allocated() < one_set * 5 / 2);
    drop(replaced);
    let after = region.allocated();
    assert!((after - one_set).abs() < one_set / 10, "{after} {one_set}");
}

/// A reload runs while requests are served. If reading took more than its limit, the process could
/// be killed for its memory.
fn reading_stays_within_memory_limit() {
    for count in sizes() {
        let text = routes(count);
        let region = Region::new();
        let old = read(&text, None);
        let first = region.peak();
        let one = text.replace("/programmes/7/", "/programmes/seven/");
        let region = Region::new();
        let new = read(&one, Some(&old));
        let one_change = region.peak();
        let other: String = [POOLS.to_string()]
            .into_iter()
            .chain((count..2 * count).map(route))
            .collect();
        let region = Region::new();
        let changed = read(&other, Some(&new));
        let all_changed = region.peak();
        let (file, set) = (text.len(), new.heap_bytes());
        println!("{count} routes, {file} bytes, {set} by estimate: at most {first} to read, {one_change} beside the old ones with one change, {all_changed} with another file");
        let whole = file + set + changed.heap_bytes() + WORKING_BYTES * count;
        assert!(
            file + set + all_changed <= whole + FIXED_BYTES,
            "{all_changed}"
        );
        assert!(
            one_change <= WORKING_BYTES * count + changed.heap_bytes() / 8 + FIXED_BYTES,
            "{one_change}"
        );
        assert!(whole < DEFAULT_MAX_BYTES);
    }
}

/// A malicious or truncated file is parsed in one piece. The parser must take no more for each byte
/// than is reserved for it.
fn parsing_one_piece_stays_within_reserved_memory() {
    let list = |item: &str| format!("rule = [{}", item.repeat(10_000));
    let tables = |table: &str| -> String {
        (0..20_000)
            .map(|i| table.replace('a', &format!("a{i}")))
            .collect()
    };
    let ordinary = [
        list("{ name = 'r', limit = { key = '\"a\"', rate = 1 } },\n"),
        list("1,"),
        list("[],"),
        list("{},"),
        list("'',"),
        tables("[a]\n"),
        tables("[[a]]\n"),
        tables("a = 1\n"),
    ];
    for text in ordinary {
        let each = parsed_bytes_per_byte(&text);
        assert!(each <= PARSED_FACTOR, "{each}");
    }
    // Each dot of a key creates a table of its own, which the reserve does not cover.
    for text in [
        list("{a.a=1},"),
        tables("[a.b.c.d]\n"),
        tables("a.b.c = 1\n"),
    ] {
        parsed_bytes_per_byte(&text);
    }
}

/// Returns the parser's memory per byte of a faulty text, from which nothing else is built.
fn parsed_bytes_per_byte(text: &str) -> f64 {
    let region = Region::new();
    assert!(read_with_previous(text, None).is_err());
    let each = region.peak() as f64 / text.len() as f64;
    println!(
        "{:?}: {each:.0} bytes a byte",
        text.get(..24).unwrap_or(text)
    );
    each
}

/// A file has limits on many rules, and few of them meet a request. The tables of the others must
/// not be allocated.
fn limit_table_is_allocated_with_first_request() {
    let text = "[[rule]]\nname = 'l'\nlimit = { key = '\"all\"', rate = 1 }\n";
    drop(read(text, None));
    let region = Region::new();
    let mut router = Router::new(read(text, None));
    let before = region.allocated();
    assert!(matches!(
        router.route(&request("/"), 0.0),
        Verdict::Forward(_)
    ));
    let after = region.allocated();
    println!("{before} bytes before the first request, {after} after it");
    assert!(before < 4_000, "{before}");
    assert!(after - before >= 16_384 * 16, "{after}");
    // The estimate does not include what is allocated once, whatever the number of rules.
    assert!(router.rules().heap_bytes() as isize > after - 4_000);
}

/// Rules are reloaded for months. Shared data must be freed with the last rule that uses it, or
/// memory grows with each reload.
fn memory_does_not_grow_over_ten_thousand_changes() {
    const RULES: usize = 40;
    let seed = 7;
    println!("seed {seed}");
    let mut random = Rand32::new(seed);
    let first: Vec<usize> = (0..RULES).collect();
    let text = |rules: &[usize]| -> String {
        let rules = rules.iter().map(|number| {
            if number % 3 == 0 {
                mapping(*number)
            } else {
                route(*number)
            }
        });
        [POOLS.to_string()].into_iter().chain(rules).collect()
    };
    let mut router = Router::new(read(&text(&first), None));
    let mut now = 0.0;
    let mut replace = |router: &mut Router, rules: &[usize]| {
        now += 1.0;
        let next = read(&text(rules), Some(router.rules()));
        drop(
            router
                .replace(next, now, 0.0)
                .expect("enough free pool bits"),
        );
    };
    replace(&mut router, &first);
    let region = Region::new();
    let (mut rules, mut max) = (first.clone(), 0);
    for _ in 0..CHANGES {
        let at = random.rand_range(0..RULES as u32) as usize;
        // Some numbers are new, and some have been used before.
        rules[at] = random.rand_range(0..1 << 20) as usize;
        rules.sort_unstable();
        rules.dedup();
        rules.resize_with(RULES, || random.rand_range(1 << 20..1 << 21) as usize);
        replace(&mut router, &rules);
        max = max.max(region.allocated());
    }
    replace(&mut router, &first);
    let (left, whole) = (region.allocated(), router.rules().heap_bytes() as isize);
    println!("{left} bytes more after {CHANGES} changes, {max} at most, of {whole}");
    assert!(left.abs() < 2_000, "{left}");
    assert!(max < whole / 2, "{max} of {whole}");
    assert!(matches!(
        router.route(&request("/"), now),
        Verdict::Forward(_)
    ));
}

/// One rule of a large file is edited on a loaded ingress. The cost of the reload must depend on
/// what changed, not on the size of the file.
fn reading_one_change_is_faster_than_reading_all() {
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
        println!(
            "{count} routes: {all:?} to read, {one:?} with one change, {replacing:?} to replace"
        );
        if count >= 1_000 {
            assert!(one < all / 2, "{one:?} of {all:?}");
        }
        drop(replaced);
    }
}

/// Creates a test that is named after its function.
macro_rules! trial {
    ($test:ident) => {
        Trial::test(stringify!($test), || {
            $test();
            Ok(())
        })
    };
}

fn main() {
    let mut arguments = Arguments::from_args();
    arguments.test_threads = Some(1);
    let tests = vec![
        trial!(route_takes_at_most_400_bytes),
        trial!(old_and_new_rules_share_unchanged_rules),
        trial!(reading_stays_within_memory_limit),
        trial!(parsing_one_piece_stays_within_reserved_memory),
        trial!(limit_table_is_allocated_with_first_request),
        trial!(memory_does_not_grow_over_ten_thousand_changes),
        trial!(reading_one_change_is_faster_than_reading_all),
    ];
    libtest_mimic::run(&arguments, tests).exit();
}
