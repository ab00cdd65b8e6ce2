//! The operator's hook: a script that sees each request before the decision and may pass, rejection or annotate
//! it. It owns the embedded engine and its bounds on operations, depth and memory. It must never show a
//! script a socket, a file or the time, let it touch quotas, a class's effect or an answer, or take the
//! ingress down: a script that fails at run time is logged, and the operator's setting decides.

use crate::config::settings::Platform;
use crate::request::ClientRequest;
use rhai::{CallFnOptions, Dynamic, Engine, EvalAltResult, Map, Scope, AST};
use serde::Deserialize;
use std::cell::Cell;
use std::path::{Path, PathBuf};

/// The function that a script must have.
const HOOK: &str = "decide";
/// Most notes on a request, longest name and value of one.
const MAX_NOTES: usize = 8;
const MAX_NAME: usize = 32;
const MAX_VALUE: usize = 128;
/// Longest that a script may send a client away, ms.
const MAX_AWAY: i64 = 60_000;
/// Failures are logged this often, ms.
const LOG_MS: f64 = 5000.0;

/// What happens to a request when the script fails on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OnError {
    /// It goes on as if there were no script.
    #[default]
    Pass,
    /// It is refused.
    #[serde(rename = "nack")]
    Reject,
}

/// The operator's settings of the hook.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PluginSettings {
    /// The script.
    pub script: PathBuf,
    /// What a failing script does to a request.
    #[serde(default)]
    pub on_error: OnError,
    /// Most operations for one request.
    #[serde(default = "operations")]
    pub operations: u64,
    /// Most bytes in one text, and entries in one list or map.
    #[serde(default = "size")]
    pub size: usize,
}

fn operations() -> u64 {
    10_000
}

fn size() -> usize {
    4096
}

/// A script that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum PluginError {
    /// It cannot be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// It is no script; with its line.
    #[error("{0}, line {1}: {2}")]
    Parse(String, usize, String),
    /// It lacks the hook.
    #[error("{0}, line 1: there is no function {HOOK}(command)")]
    NoHook(String),
}

/// What the script wants.
#[derive(Clone, Debug, PartialEq)]
pub enum PluginVerdict {
    /// Go on, with these notes.
    Pass(Vec<(String, String)>),
    /// Refuse, and come back after so long, ms.
    Reject(f64),
}

/// A loaded script.
pub struct Plugin {
    engine: Engine,
    script: AST,
    on_error: OnError,
    name: String,
    failures: Cell<u64>,
    logged: Cell<f64>,
}

impl Plugin {
    /// Loads the script of these settings; a relative path counts from `folder`.
    ///
    /// # Errors
    /// It cannot be read or makes no sense, with file and line.
    pub fn load(settings: &PluginSettings, folder: &Path) -> Result<Plugin, PluginError> {
        let path = folder.join(&settings.script);
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(&path).map_err(|e| PluginError::Read(name.clone(), e))?;
        Plugin::new(settings, name, &text)
    }

    fn new(settings: &PluginSettings, name: String, text: &str) -> Result<Plugin, PluginError> {
        let mut engine = Engine::new();
        engine
            .set_max_operations(settings.operations)
            .set_max_call_levels(16)
            .set_max_expr_depths(32, 32)
            .set_max_variables(64)
            .set_max_functions(64)
            .set_max_string_size(settings.size)
            .set_max_array_size(settings.size)
            .set_max_map_size(settings.size)
            .disable_symbol("eval")
            .on_print(|text| tracing::debug!(text, "plugin"))
            .on_debug(|text, _, _| tracing::debug!(text, "plugin"));
        let script = engine.compile(text).map_err(|e| {
            PluginError::Parse(
                name.clone(),
                e.position().line().unwrap_or(1),
                e.err_type().to_string(),
            )
        })?;
        if !script
            .iter_functions()
            .any(|f| f.name == HOOK && f.params.len() == 1)
        {
            return Err(PluginError::NoHook(name));
        }
        let (failures, logged) = (Cell::new(0), Cell::new(f64::NEG_INFINITY));
        Ok(Plugin {
            engine,
            script,
            on_error: settings.on_error,
            name,
            failures,
            logged,
        })
    }

    /// What the script wants of a request.
    pub fn decide(&self, now: f64, platform: &Platform, request: &ClientRequest) -> PluginVerdict {
        let options = CallFnOptions::new().eval_ast(false);
        let seen = (seen(platform, request),);
        let result: Result<Dynamic, Box<EvalAltResult>> =
            self.engine
                .call_fn_with_options(options, &mut Scope::new(), &self.script, HOOK, seen);
        let problem = match result.map(wish) {
            Ok(Ok(wish)) => return wish,
            Ok(Err(problem)) => problem.to_string(),
            Err(e) => e.to_string().replace('\n', " "),
        };
        self.failures.set(self.failures.get() + 1);
        if now - self.logged.get() >= LOG_MS {
            self.logged.set(now);
            tracing::warn!(
                script = self.name,
                failures = self.failures.get(),
                problem,
                "plugin failed"
            );
        }
        match self.on_error {
            OnError::Pass => PluginVerdict::Pass(Vec::new()),
            OnError::Reject => PluginVerdict::Reject(1000.0),
        }
    }
}

/// A request as the script sees it: a copy, so that nothing it does comes back.
fn seen(platform: &Platform, request: &ClientRequest) -> Map {
    let ask = &request.ask;
    let mut map = Map::new();
    map.insert("class".into(), platform.classes[ask.class].clone().into());
    map.insert("plan".into(), platform.plans[ask.plan].clone().into());
    map.insert("partner".into(), request.tenant.clone().into());
    map.insert("id".into(), request.id.clone().into());
    map.insert("units".into(), ask.units.into());
    map.insert("retry".into(), ask.repeat.into());
    map.insert("patience_ms".into(), request.client_timeout_ms.into());
    map.insert(
        "body_bytes".into(),
        (request.body.as_ref().map_or(0, Vec::len) as i64).into(),
    );
    map
}

fn wish(result: Dynamic) -> Result<PluginVerdict, &'static str> {
    if result.is_unit() {
        return Ok(PluginVerdict::Pass(Vec::new()));
    }
    let Some(map) = result.try_cast::<Map>() else {
        return Err("the hook returned neither () nor a map");
    };
    if let Some(after) = map.get("nack") {
        let ms = after.as_int().ok().filter(|ms| (0..=MAX_AWAY).contains(ms));
        return ms
            .map(|ms| PluginVerdict::Reject(ms as f64))
            .ok_or("nack is not a number from 0 to 60000");
    }
    let Some(notes) = map.get("notes") else {
        return Err("the hook's map has neither nack nor notes");
    };
    let Some(notes) = notes.clone().try_cast::<Map>() else {
        return Err("notes is not a map");
    };
    if notes.len() > MAX_NOTES {
        return Err("more than 8 notes");
    }
    let mut list = Vec::with_capacity(notes.len());
    for (name, value) in notes {
        let value = value.to_string();
        let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
        let named = !name.is_empty() && name.len() <= MAX_NAME && name.bytes().all(plain);
        if !named || value.len() > MAX_VALUE || !value.bytes().all(|b| (b' '..=b'~').contains(&b)) {
            return Err("a note's name or value cannot be carried");
        }
        list.push((name.to_string(), value));
    }
    Ok(PluginVerdict::Pass(list))
}

#[cfg(test)]
mod tests {
    use super::*;

    const SETTINGS: &str = include_str!("../../tests/stage/settings.json");

    fn settings(on_error: OnError) -> PluginSettings {
        PluginSettings {
            script: PathBuf::new(),
            on_error,
            operations: 5000,
            size: 1000,
        }
    }

    fn decide(script: &str, on_error: OnError) -> PluginVerdict {
        let config = format!(r#"{{"listen":"127.0.0.1:1","settings":{SETTINGS}}}"#);
        let platform = crate::config::settings::Config::parse(&config)
            .unwrap()
            .platform;
        let list = "c=book-rebroadcast,t=city,d=900,units=2,spread=1,first=0".to_string();
        let request = ClientRequest::new(&platform, "0000000000000007", "k1", list, None).unwrap();
        let plugin = Plugin::new(&settings(on_error), "hook.rhai".into(), script).unwrap();
        plugin.decide(0.0, &platform, &request)
    }

    #[test]
    fn it_passes_nacks_and_annotates() {
        let script = r#"fn decide(command) {
            if command.plan == "city" && command.units > 1.0 { return #{ nack: 250 }; }
        }"#;
        assert_eq!(decide(script, OnError::Pass), PluginVerdict::Reject(250.0));
        assert_eq!(
            decide("fn decide(c) { c.units = 0.0; }", OnError::Reject),
            PluginVerdict::Pass(vec![])
        );
        let noted = PluginVerdict::Pass(vec![("origin".into(), "0000000000000007".into())]);
        assert_eq!(
            decide(
                "fn decide(c) { #{ notes: #{ origin: c.partner } } }",
                OnError::Pass
            ),
            noted
        );
    }

    #[test]
    fn what_runs_away_or_fails_is_stopped_and_the_setting_decides() {
        for script in [
            "fn decide(c) { loop {} }",
            "fn decide(c) { let s = \"x\"; loop { s += s; } }",
            "fn decide(c) { let a = []; loop { a.push(a); } }",
            "fn decide(c) { decide(c) }",
            "fn decide(c) { c.no_such() }",
            "fn decide(c) { 42 }",
            "fn decide(c) { #{ nack: -1 } }",
            "fn decide(c) { #{ notes: #{ x: \"a\\nb\" } } }",
        ] {
            assert_eq!(
                decide(script, OnError::Pass),
                PluginVerdict::Pass(vec![]),
                "{script}"
            );
            assert_eq!(
                decide(script, OnError::Reject),
                PluginVerdict::Reject(1000.0),
                "{script}"
            );
        }
    }

    #[test]
    fn a_script_that_does_not_load_is_named_with_its_line() {
        let load = |text| {
            Plugin::new(&settings(OnError::Pass), "hook.rhai".into(), text)
                .err()
                .unwrap()
        };
        assert!(load("fn decide(c) {\n  let x = ;\n}")
            .to_string()
            .starts_with("hook.rhai, line 2: "));
        assert!(load("fn other(c) {}")
            .to_string()
            .contains("no function decide(command)"));
        assert!(load("fn decide(c) { eval(\"1\") }")
            .to_string()
            .starts_with("hook.rhai, line 1: "));
    }
}
