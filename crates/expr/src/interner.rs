//! Sharing between the expressions that a program keeps: equal texts, equal shapes of programs and equal
//! expressions are held once.

use crate::code::Shape;
use crate::compiled::Compiled;
use crate::constant::{Const, Operand};
use crate::program::Program;
use rapidhash::RapidHashSet;
use std::sync::Arc;

/// Shares texts and programs between compiled expressions. What it has shared stays usable without it: an
/// interner that is kept finds what is equal to earlier expressions, one that is dropped frees its own tables.
#[derive(Debug, Default)]
pub struct Interner {
    texts: RapidHashSet<Arc<str>>,
    shapes: RapidHashSet<Arc<Shape>>,
    /// Operands that are large themselves, such as sets and compiled patterns.
    operands: RapidHashSet<Operand>,
    compiled: RapidHashSet<Compiled>,
}

impl Interner {
    /// Nothing to share yet.
    pub fn new() -> Interner {
        Interner::default()
    }

    /// The one copy of a text.
    pub fn text(&mut self, text: &str) -> Arc<str> {
        self.known_text(text)
            .unwrap_or_else(|| self.add_text(Arc::from(text)))
    }

    /// As [`Interner::text`]; a text that is not known yet is taken as it is, without a copy.
    pub(crate) fn shared_text(&mut self, text: &Arc<str>) -> Arc<str> {
        self.known_text(text)
            .unwrap_or_else(|| self.add_text(text.clone()))
    }

    /// How often the one copy of a text is held; 0 where there is none yet.
    pub(crate) fn holders(&self, text: &str) -> usize {
        self.texts.get(text).map_or(0, Arc::strong_count)
    }

    fn known_text(&self, text: &str) -> Option<Arc<str>> {
        self.texts.get(text).cloned()
    }

    fn add_text(&mut self, text: Arc<str>) -> Arc<str> {
        self.texts.insert(text.clone());
        text
    }

    /// The one copy of a program.
    pub(crate) fn compiled(&mut self, program: &Program) -> Compiled {
        let shape = intern(&mut self.shapes, program.shape.clone());
        let operands = program
            .operands
            .iter()
            .map(|operand| self.operand(operand))
            .collect();
        intern(&mut self.compiled, Compiled { shape, operands })
    }

    fn operand(&mut self, operand: &Operand) -> Operand {
        match operand {
            Operand::Value(Const::Text(text)) => {
                Operand::Value(Const::Text(self.shared_text(text)))
            }
            large if large.is_large() => intern(&mut self.operands, large.clone()),
            small => small.clone(),
        }
    }

    /// Drops what nobody else holds any more, and the memory that its tables do not need.
    pub fn sweep(&mut self) {
        // What holds others goes first.
        self.compiled
            .retain(|compiled| Arc::strong_count(&compiled.operands) > 1);
        self.operands.retain(|operand| !operand.is_unshared());
        self.shapes.retain(|shape| Arc::strong_count(shape) > 1);
        self.texts.retain(|text| Arc::strong_count(text) > 1);
        self.compiled.shrink_to_fit();
        self.operands.shrink_to_fit();
        self.shapes.shrink_to_fit();
        self.texts.shrink_to_fit();
    }
}

/// The member of a set that is equal to a value, which becomes one where there is none.
fn intern<T: Clone + Eq + std::hash::Hash>(set: &mut RapidHashSet<T>, value: T) -> T {
    if let Some(known) = set.get(&value) {
        return known.clone();
    }
    set.insert(value.clone());
    value
}
