//! The program: parses its arguments, then serves until it is stopped or runs a sub-command. This
//! module handles what belongs to the process: environment, inherited descriptor and exit status.

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

/// The exit status of an error, such as invalid input.
const EXIT_ERROR: u8 = 2;
/// Lowest file descriptor that can be an inherited socket; the first three are the standard
/// streams.
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

fn exit_with_error(problem: impl std::fmt::Display) -> ExitCode {
    eprintln!("driftgap: {problem}");
    ExitCode::from(EXIT_ERROR)
}

/// Why the ingress cannot serve; the text is one line that names the variable or the field.
#[derive(Debug, thiserror::Error)]
enum ServeError {
    #[error("cannot set up the runtime or the signal handlers: {0}")]
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

/// Why an inherited file descriptor cannot be used.
#[derive(Debug, thiserror::Error)]
enum InheritedError {
    #[error("the value is not a file descriptor number of {FIRST_INHERITED} or more")]
    Number,
    #[error("cannot duplicate file descriptor {0}: {1}")]
    Descriptor(RawFd, std::io::Error),
}

fn serve(arguments: Arguments) -> ExitCode {
    if let Err(e) = logging::start(arguments.log_format) {
        eprintln!("driftgap: cannot set up the log, serving without it: {e}");
    }
    // A local runtime instead of a LocalSet, which writes to its own wake-up descriptor for each
    // task that it wakes.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(Default::default());
    let result = runtime
        .map_err(ServeError::from)
        .and_then(|runtime| runtime.block_on(read_and_serve(arguments.config, arguments.operator)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => exit_with_error(problem),
    }
}

/// Reads the configuration files, then serves until the process is stopped.
async fn read_and_serve(
    config: Option<PathBuf>,
    operator: Option<PathBuf>,
) -> Result<(), ServeError> {
    // Signals come first: a SIGHUP that arrives while the files are read must not end the process.
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

/// Duplicates the descriptor of the listening socket that the platform holds and passes to every
/// process.
fn inherited_socket(number: &str) -> Result<Socket, InheritedError> {
    let number = number.parse::<RawFd>().ok();
    let number = number
        .filter(|number| *number >= FIRST_INHERITED)
        .ok_or(InheritedError::Number)?;
    // SAFETY: the platform opened this descriptor before the program started, and the program never
    // closes it. It is borrowed only to be duplicated, which fails if it is not open.
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
        return ExitCode::from(EXIT_ERROR);
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
            if output.succeeded {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(problem) => exit_with_error(problem),
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
            ExitCode::from(EXIT_ERROR)
        }
    }
}

/// Runs a sub-command of `rules`. Returns the text to print, or one line for each fault.
fn run_rules(config: Option<&Path>, task: &RulesTask) -> Result<String, Vec<String>> {
    let path = config
        .ok_or_else(|| vec!["EDGE_CONFIG: not set; rules refer to its classes".to_string()])?;
    let config = Config::read(path).map_err(|e| vec![format!("EDGE_CONFIG: {e}")])?;
    let sample = |request: &Path| Sample::read(request).map_err(|e| vec![e.to_string()]);
    match task {
        RulesTask::Check { file } => rules::check(file, &config),
        RulesTask::Explain { file, request } => rules::explain(file, &config, &sample(request)?),
        RulesTask::Bench { file, request } => rules::bench(file, &config, &sample(request)?),
    }
}
