//! Time to choose the tests that can be true for a request and to evaluate the chosen ones, with
//! few tests and with many. The requests match tests spread over all of them. A second group
//! measures the time to build the index.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use driftgap_expr::{
    Chosen, Compiled, Expression, FieldId, Input, Interner, Schema, Scratch, SelectKey, Selector,
    Type, Value,
};
use std::hint::black_box;

const SIZES: [usize; 2] = [1_000, 63_000];

struct Request {
    path: String,
    host: String,
}

impl Input for Request {
    fn get(&self, field: FieldId) -> Option<Value<'_>> {
        match field.0 {
            0 => Some(Value::Text("GET")),
            1 => Some(Value::Text(&self.path)),
            2 => Some(Value::Text(&self.host)),
            _ => None,
        }
    }
}

fn schema() -> Schema {
    Schema::new()
        .field("request.method", Type::Text, 32, 0)
        .field("request.path", Type::Text, 2048, 0)
        .field("request.host", Type::Text, 256, 0)
}

/// Compiled tests and the index over them.
struct Tests {
    compiled: Vec<Compiled>,
    selector: Selector,
}

impl Tests {
    fn new(size: usize, text: impl Fn(usize) -> String) -> Tests {
        let (schema, mut interner) = (schema(), Interner::new());
        let mut keys: Vec<SelectKey> = Vec::new();
        let mut compiled = Vec::new();
        for number in 0..size {
            let expression = Expression::new(&text(number), &schema).expect("a valid test");
            keys.push(expression.select_key(&mut interner));
            compiled.push(expression.compile(&mut interner));
        }
        Tests {
            compiled,
            selector: Selector::new(keys.iter()),
        }
    }

    /// The first test that is true.
    fn first(
        &self,
        request: &Request,
        chosen: &mut Chosen,
        scratch: &mut Scratch,
    ) -> Option<usize> {
        self.selector.choose(request, chosen);
        let found = chosen
            .iter()
            .find(|number| self.compiled[*number].test(request, scratch) == Ok(true));
        found
    }
}

fn by_prefix(number: usize) -> String {
    let (radio, route) = (number / 100, number % 100);
    format!("request.path.startsWith('/radio-{radio}/route-{route}/') && request.method == 'GET'")
}

fn by_path(number: usize) -> String {
    format!(
        "request.path == '/radio-{}/route-{}/live'",
        number / 100,
        number % 100
    )
}

/// Ten tests for each host.
fn by_host(number: usize) -> String {
    let (service, path) = (number / 10, number % 10);
    format!("request.host == 'svc-{service}.example' && request.path.startsWith('/x/{path}/')")
}

/// Prefixes of 100 different lengths, so that a look-up has as many lengths to try.
fn of_all_lengths(number: usize) -> String {
    let filler = "x".repeat(number % 100);
    format!(
        "request.path.startsWith('/{filler}-{}') && request.method == 'GET'",
        number / 100
    )
}

type Workload = (&'static str, fn(usize) -> String, fn(usize) -> Request);

fn request(path: String, host: String) -> Request {
    Request { path, host }
}

const WORKLOADS: [Workload; 4] = [
    ("prefix", by_prefix, |n| {
        request(
            format!("/radio-{}/route-{}/live", n / 100, n % 100),
            String::new(),
        )
    }),
    ("path", by_path, |n| {
        request(
            format!("/radio-{}/route-{}/live", n / 100, n % 100),
            String::new(),
        )
    }),
    ("host", by_host, |n| {
        request(
            format!("/x/{}/live", n % 10),
            format!("svc-{}.example", n / 10),
        )
    }),
    ("all-lengths", of_all_lengths, |n| {
        request(
            format!("/{}-{}/live", "x".repeat(n % 100), n / 100),
            String::new(),
        )
    }),
];

fn select(c: &mut Criterion) {
    let mut group = c.benchmark_group("select");
    for (name, text, request) in WORKLOADS {
        for size in SIZES {
            let tests = Tests::new(size, text);
            // Cycles through different requests, so that the parts of the index in use do not all
            // fit into the L1 cache.
            let requests: Vec<Request> =
                (0..256).map(|i| request((i * 7919 + 13) % size)).collect();
            let (mut chosen, mut scratch) = (Chosen::default(), Scratch::default());
            let found =
                |request| tests.first(request, &mut Chosen::default(), &mut Scratch::default());
            assert!(
                requests.iter().all(|request| found(request).is_some()),
                "{name}: a request matches no test"
            );
            let mut next = requests.iter().cycle();
            group.bench_function(BenchmarkId::new(name, size), |b| {
                b.iter(|| {
                    tests.first(
                        black_box(next.next().expect("the cycle is endless")),
                        &mut chosen,
                        &mut scratch,
                    )
                });
            });
        }
    }
    group.finish();
}

/// Measures building the index from the keys of the tests.
fn build(c: &mut Criterion) {
    let mut group = c.benchmark_group("build");
    group.sample_size(10);
    for (name, text, _) in WORKLOADS {
        for size in SIZES {
            let (schema, mut interner) = (schema(), Interner::new());
            let key = |number| {
                Expression::new(&text(number), &schema)
                    .expect("a valid test")
                    .select_key(&mut interner)
            };
            let keys: Vec<SelectKey> = (0..size).map(key).collect();
            group.bench_function(BenchmarkId::new(name, size), |b| {
                b.iter(|| Selector::new(keys.iter()))
            });
        }
    }
    group.finish();
}

criterion_group!(benches, select, build);
criterion_main!(benches);
