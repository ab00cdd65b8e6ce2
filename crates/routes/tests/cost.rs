//! The highest cost of a request that is computed for a file: no request exceeds it, and it does
//! not add up rules that no request reaches together.

mod common;

use common::{catalog, read_with_previous, request, routes, POOLS};
use driftgap_routes::{Explainer, Request, MAX_PATH};
use oorandom::Rand32;

/// Number of random files.
const FILES: u64 = 40;
/// Number of random requests for each file.
const REQUESTS: usize = 60;

/// Paths that are prefixes of each other.
const PATHS: [&str; 8] = ["/", "/a", "/a/", "/a/b", "/a/b/c", "/b", "/b/c", "/a/c"];
const METHODS: [&str; 3] = ["GET", "POST", "PUT"];

fn one_of<'a>(random: &mut Rand32, all: &[&'a str]) -> &'a str {
    all[random.rand_range(0..all.len() as u32) as usize]
}

fn rule(random: &mut Rand32, number: usize) -> String {
    let (path, other, method) = (
        one_of(random, &PATHS),
        one_of(random, &PATHS),
        one_of(random, &METHODS),
    );
    let when = match random.rand_range(0..7) {
        0 => format!("request.path == \"{path}\""),
        1 => format!("request.path.startsWith(\"{path}\")"),
        2 => format!("request.path in [\"{path}\", \"{other}\"]"),
        3 => format!("request.path.startsWith(\"{path}\") || request.path.startsWith(\"{other}\")"),
        4 => format!("request.method == \"{method}\""),
        5 => format!("request.partner.orValue(\"\") == \"{path}\""),
        _ => format!("request.path.contains(\"{path}\")"),
    };
    let action = match random.rand_range(0..4) {
        0 => "notes = { n = 'request.path + request.method' }",
        1 => "pool = 'request.retry ? \"dar\" : \"any\"'",
        2 => "notes = { a = '\"1\"', b = 'request.partner.orValue(\"none\")' }\npool = '\"tanga\"'",
        _ => "limit = { key = 'request.path', rate = 100 }",
    };
    let go_on = random.rand_range(0..4) > 0;
    format!("[[rule]]\nname = 'r{number}'\nwhen = '{when}'\n{action}\ngo_on = {go_on}\n")
}

/// Returns the cost of a request, with each expression evaluated by itself.
fn spent(explainer: &Explainer, request: &Request<'_>) -> u64 {
    let reached = explainer
        .explain(request)
        .into_iter()
        .filter(|rule| !rule.ruled_out && !rule.skipped);
    reached
        .flat_map(|rule| rule.expressions)
        .filter_map(|(_, steps)| steps.first().map(|whole| whole.cost))
        .sum()
}

/// Operators rely on the highest cost that `rules check` prints. The test searches for a request
/// that exceeds it, with random files and requests.
#[test]
fn no_request_exceeds_computed_cost() {
    let mut highest_share = 0.0f64;
    for seed in 0..FILES {
        println!("seed {seed}");
        let random = &mut Rand32::new(seed);
        let rules: String = (0..30).map(|number| rule(random, number)).collect();
        let text = format!("{POOLS}{rules}");
        let explainer = Explainer::read(&text, "rules.toml", None, &catalog())
            .unwrap_or_else(|faults| panic!("{faults:?}"));
        let max = explainer.rules().cost();
        for _ in 0..REQUESTS {
            let mut path = one_of(random, &PATHS).to_string();
            if random.rand_range(0..2) == 0 {
                // The bound is computed for texts of maximum length.
                path.push_str(&"/a/b/c".repeat(MAX_PATH / 6));
                path.truncate(MAX_PATH);
            }
            let path = &path;
            let partner = Some(one_of(random, &PATHS));
            let random_request = Request {
                method: one_of(random, &METHODS),
                partner,
                ..request(path)
            };
            let spent = spent(&explainer, &random_request);
            assert!(spent <= max, "{path}: {spent} of {max}\n{text}");
            highest_share = highest_share.max(spent as f64 / max as f64);
        }
    }
    println!("at most {highest_share:.2} of the bound was spent");
    assert!(highest_share > 0.1, "{highest_share}");
}

/// A file has thousands of routes, of which a request reaches one. If the bound added up all of
/// them, the file would be refused.
#[test]
fn cost_excludes_rules_not_reached_together() {
    let few = read_with_previous(&routes(10), None).unwrap();
    let many = read_with_previous(&routes(3_000), None).unwrap();
    assert!(
        many.cost() < 2 * few.cost(),
        "{} {}",
        many.cost(),
        few.cost()
    );
    // A path reaches the rules for all of its prefixes.
    let chain = |length: usize| -> String {
        let prefix = |i: usize| "/a".repeat(i + 1);
        let rule = |i| {
            format!("[[rule]]\nname = 'r{i}'\nwhen = 'request.path.startsWith(\"{}\")'\npool = '\"any\"'\ngo_on = true\n", prefix(i))
        };
        (0..length).map(rule).collect()
    };
    let (one, five) = (
        read_with_previous(&chain(1), None).unwrap().cost(),
        read_with_previous(&chain(5), None).unwrap().cost(),
    );
    assert!(five >= 5 * one, "{five} {one}");
    // A request reaches the rules of both fields.
    let both = format!(
        "{}[[rule]]\nname = 'm'\nwhen = 'request.method == \"GET\"'\npool = '\"any\"'\ngo_on = true\n",
        chain(1)
    );
    assert!(read_with_previous(&both, None).unwrap().cost() > one);
}
