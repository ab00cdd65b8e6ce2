//! Checked expressions and their compiled forms.

use driftgap_expr::{Expression, Facts, Fault, FieldId, Input, Path, Scratch, Texts, Value};
use std::sync::Arc;

pub(crate) type Checked = Arc<Expression>;

#[derive(Clone)]
pub(crate) struct Compiled(Checked);

#[derive(Default)]
pub(crate) struct Interner;

impl Interner {
    pub(crate) fn text(&mut self, text: &str) -> Arc<str> {
        text.into()
    }

    pub(crate) fn sweep(&mut self) {}
}

pub(crate) trait Compile {
    fn compile(&self, interner: &mut Interner) -> Compiled;
    fn select_key(&self, interner: &mut Interner) -> SelectKey;
}

impl Compile for Checked {
    fn compile(&self, _: &mut Interner) -> Compiled {
        Compiled(self.clone())
    }

    fn select_key(&self, _: &mut Interner) -> SelectKey {
        SelectKey(self.when_true().cloned())
    }
}

impl Compiled {
    pub(crate) fn eval<'b>(
        &'b self,
        input: &'b dyn Input,
        scratch: &'b mut Scratch,
    ) -> Result<Option<Value<'b>>, Fault> {
        self.0.eval(input, scratch)
    }

    pub(crate) fn test(&self, input: &dyn Input, scratch: &mut Scratch) -> Result<bool, Fault> {
        self.0.test(input, scratch)
    }

    pub(crate) fn heap_bytes(&self) -> usize {
        0
    }
}

pub(crate) struct SelectKey(pub(crate) Option<Facts>);

impl SelectKey {
    pub(crate) fn heap_bytes(&self) -> usize {
        0
    }

    pub(crate) fn facts(&self) -> Option<&Facts> {
        self.0.as_ref()
    }

    pub(crate) fn place(&self) -> Option<(FieldId, bool, Vec<Arc<str>>)> {
        let candidates = self.0.as_ref()?.iter().filter_map(|(path, fact)| {
            let Path::Field(field) = path else { return None };
            let (equal, texts) = match (&fact.texts, &fact.prefixes) {
                (Texts::In(texts), _) => (true, texts),
                (_, Some(prefixes)) => (false, prefixes),
                _ => return None,
            };
            let texts: Vec<Arc<str>> = texts.iter().cloned().collect();
            let shortest = texts.iter().map(|text| text.len()).min().unwrap_or(0);
            (texts.len() <= 4096 && shortest > 0).then_some((shortest, *field, equal, texts))
        });
        candidates
            .max_by_key(|(shortest, ..)| *shortest)
            .map(|(_, field, equal, texts)| (field, equal, texts))
    }
}
