//! What the settings mean, in words, for operators who bring up a deployment: every key that the platform names, who
//! reads it or why nobody does, and what follows from the values. It owns that table and the sentences. It must never
//! judge a value, which is the parser's, nor be needed to serve.

mod sentences;
mod table;

pub use sentences::describe;
pub use table::{SettingDescription, SETTINGS};

use serde_json::Value;

/// The paths of the settings that no one here knows: misspelt, or newer than this program.
pub fn unknown(settings: &Value) -> Vec<String> {
    let mut found = Vec::new();
    collect_unknown(settings, "", &mut found);
    found
}

fn collect_unknown(value: &Value, path: &str, found: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                if has_known_fields(&path) {
                    collect_unknown(value, &path, found);
                } else if !is_known(&path) && !found.contains(&path) {
                    found.push(path);
                }
            }
        }
        Value::Array(items) => {
            let path = format!("{path}[]");
            for item in items {
                collect_unknown(item, &path, found);
            }
        }
        _ => {}
    }
}

fn is_known(path: &str) -> bool {
    SETTINGS.iter().any(|setting| setting.key == path)
}

/// Whether there are settings below this path.
fn has_known_fields(path: &str) -> bool {
    SETTINGS.iter().any(|setting| {
        let rest = setting.key.strip_prefix(path);
        rest.is_some_and(|rest| rest.starts_with(['.', '[']))
    })
}

#[cfg(test)]
mod tests;
