//! Why a member's folder cannot be used.

use super::NEWEST_FOLDER_FORMAT;
use std::path::PathBuf;

/// Why a member's folder cannot be used. Those that judge a whole folder begin with its path.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process has locked it.
    #[error("{0}: another process uses this folder")]
    Held(PathBuf),
    /// A newer program wrote it, in this format version.
    #[error(
        "{0}: written by a newer program (form {1}, this one knows {known})",
        known = NEWEST_FOLDER_FORMAT
    )]
    Newer(PathBuf, u32),
    /// It is of a newer format version than the settings allow.
    #[error("{path}: of form {format}, and group.form allows {allowed} at most")]
    Form {
        /// The folder.
        path: PathBuf,
        /// Its format version.
        format: u32,
        /// The newest that the settings allow.
        allowed: u32,
    },
    /// It belongs to another member.
    #[error("{path}: the folder of member {owner}, not of {member}")]
    Member {
        /// The folder.
        path: PathBuf,
        /// Whose it is.
        owner: String,
        /// Whose it was taken for.
        member: String,
    },
    /// It holds a member already.
    #[error("{0}: holds a member already")]
    Taken(PathBuf),
    /// It holds no member.
    #[error("{0}: holds no member")]
    Empty(PathBuf),
    /// A record is missing, or its checksum differs.
    #[error("record {0}: torn or spoilt")]
    Spoilt(String),
    /// The store or the disk refuses.
    #[error("{0}")]
    Disk(String),
}

/// The store's or the disk's own error.
pub(super) fn disk_error(error: impl std::fmt::Display) -> StoreError {
    StoreError::Disk(error.to_string())
}
