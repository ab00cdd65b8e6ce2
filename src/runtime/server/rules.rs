//! The operator's rules: loaded at the start, and replaced after a reload.

use super::startup::StartError;
use crate::group::Group;
use crate::routing::reload::{Reading, ReloadError};
use crate::routing::{catalog, RuleSource};
use crate::runtime::dispatcher::Dispatcher;
use driftgap_group::DocumentKind;
use driftgap_routes::{Catalog, Fault, Rules};

/// Compiled rules and their text.
struct RuleText {
    rules: Rules,
    text: String,
}

/// Loads the rules and puts them in force. If the file is invalid, uses the rules that the group
/// accepted last. Returns the text that is in force.
///
/// # Errors
/// The first fault in the file, if the group has no usable rules either.
pub(super) async fn load_at_start(
    dispatcher: &Dispatcher,
    source: &RuleSource,
    group: Option<&Group>,
) -> Result<String, StartError> {
    let catalog = catalog(dispatcher.platform());
    let loaded = match read_file(source, &catalog) {
        Ok(loaded) => loaded,
        Err(faults) => read_from_group(source, &catalog, group, &faults)
            .await
            .ok_or_else(|| start_error(&faults))?,
    };
    let RuleText { rules, text } = loaded;
    tracing::info!(
        rules = rules.len(),
        cost = rules.cost(),
        unindexed = rules.unindexed(),
        "rules in force"
    );
    dispatcher
        .replace_rules(rules)
        .map_err(|e| StartError::Routes(e.to_string()))?;
    Ok(text)
}

fn read_file(source: &RuleSource, catalog: &Catalog) -> Result<RuleText, Vec<Fault>> {
    let text = source.text()?;
    let rules = source.compile(&text, catalog, None)?;
    Ok(RuleText { rules, text })
}

/// Returns the rules that the group accepted last, if there are any and they compile here.
async fn read_from_group(
    source: &RuleSource,
    catalog: &Catalog,
    group: Option<&Group>,
    faults: &[Fault],
) -> Option<RuleText> {
    let document = group?.document(DocumentKind::Rules).await?;
    let text = String::from_utf8_lossy(&document.bytes).to_string();
    let rules = source.compile(&text, catalog, None).ok()?;
    let fault = faults.first().map(|fault| &fault.line);
    tracing::error!(
        fault,
        number = document.number,
        "rules file cannot be used: using the last rules that the group accepted"
    );
    Some(RuleText { rules, text })
}

fn start_error(faults: &[Fault]) -> StartError {
    let first = faults.first().map_or("", |fault| fault.line.as_str());
    let more = match faults.len() {
        0 | 1 => String::new(),
        count => format!(" (and {} more: driftgap check)", count - 1),
    };
    StartError::Routes(format!("{first}{more}"))
}

/// Puts newly read rules in force; after a failed reading the old rules stay. Returns the text in
/// force if it changed and `keep_text` is set.
pub(super) fn replace(
    dispatcher: &Dispatcher,
    read: Result<Reading, ReloadError>,
    keep_text: bool,
) -> Option<String> {
    let reading = match read {
        Ok(reading) => reading,
        Err(ReloadError::Faults(faults)) => {
            tracing::error!(faults, "rules are invalid: the old rules stay in force");
            return None;
        }
        Err(e) => {
            tracing::error!(error = %e, "rules cannot be read: the old rules stay in force");
            return None;
        }
    };
    let Reading {
        rules,
        text,
        retired,
    } = reading;
    let (count, cost, unindexed) = (rules.len(), rules.cost(), rules.unindexed());
    let (taken_over, bytes) = (rules.report().taken_over, rules.heap_bytes());
    let started_ms = dispatcher.now();
    let replaced = match dispatcher.replace_rules(rules) {
        Ok(replaced) => replaced,
        Err(e) => {
            tracing::error!(error = %e, "rules cannot be replaced: the old rules stay in force");
            return None;
        }
    };
    let held_ms = dispatcher.now() - started_ms;
    // Dropping rules is slow: the thread that read the new ones does it.
    retired.push(replaced);
    tracing::info!(
        rules = count,
        taken_over,
        cost,
        unindexed,
        bytes,
        held_ms,
        "rules replaced"
    );
    if keep_text {
        return Some(text);
    }
    retired.push(text);
    None
}
