//! Reading the files of an inventory: one, or those of a folder, without what editors and tools leave beside them. It
//! must never take a file that was written to while it was read, or hold one that is too long.

use super::error::InventoryError;
use driftgap_inventory::{Fault, File, Place, Weight, MAX_FILE};
use std::path::Path;
use std::time::SystemTime;

/// Most files of a folder: far more than tools keep of one inventory, and read within a reload.
pub(super) const MAX_FILES: usize = 1000;
/// Deepest nesting of folders: `group_vars/GROUP/FILE` and one more. Bounds a link to a folder above.
pub(super) const MAX_FOLDER_DEPTH: usize = 4;

/// What editors and tools add to the names of files that are no part of an inventory.
const IGNORED_SUFFIXES: [&str; 4] = ["~", "#", ".swp", ".tmp"];

/// The files of an inventory: the file itself, or those of the folder.
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

/// Guards against a file that a tool is writing, which shows as a list that lacks its end: its length and its time are
/// the same before and after it is read.
fn read_file(path: &Path, name: String) -> Result<File, InventoryError> {
    let before = FileState::of(path)?;
    // Guards memory: what is too long is refused by its length alone.
    if before.length > MAX_FILE as u64 {
        return Err(too_long(&name, before.length));
    }
    let bytes = std::fs::read(path)?;
    if FileState::of(path)? != before || bytes.len() as u64 != before.length {
        return Err(InventoryError::Changing);
    }
    Ok(File { path: name, bytes })
}

/// What tells whether a file was written to.
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
        weight: Weight::Error,
        place: Place {
            file: name.into(),
            ..Place::default()
        },
        field: String::new(),
        value: String::new(),
        problem: format!("has {length} bytes, {MAX_FILE} are the most"),
        help: String::new(),
    }])
}
