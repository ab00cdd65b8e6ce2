//! The sequential specification of a group: one machine that handles calls and reads one after the
//! other.

use stateright::semantics::SequentialSpec;
use std::collections::BTreeSet;

/// The excluded endpoints of a single machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SingleMachine(pub BTreeSet<String>);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    Changed(bool),
    Excluded(BTreeSet<String>),
}

impl SequentialSpec for SingleMachine {
    type Op = Op;
    type Ret = Reply;
    fn invoke(&mut self, op: &Op) -> Reply {
        match op {
            Op::Suspend(name) => Reply::Changed(self.0.insert(name.clone())),
            Op::Restore(name) => Reply::Changed(self.0.remove(name)),
            Op::Read => Reply::Excluded(self.0.clone()),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Op {
    Suspend(String),
    Restore(String),
    Read,
}
