//! What an index finds a test by: a text that a field must be or begin with wherever the test is true.

use crate::facts::{Fact, Facts, Path, Texts};
use crate::interner::Interner;
use crate::schema::FieldId;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A test that could be found by more texts than this is always looked at.
const MAX_TEXTS: usize = 4096;

/// A text that is held less often than this is about as good as one that only this test has.
const FEW_HOLDERS: usize = 32;

/// What must hold of an input for a test to be true at all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SelectKey {
    /// Nothing is known: the test is always looked at.
    Always,
    /// The test is never true.
    Never,
    /// The field is this text.
    Equals(FieldId, Arc<str>),
    /// The field is one of these texts.
    EqualsAny(FieldId, Arc<[Arc<str>]>),
    /// The field begins with this text.
    BeginsWith(FieldId, Arc<str>),
    /// The field begins with one of these texts.
    BeginsWithAny(FieldId, Arc<[Arc<str>]>),
}

/// A field by which a test could be found.
struct Candidate<'f> {
    field: FieldId,
    whole: bool,
    texts: &'f BTreeSet<Arc<str>>,
    shortest: usize,
}

impl<'f> Candidate<'f> {
    fn new(path: &Path, fact: &'f Fact) -> Option<Candidate<'f>> {
        let Path::Field(field) = path else {
            return None;
        };
        let (whole, texts) = match (&fact.texts, &fact.prefixes) {
            (Texts::In(texts), _) => (true, texts),
            (_, Some(prefixes)) => (false, prefixes),
            _ => return None,
        };
        let shortest = texts.iter().map(|text| text.len()).min()?;
        let useful = texts.len() <= MAX_TEXTS && shortest > 0;
        useful.then_some(Candidate {
            field: *field,
            whole,
            texts,
            shortest,
        })
    }

    /// What the best candidate has most of. Texts that few tests have tell most apart, then long ones: a path
    /// does, a method or the one host of all tests does not. How many tests have a text is told by its holders
    /// so far.
    fn rank(&self, interner: &Interner) -> impl Ord {
        let holders = self
            .texts
            .iter()
            .map(|text| interner.holders(text))
            .max()
            .unwrap_or(0);
        (Reverse(holders.max(FEW_HOLDERS)), self.shortest)
    }
}

impl SelectKey {
    /// The key of a test by what is known wherever it is true; none: it never is.
    pub(crate) fn new(facts: Option<&Facts>, interner: &mut Interner) -> SelectKey {
        let Some(facts) = facts else {
            return SelectKey::Never;
        };
        let candidates = facts
            .iter()
            .filter_map(|(path, fact)| Candidate::new(path, fact));
        let Some(best) = candidates.max_by_key(|candidate| candidate.rank(interner)) else {
            return SelectKey::Always;
        };
        let texts: Vec<Arc<str>> = best
            .texts
            .iter()
            .map(|text| interner.shared_text(text))
            .collect();
        match (best.whole, <[Arc<str>; 1]>::try_from(texts)) {
            (true, Ok([text])) => SelectKey::Equals(best.field, text),
            (true, Err(texts)) => SelectKey::EqualsAny(best.field, texts.into()),
            (false, Ok([text])) => SelectKey::BeginsWith(best.field, text),
            (false, Err(texts)) => SelectKey::BeginsWithAny(best.field, texts.into()),
        }
    }
}
