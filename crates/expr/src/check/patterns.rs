//! Patterns that are compiled when an expression is checked: regular expressions and address
//! ranges.

use super::{CheckResult, Checker};
use crate::constant::{Const, Pattern};
use crate::error::Error;
use crate::lex::abbreviated;
use crate::limits::{MAX_PATTERN, MAX_REGEXES};
use crate::node::{Kind, Node};
use crate::schema::{Bound, Type};
use ipnet::IpNet;
use std::ops::Range;

impl Checker<'_> {
    /// `x.matches(pattern)`. The pattern must be constant: the cost of a computed one is not known
    /// before use.
    pub(super) fn matches(
        &mut self,
        of: Node,
        pattern: Node,
        span: Range<usize>,
    ) -> CheckResult<Node> {
        let Some(text) = pattern.as_text().cloned() else {
            return Err(
                Error::new(pattern.span, "the pattern must be a constant string")
                    .help("the cost of a computed pattern is not known before use"),
            );
        };
        self.regexes += 1;
        if self.regexes > MAX_REGEXES {
            let problem = format!("the expression has more than {MAX_REGEXES} regular expressions");
            return Err(Error::new(span, problem));
        }
        if text.len() > MAX_PATTERN {
            let length = text.len();
            let problem = format!("the pattern has {length} bytes, the limit is {MAX_PATTERN}");
            return Err(Error::new(pattern.span, problem));
        }
        if let Err(error) = Pattern::new(&text) {
            return Err(Error::new(pattern.span, wrong_pattern(&error)));
        }
        let matches = Kind::Matches(of.into(), text);
        Ok(Node::new(matches, Type::Bool, Bound::default(), span))
    }

    /// `ip.inCidr(ranges)`.
    pub(super) fn in_cidrs(&self, of: Node, ranges: Node, span: Range<usize>) -> CheckResult<Node> {
        let texts = ranges.as_const().and_then(|value| match value {
            Const::Text(text) => Some(vec![text.clone()]),
            list => list.text_items(),
        });
        let Some(texts) = texts else {
            let error = Error::new(ranges.span, "address ranges must be constant strings");
            return Err(error.help("an example is \"10.0.0.0/8\", or a list of such strings"));
        };
        let mut networks = Vec::with_capacity(texts.len());
        for text in texts {
            networks.push(network(&text, &ranges.span)?);
        }
        let in_cidrs = Kind::InCidrs(of.into(), networks);
        Ok(Node::new(in_cidrs, Type::Bool, Bound::default(), span))
    }
}

/// The reason why a pattern does not compile, in one line.
fn wrong_pattern(error: &regex::Error) -> String {
    if let regex::Error::CompiledTooBig(max) = error {
        return format!("the compiled pattern takes more than {max} bytes");
    }
    let shown = error.to_string();
    let last = shown.lines().last().unwrap_or("unknown reason");
    let reason = last.trim_start_matches("error: ");
    format!("the pattern is invalid: {reason}")
}

/// Parses an address range, or a single address as the range that contains it alone.
fn network(text: &str, span: &Range<usize>) -> CheckResult<IpNet> {
    let host = || text.parse::<std::net::IpAddr>().ok().map(IpNet::from);
    let Some(network) = text.parse::<IpNet>().ok().or_else(host) else {
        let problem = format!("{:?} is not an address range", abbreviated(text));
        let error = Error::new(span.clone(), problem);
        return Err(error.help("examples are \"10.0.0.0/8\" and \"fd00::/8\""));
    };
    let exact = network.trunc();
    if exact != network {
        let problem = format!("{text:?} has bits set beyond its prefix length");
        let error = Error::new(span.clone(), problem);
        return Err(error.help(format!("did you mean \"{exact}\"?")));
    }
    Ok(network)
}
