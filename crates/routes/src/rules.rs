//! A file of rules, read and judged whole: each rule with its name, what it matches and what it does. It owns
//! the form of the file, the checks that no single expression can make (names, pools and their fall-backs,
//! effects, what a command needs), and the index over all tests. It must never take a file that is wrong
//! anywhere, nor stop at the first fault.

use crate::effect::{self, Declared, Effect};
use crate::file::{Fault, Reader, Text, Value};
use crate::limit::{Allowance, Limit};
use crate::request::{field, instance_schema, request_schema};
use driftgap_expr::{Expression, Facts, Interner, Outcome, Path, Schema, SelectKey, Selector, Type};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use toml::de::DeTable;

/// Most pools: an instance's are a word of bits, one of which stands for all instances.
pub const MOST_POOLS: usize = 62;
/// The name that stands for all instances.
pub const ANY: &str = "any";
/// Most rules.
pub const MOST_RULES: usize = 10_000;
/// Longest file, bytes.
pub const MOST_FILE: usize = 4 * 1024 * 1024;
/// Most notes, and most terms, of one rule.
const MOST_NOTES: usize = 8;
/// Longest name of a rule, a pool, a note.
const MOST_NAME: usize = 64;
/// Longest time that a rule sends a client away, ms.
pub(crate) const MOST_AWAY: f64 = 600_000.0;
/// Names of the platform's own terms, which a rule may not set.
const OWN_TERMS: [&str; 7] = ["c", "t", "d", "r", "units", "spread", "first"];

/// What a file of rules is judged by, from the platform's settings.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Classes and their effects.
    pub classes: Vec<(String, Effect)>,
    /// Plans.
    pub plans: Vec<String>,
    /// Most units that one request counts.
    pub most_units: f64,
}

/// Where a pool's requests go while none of its instances is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fallback {
    Refuse,
    Pool(usize),
    Any,
}

pub(crate) struct Pool {
    pub(crate) name: String,
    pub(crate) when: Expression,
    pub(crate) fallback: Fallback,
    pub(crate) after_ms: f64,
}

/// A limit as the file has it: what is equal keeps its state when the file is read again.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LimitSpec {
    pub(crate) rule: String,
    pub(crate) key: String,
    pub(crate) allowance: Allowance,
    pub(crate) keys: usize,
}

/// What makes a command of a request.
pub(crate) struct Mapping {
    pub(crate) class: Expression,
    pub(crate) plan: Option<Expression>,
    pub(crate) partner: Option<Expression>,
    pub(crate) units: Option<Expression>,
    pub(crate) id: Option<Expression>,
    pub(crate) deadline: Option<Expression>,
    pub(crate) spread: Option<Expression>,
    pub(crate) first: Option<Expression>,
    pub(crate) terms: Vec<(String, Expression)>,
}

impl Mapping {
    /// Its expressions with their names.
    pub(crate) fn parts(&self) -> impl Iterator<Item = (&str, &Expression)> {
        fn some<'a>(name: &'a str, part: &'a Option<Expression>) -> Option<(&'a str, &'a Expression)> {
            part.as_ref().map(|part| (name, part))
        }
        let fixed = [
            Some(("class", &self.class)),
            some("plan", &self.plan),
            some("partner", &self.partner),
            some("units", &self.units),
            some("id", &self.id),
            some("deadline", &self.deadline),
            some("spread", &self.spread),
            some("first", &self.first),
        ];
        fixed.into_iter().flatten().chain(self.terms.iter().map(|(name, part)| (name.as_str(), part)))
    }
}

pub(crate) struct Rule {
    pub(crate) name: String,
    pub(crate) when: Expression,
    pub(crate) mapping: Option<Mapping>,
    pub(crate) pool: Option<Expression>,
    /// The pools that it may name, with their numbers.
    pub(crate) pools: Vec<(String, usize)>,
    pub(crate) limit: Option<(Expression, LimitSpec)>,
    pub(crate) notes: Vec<(String, Expression)>,
    pub(crate) nack: Option<Expression>,
    pub(crate) goes_on: bool,
}

impl Rule {
    /// The most that it costs where it matches, its test apart.
    fn cost(&self) -> u64 {
        let mapping = self.mapping.iter().flat_map(Mapping::parts).map(|(_, part)| part);
        let single = self.pool.iter().chain(&self.nack).chain(self.limit.iter().map(|(key, _)| key));
        mapping.chain(single).chain(self.notes.iter().map(|(_, note)| note)).map(Expression::cost).sum()
    }
}

/// A file of rules that holds no fault.
pub struct Rules {
    pub(crate) rules: Vec<Rule>,
    pub(crate) pools: Vec<Pool>,
    pub(crate) classes: Vec<String>,
    pub(crate) selector: Selector,
    cost: u64,
}

impl std::fmt::Debug for Rules {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Rules").field("rules", &self.rules.len()).field("pools", &self.pools.len()).finish()
    }
}

impl Rules {
    /// Reads a file's text; `file` is its name for messages.
    ///
    /// # Errors
    /// Every fault of the file.
    pub fn read(text: &str, file: &str, catalog: &Catalog) -> Result<Rules, Vec<Fault>> {
        Rules::read_part(text, file, None, catalog)
    }

    /// As [`Rules::read`], from the table `part` of a file that holds other things as well.
    ///
    /// # Errors
    /// Every fault of that table.
    pub fn read_part(
        text: &str,
        file: &str,
        part: Option<&str>,
        catalog: &Catalog,
    ) -> Result<Rules, Vec<Fault>> {
        if text.len() > MOST_FILE {
            let line = format!("{file}: the file has {} bytes, {MOST_FILE} are the most", text.len());
            return Err(vec![Fault { shown: line.clone(), line }]);
        }
        let mut judge = Judge {
            reader: Reader::new(text, file),
            catalog,
            pools: Vec::new(),
            declared: Declared::default(),
            schema: request_schema(),
        };
        let rules = judge.whole(part);
        match rules {
            Some(rules) if judge.reader.clean() => Ok(rules),
            _ => Err(judge.reader.faults()),
        }
    }

    /// The limit of each rule: one that is `kept`, or a new one.
    pub(crate) fn limits(&self, kept: impl Fn(&LimitSpec) -> Option<Rc<Limit>>) -> Vec<Option<Rc<Limit>>> {
        let new = |spec: &LimitSpec| Rc::new(Limit::new(spec.allowance, spec.keys));
        let limit =
            |rule: &Rule| rule.limit.as_ref().map(|(_, spec)| kept(spec).unwrap_or_else(|| new(spec)));
        self.rules.iter().map(limit).collect()
    }

    /// Rules.
    pub fn len(&self) -> usize {
        self.rules.len()
    }

    /// Whether there is no rule.
    pub fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }

    /// The most that one request may cost over all rules, in units.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Rules whose tests are looked at for every request, since no text of the request tells them apart.
    pub fn unindexed(&self) -> usize {
        self.selector.unindexed()
    }

    /// The first `count` rules alone, for measurements.
    #[must_use]
    pub fn first(mut self, count: usize) -> Rules {
        self.rules.truncate(count);
        self.selector = selector(&self.rules);
        self
    }
}

/// An index over the tests of rules.
fn selector(rules: &[Rule]) -> Selector {
    let mut interner = Interner::new();
    let keys: Vec<SelectKey> = rules.iter().map(|rule| rule.when.select_key(&mut interner)).collect();
    Selector::new(keys.iter())
}

struct Judge<'t> {
    reader: Reader<'t>,
    catalog: &'t Catalog,
    pools: Vec<String>,
    declared: Declared,
    schema: Schema,
}

type Fields<'v, 't> = &'v DeTable<'t>;

fn plain_name(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= MOST_NAME && name.bytes().all(plain)
}

impl<'t> Judge<'t> {
    fn whole(&mut self, part: Option<&str>) -> Option<Rules> {
        let table = self.reader.parse()?;
        let empty = DeTable::new();
        let table = match part {
            None => table.get_ref(),
            Some(part) => match table.get_ref().get(part) {
                Some(value) => self.reader.table(value)?,
                None => &empty,
            },
        };
        self.reader.known(table, &["cost", "effects", "pool", "rule"]);
        let most = self.costs(table);
        self.effects(table);
        let pools = self.all_pools(table);
        let mut names = BTreeSet::new();
        let mut rules = Vec::new();
        if let Some(list) = table.get("rule") {
            let list = self.reader.array(list);
            if list.len() > MOST_RULES {
                self.reader.fault(list[MOST_RULES].span(), format!("more than {MOST_RULES} rules"), None);
            }
            for value in list.iter().take(MOST_RULES) {
                let Some(fields) = self.reader.table(value) else { continue };
                rules.extend(self.rule(fields, value.span(), &mut names));
            }
        }
        let selector = selector(&rules);
        // Every test may be looked at, every matching rule may go on: that is the worst.
        let cost = rules.iter().map(|rule| rule.when.cost() + rule.cost()).sum();
        if cost > most {
            let dearest = rules.iter().max_by_key(|rule| rule.when.cost() + rule.cost());
            let dearest = dearest.map_or("", |rule| &rule.name);
            let problem = format!("all rules together may cost {cost} units a request, {most} are the most");
            self.reader.fault(0..1, problem, Some(format!("rule {dearest:?} costs most")));
        }
        let classes = self.catalog.classes.iter().map(|(name, _)| name.clone()).collect();
        Some(Rules { rules, pools, classes, selector, cost })
    }

    /// The ceilings: of one expression, kept in the reader, and of a whole request.
    fn costs(&mut self, table: Fields<'_, 't>) -> u64 {
        let (mut one, mut all) = (10_000.0, 200_000.0);
        if let Some(cost) = table.get("cost").and_then(|cost| self.reader.table(cost)) {
            self.reader.known(cost, &["expression", "request"]);
            for (name, most) in [("expression", &mut one), ("request", &mut all)] {
                if let Some(value) = cost.get(name) {
                    *most = self.reader.number(value, 1.0..=1e7).unwrap_or(*most);
                }
            }
        }
        self.reader.most_cost = one as u64;
        all as u64
    }

    fn effect(&mut self, value: &Value<'t>) -> Option<Effect> {
        let text = self.reader.string(value)?;
        let effect = Effect::named(&text.text);
        if effect.is_none() {
            let help = Some("pure, token or side_effect was expected".into());
            self.reader.fault(text.span, format!("there is no effect {:?}", text.text), help);
        }
        effect
    }

    fn effects(&mut self, table: Fields<'_, 't>) {
        let Some(effects) = table.get("effects").and_then(|effects| self.reader.table(effects)) else {
            return;
        };
        self.reader.known(effects, &["methods", "paths"]);
        for (key, methods) in [("methods", true), ("paths", false)] {
            let Some(given) = effects.get(key).and_then(|given| self.reader.table(given)) else { continue };
            for (name, value) in given.iter() {
                let Some(effect) = self.effect(value) else { continue };
                let name: &str = name.get_ref();
                if methods {
                    self.declared.methods.insert(name.to_string(), effect);
                } else if name.starts_with('/') {
                    self.declared.paths.push((name.to_string(), effect));
                } else {
                    self.reader.fault(
                        value.span(),
                        format!("{name:?} is no beginning of a path"),
                        Some("it begins with /".into()),
                    );
                }
            }
        }
    }

    fn all_pools(&mut self, table: Fields<'_, 't>) -> Vec<Pool> {
        let Some(list) = table.get("pool") else { return Vec::new() };
        let list = self.reader.array(list);
        if list.len() > MOST_POOLS {
            self.reader.fault(list[MOST_POOLS].span(), format!("more than {MOST_POOLS} pools"), None);
            return Vec::new();
        }
        // Names first: a pool may fall back on one further down.
        for value in list {
            let Some(fields) = self.reader.table(value) else { continue };
            let Some(name) = self.name(fields, value.span()) else { continue };
            if self.pools.contains(&name.text) || name.text == ANY {
                let help =
                    if name.text == ANY { "it stands for all instances" } else { "there is one already" };
                self.reader.fault(
                    name.span,
                    format!("no further pool can be named {:?}", name.text),
                    Some(help.into()),
                );
            }
            self.pools.push(name.text);
        }
        let (schema, facts) = (instance_schema(), Facts::default());
        let mut pools = Vec::new();
        for (value, name) in list.iter().zip(self.pools.clone()) {
            let Some(fields) = self.reader.table(value) else { continue };
            self.reader.known(fields, &["name", "when", "fallback", "after"]);
            let fallback = match fields.get("fallback").and_then(|f| self.reader.string(f)) {
                None => Fallback::Refuse,
                Some(text) => match (text.text.as_str(), self.pools.iter().position(|p| *p == text.text)) {
                    ("refuse", _) => Fallback::Refuse,
                    (ANY, _) => Fallback::Any,
                    (_, Some(other)) => Fallback::Pool(other),
                    (other, None) => {
                        let help = self.pool_help(other);
                        self.reader.fault(text.span, format!("there is no pool {other:?}"), Some(help));
                        Fallback::Refuse
                    }
                },
            };
            let after_ms = self.after(fields, 1000.0);
            let Some(when) = fields.get("when").and_then(|when| self.reader.string(when)) else {
                if fields.get("when").is_none() {
                    self.reader.fault(value.span(), format!("pool {name:?} has no `when`"), None);
                }
                continue;
            };
            if let Some(when) = self.reader.expression(&when, &schema, &facts, &Type::Bool) {
                pools.push(Pool { name, when, fallback, after_ms });
            }
        }
        self.rings(list, &pools);
        pools
    }

    /// Pools that fall back on each other in a ring.
    fn rings(&mut self, list: &[Value<'t>], pools: &[Pool]) {
        if pools.len() != list.len() {
            return;
        }
        for (start, value) in list.iter().enumerate() {
            let (mut at, mut steps) = (start, 0);
            while let Fallback::Pool(next) = pools[at].fallback {
                (at, steps) = (next, steps + 1);
                if at == start || steps > pools.len() {
                    let problem = format!("pool {:?} falls back on itself", pools[start].name);
                    self.reader.fault(
                        value.span(),
                        problem,
                        Some("one pool of the ring must refuse, or fall back on any".into()),
                    );
                    break;
                }
            }
        }
    }

    fn pool_help(&self, wrong: &str) -> String {
        near(wrong, self.pools.iter().map(String::as_str).chain([ANY]))
    }

    fn after(&mut self, fields: Fields<'_, 't>, absent: f64) -> f64 {
        let Some(text) = fields.get("after").and_then(|after| self.reader.string(after)) else {
            return absent;
        };
        let quoted = format!("duration({:?})", text.text);
        let ms = Expression::new(&quoted, &driftgap_expr::Schema::new()).ok().and_then(|duration| {
            let mut scratch = driftgap_expr::Scratch::default();
            match duration.eval(&Nothing, &mut scratch) {
                Ok(Some(driftgap_expr::Value::Duration(ms))) => Some(ms as f64),
                _ => None,
            }
        });
        match ms.filter(|ms| (0.0..=MOST_AWAY).contains(ms)) {
            Some(ms) => ms,
            None => {
                let help = Some("a time up to 10m, such as \"250ms\" or \"1.5s\", was expected".into());
                self.reader.fault(text.span, format!("{:?} is no time to come back", text.text), help);
                absent
            }
        }
    }

    fn name(&mut self, fields: Fields<'_, 't>, span: std::ops::Range<usize>) -> Option<Text> {
        let Some(name) = fields.get("name") else {
            self.reader.fault(span, "`name` is missing", None);
            return None;
        };
        let name = self.reader.string(name)?;
        if !plain_name(&name.text) {
            let help = Some(format!("letters, digits, - _ and . up to {MOST_NAME}"));
            self.reader.fault(name.span, "the name cannot be used", help);
            return None;
        }
        Some(name)
    }

    /// An expression by its key, if there is one; the flag says whether the key is there.
    fn part(
        &mut self,
        fields: Fields<'_, 't>,
        key: &str,
        facts: &Facts,
        want: &Type,
    ) -> Option<(Expression, Text)> {
        let text = fields.get(key).and_then(|value| self.reader.string(value))?;
        let expression = self.reader.expression(&text, &self.schema, facts, want)?;
        Some((expression, text))
    }

    fn rule(
        &mut self,
        fields: Fields<'_, 't>,
        span: std::ops::Range<usize>,
        names: &mut BTreeSet<String>,
    ) -> Option<Rule> {
        const KEYS: [&str; 16] = [
            "name", "when", "class", "plan", "partner", "units", "id", "deadline", "spread", "first",
            "terms", "pool", "limit", "notes", "nack", "go_on",
        ];
        self.reader.known(fields, &KEYS);
        let name = self.name(fields, span.clone());
        if let Some(name) = &name {
            if !names.insert(name.text.clone()) {
                self.reader.fault(
                    name.span.clone(),
                    format!("there is a rule {:?} already", name.text),
                    None,
                );
            }
        }
        let always = || Expression::new("true", &self.schema).ok();
        let when = match fields.get("when") {
            None => always(),
            Some(_) => match self.part(fields, "when", &Facts::default(), &Type::Bool) {
                Some((when, text)) => {
                    if when.when_true().is_none() {
                        let error =
                            when.fault(0..when.text().len(), "this is never true", "the rule has no effect");
                        self.reader.wrong(&text, &error);
                    }
                    Some(when)
                }
                // Its fault is noted; the other parts are still read, knowing nothing.
                None => None,
            },
        };
        let facts = when.as_ref().and_then(|when| when.when_true().cloned()).unwrap_or_default();
        let judged = when.is_some();
        let mapping = self.mapping(fields, span.clone(), &facts, judged);
        let pool = self.pool_of(fields, &facts);
        let limit = self.limit(fields, &facts, name.as_ref().map_or("", |name| &name.text));
        let notes = self.named(fields, "notes", &facts, |name| {
            let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
            name.bytes().all(plain) && name.len() <= 32
        });
        let nack = self.part(fields, "nack", &facts, &Type::Duration).map(|(nack, _)| nack);
        let goes_on = match fields.get("go_on").map(|value| (value.get_ref(), value.span())) {
            None => false,
            Some((toml::de::DeValue::Boolean(goes_on), _)) => *goes_on,
            Some((_, span)) => {
                self.reader.fault(span, "`go_on` is true or false", None);
                false
            }
        };
        let does = ["class", "pool", "limit", "notes", "nack"].iter().any(|key| fields.contains_key(*key));
        if !does && goes_on {
            let help = Some("class, pool, limit, notes or nack was expected".into());
            self.reader.fault(span, "the rule does nothing", help);
        }
        let (name, when) = (name?.text, when?);
        let pools =
            pool.iter().flat_map(|pool| pool.ways().unwrap_or(&[])).filter_map(|way| match &way.outcome {
                Outcome::Text(name) => {
                    self.pools.iter().position(|p| p == name).map(|number| (name.clone(), number))
                }
                _ => None,
            });
        let pools = pools.collect();
        Some(Rule { name, when, mapping, pool, pools, limit, notes, nack, goes_on })
    }

    fn mapping(
        &mut self,
        fields: Fields<'_, 't>,
        span: std::ops::Range<usize>,
        facts: &Facts,
        judged: bool,
    ) -> Option<Mapping> {
        const PARTS: [&str; 8] = ["plan", "partner", "units", "id", "deadline", "spread", "first", "terms"];
        let Some(value) = fields.get("class") else {
            // What belongs to a command without one.
            for key in PARTS {
                if let Some(value) = fields.get(key) {
                    let help = Some("a rule with `class` makes a command of a request".into());
                    self.reader.fault(value.span(), format!("`{key}` stands without `class`"), help);
                }
            }
            return None;
        };
        if judged && effect::may_be_command(facts) {
            let help = format!(
                "a rule with `class` is for other paths than {}...: test request.path in `when`",
                effect::COMMANDS
            );
            let problem = "the rule may match a command of the platform's own, whose class and units are the client's word";
            self.reader.fault(value.span(), problem, Some(help));
        }
        let class = self.part(fields, "class", facts, &Type::Text);
        if let Some((class, text)) = class.as_ref().filter(|_| judged) {
            let catalog = self.catalog;
            let effect_of = |name: &str| catalog.classes.iter().find(|(n, _)| n == name).map(|(_, e)| *e);
            let nearest = |name: &str| near(name, catalog.classes.iter().map(|(n, _)| n.as_str()));
            for unfit in effect::class(class, &self.declared, effect_of, nearest) {
                let error = class.fault(unfit.span, unfit.problem, unfit.help);
                self.reader.wrong(text, &error);
            }
        }
        let units = self.part(fields, "units", facts, &Type::Double);
        if let Some((units, text)) = units.as_ref().filter(|_| judged) {
            for unfit in effect::units(units, self.catalog.most_units) {
                let error = units.fault(unfit.span, unfit.problem, unfit.help);
                self.reader.wrong(text, &error);
            }
        }
        let plan = self.part(fields, "plan", facts, &Type::Text);
        if let Some((plan, text)) = &plan {
            let ways = plan.ways().unwrap_or(&[]);
            for way in ways {
                if let Outcome::Text(name) = &way.outcome {
                    if !self.catalog.plans.contains(name) {
                        let help = near(name, self.catalog.plans.iter().map(String::as_str));
                        let error = plan.fault(way.span.clone(), format!("there is no plan {name:?}"), help);
                        self.reader.wrong(text, &error);
                    }
                }
            }
        }
        // A command needs these; the client may name them, if that is certain.
        for (key, place) in [("plan", field::PLAN), ("partner", field::PARTNER), ("units", field::UNITS)] {
            if judged && fields.get(key).is_none() && !facts.present(&Path::Field(place)) {
                let help = Some(format!("give it, or test has(request.{key}) in `when`"));
                self.reader.fault(span.clone(), format!("a command needs `{key}`"), help);
            }
        }
        let discards = |(class, _): &(Expression, Text)| {
            class.ways().unwrap_or(&[]).iter().any(|way| match &way.outcome {
                Outcome::Text(name) => self.catalog.classes.contains(&(name.clone(), Effect::Token)),
                _ => false,
            })
        };
        if judged
            && fields.get("id").is_none()
            && !facts.present(&Path::Field(field::ID))
            && class.as_ref().is_some_and(discards)
        {
            let help = Some("give it, or test has(request.id) in `when`".into());
            let problem = "a class whose repeats are discarded by their id needs `id`";
            self.reader.fault(span.clone(), problem, help);
        }
        let mut part = |key: &str, want: Type| self.part(fields, key, facts, &want).map(|(part, _)| part);
        let (partner, id, deadline) =
            (part("partner", Type::Text), part("id", Type::Text), part("deadline", Type::Duration));
        let (spread, first) = (part("spread", Type::Int), part("first", Type::Int));
        let terms = self.named(fields, "terms", facts, |name| {
            !OWN_TERMS.contains(&name)
                && name.len() <= 32
                && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_')
        });
        let (class, _) = class?;
        let (plan, units) = (plan.map(|(p, _)| p), units.map(|(u, _)| u));
        Some(Mapping { class, plan, partner, units, id, deadline, spread, first, terms })
    }

    fn pool_of(&mut self, fields: Fields<'_, 't>, facts: &Facts) -> Option<Expression> {
        let (pool, text) = self.part(fields, "pool", facts, &Type::Text)?;
        let Some(ways) = pool.ways() else {
            let error = pool.fault(
                0..pool.text().len(),
                "the pool has too many ways to tell apart",
                "fewer branches",
            );
            self.reader.wrong(&text, &error);
            return None;
        };
        for way in ways {
            let (problem, help) = match &way.outcome {
                Outcome::Text(name) if name == ANY || self.pools.contains(name) => continue,
                Outcome::Text(name) => (format!("there is no pool {name:?}"), self.pool_help(name)),
                _ => (
                    "this pool is not known before use".to_string(),
                    "a pool is written out on every branch".to_string(),
                ),
            };
            let error = pool.fault(way.span.clone(), problem, help);
            self.reader.wrong(&text, &error);
        }
        Some(pool)
    }

    fn limit(
        &mut self,
        fields: Fields<'_, 't>,
        facts: &Facts,
        rule: &str,
    ) -> Option<(Expression, LimitSpec)> {
        let value = fields.get("limit")?;
        let span = value.span();
        let limit = self.reader.table(value)?;
        self.reader.known(limit, &["key", "rate", "burst", "at_once", "after", "keys"]);
        if limit.get("key").is_none() {
            self.reader.fault(
                span.clone(),
                "a limit needs `key`",
                Some("key = '\"all\"' is one for all requests".into()),
            );
        }
        let key = self.part(limit, "key", facts, &Type::Text);
        let mut number = |name: &str, least: f64, most: f64| {
            limit.get(name).map(|value| self.reader.number(value, least..=most))
        };
        let (rate, burst) = (number("rate", 0.001, 1e6), number("burst", 1.0, 1e6));
        let (at_once, keys) = (number("at_once", 1.0, 1e6), number("keys", 8.0, 1e6));
        let allowance = match (rate, burst, at_once) {
            (Some(rate), burst, None) => {
                let rate = rate?;
                Allowance::Rate { rate, burst: burst.unwrap_or(Some(rate.max(1.0)))? }
            }
            (None, None, Some(most)) => {
                let after_ms = self.after(limit, 250.0);
                Allowance::AtOnce { most: most? as u32, after_ms }
            }
            _ => {
                let help = Some("`rate` with `burst`, or `at_once` with `after`, was expected".into());
                self.reader.fault(span, "the limit is not whole", help);
                return None;
            }
        };
        let (key, _) = key?;
        let keys = keys.unwrap_or(Some(16_384.0))? as usize;
        let spec = LimitSpec { rule: rule.to_string(), key: key.text().to_string(), allowance, keys };
        Some((key, spec))
    }

    /// A table of expressions by names that `fits` allows.
    fn named(
        &mut self,
        fields: Fields<'_, 't>,
        key: &str,
        facts: &Facts,
        fits: impl Fn(&str) -> bool,
    ) -> Vec<(String, Expression)> {
        let Some(value) = fields.get(key) else { return Vec::new() };
        let Some(table) = self.reader.table(value) else { return Vec::new() };
        if table.len() > MOST_NOTES {
            self.reader.fault(value.span(), format!("more than {MOST_NOTES} {key}"), None);
        }
        let mut found = BTreeMap::new();
        for (name, value) in table.iter().take(MOST_NOTES) {
            let text: &str = name.get_ref();
            if text.is_empty() || !fits(text) {
                self.reader.fault(name.span(), format!("the name cannot stand in `{key}`"), None);
                continue;
            }
            let text = text.to_string();
            if let Some(part) = self.reader.string(value) {
                let expression = self.reader.expression(&part, &self.schema, facts, &Type::Text);
                found.extend(expression.map(|expression| (text, expression)));
            }
        }
        found.into_iter().collect()
    }
}

struct Nothing;

impl driftgap_expr::Input for Nothing {
    fn get(&self, _: driftgap_expr::FieldId) -> Option<driftgap_expr::Value<'_>> {
        None
    }
}

/// The known name that is nearest, or all of them.
fn near<'a>(wrong: &str, known: impl Iterator<Item = &'a str> + Clone) -> String {
    let nearest = known.clone().map(|name| (strsim::damerau_levenshtein(wrong, name), name)).min();
    match nearest {
        Some((distance, name)) if distance <= (wrong.len() / 3).clamp(1, 2) => {
            format!("did you mean {name:?}?")
        }
        _ => format!("known are {}", known.take(12).collect::<Vec<_>>().join(", ")),
    }
}
