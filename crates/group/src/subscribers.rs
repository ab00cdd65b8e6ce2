//! Followers of one member: which of them has what. It owns what each still has to be told. It must never send a
//! document to somebody who has it, nor a whole list where nothing has changed.

use crate::frame::{Answered, Frame};
use crate::member::{Event, Member, Standing};
use crate::state::{DocumentKind, OpId};
use std::collections::BTreeMap;

/// A follower hears of its member this often at least, ms.
const BEAT_MS: f64 = 500.0;
/// A member that heard of its leader so lately is led, ms.
const LED_MS: f64 = 400.0;

struct Fan {
    /// The last change of the list that it was told.
    notified: Option<u64>,
    documents: BTreeMap<DocumentKind, u64>,
    beat: f64,
    /// How old this member's copy was by then, ms.
    age: f64,
}

/// All followers of this member, by connection.
#[derive(Default)]
pub(crate) struct Subscribers {
    subscribers: BTreeMap<u64, Fan>,
    /// Who waits for which wish, and for which read of the member's.
    proposals: BTreeMap<OpId, u64>,
    reads: BTreeMap<u64, (u64, OpId)>,
    frames: Vec<(u64, Frame)>,
}

impl Subscribers {
    pub(crate) fn hear(&mut self, now: f64, from: u64, frame: Frame, member: &mut Member) {
        match frame {
            Frame::Follow { have } => {
                let fan = Fan {
                    notified: None,
                    documents: have.into_iter().collect(),
                    beat: f64::MIN,
                    age: 0.0,
                };
                self.subscribers.insert(from, fan);
            }
            Frame::Ask {
                op,
                made_at,
                proposal,
            } => {
                let begun = match proposal {
                    Some(proposal) => member.ask_for(now, op, made_at, proposal).map(|()| {
                        self.proposals.insert(op, from);
                    }),
                    None => member.read(now).map(|number| {
                        self.reads.insert(number, (from, op));
                    }),
                };
                if let Err(why) = begun {
                    self.answer(from, op, refused(why));
                }
            }
            _ => {}
        }
    }

    fn answer(&mut self, to: u64, op: OpId, answered: Answered) {
        self.frames.push((to, Frame::Answer { op, answered }));
    }

    pub(crate) fn gone(&mut self, from: u64) {
        self.subscribers.remove(&from);
        self.proposals.retain(|_, who| *who != from);
        self.reads.retain(|_, (who, _)| *who != from);
    }

    /// Takes those events that followers wait for.
    pub(crate) fn take(&mut self, now: f64, events: &mut Vec<Event>, member: &Member) {
        events.retain(|event| match event {
            Event::DoneFor(op, outcome) => {
                if let Some(to) = self.proposals.remove(op) {
                    self.tell(now, Some(to), member);
                    self.answer(to, *op, Answered::Done(*outcome));
                }
                false
            }
            Event::ExpiredFor(op, sent) => {
                if let Some(to) = self.proposals.remove(op) {
                    let refused = || Answered::Refused("no leader in time".into());
                    self.answer(to, *op, if *sent { Answered::Open } else { refused() });
                }
                false
            }
            Event::Read(number) => match self.reads.remove(number) {
                Some((to, op)) => {
                    self.tell(now, Some(to), member);
                    self.answer(to, op, Answered::Read);
                    false
                }
                None => true,
            },
            Event::Expired(number, _) => match self.reads.remove(number) {
                Some((to, op)) => {
                    self.answer(to, op, Answered::Refused("no leader in time".into()));
                    false
                }
                None => true,
            },
            _ => true,
        });
    }

    /// Tells followers, or one of them at once, what they lack.
    pub(crate) fn tell(&mut self, now: f64, only: Option<u64>, member: &Member) {
        let state = member.state();
        if member.applied() == 0 {
            return;
        }
        let age_ms = member.age_ms(now);
        for (to, fan) in self
            .subscribers
            .iter_mut()
            .filter(|(to, _)| only.is_none_or(|only| only == **to))
        {
            let lacks = |kind: &DocumentKind, number: u64| {
                fan.documents.get(kind).is_none_or(|had| *had < number)
            };
            let documents: Vec<_> = state
                .documents
                .iter()
                .filter(|(kind, d)| lacks(kind, d.number))
                .map(|(kind, d)| (*kind, d.clone()))
                .collect();
            let out =
                (fan.notified != Some(state.changes)).then(|| state.out.keys().cloned().collect());
            // That it is led again they hear at once: they would leave it else.
            let again = fan.age > LED_MS && age_ms < LED_MS;
            let due = now - fan.beat >= BEAT_MS || only.is_some() || again;
            if !due && out.is_none() && documents.is_empty() {
                continue;
            }
            (fan.beat, fan.notified, fan.age) = (now, Some(state.changes), age_ms);
            fan.documents
                .extend(documents.iter().map(|(kind, d)| (*kind, d.number)));
            let applied = member.applied();
            self.frames.push((
                *to,
                Frame::Copy {
                    applied,
                    age_ms,
                    out,
                    documents,
                },
            ));
        }
    }

    pub(crate) fn frames(&mut self) -> Vec<(u64, Frame)> {
        std::mem::take(&mut self.frames)
    }

    pub(crate) fn len(&self) -> usize {
        self.subscribers.len()
    }
}

fn refused(why: Standing) -> Answered {
    Answered::Refused(why.to_string())
}
