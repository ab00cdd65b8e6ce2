//! The real ingress: reads what it is told, serves until it is stopped. It owns the process (arguments,
//! environment, exit code) and nothing else.

use driftgap::node::{self, Signals};
use driftgap::operator::Operator;
use driftgap::settings::Config;
use std::path::PathBuf;
use std::process::ExitCode;

async fn start() -> Result<(), String> {
    // First of all: a SIGHUP that comes while the files are read must not end the program.
    let signals = Signals::listen().map_err(|e| e.to_string())?;
    let path = std::env::var_os("EDGE_CONFIG").map(PathBuf::from).ok_or("EDGE_CONFIG: not set")?;
    let config = Config::read(&path).map_err(|e| format!("EDGE_CONFIG: {e}"))?;
    let operator = match std::env::var_os("DRIFTGAP_OPERATOR").map(PathBuf::from) {
        Some(path) => Operator::read(&path).map_err(|e| format!("{}: {e}", path.display()))?,
        None => Operator::default(),
    };
    node::run(signals, path, config, operator).await.map_err(|e| e.to_string())
}

fn main() -> ExitCode {
    let level = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(level).target(env_logger::Target::Stderr).init();
    // A local runtime, not a LocalSet: the latter writes to its own wake-up descriptor for each task it wakes.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build_local(Default::default());
    match runtime.map_err(|e| e.to_string()).and_then(|runtime| runtime.block_on(start())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("driftgap: {problem}");
            ExitCode::from(2)
        }
    }
}
