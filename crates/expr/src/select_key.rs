//! Key by which an index finds a test: a text that a field must equal or begin with whenever the
//! test is true.

use crate::facts::{Fact, Facts, Path, Texts};
use crate::interner::Interner;
use crate::schema::FieldId;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Maximum number of texts of a key. A test that needs more is chosen for every input.
const MAX_TEXTS: usize = 4096;

/// Texts with fewer references than this are ranked as equally rare.
const FEW_HOLDERS: usize = 32;

/// Condition that an input must meet for a test to be true.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SelectKey {
    /// No condition is known: the test is chosen for every input.
    Always,
    /// The test is never true.
    Never,
    /// The field equals this text.
    Equals(FieldId, Arc<str>),
    /// The field equals one of these texts.
    EqualsAny(FieldId, Arc<[Arc<str>]>),
    /// The field begins with this text.
    BeginsWith(FieldId, Arc<str>),
    /// The field begins with one of these texts.
    BeginsWithAny(FieldId, Arc<[Arc<str>]>),
}

/// A field that could serve as the key of a test.
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

    /// Rank of the candidate; the highest one becomes the key. Texts that few tests share are the
    /// most selective, then long ones: a path is selective, a method or a host that all tests share
    /// is not. The reference count of a text in the interner serves as the number of tests that
    /// share it.
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
    /// Derives the key of a test from the facts that hold whenever it is true; `None` if it is
    /// never true.
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
