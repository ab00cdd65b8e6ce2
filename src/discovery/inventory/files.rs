//! Reads the files of an inventory: one file, or those of a folder without editors' backup and
//! temporary files. It rejects files that change while they are read, and does not load files that
//! are too long.

use super::error::InventoryError;
use crate::config::regular_file::require_regular;
use driftgap_inventory::{Fault, File, Location, Severity, MAX_FILE};
use std::path::Path;
use std::time::SystemTime;

/// Most files in a folder: far more than tools create for one inventory, and few enough to read
/// during a reload.
pub(super) const MAX_FILES: usize = 1000;
/// Deepest nesting of folders: `group_vars/GROUP/FILE` and one more. Bounds the recursion through a
/// link to a parent folder.
pub(super) const MAX_FOLDER_DEPTH: usize = 4;

/// Suffixes of backup and temporary files of editors and tools; such files are not part of an
/// inventory.
const IGNORED_SUFFIXES: [&str; 4] = ["~", "#", ".swp", ".tmp"];

/// Reads the inventory file itself, or all files of the folder.
pub(super) fn read_files(path: &Path) -> Result<Vec<File>, InventoryError> {
    let mut files = Vec::new();
    if path.is_dir() {
        read_folder(path, path, 0, &mut files)?;
    } else {
        files.push(read_file(path, file_name(path))?);
    }
    Ok(files)
}

fn read_folder(
    root: &Path,
    folder: &Path,
    depth: usize,
    files: &mut Vec<File>,
) -> Result<(), InventoryError> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if is_ignored(&file_name(&path)) {
            continue;
        }
        if files.len() >= MAX_FILES || depth > MAX_FOLDER_DEPTH {
            return Err(InventoryError::Folder);
        }
        if path.is_dir() {
            read_folder(root, &path, depth + 1, files)?;
        } else {
            let name = path.strip_prefix(root).unwrap_or(&path);
            files.push(read_file(&path, name.to_string_lossy().to_string())?);
        }
    }
    Ok(())
}

fn file_name(path: &Path) -> String {
    path.file_name()
        .map_or(String::new(), |name| name.to_string_lossy().to_string())
}

fn is_ignored(name: &str) -> bool {
    name.starts_with('.') || IGNORED_SUFFIXES.iter().any(|suffix| name.ends_with(suffix))
}

/// Reads one file. Its length and modification time must be the same before and after; otherwise a
/// tool may be writing it, and its end may be missing.
fn read_file(path: &Path, name: String) -> Result<File, InventoryError> {
    require_regular(path)?;
    let before = FileState::of(path)?;
    // Bounds memory: a file that is too long is rejected by its length before it is read.
    if before.length > MAX_FILE as u64 {
        return Err(too_long(&name, before.length));
    }
    let bytes = std::fs::read(path)?;
    if FileState::of(path)? != before || bytes.len() as u64 != before.length {
        return Err(InventoryError::Changing);
    }
    Ok(File { path: name, bytes })
}

/// The metadata that shows whether a file was written to.
#[derive(PartialEq)]
struct FileState {
    length: u64,
    modified: SystemTime,
}

impl FileState {
    fn of(path: &Path) -> std::io::Result<FileState> {
        let metadata = std::fs::metadata(path)?;
        Ok(FileState {
            length: metadata.len(),
            modified: metadata.modified()?,
        })
    }
}

fn too_long(name: &str, length: u64) -> InventoryError {
    InventoryError::Faults(vec![Fault {
        severity: Severity::Error,
        location: Location {
            file: name.into(),
            ..Location::default()
        },
        field: String::new(),
        value: String::new(),
        problem: format!("has {length} bytes; the limit is {MAX_FILE}"),
        help: String::new(),
    }])
}
