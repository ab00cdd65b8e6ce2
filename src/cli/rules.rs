//! `driftgap rules`: checks a file of routing rules, explains its effect on a request, and measures
//! it.
//!
//! Parsing and evaluation are the code that serves requests; this module only prints the results.

use crate::config::settings::{Config, Platform};
use crate::routing::{catalog, RuleSource};
use driftgap_routes::{
    Explainer, Fault, Headers, Request, Router, RuleExplanation, Rules, Verdict,
};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::IpAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// Duration of the measurement of each number of rules.
const MEASURING_TIME: Duration = Duration::from_millis(200);

/// Requests between two readings of the clock, since reading it takes longer than routing a request
/// with few rules.
const REQUESTS_PER_CLOCK_READING: u32 = 1000;

/// Why a sample request cannot be used; the text names the file.
#[derive(Debug, thiserror::Error)]
pub enum SampleError {
    /// The file cannot be read.
    #[error("{0}: cannot read the sample request: {1}")]
    Read(String, std::io::Error),
    /// A field is missing or invalid.
    #[error("{0}: invalid sample request: {1}")]
    Parse(String, serde_json::Error),
}

/// A sample request from a JSON file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sample {
    /// The wire protocol, `http2` or `resp`.
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
    /// Reads a sample request from a file.
    ///
    /// # Errors
    /// The file cannot be read, or a field is missing or invalid.
    pub fn read(path: &Path) -> Result<Sample, SampleError> {
        let place = || path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| SampleError::Read(place(), e))?;
        let sample = serde_json::from_str(&text);
        let mut sample: Sample = sample.map_err(|e| SampleError::Parse(place(), e))?;
        // Header names are in lower case, as in an HTTP/2 request.
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
        .map_err(rendered_faults)
}

/// Reads a file of rules together with the source texts that an explanation prints.
fn read_to_explain(file: &Path, config: &Config) -> Result<Explainer, Vec<String>> {
    let text = RuleSource::file(file.to_path_buf(), config.memory_mb)
        .text()
        .map_err(rendered_faults)?;
    Explainer::read(
        &text,
        &file.display().to_string(),
        None,
        &catalog(&config.platform),
    )
    .map_err(rendered_faults)
}

fn rendered_faults(faults: Vec<Fault>) -> Vec<String> {
    faults.into_iter().map(|fault| fault.shown).collect()
}

/// Validates a file of rules and returns its size and cost as one line.
///
/// # Errors
/// All faults, each with its line.
pub fn check(file: &Path, config: &Config) -> Result<String, Vec<String>> {
    let rules = read(file, config)?;
    let (count, cost, unindexed) = (rules.len(), rules.cost(), rules.unindexed());
    let bytes = rules.heap_bytes();
    Ok(format!(
        "ok: {count} rules, {unindexed} of them evaluated for every request, cost at most {cost} units, {bytes} bytes\n"
    ))
}

/// Describes what each rule of a file does with a request, as if every pool had a ready endpoint.
///
/// # Errors
/// The faults of the file or of the request.
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

/// Describes the verdict on a request, as one line.
fn describe(verdict: Verdict, platform: &Platform) -> String {
    match verdict {
        Verdict::Forward(route) => {
            let mapped = match &route.command {
                Some(mapped) => {
                    let class = &platform.classes[mapped.class];
                    format!("command {class}: {mapped:?}")
                }
                None => "no command set by a rule".to_string(),
            };
            let (pools, notes) = (route.pools, route.notes);
            format!("=> forwarded: {mapped}; pools {pools:#x}; notes {notes:?}\n")
        }
        Verdict::Reject { retry_after_ms, by } => {
            format!("=> rejected by {by}, retry after {retry_after_ms} ms\n")
        }
        Verdict::Invalid { rule, why } => format!("=> invalid request for rule {rule}: {why}\n"),
    }
}

fn write_rule(text: &mut String, rule: &RuleExplanation) -> std::fmt::Result {
    let outcome = match (rule.skipped, rule.ruled_out, rule.matched) {
        (true, ..) => "behind a rule that already decided the request",
        (_, true, _) => "ruled out by the index",
        (_, _, true) => "matches",
        _ => "does not match",
    };
    writeln!(text, "{}: {outcome}", rule.rule)?;
    for (name, steps) in &rule.expressions {
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

/// Measures the time per request, in nanoseconds, with the first 1, 10, 100, ... rules of a file.
///
/// # Errors
/// The faults of the file.
pub fn bench(file: &Path, config: &Config, sample: &Sample) -> Result<String, Vec<String>> {
    let rules = read(file, config)?;
    let rule_count = rules.len();
    let sizes = std::iter::successors(Some(1), |size| Some(size * 10))
        .take_while(|size| *size < rule_count);
    let mut text = String::from("   rules   ns/request\n");
    for size in sizes.chain([rule_count]) {
        let nanoseconds = measure(rules.first(size), sample);
        let _ = writeln!(text, "{size:>8} {nanoseconds:>12.0}");
    }
    Ok(text)
}

/// Measures the time per request with these rules, in nanoseconds.
fn measure(rules: Rules, sample: &Sample) -> f64 {
    let mut router = Router::new(rules);
    router.count_ready([u64::MAX].into_iter());
    let (started, mut requests) = (Instant::now(), 0u32);
    while started.elapsed() < MEASURING_TIME {
        for _ in 0..REQUESTS_PER_CLOCK_READING {
            // The time advances with each request, so that limits admit requests as in service.
            let verdict =
                router.route(std::hint::black_box(&sample.request()), f64::from(requests));
            std::hint::black_box(&verdict);
            requests += 1;
        }
    }
    started.elapsed().as_nanos() as f64 / f64::from(requests)
}
