//! The real ingress: reads what it is told, serves until it is stopped, or checks what it would read. It owns
//! the process (arguments, environment, exit code) and nothing else.

#![deny(unsafe_code)]

use clap::{Parser, Subcommand};
use driftgap::cli::check;
use driftgap::cli::logging::{self, LogFormat};
use driftgap::cli::rules::{self, Sample};
use driftgap::config::operator_file::OperatorFile;
use driftgap::config::settings::{address_of, Config};
use driftgap::group;
use driftgap::runtime::server::{self, Signals};
use socket2::Socket;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{BorrowedFd, RawFd};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// An ingress for a service sold by plan: admission, quota, routing and retries.
///
/// Without a sub-request it serves.
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
    #[arg(
        long,
        env = "DRIFTGAP_LOG_FORMAT",
        global = true,
        default_value = "text",
        hide_env_values = true
    )]
    log_format: LogFormat,
    #[command(subcommand)]
    task: Option<Task>,
}

#[derive(Debug, Subcommand)]
enum Task {
    /// Serves until SIGTERM or SIGINT; as without a sub-request.
    Serve,
    /// Reads all that `serve` would read; one line a fault, and status 2 if there is one. Else it warns of unknown
    /// settings and says what they mean.
    Check,
    /// The group of ingresses: begins one, asks a running ingress about it, looks at a folder.
    Group {
        #[command(subcommand)]
        task: GroupTask,
    },
    /// Checks, explains and measures a file of rules, judged by the platform's configuration.
    Rules {
        #[command(subcommand)]
        task: RulesTask,
    },
}

#[derive(Debug, Subcommand)]
enum GroupTask {
    /// Begins a group on this machine, once; the other members' folders stay empty, and they are let in as they come.
    Init,
    /// Looks at this member's folder, while it does not run: every record, and what they say.
    Check,
    /// Begins a new group from one old folder, after a majority is lost for good; says what may be lost.
    Recover {
        /// The old folder; the configured one has to be empty.
        #[arg(long)]
        from: PathBuf,
    },
    /// Asks the running ingress how the group stands; status 1 where it says no.
    Status,
    /// Awaits a further member; its own file has to name it too.
    Add {
        /// Its name.
        name: String,
        /// Where its link listens.
        address: SocketAddr,
    },
    /// Lets a member go for good; never fewer than three stay.
    Remove {
        /// Its name.
        name: String,
    },
    /// Awaits a member that takes another's place: until it has all that was promised, the old one votes.
    Replace {
        /// Who goes.
        old: String,
        /// Who comes.
        new: String,
        /// Where the new one's link listens.
        address: SocketAddr,
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

/// Where staff call the ingress of this configuration. The second of two processes may be told another address by its
/// environment alone.
fn operators_address(config: &Config) -> Result<Option<SocketAddr>, String> {
    match text("EDGE_OPERATOR")? {
        Some(calls) => address_of("EDGE_OPERATOR", &calls)
            .map(Some)
            .map_err(|e| e.to_string()),
        None => Ok(config.operator),
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
    let owned = inherited
        .try_clone_to_owned()
        .map_err(|e| format!("descriptor {number}: {e}"))?;
    Ok(Socket::from(owned))
}

async fn start(config: Option<PathBuf>, operator: Option<PathBuf>) -> Result<(), String> {
    // First of all: a SIGHUP that comes while the files are read must not end the program.
    let signals = Signals::listen().map_err(|e| e.to_string())?;
    let path = config.ok_or("EDGE_CONFIG: not set")?;
    let mut config = Config::read(&path).map_err(|e| format!("EDGE_CONFIG: {e}"))?;
    config.operator = operators_address(&config)?;
    let clients = text("EDGE_ACCEPT_FD")?
        .map(|number| adopt(&number))
        .transpose();
    let clients = clients.map_err(|e| format!("EDGE_ACCEPT_FD: {e}"))?;
    let operator = match operator {
        Some(path) => OperatorFile::read(&path).map_err(|e| format!("{}: {e}", path.display()))?,
        None => OperatorFile::default(),
    };
    server::run(signals, path, config, operator, clients)
        .await
        .map_err(|e| e.to_string())
}

fn serve(line: Line) -> ExitCode {
    if let Err(e) = logging::start(line.log_format) {
        eprintln!("driftgap: no log: {e}");
    }
    // A local runtime, not a LocalSet: the latter writes to its own wake-up descriptor for each task it wakes.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(Default::default());
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
    let path = config
        .ok_or_else(|| vec!["EDGE_CONFIG: not set; rules are judged by its classes".into()])?;
    let config = Config::read(&path).map_err(|e| vec![format!("EDGE_CONFIG: {e}")])?;
    let sample = |request: &PathBuf| Sample::read(request).map_err(|e| vec![e]);
    match task {
        RulesTask::Check { file } => rules::check(file, &config),
        RulesTask::Explain { file, request } => rules::explain(file, &config, &sample(request)?),
        RulesTask::Bench { file, request } => rules::bench(file, &config, &sample(request)?),
    }
}

/// One call to the running ingress of this configuration; its answer.
fn call(config: &Config, text: &str) -> Result<String, String> {
    let address = operators_address(config)?
        .ok_or("EDGE_CONFIG: operator: not set; a running ingress is called there")?;
    let asked = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(3))?;
        stream.set_read_timeout(Some(Duration::from_secs(6)))?;
        stream.write_all(format!("{text}\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer.trim_end().to_string())
    };
    asked().map_err(|e| format!("{address}: {e}"))
}

/// What concerns the group; whether the answer is a yes, and the answer.
fn group(
    config: Option<PathBuf>,
    operator: Option<PathBuf>,
    task: &GroupTask,
) -> Result<(bool, String), String> {
    let path = config.ok_or("EDGE_CONFIG: not set")?;
    let config = Config::read(&path).map_err(|e| format!("EDGE_CONFIG: {e}"))?;
    let notified =
        |text: String| call(&config, &text).map(|answer| (answer.starts_with("ACK"), answer));
    let file = || -> Result<(group::GroupSettings, PathBuf), String> {
        let path = operator.clone().ok_or("DRIFTGAP_OPERATOR: not set")?;
        let operator = OperatorFile::read(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        let settings = operator
            .group
            .ok_or_else(|| format!("{}: has no [group]", path.display()))?;
        Ok((settings, operator.folder))
    };
    match task {
        GroupTask::Init => {
            let (settings, folder) = file()?;
            let group = group::init(&settings, &folder, &config.name).map_err(|e| e.to_string())?;
            Ok((true, format!("group {group:x} begins with {}", config.name)))
        }
        GroupTask::Check => {
            let (settings, folder) = file()?;
            let said = group::look(&settings, &folder, &config.name).map_err(|e| e.to_string())?;
            Ok((true, said))
        }
        GroupTask::Recover { from } => {
            let (settings, folder) = file()?;
            let said = group::recover(&settings, &folder, &config.name, from)
                .map_err(|e| e.to_string())?;
            Ok((true, said))
        }
        GroupTask::Status => notified("GROUP STATUS".into()),
        GroupTask::Add { name, address } => notified(format!("GROUP ADD {name} {address}")),
        GroupTask::Remove { name } => notified(format!("GROUP REMOVE {name}")),
        GroupTask::Replace { old, new, address } => {
            notified(format!("GROUP REPLACE {old} {new} {address}"))
        }
    }
}

fn main() -> ExitCode {
    let line = Line::parse();
    match line.task {
        None | Some(Task::Serve) => serve(line),
        Some(Task::Group { task }) => match group(line.config, line.operator, &task) {
            Ok((yes, said)) => {
                println!("{said}");
                if yes {
                    ExitCode::SUCCESS
                } else {
                    ExitCode::FAILURE
                }
            }
            Err(problem) => {
                eprintln!("driftgap: {problem}");
                ExitCode::from(2)
            }
        },
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
            let check::Findings {
                faults,
                unknown,
                words,
            } = check::look(line.config.as_deref(), line.operator.as_deref());
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            if faults.is_empty() {
                unknown
                    .iter()
                    .for_each(|key| eprintln!("warning: settings.{key}: unknown, and not read"));
                words.iter().for_each(|line| println!("{line}"));
                println!("ok");
                ExitCode::SUCCESS
            } else {
                ExitCode::from(2)
            }
        }
    }
}
