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

/// The names and values of one request.
#[derive(Clone, Copy)]
pub(super) struct Terms<'a>(&'a str);

impl<'a> Terms<'a> {
    pub(super) fn new(text: &'a str) -> Terms<'a> {
        Terms(text)
    }

    /// The first value of this name.
    pub(super) fn value(self, name: &str) -> Option<&'a str> {
        term_pairs(self.0).find(|(n, _)| *n == name).map(|(_, v)| v)
    }

    /// How many values there are of this name.
    pub(super) fn count(self, name: &str) -> usize {
        term_pairs(self.0).filter(|(n, _)| *n == name).count()
    }

    /// Whether every term has a name and a value.
    pub(super) fn all_named(self) -> bool {
        self.0.split(',').all(|term| term.contains('='))
    }

    /// A number from 0 to `max`.
    ///
    /// # Errors
    /// It is missing, no number, or above `max`.
    pub(super) fn number(self, name: &'static str, max: f64) -> Result<f64, InvalidRequest> {
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
        self,
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
