//! Inventories in CSV: a header in any order, quoted fields, comment lines, `,` `;` or tab as the header has it.
//! It owns the reading of rows. It must never take a row that is not whole.

use crate::fault::{Faults, Place};
use crate::host::{host, Host, Raw, Schema};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

#[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
pub(crate) fn read(text: &str, file: &Arc<str>, schema: &Schema, faults: &mut Faults) -> Vec<Host> {
    let header = text
        .lines()
        .find(|line| !line.trim().is_empty() && !line.starts_with('#'))
        .unwrap_or("");
    let count = |sign: char| header.matches(sign).count();
    let signs = [',', ';', '\t'];
    let delimiter = signs
        .into_iter()
        .max_by_key(|sign| (count(*sign), *sign == ','))
        .unwrap_or(',');
    let mut reader = csv::ReaderBuilder::new()
        .delimiter(delimiter as u8)
        .comment(Some(b'#'))
        .trim(csv::Trim::All)
        .flexible(true)
        .from_reader(text.as_bytes());
    let place = |line: u64, column: u64, path: &str| Place {
        file: file.clone(),
        line,
        column,
        path: path.into(),
    };
    let names: Vec<String> = match reader.headers() {
        Ok(header) => header
            .iter()
            .map(|name| schema.field(name).to_string())
            .collect(),
        Err(e) => {
            faults.error(&place(1, 1, "header"), "", "", e.to_string(), "");
            return Vec::new();
        }
    };
    let mut seen = BTreeSet::new();
    for name in names.iter().filter(|name| !name.is_empty()) {
        if !seen.insert(name) {
            faults.error(&place(1, 1, "header"), name, "", "is a column twice", "");
        }
    }
    if !names.iter().any(|name| name == "name") {
        let help = format!(
            "the header has {}",
            names.join(", ").chars().take(100).collect::<String>()
        );
        faults.error(
            &place(1, 1, "header"),
            "name",
            "",
            "is no column of the header",
            help,
        );
        return Vec::new();
    }
    let mut hosts = Vec::new();
    let mut row = csv::StringRecord::new();
    loop {
        match reader.read_record(&mut row) {
            Ok(true) => {}
            Ok(false) => return hosts,
            Err(e) => {
                let line = e.position().map_or(0, csv::Position::line);
                faults.error(&place(line, 1, ""), "", "", e.to_string(), "");
                return hosts;
            }
        }
        let line = row.position().map_or(0, csv::Position::line);
        let path = format!("row {line}");
        let at = place(line, 1, &path);
        if row.len() != names.len() {
            let problem = format!("has {} values, the header {}", row.len(), names.len());
            faults.error(
                &at,
                "",
                row.get(0).unwrap_or(""),
                problem,
                "a comma in a value needs quotes around it",
            );
            continue;
        }
        let mut values = BTreeMap::new();
        let mut column = 1;
        for (name, value) in names.iter().zip(row.iter()) {
            // The column as far as it can be told: quotes and blanks around values are gone.
            let raw = Raw {
                text: Some(value.to_string()),
                place: place(line, column, &path),
            };
            column += value.chars().count() as u64 + 1;
            values.insert(name.clone(), raw);
        }
        let name = values
            .get("name")
            .and_then(|raw| raw.text.clone())
            .unwrap_or_default();
        hosts.extend(host(name.trim(), &at, &values, Vec::new(), schema, faults));
    }
}
