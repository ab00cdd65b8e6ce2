//! `driftgap rules`: checks a file of rules, explains a request's way through it, measures it. It owns the form
//! of what it prints and of the request's JSON. It must never judge anything itself: the ingress and this read
//! the same rules by the same code.

use crate::config::settings::Config;
use crate::routing::{catalog, Source};
use driftgap_routes::{Explained, Explainer, Fault, Headers, Request, Router, Rules, Verdict};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::IpAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// How long each size of a set of rules is measured.
const MEASURED: Duration = Duration::from_millis(200);

/// A request as a JSON file gives it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sample {
    /// `http2` or `resp`.
    #[serde(default = "http2")]
    protocol: String,
    #[serde(default = "get")]
    method: String,
    path: String,
    query: Option<String>,
    host: Option<String>,
    #[serde(default)]
    headers: BTreeMap<String, String>,
    class: Option<String>,
    plan: Option<String>,
    partner: Option<String>,
    id: Option<String>,
    units: Option<f64>,
    deadline_ms: Option<i64>,
    #[serde(default)]
    retry: bool,
    length: Option<i64>,
    #[serde(default = "local")]
    client: IpAddr,
}

fn http2() -> String {
    "http2".into()
}

fn get() -> String {
    "GET".into()
}

fn local() -> IpAddr {
    IpAddr::from([127, 0, 0, 1])
}

impl Headers for Sample {
    fn get(&self, name: &str) -> Option<&[u8]> {
        self.headers.get(name).map(String::as_bytes)
    }

    fn count(&self) -> usize {
        self.headers.len()
    }
}

impl Sample {
    /// The request of a file.
    ///
    /// # Errors
    /// It cannot be read, or a field makes no sense.
    pub fn read(path: &Path) -> Result<Sample, String> {
        let place = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{place}: {e}"))?;
        let mut sample: Sample =
            serde_json::from_str(&text).map_err(|e| format!("{place}: {e}"))?;
        // As on the wire, names of headers are in lower case.
        let headers = std::mem::take(&mut sample.headers);
        sample.headers = headers
            .into_iter()
            .map(|(name, value)| (name.to_ascii_lowercase(), value))
            .collect();
        Ok(sample)
    }

    fn request(&self) -> Request<'_> {
        Request {
            protocol: &self.protocol,
            method: &self.method,
            path: &self.path,
            query: self.query.as_deref(),
            host: self.host.as_deref(),
            headers: self,
            class: self.class.as_deref(),
            plan: self.plan.as_deref(),
            partner: self.partner.as_deref(),
            id: self.id.as_deref(),
            units: self.units,
            deadline_ms: self.deadline_ms,
            retry: self.retry,
            length: self.length,
            client: self.client,
        }
    }
}

fn read(file: &Path, config: &Config) -> Result<Rules, Vec<String>> {
    Source::file(file.to_path_buf(), config.memory_mb)
        .read(&config.platform)
        .map_err(shown)
}

/// Reads a file with what an explanation needs.
fn read_to_explain(file: &Path, config: &Config) -> Result<Explainer, Vec<String>> {
    let text = Source::file(file.to_path_buf(), config.memory_mb)
        .text()
        .map_err(shown)?;
    Explainer::read(
        &text,
        &file.display().to_string(),
        None,
        &catalog(&config.platform),
    )
    .map_err(shown)
}

fn shown(faults: Vec<Fault>) -> Vec<String> {
    faults.into_iter().map(|fault| fault.shown).collect()
}

/// What a file of rules is; or every fault, with the line it is in.
///
/// # Errors
/// The faults.
pub fn check(file: &Path, config: &Config) -> Result<String, Vec<String>> {
    let rules = read(file, config)?;
    let (count, cost, unindexed) = (rules.len(), rules.cost(), rules.unindexed());
    let bytes = rules.heap_bytes();
    Ok(format!(
        "ok: {count} rules, {unindexed} of them looked at for every request, {cost} units at most, {bytes} bytes\n"
    ))
}

/// A request's way through a file of rules, as if every pool had a ready endpoint.
///
/// # Errors
/// What is wrong with the file or the request.
pub fn explain(file: &Path, config: &Config, sample: &Sample) -> Result<String, Vec<String>> {
    let explainer = read_to_explain(file, config)?;
    let platform = &config.platform;
    let mut router = Router::new(explainer.rules().clone());
    router.ready([u64::MAX].into_iter());
    let request = sample.request();
    let mut text = String::new();
    // Writing to memory does not fail.
    for rule in explainer.explain(&request) {
        let _ = tell(&mut text, &rule);
    }
    let _ = match router.route(&request, 0.0) {
        Verdict::Go(route) => {
            let command = route.command.as_ref().map(|mapped| {
                let class = &platform.classes[mapped.class];
                format!("command {class}: {mapped:?}")
            });
            let command = command.unwrap_or_else(|| "no command of a rule's".into());
            writeln!(
                text,
                "=> goes on: {command}; pools {:#x}; notes {:?}",
                route.pools, route.notes
            )
        }
        Verdict::Reject { retry_after_ms, by } => {
            writeln!(
                text,
                "=> refused by {by}, to come back in {retry_after_ms} ms"
            )
        }
        Verdict::Bad { rule, why } => writeln!(text, "=> makes no sense to {rule}: {why}"),
    };
    Ok(text)
}

fn tell(text: &mut String, rule: &Explained) -> std::fmt::Result {
    let word = match (rule.behind, rule.ruled_out, rule.matched) {
        (true, ..) => "behind a rule that ended the way",
        (_, true, _) => "ruled out by the index",
        (_, _, true) => "matches",
        _ => "does not match",
    };
    writeln!(text, "{}: {word}", rule.rule)?;
    for (name, steps) in &rule.parts {
        for step in steps {
            let label = if step.depth == 0 { name.as_str() } else { "" };
            let part = step.text.split_whitespace().collect::<Vec<_>>().join(" ");
            let indent = "  ".repeat(step.depth);
            writeln!(
                text,
                "  {label:>10} {indent}{part}  =  {}  ({} units)",
                step.value, step.cost
            )?;
        }
    }
    Ok(())
}

/// Nanoseconds for a request against the first 1, 10, 100, ... rules of a file.
///
/// # Errors
/// What is wrong with the file.
pub fn bench(file: &Path, config: &Config, sample: &Sample) -> Result<String, Vec<String>> {
    let rules = read(file, config)?;
    let whole = rules.len();
    let sizes =
        std::iter::successors(Some(1), |size| Some(size * 10)).take_while(|size| *size < whole);
    let mut text = String::from("   rules   ns/request\n");
    for size in sizes.chain([whole]) {
        let mut router = Router::new(rules.first(size));
        router.ready([u64::MAX].into_iter());
        let (begun, mut rounds) = (Instant::now(), 0u32);
        while begun.elapsed() < MEASURED {
            for _ in 0..1000 {
                // Time goes on so that limits let requests through as in service.
                let verdict =
                    router.route(std::hint::black_box(&sample.request()), f64::from(rounds));
                std::hint::black_box(&verdict);
                rounds += 1;
            }
        }
        let each = begun.elapsed().as_nanos() as f64 / f64::from(rounds);
        let _ = writeln!(text, "{size:>8} {each:>12.0}");
    }
    Ok(text)
}
