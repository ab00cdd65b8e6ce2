//! Reads a file of rules. A rule that is unchanged since the previous file is reused; only the
//! others are parsed, checked and compiled.
//!
//! A reload must not exhaust the memory of the ingress. The size of each text that is parsed in one
//! piece is limited beforehand, and the memory of the rules is counted while they are read: reading
//! stops with a fault at the rule that exceeds the limit.

use crate::content_hash::ContentHash;
use crate::cost::highest_request_cost;
use crate::document::{Document, Excerpt, RULES};
use crate::environment::{ceilings, check_top_level_keys, effects, Ceilings, Environment};
use crate::expression_reader::RuleFields;
use crate::limit::Limit;
use crate::names;
use crate::pool::{self, Pool};
use crate::read_options::{Input, ReadOptions};
use crate::reader::{Reader, Value, Values};
use crate::request::request_schema;
use crate::rule::{CheckedRule, Rule, RuleLimit, SharedTables};
use crate::rule_reader::{report_duplicate_name, RuleReader};
use crate::rules::{ReadReport, RuleSet, Rules};
use crate::takeover::PreviousRules;
use driftgap_expr::{Schema, Selector};
use std::collections::HashSet;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard};
use toml::de::DeTable;

/// Bytes of memory that are reserved for each byte that is parsed in one piece. Arrays, tables and
/// strings take up to 122, keys with many dots up to 333.
const PARSED_FACTOR: usize = 128;
/// Bytes that reading takes for each rule in addition to the rule itself: its span, the hash of its
/// name, its sorted texts.
const WORKING_BYTES: usize = 100;

/// All rules of a file without faults, before they are indexed.
pub(crate) struct UnindexedRules {
    rules: Vec<Arc<Rule>>,
    pools: Arc<[Pool]>,
    environment: Arc<Environment>,
    cost: u64,
    report: ReadReport,
}

impl UnindexedRules {
    /// Indexes the rules by the texts that select them.
    pub(crate) fn finish(self, shared: Arc<Mutex<SharedTables>>) -> RuleSet {
        let UnindexedRules {
            rules,
            pools,
            environment,
            cost,
            report,
        } = self;
        let selector = Selector::new(rules.iter().map(|rule| &rule.key));
        RuleSet::new(rules, pools, environment, selector, cost, report, shared)
    }
}

/// Reads one file of rules.
pub(crate) struct FileReader<'a, 'g, 't> {
    input: &'a Input<'t>,
    options: &'a ReadOptions<'a>,
    reader: &'a mut Reader<'t>,
    shared: &'a mut MutexGuard<'g, SharedTables>,
    checked_rules: Option<&'a mut Vec<CheckedRule>>,
    schema: Schema,
    rules: Vec<Arc<Rule>>,
    /// Hashes of the names of the rules read so far.
    names: HashSet<ContentHash>,
    /// Memory of the compiled rules, in bytes.
    compiled_bytes: usize,
    report: ReadReport,
}

impl<'a, 'g, 't> FileReader<'a, 'g, 't> {
    /// Creates a reader that reports faults to `reader` and appends checked rules to
    /// `checked_rules`, if given.
    pub(crate) fn new(
        input: &'a Input<'t>,
        options: &'a ReadOptions<'a>,
        reader: &'a mut Reader<'t>,
        shared: &'a mut MutexGuard<'g, SharedTables>,
        checked_rules: Option<&'a mut Vec<CheckedRule>>,
    ) -> Self {
        FileReader {
            input,
            options,
            reader,
            shared,
            checked_rules,
            schema: request_schema(),
            rules: Vec::new(),
            names: HashSet::new(),
            compiled_bytes: 0,
            report: ReadReport::default(),
        }
    }

    /// Reads the whole file. Returns `None` if it is faulty; `reader` then has the faults.
    pub(crate) fn read(mut self) -> Option<UnindexedRules> {
        let document = Document::split(self.input.text, self.input.table_name);
        let skeleton = &document.skeleton;
        let whole = 0..self.input.text.len();
        if !self.may_parse(skeleton.text().len(), whole) {
            return None;
        }
        let parsed = self.reader.parse(skeleton);
        let Some(parsed) = parsed else {
            self.find_syntax_faults(&document.sections);
            return None;
        };
        let empty = DeTable::new();
        let table = match self.input.table_name {
            None => parsed.get_ref(),
            Some(table_name) => match parsed.get_ref().get(table_name) {
                Some(value) => Values::new(self.reader, skeleton, u64::MAX).table(value)?,
                None => &empty,
            },
        };
        let (ceilings, environment, pools) = self.read_head(skeleton, table);
        let previous = PreviousRules::new(self.options.previous, &environment);
        if document.sections.is_empty() {
            self.read_inline_rules(skeleton, table, &environment, &previous);
        } else {
            self.read_sections(&document.sections, &environment, &previous);
        }
        drop((previous, document.sections));
        self.names = HashSet::new();
        if !self.reader.has_no_faults() {
            return None;
        }
        let cost = self.highest_cost(&ceilings);
        let FileReader {
            mut rules, report, ..
        } = self;
        rules.shrink_to_fit();
        Some(UnindexedRules {
            rules,
            pools,
            environment: Arc::new(environment),
            cost,
            report,
        })
    }

    /// Returns whether `length` bytes may be parsed in one piece, and otherwise reports a fault at
    /// `span`. Without this limit an unclosed bracket could make one piece of a large file, and
    /// parsing it could exhaust the memory.
    fn may_parse(&mut self, length: usize, span: Range<usize>) -> bool {
        let max = self.options.max_bytes / PARSED_FACTOR;
        if length > max {
            let problem =
                format!("{length} bytes would be parsed in one piece; the limit is {max}");
            let help = "check for an unclosed bracket or quote; rules that each begin with [[rule]] are parsed one by one";
            self.reader.fault_in_file(span, problem, Some(help.into()));
        }
        length <= max
    }

    /// Reads everything except the rules.
    fn read_head(
        &mut self,
        skeleton: &Excerpt<'_>,
        table: &DeTable<'_>,
    ) -> (Ceilings, Environment, Arc<[Pool]>) {
        let mut values = Values::new(self.reader, skeleton, u64::MAX);
        check_top_level_keys(&mut values, table);
        let ceilings = ceilings(&mut values, table);
        let mut values = Values::new(self.reader, skeleton, ceilings.expression);
        let declared = effects(&mut values, table);
        let list = pool::list(&mut values, table);
        let names = pool::names(&mut values, list);
        let pools = pool::pools(&mut values, list, &names, &mut self.shared.interner);
        let catalog = self.input.catalog.clone();
        let expression_cost = ceilings.expression;
        let environment = Environment {
            catalog,
            declared,
            pools: names,
            expression_cost,
        };
        (ceilings, environment, pools.into())
    }

    /// Parses the rules only to report further syntax errors, after the skeleton had some.
    fn find_syntax_faults(&mut self, sections: &[Range<usize>]) {
        for range in sections {
            if self.may_parse(range.len(), range.clone()) {
                self.reader
                    .parse(&Excerpt::range(self.input.text, range.clone()));
            }
        }
    }

    /// Reads the rules of a file that was split into sections.
    fn read_sections(
        &mut self,
        sections: &[Range<usize>],
        environment: &Environment,
        previous: &PreviousRules<'_>,
    ) {
        self.rules.reserve_exact(sections.len());
        self.names.reserve(sections.len());
        for range in sections {
            if !self.within_budget(range.clone()) {
                return;
            }
            let content = section_content(self.input.text.get(range.clone()).unwrap_or(""));
            match previous.rule(content) {
                Some(rule) => self.reuse_rule(rule, range.clone(), environment),
                None => self.read_section(range.clone(), content, environment, previous),
            }
        }
    }

    /// Reuses an unchanged rule.
    fn reuse_rule(&mut self, rule: &Arc<Rule>, range: Range<usize>, environment: &Environment) {
        if !self.names.insert(ContentHash::of(&*rule.name)) {
            self.report_duplicate_name(range, environment);
        }
        self.report.taken_over += 1;
        self.rules.push(rule.clone());
    }

    /// Reports an unchanged rule whose name an earlier rule of the file has.
    fn report_duplicate_name(&mut self, range: Range<usize>, environment: &Environment) {
        let excerpt = Excerpt::range(self.input.text, range);
        let Some(parsed) = self.reader.parse(&excerpt) else {
            return;
        };
        let mut values = Values::new(self.reader, &excerpt, environment.expression_cost);
        let Some(fields) = section_fields(&mut values, parsed.get_ref(), self.input.table_name)
        else {
            return;
        };
        if let Some(name) = names::name(&mut values, fields.table, fields.span) {
            report_duplicate_name(&mut values, &name);
        }
    }

    /// Parses, checks and compiles one rule.
    fn read_section(
        &mut self,
        range: Range<usize>,
        content: ContentHash,
        environment: &Environment,
        previous: &PreviousRules<'_>,
    ) {
        if !self.may_parse(range.len(), range.clone()) {
            return;
        }
        let excerpt = Excerpt::range(self.input.text, range);
        let Some(parsed) = self.reader.parse(&excerpt) else {
            return;
        };
        if !self.reader.well_formed() {
            return;
        }
        let mut values = Values::new(self.reader, &excerpt, environment.expression_cost);
        let Some(fields) = section_fields(&mut values, parsed.get_ref(), self.input.table_name)
        else {
            return;
        };
        self.read_rule(&excerpt, &fields, content, environment, previous);
    }

    /// Reads the rules of a file that could not be split into sections.
    fn read_inline_rules(
        &mut self,
        skeleton: &Excerpt<'_>,
        table: &DeTable<'_>,
        environment: &Environment,
        previous: &PreviousRules<'_>,
    ) {
        let Some(list) = table.get(RULES) else { return };
        let list = Values::new(self.reader, skeleton, environment.expression_cost).array(list);
        let file = ContentHash::of(self.input.text);
        for (number, value) in list.iter().enumerate() {
            if !self.within_budget(skeleton.in_file(&value.span())) {
                return;
            }
            // The text of such a rule is not known by itself, so it counts as unchanged only if the
            // whole file is.
            let content = ContentHash::of(&(file, number));
            let mut values = Values::new(self.reader, skeleton, environment.expression_cost);
            let Some(fields) = rule_fields(&mut values, value) else {
                continue;
            };
            match previous.rule(content) {
                Some(rule) => {
                    self.names.insert(ContentHash::of(&*rule.name));
                    self.report.taken_over += 1;
                    self.rules.push(rule.clone());
                }
                None => self.read_rule(skeleton, &fields, content, environment, previous),
            }
        }
    }

    /// Checks a rule and, while the file has no fault, compiles it.
    fn read_rule(
        &mut self,
        excerpt: &Excerpt<'_>,
        fields: &RuleFields<'_, '_>,
        content: ContentHash,
        environment: &Environment,
        previous: &PreviousRules<'_>,
    ) {
        let mut values = Values::new(self.reader, excerpt, environment.expression_cost);
        let names = &self.names;
        let is_named = |name: &str| names.contains(&ContentHash::of(name));
        let (schema, is_named) = (&self.schema, &is_named);
        let read = RuleReader::new(&mut values, environment, schema, is_named).read(fields);
        if let Some(name) = &read.name {
            self.names.insert(ContentHash::of(&*name.text));
        }
        let Some(checked) = read.checked.filter(|_| self.reader.has_no_faults()) else {
            return;
        };
        let limit = checked.limit.as_ref().map(|spec| {
            let new = || Arc::new(Limit::new(spec.allowance, spec.keys));
            let limit = previous.limit(&checked.name, spec).unwrap_or_else(new);
            Box::new(RuleLimit {
                spec: spec.clone(),
                limit,
            })
        });
        let rule = Arc::new(self.shared.rule(&checked, content, limit));
        self.compiled_bytes += rule.heap_bytes();
        self.report.compiled += 1;
        self.rules.push(rule);
        if let Some(checked_rules) = &mut self.checked_rules {
            checked_rules.push(checked);
        }
    }

    /// Returns whether the rules read so far fit into the memory limit, and otherwise reports a
    /// fault at `span`.
    fn within_budget(&mut self, span: Range<usize>) -> bool {
        let max = self.options.max_bytes;
        let file = self.input.text.len();
        let in_force = self.options.previous.map_or(0, Rules::heap_bytes);
        let used = self.compiled_bytes + WORKING_BYTES * self.rules.len();
        let fits = file + in_force + used <= max;
        if !fits {
            let problem = format!(
                "the rules up to this one need more memory than is available: {used} bytes, in addition to {in_force} for the rules in force and {file} for the file; the limit is {max}"
            );
            let help = "use fewer rules, fewer keys of limits, or change the file in several steps";
            self.reader.fault_in_file(span, problem, Some(help.into()));
        }
        fits
    }

    /// Returns the highest cost of all rules for one request, in units. Reports a fault if it
    /// exceeds the limit.
    fn highest_cost(&mut self, ceilings: &Ceilings) -> u64 {
        let cost = highest_request_cost(&self.rules);
        if cost > ceilings.request {
            let costliest = self.rules.iter().max_by_key(|rule| rule.cost);
            let costliest = costliest.map_or("", |rule| &rule.name);
            let problem = format!(
                "all rules together may cost {cost} units per request; the limit is {}",
                ceilings.request
            );
            self.reader.fault_in_file(
                0..1,
                problem,
                Some(format!("rule {costliest:?} costs the most")),
            );
        }
        cost
    }
}

/// Computes the hash of a rule's text. Empty lines after a rule do not change it.
fn section_content(text: &str) -> ContentHash {
    let trimmed = text.trim_end_matches('\n');
    // A trailing carriage return is kept: alone it is a syntax error, before a newline it is not.
    ContentHash::of(if trimmed.ends_with('\r') {
        text
    } else {
        trimmed
    })
}

/// Returns the fields of the only rule of a section.
fn section_fields<'v, 'd>(
    values: &mut Values<'_, '_>,
    parsed: &'v DeTable<'d>,
    table_name: Option<&str>,
) -> Option<RuleFields<'v, 'd>> {
    let table = match table_name {
        None => parsed,
        Some(table_name) => values.table(parsed.get(table_name)?)?,
    };
    let rules = values.array(table.get(RULES)?);
    rule_fields(values, rules.first()?)
}

fn rule_fields<'v, 'd>(
    values: &mut Values<'_, '_>,
    value: &'v Value<'d>,
) -> Option<RuleFields<'v, 'd>> {
    Some(RuleFields {
        table: values.table(value)?,
        span: value.span(),
    })
}
