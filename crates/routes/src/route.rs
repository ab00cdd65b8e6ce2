//! Where a request belongs: its way through the rules, the choice of its pool, the limits that it must pass. It
//! owns the rules in force, the limits' states and which pools have ready instances. It must never do any I/O,
//! read a clock, or choose an instance: that is the decision module's, among those of the pool.

use crate::limit::{Limit, Ticket};
use crate::request::{cut, Instance, Request, View};
use crate::rules::{Fallback, LimitSpec, Mapping, Pool, Rule, Rules, ANY, MOST_AWAY, MOST_POOLS};
use driftgap_expr::{Chosen, Expression, Fault, Scratch, Step, Value};
use std::rc::Rc;

/// The bit that stands for all instances: every instance has it.
pub const ALL: u64 = 1 << 63;
/// Longest note, bytes.
const MOST_NOTE: usize = 128;
/// Longest value of a term, bytes.
const MOST_TERM: usize = 256;

/// A request's way.
#[derive(Debug)]
pub enum Verdict {
    /// It goes on.
    Go(Box<Route>),
    /// It is refused, and harmless to repeat: nothing was sent on.
    Nack {
        /// Come back after so long, ms.
        after_ms: f64,
        /// The rule, or the pool, that refuses it.
        by: String,
    },
    /// It makes no sense to a rule.
    Bad {
        /// The rule.
        rule: String,
        /// What is wrong.
        why: String,
    },
}

/// What rules make of a request that goes on.
#[derive(Debug)]
pub struct Route {
    /// The command, where a rule makes one of the request.
    pub command: Option<Mapped>,
    /// Pools that it may be sent to, one bit each; [`ALL`] for all instances.
    pub pools: u64,
    /// Notes by name.
    pub notes: Vec<(String, String)>,
    /// Places under limits, given back when dropped.
    pub tickets: Vec<Ticket>,
}

impl Default for Route {
    /// As without rules.
    fn default() -> Route {
        Route { command: None, pools: ALL, notes: Vec::new(), tickets: Vec::new() }
    }
}

/// A command that a rule makes of a request. What it does not set is the client's own.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Mapped {
    /// The class's number in the catalog.
    pub class: usize,
    /// The plan.
    pub plan: Option<String>,
    /// The partner.
    pub partner: Option<String>,
    /// Units.
    pub units: Option<f64>,
    /// The id.
    pub id: Option<String>,
    /// How long the client waits, ms.
    pub deadline_ms: Option<i64>,
    /// Ingresses of the partner's set, and the first of them.
    pub spread: Option<i64>,
    /// See `spread`.
    pub first: Option<i64>,
    /// Further names and values.
    pub terms: Vec<(String, String)>,
}

/// A rule's part in the explanation of a request's way.
#[derive(Clone, Debug)]
pub struct Explained {
    /// The rule.
    pub rule: String,
    /// Whether it matched.
    pub matched: bool,
    /// The index had ruled it out: its test was not looked at.
    pub ruled_out: bool,
    /// An earlier rule had ended the way.
    pub behind: bool,
    /// Its test, and the expressions of what it does where it matched, with each part's value.
    pub parts: Vec<(String, Vec<Step>)>,
}

/// A pool of rules that are in force no more, for the commands that began under them.
struct Retired {
    bit: u8,
    when: Expression,
    until: f64,
}

/// Rules cannot be replaced yet: commands under way still need the pools of earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the pools of earlier rules still serve commands under way, and with these there would be more than {MOST_POOLS}; read the rules again once they have ended")]
pub struct TooSoon;

/// Rules in force.
pub struct Router {
    rules: Rules,
    /// The bit of each pool.
    bits: Vec<u8>,
    retired: Vec<Retired>,
    limits: Vec<Option<Rc<Limit>>>,
    ready: Vec<usize>,
    scratch: Scratch,
    chosen: Chosen,
    faults: u64,
}

impl Router {
    /// Puts rules in force.
    pub fn new(rules: Rules) -> Router {
        let limits = rules.limits(|_| None);
        let (bits, ready) = ((0..rules.pools.len() as u8).collect(), vec![0; rules.pools.len()]);
        let (scratch, chosen) = (Scratch::default(), Chosen::default());
        Router { rules, bits, retired: Vec::new(), limits, ready, scratch, chosen, faults: 0 }
    }

    /// Puts other rules in force at `now`, ms. Limits that both have keep their states; pools that both have keep
    /// their bits, and those that are gone keep them for `longest_ms`, until the last command that began under
    /// the old rules has ended. Instances must be told their pools anew.
    ///
    /// # Errors
    /// There are too many pools together with those that are still needed; the old rules stay.
    pub fn replace(&mut self, rules: Rules, now: f64, longest_ms: f64) -> Result<(), TooSoon> {
        self.retired.retain(|retired| retired.until > now);
        let same = |a: &Pool, b: &Pool| a.name == b.name && a.when.text() == b.when.text();
        let old = self.rules.pools.iter().zip(&self.bits);
        let kept = |pool: &Pool| old.clone().find(|(known, _)| same(known, pool)).map(|(_, bit)| *bit);
        let mut taken =
            self.retired.iter().map(|r| r.bit).chain(self.bits.iter().copied()).fold(0, |t, b| t | 1u64 << b);
        let mut bits = Vec::with_capacity(rules.pools.len());
        for pool in &rules.pools {
            let bit = kept(pool).unwrap_or_else(|| taken.trailing_ones() as u8);
            if usize::from(bit) >= MOST_POOLS {
                return Err(TooSoon);
            }
            taken |= 1 << bit;
            bits.push(bit);
        }
        self.limits = rules.limits(|spec| self.limit(spec));
        self.ready = vec![0; rules.pools.len()];
        let old = std::mem::replace(&mut self.rules, rules);
        let gone = old.pools.into_iter().zip(std::mem::replace(&mut self.bits, bits));
        let until = now + longest_ms;
        let gone = gone.filter(|(_, bit)| !self.bits.contains(bit));
        self.retired.extend(gone.map(|(pool, bit)| Retired { bit, when: pool.when, until }));
        Ok(())
    }

    fn limit(&self, spec: &LimitSpec) -> Option<Rc<Limit>> {
        let specs = self.rules.rules.iter().map(|rule| rule.limit.as_ref().map(|(_, spec)| spec));
        let mut with = specs.zip(&self.limits);
        with.find(|(held, _)| *held == Some(spec)).and_then(|(_, limit)| limit.clone())
    }

    /// The rules.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Evaluations that failed so far.
    pub fn faults(&self) -> u64 {
        self.faults
    }

    /// Bytes that all limits take, roughly.
    pub fn memory(&self) -> usize {
        self.limits.iter().flatten().map(|limit| limit.memory()).sum()
    }

    /// The pools of an instance, one bit each.
    pub fn pools_of(&mut self, instance: &Instance<'_>) -> u64 {
        let mut pools = ALL;
        let now = self.rules.pools.iter().map(|pool| &pool.when).zip(self.bits.iter().copied());
        let before = self.retired.iter().map(|retired| (&retired.when, retired.bit));
        for (when, bit) in now.chain(before) {
            // A test that fails on an instance leaves it out.
            if when.test(instance, &mut self.scratch) == Ok(true) {
                pools |= 1 << bit;
            }
        }
        pools
    }

    /// Notes the pools of all ready instances.
    pub fn ready(&mut self, instances: impl Iterator<Item = u64>) {
        self.ready.iter_mut().for_each(|count| *count = 0);
        for pools in instances {
            for (count, bit) in self.ready.iter_mut().zip(&self.bits) {
                *count += usize::from(pools & (1 << bit) != 0);
            }
        }
    }

    /// Ready instances by pool.
    pub fn figures(&self) -> impl Iterator<Item = (&str, usize)> {
        self.rules.pools.iter().map(|pool| pool.name.as_str()).zip(self.ready.iter().copied())
    }

    /// A request's way at `now`, ms.
    pub fn route(&mut self, request: &Request<'_>, now: f64) -> Verdict {
        let Router { rules, bits, limits, ready, scratch, chosen, faults, .. } = self;
        if let Some(part) = request.too_long() {
            return Verdict::Bad { rule: String::new(), why: format!("the {part} is too long") };
        }
        let view = View::new(request);
        rules.selector.choose(&view, chosen);
        let mut way = Way { route: Route::default(), pool: None, asked: Vec::new(), now };
        for number in chosen.iter() {
            let Some(rule) = rules.rules.get(number) else { break };
            let matched = rule.when.test(&view, scratch);
            let done = match matched {
                Ok(true) => way.apply(rule, limits[number].as_ref(), &view, scratch, &rules.classes),
                Ok(false) => Ok(()),
                Err(fault) => Err(End::Fault(fault)),
            };
            // Guards every rule against a header that none can read: absent it is not.
            let done = if view.spoilt.get() {
                Err(End::Bad("a header that it reads is too long or no text".into()))
            } else {
                done
            };
            match done {
                Ok(()) if matched == Ok(true) && !rule.goes_on => break,
                Ok(()) => {}
                Err(End::Nack(after_ms)) => return Verdict::Nack { after_ms, by: rule.name.clone() },
                Err(End::Bad(why)) => {
                    *faults += 1;
                    return Verdict::Bad { rule: rule.name.clone(), why };
                }
                Err(End::Fault(fault)) => {
                    *faults += 1;
                    return Verdict::Bad { rule: rule.name.clone(), why: fault.to_string() };
                }
            }
        }
        if let Some(pool) = way.pool {
            match settle(rules, bits, ready, pool) {
                Ok(pools) => way.route.pools = pools,
                Err(refused) => {
                    let pool = &rules.pools[refused];
                    return Verdict::Nack { after_ms: pool.after_ms, by: pool.name.clone() };
                }
            }
        }
        // Only now that nothing else refuses it: what one limit allows must not be lost to another.
        for (limit, key) in &way.asked {
            way.route.tickets.extend(limit.take(*key, now));
        }
        Verdict::Go(Box::new(way.route))
    }

    /// A request's way rule by rule; changes nothing.
    pub fn explain(&mut self, request: &Request<'_>) -> Vec<Explained> {
        let view = View::new(request);
        self.rules.selector.choose(&view, &mut self.chosen);
        let chosen: Vec<usize> = self.chosen.iter().collect();
        let mut behind = false;
        let mut all = Vec::with_capacity(self.rules.rules.len());
        for (number, rule) in self.rules.rules.iter().enumerate() {
            let ruled_out = !chosen.contains(&number);
            let matched = rule.when.test(&view, &mut self.scratch) == Ok(true);
            let mut parts = vec![("when".to_string(), rule.when.explain(&view))];
            if matched && !behind {
                parts.extend(rule_parts(rule).map(|(name, part)| (name.to_string(), part.explain(&view))));
            }
            all.push(Explained { rule: rule.name.clone(), matched, ruled_out, behind, parts });
            behind |= matched && !rule.goes_on;
        }
        all
    }
}

fn rule_parts(rule: &Rule) -> impl Iterator<Item = (&str, &Expression)> {
    let mapping = rule.mapping.iter().flat_map(Mapping::parts);
    let pool = rule.pool.iter().map(|pool| ("pool", pool));
    let limit = rule.limit.iter().map(|(key, _)| ("limit.key", key));
    let notes = rule.notes.iter().map(|(name, note)| (name.as_str(), note));
    mapping.chain(pool).chain(limit).chain(notes).chain(rule.nack.iter().map(|nack| ("nack", nack)))
}

/// Where a pool's requests go now, or the pool that refuses them.
fn settle(rules: &Rules, bits: &[u8], ready: &[usize], mut pool: Option<usize>) -> Result<u64, usize> {
    // As many steps as pools: a file with a ring was refused.
    for _ in 0..=rules.pools.len() {
        let Some(at) = pool else { return Ok(ALL) };
        if ready[at] > 0 {
            return Ok(1 << bits[at]);
        }
        pool = match rules.pools[at].fallback {
            Fallback::Refuse => return Err(at),
            Fallback::Pool(next) => Some(next),
            Fallback::Any => None,
        };
    }
    Ok(ALL)
}

/// Why a way ends before its end.
enum End {
    Nack(f64),
    Bad(String),
    Fault(Fault),
}

impl From<Fault> for End {
    fn from(fault: Fault) -> End {
        End::Fault(fault)
    }
}

/// A way under way.
struct Way {
    route: Route,
    /// The pool that was chosen first; within it, none stands for all instances.
    pool: Option<Option<usize>>,
    /// Limits that have agreed, and the keys.
    asked: Vec<(Rc<Limit>, u64)>,
    now: f64,
}

impl Way {
    /// Does what a matching rule says. What an earlier one has set stays.
    fn apply(
        &mut self,
        rule: &Rule,
        limit: Option<&Rc<Limit>>,
        view: &View<'_>,
        scratch: &mut Scratch,
        classes: &[String],
    ) -> Result<(), End> {
        if let Some(nack) = &rule.nack {
            let ms = match nack.eval(view, scratch)? {
                Some(Value::Duration(ms)) => ms as f64,
                _ => return Err(End::Fault(Fault::Input)),
            };
            return Err(End::Nack(ms.clamp(0.0, MOST_AWAY)));
        }
        if let Some(pool) = rule.pool.as_ref().filter(|_| self.pool.is_none()) {
            let name = text(pool, view, scratch)?;
            self.pool = Some(match name {
                ANY => None,
                name => Some(rule_pool(rule, name).ok_or(Fault::Input)?),
            });
        }
        for (name, note) in &rule.notes {
            let value = cut(text(note, view, scratch)?, MOST_NOTE);
            // What no header can carry is not passed on.
            let value: String = value.chars().map(|c| if matches!(c, ' '..='~') { c } else { '?' }).collect();
            if !self.route.notes.iter().any(|(known, _)| known == name) {
                self.route.notes.push((name.clone(), value));
            }
        }
        if let Some(mapping) = rule.mapping.as_ref().filter(|_| self.route.command.is_none()) {
            self.route.command = Some(mapped(mapping, view, scratch, classes)?);
        }
        if let (Some((key, _)), Some(limit)) = (&rule.limit, limit) {
            let key = text(key, view, scratch)?;
            match limit.ask(key, self.now) {
                Ok(hash) => self.asked.push((limit.clone(), hash)),
                Err(wait) => return Err(End::Nack(wait)),
            }
        }
        Ok(())
    }
}

fn rule_pool(rule: &Rule, name: &str) -> Option<usize> {
    rule.pools.iter().find(|(known, _)| known == name).map(|(_, number)| *number)
}

fn text<'b>(
    expression: &'b Expression,
    view: &'b View<'_>,
    scratch: &'b mut Scratch,
) -> Result<&'b str, Fault> {
    match expression.eval(view, scratch)? {
        Some(Value::Text(text)) => Ok(text),
        _ => Err(Fault::Input),
    }
}

fn mapped(
    mapping: &Mapping,
    view: &View<'_>,
    scratch: &mut Scratch,
    classes: &[String],
) -> Result<Mapped, End> {
    let class = text(&mapping.class, view, scratch)?;
    let class = classes.iter().position(|known| known == class).ok_or(Fault::Input)?;
    let mut said = |part: &Option<Expression>| -> Result<Option<String>, Fault> {
        part.as_ref().map(|part| text(part, view, scratch).map(str::to_string)).transpose()
    };
    let (plan, partner, id) = (said(&mapping.plan)?, said(&mapping.partner)?, said(&mapping.id)?);
    let units = match mapping.units.as_ref().map(|units| units.eval(view, scratch)).transpose()? {
        Some(Some(Value::Double(units))) => Some(units),
        None => None,
        _ => return Err(End::Fault(Fault::Input)),
    };
    let mut number = |part: &Option<Expression>| -> Result<Option<i64>, Fault> {
        match part.as_ref().map(|part| part.eval(view, scratch)).transpose()? {
            Some(Some(Value::Int(number) | Value::Duration(number))) => Ok(Some(number)),
            None => Ok(None),
            _ => Err(Fault::Input),
        }
    };
    let (deadline_ms, spread, first) =
        (number(&mapping.deadline)?, number(&mapping.spread)?, number(&mapping.first)?);
    let mut terms = Vec::with_capacity(mapping.terms.len());
    for (name, part) in &mapping.terms {
        let value = text(part, view, scratch)?;
        // Guards the platform's wire, on which a comma would begin a further term.
        let plain = value.len() <= MOST_TERM && value.bytes().all(|b| b.is_ascii_graphic() && b != b',');
        if !plain {
            return Err(End::Bad(format!("the term `{name}` cannot be carried")));
        }
        terms.push((name.clone(), value.to_string()));
    }
    Ok(Mapped { class, plan, partner, units, id, deadline_ms, spread, first, terms })
}
