//! Why a member's folder cannot be used.

use super::NEWEST_FOLDER_FORMAT;
use std::path::PathBuf;

/// Why a member's folder cannot be used. Texts about the folder as a whole begin with its path.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process has locked the folder.
    #[error("{0}: another process uses this folder")]
    Locked(PathBuf),
    /// A newer program wrote the folder, in this format version.
    #[error(
        "{0}: written by a newer program (form {1}, this one knows {known})",
        known = NEWEST_FOLDER_FORMAT
    )]
    Newer(PathBuf, u32),
    /// The folder has a newer format version than the settings allow.
    #[error("{path}: has form {format}, but group.form allows at most {allowed}")]
    FormatNotAllowed {
        /// The folder.
        path: PathBuf,
        /// The folder's format version.
        format: u32,
        /// The newest format version that the settings allow.
        allowed: u32,
    },
    /// The folder belongs to another member.
    #[error("{path}: the folder of member {owner}, not of {member}")]
    OtherMember {
        /// The folder.
        path: PathBuf,
        /// The member that the folder belongs to.
        owner: String,
        /// The member that was to use it.
        member: String,
    },
    /// The folder already holds a member.
    #[error("{0}: holds a member already")]
    AlreadyInitialized(PathBuf),
    /// The folder holds no member.
    #[error("{0}: holds no member")]
    Empty(PathBuf),
    /// A record is missing, or its checksum differs.
    #[error("record {0}: torn or spoilt")]
    Corrupt(String),
    /// The database or the disk reported an error.
    #[error("{0}")]
    Disk(String),
}

/// Wraps an error of the database or the disk.
pub(super) fn disk_error(error: impl std::fmt::Display) -> StoreError {
    StoreError::Disk(error.to_string())
}
