//! The operator's hook: a script that inspects each request before the decision, and may pass,
//! reject or annotate it.
//!
//! An embedded engine runs the script with limits on operations, time, call depth and memory. The
//! script gets a copy of the request, and has no access to sockets, files, the clock, quotas, the
//! idempotency of a class, or answers. A failure of the script is logged, and the operator's
//! setting decides whether the request passes.
//!
//! | module | job |
//! | --- | --- |
//! | `engine` | the engine with its bounds, and the standard functions that it replaces |
//! | `run_time` | the time limit of a run, and the share of the thread for runs that reach it |
//! | `script_file` | reading the file of a script |
//! | `verdict` | reading the result of a hook |

mod engine;
mod run_time;
mod script_file;
mod verdict;

pub use script_file::ScriptFileError;
pub use verdict::PluginVerdict;

use crate::config::settings::Platform;
use crate::request::ClientRequest;
use engine::bounded_engine;
use rhai::{CallFnOptions, Dynamic, Engine, EvalAltResult, Map, Scope, AST};
use run_time::{Run, RunDeadline, RunTime, MAX_RUN_TIME};
use serde::Deserialize;
use std::cell::Cell;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use verdict::{read_verdict, InvalidResult};

/// Name of the function that a script must define.
const HOOK: &str = "decide";
/// Retry-After of a request that is rejected because the script failed, ms.
const FAILURE_RETRY_AFTER_MS: f64 = 1000.0;
/// Shortest interval between two log lines about failures, ms, since a script may fail on every
/// request.
const LOG_INTERVAL_MS: f64 = 5000.0;

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
    Read(String, ScriptFileError),
    /// The script does not compile: file, line and fault.
    #[error("{0}, line {1}: the script does not compile: {2}")]
    Parse(String, usize, String),
    /// The script does not define the hook.
    #[error("{0}, line 1: the script defines no function {HOOK}(command)")]
    NoHook(String),
}

/// Why a run of the script gave no verdict.
#[derive(Debug, thiserror::Error)]
enum RunError {
    #[error("{0}")]
    Script(Box<EvalAltResult>),
    #[error("the script was stopped after {} ms", MAX_RUN_TIME.as_millis())]
    TimeLimit,
    #[error("the script was not run, because it was stopped too often")]
    StoppedTooOften,
    #[error("a function of the script engine panicked")]
    Panic,
    #[error("{0}")]
    Result(#[from] InvalidResult),
}

/// A loaded script.
pub struct Plugin {
    engine: Engine,
    run_time: RunTime,
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
            script_file::read_script(&path).map_err(|e| PluginError::Read(name.clone(), e))?;
        Plugin::new(settings, name, &text)
    }

    fn new(settings: &PluginSettings, name: String, text: &str) -> Result<Plugin, PluginError> {
        let deadline = RunDeadline::default();
        let engine = bounded_engine(settings, deadline.clone());
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
            run_time: RunTime::new(deadline),
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
        let problem = match self.run(now, platform, request) {
            Ok(verdict) => return verdict,
            Err(problem) => problem.to_string().replace('\n', " "),
        };
        self.record_failure(now, &problem);
        match self.on_error {
            OnError::Pass => PluginVerdict::Pass(Vec::new()),
            OnError::Reject => PluginVerdict::Reject(FAILURE_RETRY_AFTER_MS),
        }
    }

    fn run(
        &self,
        now: f64,
        platform: &Platform,
        request: &ClientRequest,
    ) -> Result<PluginVerdict, RunError> {
        // The engine is not used again within a call, so a panic leaves no state behind.
        let guarded = || catch_unwind(AssertUnwindSafe(|| self.call_hook(platform, request)));
        let Run { result, stopped } = self
            .run_time
            .run(now, guarded)
            .ok_or(RunError::StoppedTooOften)?;
        let result = result.map_err(|_| RunError::Panic)?;
        if stopped {
            return Err(RunError::TimeLimit);
        }
        let result = result.map_err(RunError::Script)?;
        Ok(read_verdict(result)?)
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

#[cfg(test)]
mod tests;
