//! Describes the platform's settings to operators: the use of every key, or why a key is not used,
//! and the effect of the values.
//!
//! It does not validate values, which the parser does, and serving does not depend on it.

mod sentences;
mod table;

pub use sentences::describe;
pub use table::{SettingDescription, SETTINGS};

use serde_json::Value;

/// The paths of settings that this program does not know: misspelt, or newer than this version.
pub fn unknown(settings: &Value) -> Vec<String> {
    let mut unknown_paths = Vec::new();
    collect_unknown(settings, "", &mut unknown_paths);
    unknown_paths
}

fn collect_unknown(value: &Value, path: &str, unknown_paths: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                if has_known_fields(&path) {
                    collect_unknown(value, &path, unknown_paths);
                } else if !is_known(&path) && !unknown_paths.contains(&path) {
                    unknown_paths.push(path);
                }
            }
        }
        Value::Array(items) => {
            let path = format!("{path}[]");
            for item in items {
                collect_unknown(item, &path, unknown_paths);
            }
        }
        _ => {}
    }
}

fn is_known(path: &str) -> bool {
    SETTINGS.iter().any(|setting| setting.key == path)
}

/// Whether the table has settings below this path.
fn has_known_fields(path: &str) -> bool {
    SETTINGS.iter().any(|setting| {
        let rest = setting.key.strip_prefix(path);
        rest.is_some_and(|rest| rest.starts_with(['.', '[']))
    })
}

#[cfg(test)]
mod tests;
