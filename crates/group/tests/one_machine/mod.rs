//! What a group is judged by: one machine that does calls and reads one after the other.

use stateright::semantics::SequentialSpec;
use std::collections::BTreeSet;

/// What one machine would do.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct OneMachine(pub BTreeSet<String>);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Said {
    Changed(bool),
    Held(BTreeSet<String>),
}

impl SequentialSpec for OneMachine {
    type Op = Op;
    type Ret = Said;
    fn invoke(&mut self, op: &Op) -> Said {
        match op {
            Op::Suspend(name) => Said::Changed(self.0.insert(name.clone())),
            Op::Restore(name) => Said::Changed(self.0.remove(name)),
            Op::Read => Said::Held(self.0.clone()),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Op {
    Suspend(String),
    Restore(String),
    Read,
}
