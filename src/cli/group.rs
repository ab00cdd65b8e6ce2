//! `driftgap group`: works on the folder of a stopped member, or sends calls to a running one.

use super::admin_client::{call, CallError};
use super::arguments::GroupTask;
use crate::config::operator_file::{OperatorFile, OperatorFileError};
use crate::config::settings::{Config, ConfigError};
use crate::group::{self, GroupError, GroupSettings};
use std::path::{Path, PathBuf};

/// Why a sub-command of `group` failed.
#[derive(Debug, thiserror::Error)]
pub enum GroupTaskError {
    /// No configuration path is set.
    #[error("EDGE_CONFIG: not set")]
    NoConfig,
    /// The configuration cannot be used.
    #[error("EDGE_CONFIG: {0}")]
    Config(#[from] ConfigError),
    /// No path of an operator's file is set.
    #[error("DRIFTGAP_OPERATOR: not set")]
    NoOperatorFile,
    /// The operator's file cannot be used.
    #[error("{0}: {1}")]
    OperatorFile(String, OperatorFileError),
    /// The operator's file has no `group` section.
    #[error("{0}: has no [group] section")]
    NoGroup(String),
    /// The group's folder cannot be used.
    #[error("{0}")]
    Group(#[from] GroupError),
    /// The running ingress did not answer.
    #[error("{0}")]
    Call(#[from] CallError),
}

/// The output of a sub-command of `group`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupTaskOutput {
    /// Whether the command succeeded; a running ingress may reject a call.
    pub succeeded: bool,
    /// The text to print.
    pub text: String,
}

/// The group's settings, and the folder against which their paths are resolved.
struct GroupFile {
    settings: GroupSettings,
    folder: PathBuf,
}

/// Runs a sub-command of `group`.
///
/// # Errors
/// The files cannot be used, or the running ingress did not answer.
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
            format!("group {group:x} initialized with member {name}")
        }
        GroupTask::Check => {
            let GroupFile { settings, folder } = read_group_file(operator)?;
            group::inspect(&settings, &folder, name)?
        }
        GroupTask::Recover { from } => {
            let GroupFile { settings, folder } = read_group_file(operator)?;
            group::recover(&settings, &folder, name, from)?
        }
        GroupTask::Status => return send(&config, "GROUP STATUS"),
        GroupTask::Add { name, address } => {
            return send(&config, &format!("GROUP ADD {name} {address}"));
        }
        GroupTask::Remove { name } => return send(&config, &format!("GROUP REMOVE {name}")),
        GroupTask::Replace { old, new, address } => {
            return send(&config, &format!("GROUP REPLACE {old} {new} {address}"));
        }
    };
    Ok(GroupTaskOutput {
        succeeded: true,
        text,
    })
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

fn send(config: &Config, text: &str) -> Result<GroupTaskOutput, GroupTaskError> {
    let answer = call(config, text)?;
    Ok(GroupTaskOutput {
        succeeded: answer.is_ack(),
        text: answer.line,
    })
}
