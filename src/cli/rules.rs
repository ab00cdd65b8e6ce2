//! `driftgap rules`: checks a file of rules, explains what it does with a request, and measures it.
//!
//! The ingress reads the same rules by the same code; nothing is judged here.

use crate::config::settings::{Config, Platform};
use crate::routing::{catalog, RuleSource};
use driftgap_routes::{Explained, Explainer, Fault, Headers, Request, Router, Rules, Verdict};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::IpAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// How long each size of a set of rules is measured.
const MEASURING_TIME: Duration = Duration::from_millis(200);

/// The clock is read after so many rounds of a measurement: it takes longer than a request against few rules.
const ROUNDS_PER_LOOK: u32 = 1000;

/// Why a sample request cannot be used; the text names the file.
#[derive(Debug, thiserror::Error)]
pub enum SampleError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// A field is missing or makes no sense.
    #[error("{0}: {1}")]
    Parse(String, serde_json::Error),
}

/// A request as a JSON file gives it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sample {
    /// `http2` or `resp`.
    #[serde(default = "default_protocol")]
    protocol: String,
    #[serde(default = "default_method")]
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
    #[serde(default = "default_client")]
    client: IpAddr,
}

fn default_protocol() -> String {
    "http2".into()
}

fn default_method() -> String {
    "GET".into()
}

fn default_client() -> IpAddr {
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
    pub fn read(path: &Path) -> Result<Sample, SampleError> {
        let place = || path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| SampleError::Read(place(), e))?;
        let sample = serde_json::from_str(&text);
        let mut sample: Sample = sample.map_err(|e| SampleError::Parse(place(), e))?;
        // As in a request of HTTP/2, names of headers are in lower case.
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
    RuleSource::file(file.to_path_buf(), config.memory_mb)
        .read(&config.platform)
        .map_err(shown)
}

/// Reads a file with what an explanation needs.
fn read_to_explain(file: &Path, config: &Config) -> Result<Explainer, Vec<String>> {
    let text = RuleSource::file(file.to_path_buf(), config.memory_mb)
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

/// What a file of rules holds, as one line.
///
/// # Errors
/// Every fault, with the line that it is in.
pub fn check(file: &Path, config: &Config) -> Result<String, Vec<String>> {
    let rules = read(file, config)?;
    let (count, cost, unindexed) = (rules.len(), rules.cost(), rules.unindexed());
    let bytes = rules.heap_bytes();
    Ok(format!(
        "ok: {count} rules, {unindexed} of them looked at for every request, {cost} units at most, {bytes} bytes\n"
    ))
}

/// What each rule of a file does with a request, as if every pool had a ready endpoint.
///
/// # Errors
/// What is wrong with the file or the request.
pub fn explain(file: &Path, config: &Config, sample: &Sample) -> Result<String, Vec<String>> {
    let explainer = read_to_explain(file, config)?;
    let mut router = Router::new(explainer.rules().clone());
    router.count_ready([u64::MAX].into_iter());
    let request = sample.request();
    let mut text = String::new();
    for rule in explainer.explain(&request) {
        // Writing to memory does not fail.
        let _ = write_rule(&mut text, &rule);
    }
    text.push_str(&describe(router.route(&request, 0.0), &config.platform));
    Ok(text)
}

/// What becomes of a request, as one line.
fn describe(verdict: Verdict, platform: &Platform) -> String {
    match verdict {
        Verdict::Go(route) => {
            let mapped = match &route.command {
                Some(mapped) => {
                    let class = &platform.classes[mapped.class];
                    format!("command {class}: {mapped:?}")
                }
                None => "no command of a rule's".to_string(),
            };
            let (pools, notes) = (route.pools, route.notes);
            format!("=> goes on: {mapped}; pools {pools:#x}; notes {notes:?}\n")
        }
        Verdict::Reject { retry_after_ms, by } => {
            format!("=> refused by {by}, to come back in {retry_after_ms} ms\n")
        }
        Verdict::Bad { rule, why } => format!("=> makes no sense to {rule}: {why}\n"),
    }
}

fn write_rule(text: &mut String, rule: &Explained) -> std::fmt::Result {
    let outcome = match (rule.behind, rule.ruled_out, rule.matched) {
        (true, ..) => "behind a rule that ended the way",
        (_, true, _) => "ruled out by the index",
        (_, _, true) => "matches",
        _ => "does not match",
    };
    writeln!(text, "{}: {outcome}", rule.rule)?;
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
        let each = measure(rules.first(size), sample);
        let _ = writeln!(text, "{size:>8} {each:>12.0}");
    }
    Ok(text)
}

/// Nanoseconds for a request against these rules.
fn measure(rules: Rules, sample: &Sample) -> f64 {
    let mut router = Router::new(rules);
    router.count_ready([u64::MAX].into_iter());
    let (begun, mut rounds) = (Instant::now(), 0u32);
    while begun.elapsed() < MEASURING_TIME {
        for _ in 0..ROUNDS_PER_LOOK {
            // Time goes on so that limits let requests through as in service.
            let verdict = router.route(std::hint::black_box(&sample.request()), f64::from(rounds));
            std::hint::black_box(&verdict);
            rounds += 1;
        }
    }
    begun.elapsed().as_nanos() as f64 / f64::from(rounds)
}
