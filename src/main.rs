//! The real ingress: reads what it is told, serves until it is stopped. It owns the process (arguments,
//! environment, exit code) and nothing else.

use driftgap::node;
use driftgap::operator::Operator;
use driftgap::settings::Config;
use std::path::PathBuf;
use std::process::ExitCode;

fn start() -> Result<(), String> {
    let path = std::env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG: not set".to_string())?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("EDGE_CONFIG: {path}: {e}"))?;
    let config = Config::parse(&text).map_err(|e| format!("EDGE_CONFIG: {e}"))?;
    let operator = match std::env::var_os("DRIFTGAP_OPERATOR").map(PathBuf::from) {
        Some(path) => Operator::read(&path).map_err(|e| format!("{}: {e}", path.display()))?,
        None => Operator::default(),
    };
    // A local runtime, not a LocalSet: the latter writes to its own wake-up descriptor for each task it wakes.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build_local(Default::default());
    let runtime = runtime.map_err(|e| e.to_string())?;
    runtime.block_on(node::run(config, operator)).map_err(|e| e.to_string())
}

fn main() -> ExitCode {
    let level = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(level).target(env_logger::Target::Stderr).init();
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("driftgap: {problem}");
            ExitCode::from(2)
        }
    }
}
