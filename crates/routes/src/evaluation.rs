//! Evaluates the rules on one request, in their order. A value that an earlier rule has set is not
//! changed by a later one. The result is a route, or the reason why there is none.

use crate::limit::{KeyHash, Limit, LimitExceeded};
use crate::pool::{Pool, ANY, MAX_RETRY_AFTER_MS};
use crate::pool_bits::{PoolBits, SelectedPool};
use crate::request::{truncate, View};
use crate::rule::{Action, ActionKind, Rule};
use crate::rules::RuleSet;
use crate::verdict::{Mapped, Route};
use driftgap_expr::{Compiled, Fault, Scratch, Value};
use std::ops::ControlFlow;
use std::sync::Arc;

/// Maximum length of a note's value, in bytes; longer values are truncated.
const MAX_NOTE_BYTES: usize = 128;
/// Maximum length of a term's value, in bytes; a request with a longer one is invalid.
const MAX_TERM_BYTES: usize = 256;

/// Why a rule cannot be evaluated on a request.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InvalidRequest {
    /// A field of the request is longer than rules may read.
    #[error("the {0} is too long")]
    TooLong(&'static str),
    /// A header that the rule reads is not UTF-8, or longer than rules may read.
    #[error("a header that it reads is too long or no text")]
    UnreadableHeader,
    /// The value of a term contains characters that the protocol cannot carry, or is too long.
    #[error("the term `{0}` cannot be carried")]
    UnsafeTerm(Arc<str>),
    /// The evaluation of an expression failed.
    #[error(transparent)]
    Expression(#[from] Fault),
}

/// Why an evaluation ends without a route.
pub(crate) enum EvaluationError {
    /// The rule rejects the request; the client may retry after the given time.
    Reject { retry_after_ms: f64 },
    /// The rule cannot be evaluated on the request.
    Invalid(InvalidRequest),
}

impl From<Fault> for EvaluationError {
    fn from(fault: Fault) -> EvaluationError {
        EvaluationError::Invalid(fault.into())
    }
}

impl From<InvalidRequest> for EvaluationError {
    fn from(error: InvalidRequest) -> EvaluationError {
        EvaluationError::Invalid(error)
    }
}

impl From<LimitExceeded> for EvaluationError {
    fn from(exceeded: LimitExceeded) -> EvaluationError {
        EvaluationError::Reject {
            retry_after_ms: exceeded.retry_after_ms,
        }
    }
}

/// The evaluation of a set of rules on one request.
pub(crate) struct Evaluation<'a> {
    set: &'a RuleSet,
    view: &'a View<'a>,
    scratch: &'a mut Scratch,
    now_ms: f64,
    route: Route,
    /// The pool that the first matching rule with a pool has selected.
    pool: Option<SelectedPool>,
    /// The limits that admit the request, with the request's key in each.
    limits: Vec<(Arc<Limit>, KeyHash)>,
}

impl<'a> Evaluation<'a> {
    /// Starts the evaluation of these rules at `now_ms`.
    #[inline]
    pub(crate) fn new(
        set: &'a RuleSet,
        view: &'a View<'a>,
        scratch: &'a mut Scratch,
        now_ms: f64,
    ) -> Evaluation<'a> {
        Evaluation {
            set,
            view,
            scratch,
            now_ms,
            route: Route::default(),
            pool: None,
            limits: Vec::new(),
        }
    }

    /// Evaluates one rule; breaks if later rules are not evaluated.
    ///
    /// # Errors
    /// The rule rejects the request, or cannot be evaluated on it.
    #[inline]
    pub(crate) fn rule(&mut self, rule: &Rule) -> Result<ControlFlow<()>, EvaluationError> {
        let result = self.test_and_apply(rule);
        // Without this check the rule would treat an unreadable header as absent: a client could
        // bypass a rule that rejects requests with the header by sending bytes that are not UTF-8.
        if self.view.has_unreadable_header() {
            return Err(InvalidRequest::UnreadableHeader.into());
        }
        result
    }

    #[inline]
    fn test_and_apply(&mut self, rule: &Rule) -> Result<ControlFlow<()>, EvaluationError> {
        if !rule.when.test(self.view, self.scratch)? {
            return Ok(ControlFlow::Continue(()));
        }
        self.apply(rule)?;
        if rule.continues {
            Ok(ControlFlow::Continue(()))
        } else {
            Ok(ControlFlow::Break(()))
        }
    }

    /// Executes the actions of a matching rule.
    fn apply(&mut self, rule: &Rule) -> Result<(), EvaluationError> {
        let is_mapped = self.route.command.is_some();
        for action in &rule.body.actions {
            let expression = &action.expression;
            match &action.kind {
                ActionKind::Reject => return Err(self.rejection(expression)),
                ActionKind::Pool if self.pool.is_none() => self.select_pool(expression)?,
                ActionKind::Pool => {}
                ActionKind::Note(name) => self.add_note(name, expression)?,
                ActionKind::LimitKey => self.check_limit(rule, expression)?,
                _ if is_mapped => {}
                ActionKind::Class => self.map_to_class(expression)?,
                _ => self.set_mapped(action)?,
            }
        }
        Ok(())
    }

    /// Returns the rejection that a rule requests, or the error if its expression cannot be
    /// evaluated.
    fn rejection(&mut self, expression: &Compiled) -> EvaluationError {
        match expression.eval(self.view, self.scratch) {
            Ok(Some(Value::Duration(ms))) => EvaluationError::Reject {
                retry_after_ms: (ms as f64).clamp(0.0, MAX_RETRY_AFTER_MS),
            },
            Ok(_) => Fault::Input.into(),
            Err(fault) => fault.into(),
        }
    }

    fn select_pool(&mut self, expression: &Compiled) -> Result<(), EvaluationError> {
        let name = text(expression, self.view, self.scratch)?;
        let selected = if name == ANY {
            SelectedPool::Any
        } else {
            let mut pools = self.set.pools.iter();
            let index = pools.position(|pool| pool.name == name);
            SelectedPool::Pool(index.ok_or(Fault::Input)?)
        };
        self.pool = Some(selected);
        Ok(())
    }

    fn add_note(&mut self, name: &str, expression: &Compiled) -> Result<(), EvaluationError> {
        let value = truncate(text(expression, self.view, self.scratch)?, MAX_NOTE_BYTES);
        // A newline would end the header and begin another one, so only printable ASCII is kept.
        let value: String = value
            .chars()
            .map(|c| if matches!(c, ' '..='~') { c } else { '?' })
            .collect();
        let notes = &mut self.route.notes;
        if !notes.iter().any(|(known, _)| known == name) {
            notes.push((name.to_string(), value));
        }
        Ok(())
    }

    /// Checks a rule's limit without acquiring it; [`Evaluation::finish`] acquires it.
    fn check_limit(&mut self, rule: &Rule, expression: &Compiled) -> Result<(), EvaluationError> {
        let Some(limit) = rule.limit.as_deref() else {
            return Ok(());
        };
        let key = text(expression, self.view, self.scratch)?;
        let key = limit.limit.check(key, self.now_ms)?;
        self.limits.push((limit.limit.clone(), key));
        Ok(())
    }

    fn map_to_class(&mut self, expression: &Compiled) -> Result<(), EvaluationError> {
        let name = text(expression, self.view, self.scratch)?;
        let mut classes = self.set.environment.catalog.classes.iter();
        let class = classes.position(|(known, _)| known == name);
        self.route.command = Some(Mapped {
            class: class.ok_or(Fault::Input)?,
            ..Mapped::default()
        });
        Ok(())
    }

    /// Sets a value of the mapped request, whose class the same rule has set.
    fn set_mapped(&mut self, action: &Action) -> Result<(), EvaluationError> {
        let Some(mapped) = &mut self.route.command else {
            return Ok(());
        };
        let (expression, view, scratch) = (&action.expression, self.view, &mut *self.scratch);
        match &action.kind {
            ActionKind::Plan => mapped.plan = Some(text(expression, view, scratch)?.to_string()),
            ActionKind::Partner => {
                mapped.partner = Some(text(expression, view, scratch)?.to_string())
            }
            ActionKind::Id => mapped.id = Some(text(expression, view, scratch)?.to_string()),
            ActionKind::Units => mapped.units = Some(double(expression, view, scratch)?),
            ActionKind::Deadline => mapped.deadline_ms = Some(integer(expression, view, scratch)?),
            ActionKind::Spread => mapped.spread = Some(integer(expression, view, scratch)?),
            ActionKind::First => mapped.first = Some(integer(expression, view, scratch)?),
            ActionKind::Term(name) => {
                let value = text(expression, view, scratch)?;
                if !is_safe_term(value) {
                    return Err(InvalidRequest::UnsafeTerm(name.clone()).into());
                }
                mapped.terms.push((name.to_string(), value.to_string()));
            }
            ActionKind::Reject
            | ActionKind::Pool
            | ActionKind::Note(_)
            | ActionKind::Class
            | ActionKind::LimitKey => {}
        }
        Ok(())
    }

    /// Returns the route once all rules have been evaluated, and acquires the limits.
    ///
    /// # Errors
    /// The pool that rejects the request because none of its endpoints is ready.
    #[inline]
    pub(crate) fn finish(mut self, pools: &PoolBits) -> Result<Box<Route>, &'a Pool> {
        if let Some(selected) = self.pool {
            self.route.pools = pools.resolve(&self.set.pools, selected)?;
        }
        // Limits are acquired last: a request that a later limit or the pool rejects must not
        // consume an earlier limit.
        for (limit, key) in &self.limits {
            let permit = limit.acquire(*key, self.now_ms);
            self.route.permits.extend(permit);
        }
        // The route is boxed because it is large, and moving it costs more than the allocation.
        Ok(Box::new(self.route))
    }
}

/// Returns whether the protocol can carry a term's value. A comma or space in it would begin
/// another term on the wire, by which a client could set terms that the rule does not.
fn is_safe_term(value: &str) -> bool {
    let is_safe = |b: u8| b.is_ascii_graphic() && b != b',';
    value.len() <= MAX_TERM_BYTES && value.bytes().all(is_safe)
}

/// Evaluates a string expression.
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

/// Evaluates an integer expression, or a duration expression in ms.
fn integer(expression: &Compiled, view: &View<'_>, scratch: &mut Scratch) -> Result<i64, Fault> {
    match expression.eval(view, scratch)? {
        Some(Value::Int(number) | Value::Duration(number)) => Ok(number),
        _ => Err(Fault::Input),
    }
}

/// Evaluates a floating-point expression.
fn double(expression: &Compiled, view: &View<'_>, scratch: &mut Scratch) -> Result<f64, Fault> {
    match expression.eval(view, scratch)? {
        Some(Value::Double(number)) => Ok(number),
        _ => Err(Fault::Input),
    }
}
