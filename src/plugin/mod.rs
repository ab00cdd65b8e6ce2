//! The operator's hook: a script that inspects each request before the decision, and may pass,
//! reject or annotate it.
//!
//! An embedded engine runs the script with limits on operations, call depth and memory. The script
//! gets a copy of the request, and has no access to sockets, files, the clock, quotas, the
//! idempotency of a class, or answers. A failure of the script is logged, and the operator's
//! setting decides whether the request passes.

use crate::config::settings::Platform;
use crate::request::ClientRequest;
use rhai::{CallFnOptions, Dynamic, Engine, EvalAltResult, Map, Scope, AST};
use serde::Deserialize;
use std::cell::Cell;
use std::path::{Path, PathBuf};

/// Name of the function that a script must define.
const HOOK: &str = "decide";
/// Most notes on a request; they are sent to endpoints with every attempt.
const MAX_NOTES: usize = 8;
/// Longest name of a note, bytes.
const MAX_NOTE_NAME: usize = 32;
/// Longest value of a note, bytes.
const MAX_NOTE_VALUE: usize = 128;
/// Longest Retry-After that a script may set, ms.
const MAX_RETRY_AFTER_MS: i64 = 60_000;
/// Retry-After of a request that is rejected because the script failed, ms.
const FAILURE_RETRY_AFTER_MS: f64 = 1000.0;
/// Shortest interval between two log lines about failures, ms, since a script may fail on every
/// request.
const LOG_INTERVAL_MS: f64 = 5000.0;
/// Deepest nesting of calls in a script. Protects the stack of the serving thread.
const MAX_CALL_DEPTH: usize = 16;
/// Deepest nesting of an expression. Protects the stack of the serving thread.
const MAX_EXPRESSION_DEPTH: usize = 32;
/// Most variables in scope, and most functions.
const MAX_DEFINITIONS: usize = 64;

/// The effect of a script failure on the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OnError {
    /// The request continues as if there were no script.
    #[default]
    Pass,
    /// The request is rejected.
    #[serde(rename = "nack")]
    Reject,
}

/// The `plugin` section of the operator's file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PluginSettings {
    /// Path of the script.
    pub script: PathBuf,
    /// The effect of a script failure on the request.
    #[serde(default)]
    pub on_error: OnError,
    /// Limit of operations for one request.
    #[serde(default = "default_operations")]
    pub operations: u64,
    /// Longest string, bytes, and largest list or map, entries.
    #[serde(default = "default_size")]
    pub size: usize,
}

fn default_operations() -> u64 {
    10_000
}

fn default_size() -> usize {
    4096
}

/// A script that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum PluginError {
    /// The file cannot be read.
    #[error("{0}: cannot read the script: {1}")]
    Read(String, std::io::Error),
    /// The script does not compile: file, line and fault.
    #[error("{0}, line {1}: the script does not compile: {2}")]
    Parse(String, usize, String),
    /// The script does not define the hook.
    #[error("{0}, line 1: the script defines no function {HOOK}(command)")]
    NoHook(String),
}

/// The script's verdict on a request.
#[derive(Clone, Debug, PartialEq)]
pub enum PluginVerdict {
    /// The request continues, with these notes.
    Pass(Vec<(String, String)>),
    /// The request is rejected, with this Retry-After, ms.
    Reject(f64),
}

/// A loaded script.
pub struct Plugin {
    engine: Engine,
    script: AST,
    on_error: OnError,
    name: String,
    failures: Cell<u64>,
    last_logged_ms: Cell<f64>,
}

impl Plugin {
    /// Loads the script of these settings. A relative path is resolved against `folder`.
    ///
    /// # Errors
    /// The script cannot be read or does not compile; the text names file and line.
    pub fn load(settings: &PluginSettings, folder: &Path) -> Result<Plugin, PluginError> {
        let path = folder.join(&settings.script);
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(&path).map_err(|e| PluginError::Read(name.clone(), e))?;
        Plugin::new(settings, name, &text)
    }

    fn new(settings: &PluginSettings, name: String, text: &str) -> Result<Plugin, PluginError> {
        let engine = bounded_engine(settings);
        let script = engine.compile(text).map_err(|e| {
            PluginError::Parse(
                name.clone(),
                e.position().line().unwrap_or(1),
                e.err_type().to_string(),
            )
        })?;
        let is_hook = |f: &rhai::ScriptFnMetadata| f.name == HOOK && f.params.len() == 1;
        if !script.iter_functions().any(|f| is_hook(&f)) {
            return Err(PluginError::NoHook(name));
        }
        Ok(Plugin {
            engine,
            script,
            on_error: settings.on_error,
            name,
            failures: Cell::new(0),
            last_logged_ms: Cell::new(f64::NEG_INFINITY),
        })
    }

    /// The script's verdict on a request; if the script fails, the verdict of the operator's
    /// setting.
    pub fn decide(&self, now: f64, platform: &Platform, request: &ClientRequest) -> PluginVerdict {
        let problem = match self.call_hook(platform, request).map(verdict) {
            Ok(Ok(verdict)) => return verdict,
            Ok(Err(problem)) => problem.to_string(),
            Err(e) => e.to_string().replace('\n', " "),
        };
        self.record_failure(now, &problem);
        match self.on_error {
            OnError::Pass => PluginVerdict::Pass(Vec::new()),
            OnError::Reject => PluginVerdict::Reject(FAILURE_RETRY_AFTER_MS),
        }
    }

    fn call_hook(
        &self,
        platform: &Platform,
        request: &ClientRequest,
    ) -> Result<Dynamic, Box<EvalAltResult>> {
        let options = CallFnOptions::new().eval_ast(false);
        let arguments = (script_request(platform, request),);
        let mut scope = Scope::new();
        self.engine
            .call_fn_with_options(options, &mut scope, &self.script, HOOK, arguments)
    }

    fn record_failure(&self, now: f64, problem: &str) {
        self.failures.set(self.failures.get() + 1);
        if now - self.last_logged_ms.get() < LOG_INTERVAL_MS {
            return;
        }
        self.last_logged_ms.set(now);
        tracing::warn!(
            script = self.name,
            failures = self.failures.get(),
            problem,
            "plugin script failed; the request is handled as the on_error setting says"
        );
    }
}

/// Creates an engine with the limits of these settings. The engine stops a script that does not end
/// or fills memory, so that the serving thread cannot hang.
fn bounded_engine(settings: &PluginSettings) -> Engine {
    let mut engine = Engine::new();
    engine
        .set_max_operations(settings.operations)
        .set_max_call_levels(MAX_CALL_DEPTH)
        .set_max_expr_depths(MAX_EXPRESSION_DEPTH, MAX_EXPRESSION_DEPTH)
        .set_max_variables(MAX_DEFINITIONS)
        .set_max_functions(MAX_DEFINITIONS)
        .set_max_string_size(settings.size)
        .set_max_array_size(settings.size)
        .set_max_map_size(settings.size)
        .disable_symbol("eval")
        .on_print(|text| tracing::debug!(text, "output of print in the plugin script"))
        .on_debug(|text, _, _| tracing::debug!(text, "output of debug in the plugin script"));
    engine
}

/// The script's view of a request: a copy, so that changes to it have no effect on the request.
fn script_request(platform: &Platform, request: &ClientRequest) -> Map {
    let attributes = &request.attributes;
    let body_bytes = request.body.as_ref().map_or(0, Vec::len) as i64;
    Map::from([
        (
            "class".into(),
            platform.classes[attributes.class].clone().into(),
        ),
        (
            "plan".into(),
            platform.plans[attributes.plan].clone().into(),
        ),
        ("partner".into(), request.tenant.clone().into()),
        ("id".into(), request.id.clone().into()),
        ("units".into(), attributes.units.into()),
        ("retry".into(), attributes.is_retry.into()),
        ("patience_ms".into(), request.client_timeout_ms.into()),
        ("body_bytes".into(), body_bytes.into()),
    ])
}

/// Why a hook's result is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum InvalidResult {
    #[error("the hook returned neither () nor a map")]
    Type,
    #[error("nack in the hook's map is not a number from 0 to 60000")]
    RetryAfter,
    #[error("the hook's map has neither nack nor notes")]
    Keys,
    #[error("notes in the hook's map is not a map")]
    Notes,
    #[error("the hook's map has more than 8 notes")]
    TooManyNotes,
    #[error("a note's name or value cannot be sent as a header")]
    Note,
}

/// Reads the result of a hook: `()`, `#{ nack: MS }` or `#{ notes: #{ NAME: VALUE } }`.
fn verdict(result: Dynamic) -> Result<PluginVerdict, InvalidResult> {
    if result.is_unit() {
        return Ok(PluginVerdict::Pass(Vec::new()));
    }
    let map = result.try_cast::<Map>().ok_or(InvalidResult::Type)?;
    if let Some(retry_after) = map.get("nack") {
        let ms = retry_after.as_int().ok();
        let ms = ms.filter(|ms| (0..=MAX_RETRY_AFTER_MS).contains(ms));
        let ms = ms.ok_or(InvalidResult::RetryAfter)?;
        return Ok(PluginVerdict::Reject(ms as f64));
    }
    let notes = map.get("notes").ok_or(InvalidResult::Keys)?;
    let notes = notes.clone().try_cast::<Map>();
    read_notes(notes.ok_or(InvalidResult::Notes)?).map(PluginVerdict::Pass)
}

fn read_notes(notes: Map) -> Result<Vec<(String, String)>, InvalidResult> {
    if notes.len() > MAX_NOTES {
        return Err(InvalidResult::TooManyNotes);
    }
    let mut read = Vec::with_capacity(notes.len());
    for (name, value) in notes {
        let value = value.to_string();
        if !is_note_name(&name) || !is_note_value(&value) {
            return Err(InvalidResult::Note);
        }
        read.push((name.to_string(), value));
    }
    Ok(read)
}

/// Whether a note's name can be part of a header name.
fn is_note_name(name: &str) -> bool {
    let valid = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    !name.is_empty() && name.len() <= MAX_NOTE_NAME && name.bytes().all(valid)
}

/// Whether a note's value can be a header value.
fn is_note_value(value: &str) -> bool {
    value.len() <= MAX_NOTE_VALUE && value.bytes().all(|b| (b' '..=b'~').contains(&b))
}

#[cfg(test)]
mod tests;
