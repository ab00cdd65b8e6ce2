//! Random texts of expressions and random inputs for them.
#![allow(dead_code)]

use crate::common::Request;
use driftgap_expr::Type;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::RngSeed;
use std::hash::{BuildHasher, RandomState};

/// A configuration with this many cases and a seed that is printed. A run with that seed in
/// `PROPTEST_RNG_SEED` has the same cases.
pub fn cases(cases: u32) -> ProptestConfig {
    let config = ProptestConfig::default();
    let seed = match config.rng_seed {
        RngSeed::Fixed(seed) => seed,
        RngSeed::Random => RandomState::new().hash_one(()),
    };
    println!("PROPTEST_RNG_SEED={seed}");
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..config
    }
}

/// Texts of boolean expressions, nested to a depth. The functions below generate the other types.
pub fn bool_text(depth: u32) -> BoxedStrategy<String> {
    let leaf = prop_oneof![
        Just("true".to_string()),
        Just("request.retry".to_string()),
        Just("has(request.agent)".to_string()),
        Just("request.partner.orValue('') == '0000000000000007'".to_string()),
        Just("request.agent.orValue('a') in ['b', 'c']".to_string()),
        Just("request.agent.orValue('a') == 'a'".to_string()),
        Just("has(request.partner) && request.partner.endsWith('7')".to_string()),
        Just("has(request.codes) && request.codes.all(c, c > 0)".to_string()),
        select(vec!["GET", "POST", "HEAD"]).prop_map(|m| format!("request.method == '{m}'")),
        select(vec!["/", "/episodes/", "/live/", "/e"])
            .prop_map(|p| format!("request.path.startsWith('{p}')")),
        Just("request.ip.inCidr(['10.0.0.0/8', 'fd00::/8'])".to_string()),
    ];
    if depth == 0 {
        return leaf.boxed();
    }
    let (b, i, t, d, u) = (
        || bool_text(depth - 1),
        || int_text(depth - 1),
        || text_text(depth - 1),
        || double_text(depth - 1),
        || duration_text(depth - 1),
    );
    let order = || select(vec!["<", "<=", ">", ">=", "==", "!="]);
    prop_oneof![
        leaf,
        (b(), b()).prop_map(move |(a, b)| format!("({a}) && ({b})")),
        (b(), b(), b()).prop_map(move |(a, b, c)| format!("({a}) || ({b}) || ({c})")),
        b().prop_map(move |a| format!("!({a})")),
        (i(), order(), i()).prop_map(move |(a, o, b)| format!("({a}) {o} ({b})")),
        (t(), order(), t()).prop_map(move |(a, o, b)| format!("({a}) {o} ({b})")),
        (d(), order(), d()).prop_map(move |(a, o, b)| format!("({a}) {o} ({b})")),
        (u(), order(), u()).prop_map(move |(a, o, b)| format!("({a}) {o} ({b})")),
        (t(), select(vec!["startsWith", "endsWith", "contains"]), t())
            .prop_map(move |(a, f, b)| format!("({a}).{f}({b})")),
        t().prop_map(move |a| format!("({a}).matches('^[a-z/]*[0-9]+')")),
        (t(), t()).prop_map(move |(a, b)| format!("({a}) in [({b}), 'GET']")),
        t().prop_map(move |a| format!("({a}) in ['GET', '/live/x', '']")),
        t().prop_map(move |a| format!("({a}) in request.tags")),
        t().prop_map(move |a| format!("({a}) in request.headers")),
        (t(), b()).prop_map(move |(a, b)| format!(
            "request.tags.exists(t{depth}, t{depth} == ({a}) || ({b}))"
        )),
        (i(), b())
            .prop_map(move |(a, b)| format!("[1, 2, 3].all(n{depth}, n{depth} < ({a}) && ({b}))")),
        (b(), b(), b()).prop_map(move |(a, b, c)| format!("({a}) ? ({b}) : ({c})")),
        (t(), b())
            .prop_map(move |(a, b)| format!("(let x{depth} = {a}; x{depth} == 'GET' || ({b}))")),
        t().prop_map(move |a| format!("has(({a}).split('/')[1])")),
    ]
    .boxed()
}

fn int_text(depth: u32) -> BoxedStrategy<String> {
    let leaf = prop_oneof![
        any::<i32>().prop_map(move |i| format!("({i})")),
        Just("request.size".to_string())
    ];
    if depth == 0 {
        return leaf.boxed();
    }
    let (b, i, t) = (
        || bool_text(depth - 1),
        || int_text(depth - 1),
        || text_text(depth - 1),
    );
    prop_oneof![
        leaf,
        (i(), select(vec!["+", "-", "*", "/", "%"]), i())
            .prop_map(move |(a, o, b)| format!("({a}) {o} ({b})")),
        i().prop_map(move |a| format!("-({a})")),
        t().prop_map(move |a| format!("size({a})")),
        t().prop_map(move |a| format!("int({a}).orValue(5)")),
        t().prop_map(move |a| format!("hash({a}, 1000)")),
        t().prop_map(move |a| format!("({a}).split('/', 4).size()")),
        (i(), i()).prop_map(move |(a, b)| format!("min({a}, {b})")),
        (b(), i(), i()).prop_map(move |(a, b, c)| format!("({a}) ? ({b}) : ({c})")),
        i().prop_map(move |a| format!("[7, 8][{a}].orValue(9)")),
        duration_text(depth - 1).prop_map(move |a| format!("({a}).milliseconds()")),
        double_text(depth - 1).prop_map(move |a| format!("int({a}).orValue(1)")),
    ]
    .boxed()
}

fn double_text(depth: u32) -> BoxedStrategy<String> {
    let leaf = prop_oneof![
        Just("load".to_string()),
        Just("request.units.orValue(1.5)".to_string()),
        (0u32..1000).prop_map(move |i| format!("{}.25", i)),
    ];
    if depth == 0 {
        return leaf.boxed();
    }
    let d = || double_text(depth - 1);
    prop_oneof![
        leaf,
        (d(), select(vec!["+", "-", "*", "/"]), d())
            .prop_map(move |(a, o, b)| format!("({a}) {o} ({b})")),
        int_text(depth - 1).prop_map(move |a| format!("double({a})")),
        text_text(depth - 1).prop_map(move |a| format!("double({a}).orValue(0.5)")),
        (bool_text(depth - 1), d(), d())
            .prop_map(move |(a, b, c)| format!("({a}) ? ({b}) : ({c})")),
    ]
    .boxed()
}

fn duration_text(depth: u32) -> BoxedStrategy<String> {
    let leaf = prop_oneof![
        Just("request.wait".to_string()),
        Just("duration('1.5s')".to_string())
    ];
    if depth == 0 {
        return leaf.boxed();
    }
    let u = || duration_text(depth - 1);
    prop_oneof![
        leaf,
        (u(), select(vec!["+", "-"]), u()).prop_map(move |(a, o, b)| format!("({a}) {o} ({b})")),
        (u(), int_text(depth - 1)).prop_map(move |(a, b)| format!("({a}) * ({b})")),
        (u(), int_text(depth - 1)).prop_map(move |(a, b)| format!("({a}) / ({b})")),
    ]
    .boxed()
}

fn text_text(depth: u32) -> BoxedStrategy<String> {
    let leaf = prop_oneof![
        select(vec![
            "request.path",
            "request.method",
            "request.partner.orValue('none')",
            "''",
            "'Abc/12'"
        ])
        .prop_map(str::to_string),
        Just("request.headers['accept'].orValue('')".to_string()),
        Just("request.tags[1].orValue('none')".to_string()),
    ];
    if depth == 0 {
        return leaf.boxed();
    }
    let t = || text_text(depth - 1);
    prop_oneof![
        leaf,
        (t(), t()).prop_map(move |(a, b)| format!("({a}) + ({b})")),
        t().prop_map(move |a| format!("({a}).lowerAscii()")),
        (t(), 0..3).prop_map(move |(a, i)| format!("({a}).split('/')[{i}].orValue('-')")),
        int_text(depth - 1).prop_map(move |a| format!("string({a})")),
        double_text(depth - 1).prop_map(move |a| format!("string({a})")),
        (bool_text(depth - 1), t(), t())
            .prop_map(move |(a, b, c)| format!("({a}) ? ({b}) : ({c})")),
        t().prop_map(move |a| format!("{{'GET': 'g', 'POST': 'p'}}[{a}].orValue('x')")),
        (t(), t()).prop_map(move |(a, b)| format!("(let y{depth} = {a}; y{depth} + ({b}))")),
    ]
    .boxed()
}

/// Inputs within the bounds of the schema, many of them exactly at a bound.
pub fn request() -> impl Strategy<Value = Request> {
    let path = prop_oneof![
        select(vec!["/", "/episodes/1/audio", "/live/x", "12", "é/12"]).prop_map(str::to_string),
        "[a-zA-Z/0-9,]{0,64}",
        Just("/".repeat(64)),
        Just("A".repeat(64)),
    ];
    let small = (
        select(vec!["GET", "POST", "HEAD", "OPTIONS1"]),
        prop::option::of("[0-9a-f]{16}"),
        prop::option::of("[a-z]{0,64}"),
        prop::option::of(0.0..1e9f64),
        any::<i64>(),
    );
    let large = (
        any::<[u8; 4]>(),
        -100_000..100_000i64,
        prop::collection::vec(("[a-z-]{1,32}", "[ -~]{0,32}"), 0..8),
        prop::collection::vec("[a-z]{0,16}", 0..5),
        any::<bool>(),
        prop::option::of(prop::collection::vec(any::<i64>(), 0..5)),
    );
    (path, small, large).prop_map(|(path, small, large)| {
        let (method, partner, agent, units, size) = small;
        let (ip, wait, headers, mut tags, retry, codes) = large;
        tags.truncate(4);
        let codes = codes.map(|mut all: Vec<i64>| {
            all.truncate(4);
            all
        });
        let method = method.to_string();
        Request {
            path,
            method,
            partner,
            agent,
            units,
            size,
            ip: ip.into(),
            wait,
            headers,
            tags,
            retry,
            load: 0.5,
            codes,
        }
    })
}

/// Texts of expressions with their types.
pub fn typed() -> impl Strategy<Value = (String, Type)> {
    prop_oneof![
        3 => bool_text(3).prop_map(|t| (t, Type::Bool)),
        1 => int_text(3).prop_map(|t| (t, Type::Int)),
        1 => text_text(3).prop_map(|t| (t, Type::Text)),
        1 => duration_text(3).prop_map(|t| (t, Type::Duration)),
        1 => double_text(3).prop_map(|t| (t, Type::Double)),
    ]
}
