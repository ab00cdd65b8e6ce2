//! Interning: equal texts, equal program shapes, equal large operands and equal compiled
//! expressions are held in memory once.

use crate::code::Shape;
use crate::compiled::Compiled;
use crate::constant::{Const, Operand};
use crate::program::Program;
use rapidhash::RapidHashSet;
use std::sync::Arc;

/// Shares texts and programs between compiled expressions. Shared data outlives the interner. An
/// interner that is kept finds data equal to that of earlier expressions; dropping it frees its own
/// tables only.
#[derive(Debug, Default)]
pub struct Interner {
    texts: RapidHashSet<Arc<str>>,
    shapes: RapidHashSet<Arc<Shape>>,
    /// Operands that are large themselves, such as sets and compiled patterns.
    operands: RapidHashSet<Operand>,
    compiled: RapidHashSet<Compiled>,
}

impl Interner {
    /// Creates an empty interner.
    pub fn new() -> Interner {
        Interner::default()
    }

    /// Returns the shared copy of a text, adding it if it is new.
    pub fn text(&mut self, text: &str) -> Arc<str> {
        self.known_text(text)
            .unwrap_or_else(|| self.add_text(Arc::from(text)))
    }

    /// As [`Interner::text`], but stores a new text without copying it.
    pub(crate) fn shared_text(&mut self, text: &Arc<str>) -> Arc<str> {
        self.known_text(text)
            .unwrap_or_else(|| self.add_text(text.clone()))
    }

    /// Reference count of the shared copy of a text; 0 if there is none.
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

    /// Returns the shared compiled form of a program, adding it if it is new.
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

    /// Drops entries that nothing else refers to, and releases the spare capacity of the tables.
    pub fn sweep(&mut self) {
        // Entries that refer to others are dropped first, so that those become unused.
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

/// Returns the member of a set that is equal to a value, inserting the value if there is none.
fn intern<T: Clone + Eq + std::hash::Hash>(set: &mut RapidHashSet<T>, value: T) -> T {
    if let Some(known) = set.get(&value) {
        return known.clone();
    }
    set.insert(value.clone());
    value
}
