//! Nanoseconds for a request against sets of rules, beside the same tests in rhai and in `cel-interpreter`. The
//! request matches the last rule, the worst place. The others read prepared inputs, so that only evaluation is
//! compared.

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
/// Sizes of sets that the index tells apart.
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

/// What the others read, for the expressions alone.
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

/// A router over so many rules with these tests, each of which does something small.
fn router(size: usize, test: impl Fn(usize) -> String) -> Router {
    let rule = |i| {
        format!(
            "[[rule]]\nname = 'r{i}'\nwhen = '''{}'''\npool = '\"any\"'\n",
            test(i)
        )
    };
    let text: String = (0..size).map(rule).collect();
    let text = format!("[cost]\nexpression = 100000\nrequest = 10000000\n{text}");
    Router::new(Rules::read(&text, "bench", &catalog()).expect("rules"))
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
        // Nothing tells these apart but looking.
        let mut contains = router(size, |i| format!("request.path.contains(\"/{i}/\")"));
        group.bench_function(BenchmarkId::new("contains", size), |b| {
            b.iter(|| contains.route(black_box(&request), 0.0));
        });
    }
    group.finish();
}

fn others(c: &mut Criterion) {
    let mut group = c.benchmark_group("others");
    for size in SIZES {
        let path = format!("/programmes/{}/audio", size - 1);
        // One by one as well, without the index.
        let schema = request_schema();
        let own: Vec<Expression> = (0..size)
            .map(|i| Expression::new(&test(i), &schema).expect("own"))
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
                engine.compile_expression(text).expect("rhai")
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
            .map(|i| Program::compile(&test(i)).expect("cel"))
            .collect();
        let mut context = Context::default();
        let fields = std::collections::HashMap::from([("method", "GET"), ("path", path.as_str())]);
        context.add_variable("request", fields).expect("variable");
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
    targets = route, others
}
criterion_main!(benches);
