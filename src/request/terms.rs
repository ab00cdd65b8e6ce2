//! Terms: the list of names and values that a request carries in every protocol,
//! `c=...,t=...,d=...`. Numbers are parsed in the platform's format. The meaning of the terms is
//! defined elsewhere.

use crate::request::InvalidRequest;

/// Longest number that is parsed, in characters.
const MAX_NUMBER_LENGTH: usize = 32;

/// Parses a number in the platform's format: digits with at most one decimal point. Other forms
/// that Rust accepts (`inf`, `1e9`, `+2`) are invalid, since endpoints do not accept them.
pub fn parse_decimal(text: &str) -> Option<f64> {
    let has_decimal_form = text.len() <= MAX_NUMBER_LENGTH
        && text.bytes().all(|b| b.is_ascii_digit() || b == b'.')
        && text.starts_with(|c: char| c.is_ascii_digit());
    text.parse().ok().filter(|_| has_decimal_form)
}

/// Iterates over the names and values of `a=1,b=2`.
pub fn term_pairs(terms: &str) -> impl Iterator<Item = (&str, &str)> {
    terms.split(',').filter_map(|term| term.split_once('='))
}

/// Initial capacity of a list of terms, enough for most requests.
const INITIAL_TERM_CAPACITY: usize = 8;

/// The terms of one request in their order, split once because several names are looked up.
pub(super) struct Terms<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Terms<'a> {
    /// Splits a list of terms; none if a term has no `=`.
    pub(super) fn parse(text: &'a str) -> Option<Terms<'a>> {
        let mut pairs = Vec::with_capacity(INITIAL_TERM_CAPACITY);
        for term in text.split(',') {
            pairs.push(term.split_once('=')?);
        }
        Some(Terms(pairs))
    }

    /// Returns the first value of a name.
    pub(super) fn value(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    /// Counts the values of a name.
    pub(super) fn count(&self, name: &str) -> usize {
        self.0.iter().filter(|(n, _)| *n == name).count()
    }

    /// Parses the value of a name as a number from 0 to `max`.
    ///
    /// # Errors
    /// The value is missing, not a number, or above `max`.
    pub(super) fn number(&self, name: &'static str, max: f64) -> Result<f64, InvalidRequest> {
        self.value(name)
            .and_then(parse_decimal)
            .filter(|value| *value <= max)
            .ok_or(InvalidRequest::Term(name))
    }

    /// Parses the value of a name as an integer from `min` to `max`.
    ///
    /// # Errors
    /// The value is missing, not an integer, or out of range.
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
