//! The entry points for reading a file of rules. A file with any fault yields all of its faults and
//! no rules.

use crate::environment::Catalog;
use crate::fault::Fault;
use crate::file_reader::FileReader;
use crate::read_options::{Input, ReadOptions};
use crate::reader::Reader;
use crate::rule::CheckedRule;
use crate::rules::{lock, Rules};

impl Rules {
    /// Reads the text of a file; `file` is its name in messages.
    ///
    /// # Errors
    /// Every fault of the file, 100 at most.
    pub fn read(text: &str, file: &str, catalog: &Catalog) -> Result<Rules, Vec<Fault>> {
        Rules::read_table(text, file, None, catalog, &ReadOptions::default())
    }

    /// Reads the table `table_name` of a file that also has other content, or the top level of the
    /// file if there is none. Unchanged rules of [`ReadOptions::previous`] are reused, unless the
    /// names of the pools, the effects, the cost limit of an expression or the catalog have
    /// changed: then every rule is compiled again.
    ///
    /// # Errors
    /// Every fault of that table, 100 at most; the previous rules do not change.
    pub fn read_table(
        text: &str,
        file: &str,
        table_name: Option<&str>,
        catalog: &Catalog,
        options: &ReadOptions<'_>,
    ) -> Result<Rules, Vec<Fault>> {
        let input = Input {
            text,
            file,
            table_name,
            catalog,
        };
        read(&input, options, None)
    }
}

/// Reads a file. The checked rules are appended to `checked_rules`, if given, with their texts.
///
/// # Errors
/// Every fault of the file, 100 at most.
pub(crate) fn read(
    input: &Input<'_>,
    options: &ReadOptions<'_>,
    checked_rules: Option<&mut Vec<CheckedRule>>,
) -> Result<Rules, Vec<Fault>> {
    let length = input.text.len();
    if length > options.max_bytes {
        let problem = format!(
            "the file has {length} bytes; the limit is {}",
            options.max_bytes
        );
        return Err(vec![Fault::of_file(input.file, &problem)]);
    }
    let shared = options
        .previous
        .map_or_else(Default::default, |rules| rules.set.shared.clone());
    let mut reader = Reader::new(input.text, input.file);
    let mut tables = lock(&shared);
    tables.sweep();
    let parts = FileReader::new(input, options, &mut reader, &mut tables, checked_rules).read();
    if let Some(parts) = parts.filter(|_| reader.has_no_faults()) {
        drop(tables);
        return Ok(Rules::new(parts.finish(shared)));
    }
    tables.sweep();
    Err(reader.into_faults())
}
