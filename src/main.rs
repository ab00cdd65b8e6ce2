//! The real ingress: reads what it is told, serves until it is stopped, or checks what it would read. It owns
//! the process (arguments, environment, exit code) and nothing else.

#![deny(unsafe_code)]

use clap::{Parser, Subcommand};
use driftgap::check;
use driftgap::logging::{self, LogFormat};
use driftgap::node::{self, Signals};
use driftgap::operator::Operator;
use driftgap::rules::{self, Sample};
use driftgap::settings::{address_of, Config};
use socket2::Socket;
use std::os::fd::{BorrowedFd, RawFd};
use std::path::PathBuf;
use std::process::ExitCode;

/// An ingress for a service sold by plan: admission, quota, routing and retries.
///
/// Without a sub-command it serves.
#[derive(Debug, Parser)]
#[command(name = "driftgap", version)]
struct Line {
    /// The platform's configuration (JSON).
    #[arg(long, env = "EDGE_CONFIG", global = true, hide_env_values = true)]
    config: Option<PathBuf>,
    /// The operator's file (TOML).
    #[arg(long, env = "DRIFTGAP_OPERATOR", global = true, hide_env_values = true)]
    operator: Option<PathBuf>,
    /// How log lines look.
    #[arg(long, env = "DRIFTGAP_LOG_FORMAT", global = true, default_value = "text", hide_env_values = true)]
    log_format: LogFormat,
    #[command(subcommand)]
    task: Option<Task>,
}

#[derive(Debug, Subcommand)]
enum Task {
    /// Serves until SIGTERM or SIGINT; as without a sub-command.
    Serve,
    /// Reads all that `serve` would read; one line a fault, and status 2 if there is one. Else it warns of unknown
    /// settings and says what they mean.
    Check,
    /// Checks, explains and measures a file of rules, judged by the platform's configuration.
    Rules {
        #[command(subcommand)]
        task: RulesTask,
    },
}

#[derive(Debug, Subcommand)]
enum RulesTask {
    /// Names every fault with the line that it is in, and status 2 if there is one.
    Check {
        /// The file of rules.
        file: PathBuf,
    },
    /// Tells, rule by rule, why a request matches or does not.
    Explain {
        /// The file of rules.
        file: PathBuf,
        /// The request, in JSON.
        #[arg(long)]
        request: PathBuf,
    },
    /// Measures how long a request takes against the first 1, 10, 100, ... rules.
    Bench {
        /// The file of rules.
        file: PathBuf,
        /// The request, in JSON.
        #[arg(long)]
        request: PathBuf,
    },
}

/// A variable of the environment; none: not set, or empty.
fn text(name: &str) -> Result<Option<String>, String> {
    match std::env::var(name) {
        Ok(value) => Ok(Some(value).filter(|value| !value.is_empty())),
        Err(std::env::VarError::NotPresent) => Ok(None),
        Err(_) => Err(format!("{name}: not text")),
    }
}

/// A descriptor of our own for the listening socket that the platform holds and hands to every process.
fn adopt(number: &str) -> Result<Socket, String> {
    let number = number.parse::<RawFd>().ok().filter(|n| *n > 2);
    let number = number.ok_or("not the number of an inherited descriptor")?;
    // SAFETY: the platform opened this descriptor before this program began, and nothing here ever closes it; it is
    // only looked at to get a second one of our own, which fails if there is none.
    #[allow(unsafe_code)]
    let inherited = unsafe { BorrowedFd::borrow_raw(number) };
    let owned = inherited.try_clone_to_owned().map_err(|e| format!("descriptor {number}: {e}"))?;
    Ok(Socket::from(owned))
}

async fn start(config: Option<PathBuf>, operator: Option<PathBuf>) -> Result<(), String> {
    // First of all: a SIGHUP that comes while the files are read must not end the program.
    let signals = Signals::listen().map_err(|e| e.to_string())?;
    let path = config.ok_or("EDGE_CONFIG: not set")?;
    let mut config = Config::read(&path).map_err(|e| format!("EDGE_CONFIG: {e}"))?;
    if let Some(calls) = text("EDGE_OPERATOR")? {
        // The second of two processes may be told another address by its environment alone.
        let address = address_of("EDGE_OPERATOR", &calls).map_err(|e| e.to_string())?;
        config.operator = Some(address);
    }
    let clients = text("EDGE_ACCEPT_FD")?.map(|number| adopt(&number)).transpose();
    let clients = clients.map_err(|e| format!("EDGE_ACCEPT_FD: {e}"))?;
    let operator = match operator {
        Some(path) => Operator::read(&path).map_err(|e| format!("{}: {e}", path.display()))?,
        None => Operator::default(),
    };
    node::run(signals, path, config, operator, clients).await.map_err(|e| e.to_string())
}

fn serve(line: Line) -> ExitCode {
    if let Err(e) = logging::start(line.log_format) {
        eprintln!("driftgap: no log: {e}");
    }
    // A local runtime, not a LocalSet: the latter writes to its own wake-up descriptor for each task it wakes.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build_local(Default::default());
    let served = runtime
        .map_err(|e| e.to_string())
        .and_then(|runtime| runtime.block_on(start(line.config, line.operator)));
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("driftgap: {problem}");
            ExitCode::from(2)
        }
    }
}

fn rules(config: Option<PathBuf>, task: &RulesTask) -> Result<String, Vec<String>> {
    let path = config.ok_or_else(|| vec!["EDGE_CONFIG: not set; rules are judged by its classes".into()])?;
    let platform = Config::read(&path).map_err(|e| vec![format!("EDGE_CONFIG: {e}")])?.platform;
    let sample = |request: &PathBuf| Sample::read(request).map_err(|e| vec![e]);
    match task {
        RulesTask::Check { file } => rules::check(file, &platform),
        RulesTask::Explain { file, request } => rules::explain(file, &platform, &sample(request)?),
        RulesTask::Bench { file, request } => rules::bench(file, &platform, &sample(request)?),
    }
}

fn main() -> ExitCode {
    let line = Line::parse();
    match line.task {
        None | Some(Task::Serve) => serve(line),
        Some(Task::Rules { task }) => match rules(line.config, &task) {
            Ok(text) => {
                print!("{text}");
                ExitCode::SUCCESS
            }
            Err(faults) => {
                faults.iter().for_each(|fault| eprintln!("{fault}"));
                ExitCode::from(2)
            }
        },
        Some(Task::Check) => {
            let check::Findings { faults, unknown, words } =
                check::look(line.config.as_deref(), line.operator.as_deref());
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            if faults.is_empty() {
                unknown.iter().for_each(|key| eprintln!("warning: settings.{key}: unknown, and not read"));
                words.iter().for_each(|line| println!("{line}"));
                println!("ok");
                ExitCode::SUCCESS
            } else {
                ExitCode::from(2)
            }
        }
    }
}
