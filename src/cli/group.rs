//! `driftgap group`: works on the folder of a member that does not run, or calls one that does.

use super::admin_client::{call, CallError};
use super::arguments::GroupTask;
use crate::config::operator_file::{OperatorFile, OperatorFileError};
use crate::config::settings::{Config, ConfigError};
use crate::group::{self, GroupError, GroupSettings};
use std::path::{Path, PathBuf};

/// Why a sub-command of `group` has no answer.
#[derive(Debug, thiserror::Error)]
pub enum GroupTaskError {
    /// No configuration is named.
    #[error("EDGE_CONFIG: not set")]
    NoConfig,
    /// The configuration cannot be used.
    #[error("EDGE_CONFIG: {0}")]
    Config(#[from] ConfigError),
    /// No operator's file is named.
    #[error("DRIFTGAP_OPERATOR: not set")]
    NoOperatorFile,
    /// The operator's file cannot be used.
    #[error("{0}: {1}")]
    OperatorFile(String, OperatorFileError),
    /// The operator's file sets up no group.
    #[error("{0}: has no [group]")]
    NoGroup(String),
    /// The group's folder cannot be used.
    #[error("{0}")]
    Group(#[from] GroupError),
    /// The running ingress does not answer.
    #[error("{0}")]
    Call(#[from] CallError),
}

/// What a sub-command of `group` prints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupTaskOutput {
    /// Whether it is a yes; a running ingress may say no.
    pub yes: bool,
    /// The text.
    pub text: String,
}

/// The group's settings, and the folder that its paths count from.
struct GroupFile {
    settings: GroupSettings,
    folder: PathBuf,
}

/// Carries out a sub-command of `group`.
///
/// # Errors
/// Why it could not be done, or not be asked.
pub fn run(
    config: Option<&Path>,
    operator: Option<&Path>,
    task: &GroupTask,
) -> Result<GroupTaskOutput, GroupTaskError> {
    let config = Config::read(config.ok_or(GroupTaskError::NoConfig)?)?;
    let name = &config.name;
    let text = match task {
        GroupTask::Init => {
            let GroupFile { settings, folder } = read_group_file(operator)?;
            let group = group::init(&settings, &folder, name)?;
            format!("group {group:x} begins with {name}")
        }
        GroupTask::Check => {
            let GroupFile { settings, folder } = read_group_file(operator)?;
            group::inspect(&settings, &folder, name)?
        }
        GroupTask::Recover { from } => {
            let GroupFile { settings, folder } = read_group_file(operator)?;
            group::recover(&settings, &folder, name, from)?
        }
        GroupTask::Status => return ask(&config, "GROUP STATUS"),
        GroupTask::Add { name, address } => {
            return ask(&config, &format!("GROUP ADD {name} {address}"));
        }
        GroupTask::Remove { name } => return ask(&config, &format!("GROUP REMOVE {name}")),
        GroupTask::Replace { old, new, address } => {
            return ask(&config, &format!("GROUP REPLACE {old} {new} {address}"));
        }
    };
    Ok(GroupTaskOutput { yes: true, text })
}

fn read_group_file(operator: Option<&Path>) -> Result<GroupFile, GroupTaskError> {
    let path = operator.ok_or(GroupTaskError::NoOperatorFile)?;
    let shown = || path.display().to_string();
    let file = OperatorFile::read(path).map_err(|e| GroupTaskError::OperatorFile(shown(), e))?;
    Ok(GroupFile {
        settings: file.group.ok_or_else(|| GroupTaskError::NoGroup(shown()))?,
        folder: file.folder,
    })
}

fn ask(config: &Config, text: &str) -> Result<GroupTaskOutput, GroupTaskError> {
    let answer = call(config, text)?;
    Ok(GroupTaskOutput {
        yes: answer.is_ack(),
        text: answer.line,
    })
}
