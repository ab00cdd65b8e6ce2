//! The program: reads its arguments, serves until it is stopped, or does what a sub-command says. What concerns the
//! process alone (environment, inherited descriptor, exit status) stands here.

#![deny(unsafe_code)]

use clap::Parser;
use driftgap::cli::arguments::{Arguments, GroupTask, RulesTask, Task};
use driftgap::cli::check::{self, Findings};
use driftgap::cli::environment::{admin_address, variable, EnvironmentError};
use driftgap::cli::rules::{self, Sample};
use driftgap::cli::{group, logging};
use driftgap::config::operator_file::{OperatorFile, OperatorFileError};
use driftgap::config::settings::{Config, ConfigError};
use driftgap::runtime::server::{self, Signals, StartError};
use socket2::Socket;
use std::os::fd::{BorrowedFd, RawFd};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The exit status where something that the program was told makes no sense, or cannot be done.
const FAULT: u8 = 2;
/// Lowest descriptor that can be an inherited socket: the first three are the standard streams.
const FIRST_INHERITED: RawFd = 3;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match &arguments.task {
        None | Some(Task::Serve) => serve(arguments),
        Some(Task::Check) => check(&arguments),
        Some(Task::Group { task }) => group(&arguments, task),
        Some(Task::Rules { task }) => rules(arguments.config.as_deref(), task),
    }
}

fn fault(problem: impl std::fmt::Display) -> ExitCode {
    eprintln!("driftgap: {problem}");
    ExitCode::from(FAULT)
}

/// Why the ingress does not serve; one line that names the variable or the field.
#[derive(Debug, thiserror::Error)]
enum ServeError {
    #[error("{0}")]
    System(#[from] std::io::Error),
    #[error("EDGE_CONFIG: not set")]
    NoConfig,
    #[error("EDGE_CONFIG: {0}")]
    Config(#[from] ConfigError),
    #[error("{0}")]
    Environment(#[from] EnvironmentError),
    #[error("EDGE_ACCEPT_FD: {0}")]
    Inherited(#[from] InheritedError),
    #[error("{0}: {1}")]
    OperatorFile(String, OperatorFileError),
    #[error("{0}")]
    Start(#[from] StartError),
}

/// Why an inherited descriptor cannot be used.
#[derive(Debug, thiserror::Error)]
enum InheritedError {
    #[error("not the number of an inherited descriptor")]
    Number,
    #[error("descriptor {0}: {1}")]
    Descriptor(RawFd, std::io::Error),
}

fn serve(arguments: Arguments) -> ExitCode {
    if let Err(e) = logging::start(arguments.log_format) {
        eprintln!("driftgap: no log: {e}");
    }
    // A local runtime, not a LocalSet: the latter writes to its own wake-up descriptor for each task it wakes.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(Default::default());
    let served = runtime
        .map_err(ServeError::from)
        .and_then(|runtime| runtime.block_on(read_and_serve(arguments.config, arguments.operator)));
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => fault(problem),
    }
}

/// Reads what the process is told, then serves until it is stopped.
async fn read_and_serve(
    config: Option<PathBuf>,
    operator: Option<PathBuf>,
) -> Result<(), ServeError> {
    // First of all: a SIGHUP that comes while the files are read must not end the process.
    let signals = Signals::listen()?;
    let config_path = config.ok_or(ServeError::NoConfig)?;
    let mut config = Config::read(&config_path)?;
    config.operator = admin_address(&config)?;
    let client_socket = match variable("EDGE_ACCEPT_FD")? {
        Some(number) => Some(inherited_socket(&number)?),
        None => None,
    };
    let operator = match operator {
        Some(path) => OperatorFile::read(&path)
            .map_err(|e| ServeError::OperatorFile(path.display().to_string(), e))?,
        None => OperatorFile::default(),
    };
    server::run(signals, config_path, config, operator, client_socket).await?;
    Ok(())
}

/// A descriptor of our own for the listening socket that the platform holds and hands to every process.
fn inherited_socket(number: &str) -> Result<Socket, InheritedError> {
    let number = number.parse::<RawFd>().ok();
    let number = number
        .filter(|number| *number >= FIRST_INHERITED)
        .ok_or(InheritedError::Number)?;
    // SAFETY: the platform opened this descriptor before this program began, and nothing here ever closes it; it is
    // only looked at to get a second one of our own, which fails if there is none.
    #[allow(unsafe_code)]
    let inherited = unsafe { BorrowedFd::borrow_raw(number) };
    let owned = inherited
        .try_clone_to_owned()
        .map_err(|e| InheritedError::Descriptor(number, e))?;
    Ok(Socket::from(owned))
}

fn check(arguments: &Arguments) -> ExitCode {
    let findings = check::read_all(arguments.config.as_deref(), arguments.operator.as_deref());
    let Findings {
        faults,
        unknown,
        description,
    } = findings;
    faults.iter().for_each(|fault| eprintln!("{fault}"));
    if !faults.is_empty() {
        return ExitCode::from(FAULT);
    }
    for key in unknown {
        eprintln!("warning: settings.{key}: unknown, and not read");
    }
    description.iter().for_each(|line| println!("{line}"));
    println!("ok");
    ExitCode::SUCCESS
}

fn group(arguments: &Arguments, task: &GroupTask) -> ExitCode {
    let (config, operator) = (arguments.config.as_deref(), arguments.operator.as_deref());
    match group::run(config, operator, task) {
        Ok(output) => {
            println!("{}", output.text);
            if output.yes {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(problem) => fault(problem),
    }
}

fn rules(config: Option<&Path>, task: &RulesTask) -> ExitCode {
    match run_rules(config, task) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            ExitCode::from(FAULT)
        }
    }
}

/// The text that a sub-command of `rules` prints; or a line for each fault.
fn run_rules(config: Option<&Path>, task: &RulesTask) -> Result<String, Vec<String>> {
    let path = config
        .ok_or_else(|| vec!["EDGE_CONFIG: not set; rules are judged by its classes".to_string()])?;
    let config = Config::read(path).map_err(|e| vec![format!("EDGE_CONFIG: {e}")])?;
    let sample = |request: &Path| Sample::read(request).map_err(|e| vec![e.to_string()]);
    match task {
        RulesTask::Check { file } => rules::check(file, &config),
        RulesTask::Explain { file, request } => rules::explain(file, &config, &sample(request)?),
        RulesTask::Bench { file, request } => rules::bench(file, &config, &sample(request)?),
    }
}
