//! Reads the result of a hook.

use rhai::{Dynamic, Map};

/// Most notes on a request; they are sent to endpoints with every attempt.
const MAX_NOTES: usize = 8;
/// Longest name of a note, bytes.
const MAX_NOTE_NAME: usize = 32;
/// Longest value of a note, bytes.
const MAX_NOTE_VALUE: usize = 128;
/// Longest Retry-After that a script may set, ms.
const MAX_RETRY_AFTER_MS: i64 = 60_000;

/// The script's verdict on a request.
#[derive(Clone, Debug, PartialEq)]
pub enum PluginVerdict {
    /// The request continues, with these notes.
    Pass(Vec<(String, String)>),
    /// The request is rejected, with this Retry-After, ms.
    Reject(f64),
}

/// Why a hook's result is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum InvalidResult {
    #[error("the hook returned neither () nor a map")]
    Type,
    #[error("nack in the hook's map is not a number from 0 to 60000")]
    RetryAfter,
    #[error("the hook's map has neither nack nor notes")]
    Keys,
    #[error("notes in the hook's map is not a map")]
    Notes,
    #[error("the hook's map has more than 8 notes")]
    TooManyNotes,
    #[error("a note's name or value cannot be sent as a header")]
    Note,
}

/// Reads the result of a hook: `()`, `#{ nack: MS }` or `#{ notes: #{ NAME: VALUE } }`.
pub(super) fn read_verdict(result: Dynamic) -> Result<PluginVerdict, InvalidResult> {
    if result.is_unit() {
        return Ok(PluginVerdict::Pass(Vec::new()));
    }
    let map = result.try_cast::<Map>().ok_or(InvalidResult::Type)?;
    if let Some(retry_after) = map.get("nack") {
        let ms = retry_after.as_int().ok();
        let ms = ms.filter(|ms| (0..=MAX_RETRY_AFTER_MS).contains(ms));
        let ms = ms.ok_or(InvalidResult::RetryAfter)?;
        return Ok(PluginVerdict::Reject(ms as f64));
    }
    let notes = map.get("notes").ok_or(InvalidResult::Keys)?;
    let notes = notes.clone().try_cast::<Map>();
    read_notes(notes.ok_or(InvalidResult::Notes)?).map(PluginVerdict::Pass)
}

fn read_notes(notes: Map) -> Result<Vec<(String, String)>, InvalidResult> {
    if notes.len() > MAX_NOTES {
        return Err(InvalidResult::TooManyNotes);
    }
    let mut read = Vec::with_capacity(notes.len());
    for (name, value) in notes {
        let value = value.to_string();
        if !is_note_name(&name) || !is_note_value(&value) {
            return Err(InvalidResult::Note);
        }
        read.push((name.to_string(), value));
    }
    Ok(read)
}

/// Whether a note's name can be part of a header name.
fn is_note_name(name: &str) -> bool {
    let valid = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    !name.is_empty() && name.len() <= MAX_NOTE_NAME && name.bytes().all(valid)
}

/// Whether a note's value can be a header value.
fn is_note_value(value: &str) -> bool {
    value.len() <= MAX_NOTE_VALUE && value.bytes().all(|b| (b' '..=b'~').contains(&b))
}
