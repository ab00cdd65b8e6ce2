//! Measures the time per request for sets of rules of several sizes, and compares it with the same
//! tests in rhai and `cel-interpreter`. The request matches the last rule, which is the worst case.
//! The other engines read prepared inputs, so that only evaluation is compared.

use cel_interpreter::{Context, Program};
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use driftgap_expr::{Expression, FieldId, Input, Scratch, Value};
use driftgap_routes::{
    request_schema, Catalog, Effect, NoHeaders, Request, Router, Rules, Verdict,
};
use rhai::{Engine, Map, Scope, AST};
use std::hint::black_box;
use std::net::IpAddr;

const SIZES: [usize; 4] = [1, 10, 100, 1000];
/// Sizes of the rule sets that the index can select from.
const INDEXED_SIZES: [usize; 5] = [1, 10, 100, 1000, 63_000];

fn catalog() -> Catalog {
    Catalog {
        classes: vec![("fetch-episode".into(), Effect::Pure)],
        plans: vec!["city".into()],
        max_units: 4.0,
    }
}

fn request<'a>(path: &'a str) -> Request<'a> {
    Request {
        protocol: "http2",
        method: "GET",
        path,
        query: None,
        host: None,
        headers: &NoHeaders,
        class: None,
        plan: None,
        partner: Some("0000000000000007"),
        id: Some("k"),
        units: Some(1.0),
        deadline_ms: Some(900),
        retry: false,
        length: None,
        client: IpAddr::from([127, 0, 0, 1]),
    }
}

fn test(i: usize) -> String {
    format!("request.method == \"GET\" && request.path.startsWith(\"/programmes/{i}/\")")
}

/// The input of the expressions in the comparison with other engines.
struct Prepared {
    path: String,
}

impl Input for Prepared {
    fn get(&self, field: FieldId) -> Option<Value<'_>> {
        match field.0 {
            1 => Some(Value::Text("GET")),
            2 => Some(Value::Text(&self.path)),
            _ => None,
        }
    }
}

/// Creates a router with `size` rules with these tests, each with a cheap action.
fn router(size: usize, test: impl Fn(usize) -> String) -> Router {
    let rule = |i| {
        format!(
            "[[rule]]\nname = 'r{i}'\nwhen = '''{}'''\npool = '\"any\"'\n",
            test(i)
        )
    };
    let text: String = (0..size).map(rule).collect();
    let text = format!("[cost]\nexpression = 100000\nrequest = 10000000\n{text}");
    Router::new(Rules::read(&text, "bench", &catalog()).expect("valid rules"))
}

fn route(c: &mut Criterion) {
    let mut group = c.benchmark_group("route");
    for size in INDEXED_SIZES {
        let path = format!("/programmes/{}/audio", size - 1);
        let request = request(&path);
        let mut prefix = router(size, test);
        group.bench_function(BenchmarkId::new("prefix", size), |b| {
            b.iter(|| match prefix.route(black_box(&request), 0.0) {
                Verdict::Forward(route) => route.pools,
                _ => 0,
            });
        });
        let mut equal = router(size, |i| {
            format!("request.path == \"/programmes/{i}/audio\"")
        });
        group.bench_function(BenchmarkId::new("equal", size), |b| {
            b.iter(|| equal.route(black_box(&request), 0.0))
        });
    }
    for size in SIZES {
        let path = format!("/programmes/{}/audio", size - 1);
        let request = request(&path);
        // The index cannot select among these rules, so each of them is evaluated.
        let mut contains = router(size, |i| format!("request.path.contains(\"/{i}/\")"));
        group.bench_function(BenchmarkId::new("contains", size), |b| {
            b.iter(|| contains.route(black_box(&request), 0.0));
        });
    }
    group.finish();
}

fn engines(c: &mut Criterion) {
    let mut group = c.benchmark_group("others");
    for size in SIZES {
        let path = format!("/programmes/{}/audio", size - 1);
        // Evaluates the expressions one by one, without the index.
        let schema = request_schema();
        let own: Vec<Expression> = (0..size)
            .map(|i| Expression::new(&test(i), &schema).expect("valid expression"))
            .collect();
        let (input, mut scratch) = (Prepared { path: path.clone() }, Scratch::default());
        group.bench_function(BenchmarkId::new("driftgap-expr", size), |b| {
            b.iter(|| {
                own.iter()
                    .position(|test| test.test(black_box(&input), &mut scratch) == Ok(true))
            });
        });
        let engine = Engine::new();
        let rhai: Vec<AST> = (0..size)
            .map(|i| {
                let text = format!(
                    "request.method == \"GET\" && request.path.starts_with(\"/programmes/{i}/\")"
                );
                engine
                    .compile_expression(text)
                    .expect("valid rhai expression")
            })
            .collect();
        let mut map = Map::new();
        map.insert("method".into(), "GET".into());
        map.insert("path".into(), path.clone().into());
        let mut scope = Scope::new();
        scope.push_constant("request", map);
        group.bench_function(BenchmarkId::new("rhai", size), |b| {
            b.iter(|| {
                rhai.iter().position(|test| {
                    engine
                        .eval_ast_with_scope::<bool>(&mut scope, test)
                        .unwrap()
                })
            });
        });
        let cel: Vec<Program> = (0..size)
            .map(|i| Program::compile(&test(i)).expect("valid CEL expression"))
            .collect();
        let mut context = Context::default();
        let fields = std::collections::HashMap::from([("method", "GET"), ("path", path.as_str())]);
        context
            .add_variable("request", fields)
            .expect("valid variable");
        group.bench_function(BenchmarkId::new("cel-interpreter", size), |b| {
            b.iter(|| {
                cel.iter()
                    .position(|test| test.execute(&context).unwrap() == true.into())
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(30).warm_up_time(std::time::Duration::from_millis(500))
        .measurement_time(std::time::Duration::from_secs(2));
    targets = route, engines
}
criterion_main!(benches);
