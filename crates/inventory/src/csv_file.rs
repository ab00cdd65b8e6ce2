//! Inventories in CSV: the columns may be in any order, values may be quoted, lines may be
//! comments, and the delimiter is `,` `;` or tab. A row that is not complete is refused.

use crate::fault::{Fault, Faults, Location};
use crate::host::{Host, Schema};
use crate::host_fields::{read_host, FieldValue, HostSource};
use csv::{ReaderBuilder, StringRecord, Trim};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum length of the header that a fault shows, in characters.
const MAX_SHOWN_CHARS: usize = 100;

/// Reads the hosts of a file. Invalid rows are omitted, and each of their faults is reported.
pub(crate) fn read(text: &str, file: &Arc<str>, schema: &Schema, faults: &mut Faults) -> Vec<Host> {
    let mut reader = ReaderBuilder::new()
        .delimiter(delimiter(text))
        .comment(Some(b'#'))
        .trim(Trim::All)
        .flexible(true)
        .from_reader(text.as_bytes());
    let header = match reader.headers() {
        Ok(header) => header.clone(),
        Err(error) => {
            let location = Location::new(file, 1, 1, "header");
            faults.add(Fault::error(&location, error.to_string()));
            return Vec::new();
        }
    };
    let Some(columns) = read_header(&header, file, schema, faults) else {
        return Vec::new();
    };
    let mut hosts = Vec::new();
    let mut row = StringRecord::new();
    loop {
        match reader.read_record(&mut row) {
            Ok(true) => hosts.extend(read_row(&row, &columns, file, schema, faults)),
            Ok(false) => return hosts,
            Err(error) => {
                let line = error.position().map_or(0, csv::Position::line);
                let location = Location::new(file, line, 1, "");
                faults.add(Fault::error(&location, error.to_string()));
                return hosts;
            }
        }
    }
}

/// Returns the delimiter that occurs most often in the header; a comma in case of a tie.
fn delimiter(text: &str) -> u8 {
    let header = text
        .lines()
        .find(|line| !line.trim().is_empty() && !line.starts_with('#'))
        .unwrap_or("");
    let count = |delimiter: char| header.matches(delimiter).count();
    let delimiters = [',', ';', '\t'];
    let most = delimiters
        .into_iter()
        .max_by_key(|delimiter| (count(*delimiter), *delimiter == ','));
    most.unwrap_or(',') as u8
}

/// Returns the field of each column, or `None` if the header has no `name` column.
fn read_header(
    header: &StringRecord,
    file: &Arc<str>,
    schema: &Schema,
    faults: &mut Faults,
) -> Option<Vec<String>> {
    let location = Location::new(file, 1, 1, "header");
    let columns: Vec<String> = header
        .iter()
        .map(|name| schema.field(name).to_string())
        .collect();
    let mut seen = BTreeSet::new();
    for column in columns.iter().filter(|column| !column.is_empty()) {
        if !seen.insert(column) {
            let fault = Fault::error(&location, "is a duplicate column");
            faults.add(fault.field(column));
        }
    }
    if !columns.iter().any(|column| column == "name") {
        let all = columns.join(", ");
        let shown: String = all.chars().take(MAX_SHOWN_CHARS).collect();
        let fault = Fault::error(&location, "is missing from the header")
            .field("name")
            .help(format!("the header has the columns {shown}"));
        faults.add(fault);
        return None;
    }
    Some(columns)
}

fn read_row(
    row: &StringRecord,
    columns: &[String],
    file: &Arc<str>,
    schema: &Schema,
    faults: &mut Faults,
) -> Option<Host> {
    let line = row.position().map_or(0, csv::Position::line);
    let path = format!("row {line}");
    let row_place = Location::new(file, line, 1, &path);
    // A row with too few or too many values may have been cut off or contain an unquoted comma.
    // Reading it would assign values to the wrong fields.
    if row.len() != columns.len() {
        let (found, expected) = (row.len(), columns.len());
        let fault = Fault::error(
            &row_place,
            format!("has {found} values, but the header has {expected} columns"),
        );
        let first = row.get(0).unwrap_or("");
        let help = "a value that contains a comma must be quoted";
        faults.add(fault.value(first).help(help));
        return None;
    }
    let mut values = BTreeMap::new();
    let mut column = 1;
    for (name, value) in columns.iter().zip(row.iter()) {
        // The column is approximate: the CSV reader has removed quotes and spaces around values.
        let field_value = FieldValue {
            text: Some(value.to_string()),
            location: Location::new(file, line, column, &path),
        };
        column += value.chars().count() as u64 + 1;
        values.insert(name.clone(), field_value);
    }
    let name = values.get("name").and_then(|value| value.text.as_deref());
    let source = HostSource {
        name: name.unwrap_or_default().trim(),
        location: &row_place,
        values: &values,
        groups: Vec::new(),
    };
    read_host(source, schema, faults)
}
