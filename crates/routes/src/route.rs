//! Where a request belongs: its way through the rules, the choice of its pool, the limits that it must pass. The
//! router holds the rules in force and which pools have ready endpoints. It does no I/O, reads no clock, and
//! chooses no endpoint: that is the decision module's, among those of the pool.

use crate::limit::{Limit, Ticket};
use crate::pool::{Fallback, ANY, MAX_POOLS, MAX_RETRY_AFTER_MS};
use crate::request::{cut, Endpoint, Request, View};
use crate::rule::{Part, PartName, Rule, Shared};
use crate::rules::{RuleSet, Rules};
use driftgap_expr::{Chosen, Compiled, Fault, Scratch, Value};
use std::sync::{Arc, Mutex};

/// The bit that stands for all endpoints: every endpoint has it.
pub const ALL: u64 = 1 << 63;
/// Longest note, bytes.
const MAX_NOTE: usize = 128;
/// Longest value of a term, bytes.
const MAX_TERM: usize = 256;

/// A request's way.
#[derive(Debug)]
pub enum Verdict {
    /// It goes on.
    Go(Box<Route>),
    /// It is refused, and harmless to repeat: nothing was sent on.
    Reject {
        /// Come back after so long, ms.
        retry_after_ms: f64,
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
    /// Pools that it may be sent to, one bit each; [`ALL`] for all endpoints.
    pub pools: u64,
    /// Notes by name.
    pub notes: Vec<(String, String)>,
    /// Places under limits, given back when dropped.
    pub tickets: Vec<Ticket>,
}

impl Default for Route {
    /// As without rules.
    fn default() -> Route {
        Route {
            command: None,
            pools: ALL,
            notes: Vec::new(),
            tickets: Vec::new(),
        }
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

/// A pool of rules that are in force no more, for the commands that began under them.
struct Retired {
    bit: u8,
    when: Compiled,
    until: f64,
}

/// Rules cannot be replaced yet: commands under way still need the pools of earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the pools of earlier rules still serve commands under way, and with these there would be more than {MAX_POOLS}; read the rules again once they have ended")]
pub struct TooSoon;

/// What rules leave behind that are in force no more. Dropping it frees whatever the new rules do not share,
/// which takes as long as there is much of it: do it on another thread than the serving one.
#[must_use = "dropping old rules takes time: hand them to another thread"]
pub struct Replaced {
    rules: Option<Rules>,
    retired: Vec<Retired>,
    shared: Arc<Mutex<Shared>>,
    has_new_pools: bool,
}

impl Replaced {
    /// Whether the new rules have a pool that the old ones had not: only then must endpoints be told their pools
    /// anew, with [`Router::pools_of`] and [`Router::ready`].
    pub fn has_new_pools(&self) -> bool {
        self.has_new_pools
    }
}

impl std::fmt::Debug for Replaced {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Replaced")
            .field("rules", &self.rules)
            .finish_non_exhaustive()
    }
}

impl Drop for Replaced {
    fn drop(&mut self) {
        self.rules = None;
        self.retired.clear();
        // Where rules are being read just now, that reading sweeps.
        if let Ok(mut shared) = self.shared.try_lock() {
            shared.sweep();
        }
    }
}

/// Rules in force.
pub struct Router {
    rules: Rules,
    /// The bit of each pool.
    bits: Vec<u8>,
    retired: Vec<Retired>,
    ready: Vec<usize>,
    scratch: Scratch,
    chosen: Chosen,
    faults: u64,
}

impl Router {
    /// Puts rules in force.
    pub fn new(rules: Rules) -> Router {
        let pools = rules.set.pools.len();
        let (bits, ready) = ((0..pools as u8).collect(), vec![0; pools]);
        let (scratch, chosen) = (Scratch::default(), Chosen::default());
        Router {
            rules,
            bits,
            retired: Vec::new(),
            ready,
            scratch,
            chosen,
            faults: 0,
        }
    }

    /// Puts other rules in force at `now`, ms, in a time that depends on the pools alone. Limits that both have
    /// keep their states where the new rules were read with these as [`ReadOptions::previous`]. Pools that both
    /// have keep their bits, and those that are gone keep them for `longest_ms`, until the last command that
    /// began under the old rules has ended. Endpoints must be told their pools anew where there are new ones:
    /// [`Replaced::has_new_pools`].
    ///
    /// [`ReadOptions::previous`]: crate::ReadOptions::previous
    ///
    /// # Errors
    /// There are too many pools together with those that are still needed; the old rules stay. Whoever does not
    /// want the new ones dropped here holds a clone of them.
    pub fn replace(
        &mut self,
        rules: Rules,
        now: f64,
        longest_ms: f64,
    ) -> Result<Replaced, TooSoon> {
        let needed = |retired: &Retired| retired.until > now;
        let bits = self.bits_for(
            &rules.set,
            self.retired.iter().filter(|retired| needed(retired)),
        )?;
        let old_ready = |bit| {
            self.bits
                .iter()
                .position(|old| old == bit)
                .map(|at| self.ready[at])
        };
        let ready: Vec<Option<usize>> = bits.iter().map(old_ready).collect();
        let has_new_pools = ready.iter().any(Option::is_none);
        self.ready = ready.into_iter().map(Option::unwrap_or_default).collect();
        let old = std::mem::replace(&mut self.rules, rules);
        let old_bits = std::mem::replace(&mut self.bits, bits);
        let (mut retired, expired): (Vec<Retired>, Vec<Retired>) =
            std::mem::take(&mut self.retired)
                .into_iter()
                .partition(needed);
        let until = now + longest_ms;
        let gone = old
            .set
            .pools
            .iter()
            .zip(old_bits)
            .filter(|(_, bit)| !self.bits.contains(bit));
        retired.extend(gone.map(|(pool, bit)| Retired {
            bit,
            when: pool.when.clone(),
            until,
        }));
        self.retired = retired;
        let shared = old.set.shared.clone();
        Ok(Replaced {
            rules: Some(old),
            retired: expired,
            shared,
            has_new_pools,
        })
    }

    /// The bits of other rules' pools: those of the same pools now, and free ones for the others.
    fn bits_for<'r>(
        &self,
        set: &RuleSet,
        retired: impl Iterator<Item = &'r Retired>,
    ) -> Result<Vec<u8>, TooSoon> {
        let old = || self.rules.set.pools.iter().zip(self.bits.iter().copied());
        let used = self
            .bits
            .iter()
            .copied()
            .chain(retired.map(|retired| retired.bit));
        let mut taken = used.fold(0u64, |taken, bit| taken | 1 << bit);
        let mut bits = Vec::with_capacity(set.pools.len());
        for pool in set.pools.iter() {
            let kept = old()
                .find(|(known, _)| known.is_same(pool))
                .map(|(_, bit)| bit);
            let bit = kept.unwrap_or_else(|| taken.trailing_ones() as u8);
            if usize::from(bit) >= MAX_POOLS {
                return Err(TooSoon);
            }
            taken |= 1 << bit;
            bits.push(bit);
        }
        Ok(bits)
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
        let limits = self
            .rules
            .set
            .rules
            .iter()
            .filter_map(|rule| rule.limit.as_deref());
        limits.map(|limit| limit.limit.memory()).sum()
    }

    /// The pools of an endpoint, one bit each.
    pub fn pools_of(&mut self, endpoint: &Endpoint<'_>) -> u64 {
        let mut pools = ALL;
        let now = self
            .rules
            .set
            .pools
            .iter()
            .map(|pool| &pool.when)
            .zip(self.bits.iter().copied());
        let before = self
            .retired
            .iter()
            .map(|retired| (&retired.when, retired.bit));
        for (when, bit) in now.chain(before) {
            // A test that fails on an endpoint leaves it out.
            if when.test(endpoint, &mut self.scratch) == Ok(true) {
                pools |= 1 << bit;
            }
        }
        pools
    }

    /// Notes the pools of all ready endpoints.
    pub fn ready(&mut self, endpoints: impl Iterator<Item = u64>) {
        self.ready.iter_mut().for_each(|count| *count = 0);
        for pools in endpoints {
            for (count, bit) in self.ready.iter_mut().zip(&self.bits) {
                *count += usize::from(pools & (1 << bit) != 0);
            }
        }
    }

    /// Ready endpoints by pool.
    pub fn figures(&self) -> impl Iterator<Item = (&str, usize)> {
        self.rules
            .set
            .pools
            .iter()
            .map(|pool| pool.name.as_str())
            .zip(self.ready.iter().copied())
    }

    /// A request's way at `now`, ms.
    #[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
    pub fn route(&mut self, request: &Request<'_>, now: f64) -> Verdict {
        let Router {
            rules,
            bits,
            ready,
            scratch,
            chosen,
            faults,
            ..
        } = self;
        let set = &*rules.set;
        if let Some(part) = request.too_long() {
            return Verdict::Bad {
                rule: String::new(),
                why: format!("the {part} is too long"),
            };
        }
        let view = View::new(request);
        set.selector.choose(&view, chosen);
        let mut way = Way {
            route: Route::default(),
            pool: None,
            asked: Vec::new(),
            now,
        };
        for number in chosen.iter() {
            let Some(rule) = set.rules.get(number) else {
                break;
            };
            let matched = rule.when.test(&view, scratch);
            let done = match matched {
                Ok(true) => way.apply(rule, &view, scratch, set),
                Ok(false) => Ok(()),
                Err(fault) => Err(End::Fault(fault)),
            };
            // Guards every rule against a header that none can read: absent it is not.
            let done = if view.spoilt.get() {
                Err(End::Bad(
                    "a header that it reads is too long or no text".into(),
                ))
            } else {
                done
            };
            match done {
                Ok(()) if matched == Ok(true) && !rule.goes_on => break,
                Ok(()) => {}
                Err(End::Reject(retry_after_ms)) => {
                    return Verdict::Reject {
                        retry_after_ms,
                        by: rule.name.to_string(),
                    }
                }
                Err(End::Bad(why)) => {
                    *faults += 1;
                    return Verdict::Bad {
                        rule: rule.name.to_string(),
                        why,
                    };
                }
                Err(End::Fault(fault)) => {
                    *faults += 1;
                    return Verdict::Bad {
                        rule: rule.name.to_string(),
                        why: fault.to_string(),
                    };
                }
            }
        }
        if let Some(pool) = way.pool {
            match settle(set, bits, ready, pool) {
                Ok(pools) => way.route.pools = pools,
                Err(refused) => {
                    let pool = &set.pools[refused];
                    return Verdict::Reject {
                        retry_after_ms: pool.retry_after_ms,
                        by: pool.name.clone(),
                    };
                }
            }
        }
        // Only now that nothing else refuses it: what one limit allows must not be lost to another.
        for (limit, key) in &way.asked {
            way.route.tickets.extend(limit.take(*key, now));
        }
        Verdict::Go(Box::new(way.route))
    }
}

/// Where a pool's requests go now, or the pool that refuses them.
fn settle(
    set: &RuleSet,
    bits: &[u8],
    ready: &[usize],
    mut pool: Option<usize>,
) -> Result<u64, usize> {
    // As many steps as pools: a file with a ring was refused.
    for _ in 0..=set.pools.len() {
        let Some(at) = pool else { return Ok(ALL) };
        if ready[at] > 0 {
            return Ok(1 << bits[at]);
        }
        pool = match set.pools[at].fallback {
            Fallback::Refuse => return Err(at),
            Fallback::Pool(next) => Some(next),
            Fallback::Any => None,
        };
    }
    Ok(ALL)
}

/// Why a way ends before its end.
enum End {
    Reject(f64),
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
    /// The pool that was chosen first; within it, none stands for all endpoints.
    pool: Option<Option<usize>>,
    /// Limits that have agreed, and the keys.
    asked: Vec<(Arc<Limit>, u64)>,
    now: f64,
}

impl Way {
    /// Does what a matching rule says. What an earlier one has set stays.
    fn apply(
        &mut self,
        rule: &Rule,
        view: &View<'_>,
        scratch: &mut Scratch,
        set: &RuleSet,
    ) -> Result<(), End> {
        let commanded = self.route.command.is_some();
        for part in &rule.body.parts {
            match &part.name {
                PartName::Reject => return Err(nack(&part.expression, view, scratch)),
                PartName::Pool if self.pool.is_none() => {
                    self.pool = Some(pool(&part.expression, view, scratch, set)?);
                }
                PartName::Pool => {}
                PartName::Note(name) => self.note(name, &part.expression, view, scratch)?,
                PartName::LimitKey => self.ask(rule, &part.expression, view, scratch)?,
                PartName::Class if !commanded => {
                    let class = class(&part.expression, view, scratch, set)?;
                    self.route.command = Some(Mapped {
                        class,
                        ..Mapped::default()
                    });
                }
                _ if commanded => {}
                _ => {
                    if let Some(command) = &mut self.route.command {
                        map(command, part, view, scratch)?;
                    }
                }
            }
        }
        Ok(())
    }

    fn note(
        &mut self,
        name: &Arc<str>,
        note: &Compiled,
        view: &View<'_>,
        scratch: &mut Scratch,
    ) -> Result<(), End> {
        let value = cut(text(note, view, scratch)?, MAX_NOTE);
        // What no header can carry is not passed on.
        let value: String = value
            .chars()
            .map(|c| if matches!(c, ' '..='~') { c } else { '?' })
            .collect();
        if !self.route.notes.iter().any(|(known, _)| **known == **name) {
            self.route.notes.push((name.to_string(), value));
        }
        Ok(())
    }

    fn ask(
        &mut self,
        rule: &Rule,
        key: &Compiled,
        view: &View<'_>,
        scratch: &mut Scratch,
    ) -> Result<(), End> {
        let Some(held) = rule.limit.as_deref() else {
            return Ok(());
        };
        let key = text(key, view, scratch)?;
        let hash = held.limit.ask(key, self.now).map_err(End::Reject)?;
        self.asked.push((held.limit.clone(), hash));
        Ok(())
    }
}

/// A refusal by a rule; or why there is none.
fn nack(nack: &Compiled, view: &View<'_>, scratch: &mut Scratch) -> End {
    match nack.eval(view, scratch) {
        Ok(Some(Value::Duration(ms))) => End::Reject((ms as f64).clamp(0.0, MAX_RETRY_AFTER_MS)),
        Ok(_) => End::Fault(Fault::Input),
        Err(fault) => End::Fault(fault),
    }
}

/// The pool that a rule names; none: all endpoints.
fn pool(
    pool: &Compiled,
    view: &View<'_>,
    scratch: &mut Scratch,
    set: &RuleSet,
) -> Result<Option<usize>, Fault> {
    match text(pool, view, scratch)? {
        ANY => Ok(None),
        name => set
            .pools
            .iter()
            .position(|pool| pool.name == name)
            .map(Some)
            .ok_or(Fault::Input),
    }
}

/// The number of the class that a rule names.
fn class(
    class: &Compiled,
    view: &View<'_>,
    scratch: &mut Scratch,
    set: &RuleSet,
) -> Result<usize, Fault> {
    let class = text(class, view, scratch)?;
    let classes = &set.environment.catalog.classes;
    classes
        .iter()
        .position(|(known, _)| known == class)
        .ok_or(Fault::Input)
}

fn text<'b>(
    expression: &'b Compiled,
    view: &'b View<'_>,
    scratch: &'b mut Scratch,
) -> Result<&'b str, Fault> {
    match expression.eval(view, scratch)? {
        Some(Value::Text(text)) => Ok(text),
        _ => Err(Fault::Input),
    }
}

fn number(expression: &Compiled, view: &View<'_>, scratch: &mut Scratch) -> Result<i64, Fault> {
    match expression.eval(view, scratch)? {
        Some(Value::Int(number) | Value::Duration(number)) => Ok(number),
        _ => Err(Fault::Input),
    }
}

fn units(expression: &Compiled, view: &View<'_>, scratch: &mut Scratch) -> Result<f64, Fault> {
    match expression.eval(view, scratch)? {
        Some(Value::Double(units)) => Ok(units),
        _ => Err(Fault::Input),
    }
}

/// Sets a part of a command.
fn map(
    command: &mut Mapped,
    part: &Part,
    view: &View<'_>,
    scratch: &mut Scratch,
) -> Result<(), End> {
    let expression = &part.expression;
    match &part.name {
        PartName::Plan => command.plan = Some(text(expression, view, scratch)?.to_string()),
        PartName::Partner => command.partner = Some(text(expression, view, scratch)?.to_string()),
        PartName::Id => command.id = Some(text(expression, view, scratch)?.to_string()),
        PartName::Units => command.units = Some(units(expression, view, scratch)?),
        PartName::Deadline => command.deadline_ms = Some(number(expression, view, scratch)?),
        PartName::Spread => command.spread = Some(number(expression, view, scratch)?),
        PartName::First => command.first = Some(number(expression, view, scratch)?),
        PartName::Term(name) => {
            let value = text(expression, view, scratch)?;
            // Guards the platform's wire, on which a comma would begin a further term.
            let plain =
                value.len() <= MAX_TERM && value.bytes().all(|b| b.is_ascii_graphic() && b != b',');
            if !plain {
                return Err(End::Bad(format!("the term `{name}` cannot be carried")));
            }
            command.terms.push((name.to_string(), value.to_string()));
        }
        PartName::Reject
        | PartName::Pool
        | PartName::Note(_)
        | PartName::Class
        | PartName::LimitKey => {}
    }
    Ok(())
}
