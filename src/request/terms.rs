//! The list of names and values that a request carries on every wire: `c=...,t=...,d=...`. It reads numbers as the
//! platform writes them, and knows no request.

use crate::request::InvalidRequest;

/// Longest number that is read, in characters.
const MAX_NUMBER_LENGTH: usize = 32;

/// A number as the platform writes it: digits, at most one point. What else Rust reads as a number (`inf`, `1e9`,
/// `+2`) is none to an endpoint.
pub fn parse_decimal(text: &str) -> Option<f64> {
    let plain = text.len() <= MAX_NUMBER_LENGTH
        && text.bytes().all(|b| b.is_ascii_digit() || b == b'.')
        && text.starts_with(|c: char| c.is_ascii_digit());
    text.parse().ok().filter(|_| plain)
}

/// The names and values of `a=1,b=2`.
pub fn term_pairs(terms: &str) -> impl Iterator<Item = (&str, &str)> {
    terms.split(',').filter_map(|term| term.split_once('='))
}

/// How many terms a request usually has at the most: beyond, their list grows.
const USUAL_TERMS: usize = 8;

/// The names and values of one request, in its order. The text is split once: every name is looked for several times.
pub(super) struct Terms<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Terms<'a> {
    /// The terms of a list; none: one of them lacks its name or its value.
    pub(super) fn parse(text: &'a str) -> Option<Terms<'a>> {
        let mut pairs = Vec::with_capacity(USUAL_TERMS);
        for term in text.split(',') {
            pairs.push(term.split_once('=')?);
        }
        Some(Terms(pairs))
    }

    /// The first value of this name.
    pub(super) fn value(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    /// How many values there are of this name.
    pub(super) fn count(&self, name: &str) -> usize {
        self.0.iter().filter(|(n, _)| *n == name).count()
    }

    /// A number from 0 to `max`.
    ///
    /// # Errors
    /// It is missing, no number, or above `max`.
    pub(super) fn number(&self, name: &'static str, max: f64) -> Result<f64, InvalidRequest> {
        self.value(name)
            .and_then(parse_decimal)
            .filter(|value| *value <= max)
            .ok_or(InvalidRequest::Term(name))
    }

    /// An integer from `min` to `max`.
    ///
    /// # Errors
    /// It is missing, no integer, or out of this range.
    pub(super) fn integer(
        &self,
        name: &'static str,
        min: f64,
        max: f64,
    ) -> Result<u32, InvalidRequest> {
        let value = self.number(name, max)?;
        if value < min || value.fract() != 0.0 {
            return Err(InvalidRequest::Term(name));
        }
        Ok(value as u32)
    }
}
