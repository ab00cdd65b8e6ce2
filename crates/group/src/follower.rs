//! An ingress beside the group: it holds a copy of what is agreed, and hands its wishes to a member. It owns which
//! member it keeps to, and how old its copy is. It must never call a wish done that no member called done, nor all
//! followers of a lost member go to the same other one.

use crate::frame::{Answered, Frame};
use crate::state::{Document, DocumentKind, OpId, Proposal};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hasher;

/// Between two tries of a member, at first and at most, ms.
const AGAIN_MS: (f64, f64) = (100.0, 4000.0);
/// A wish is given up after this, ms.
const PATIENCE_MS: f64 = 2000.0;
/// Most wishes under way.
const MAX_ASKS: usize = 256;
/// A member that says nothing for so long is left for another one, ms.
const SILENT_MS: f64 = 2000.0;
/// So does one whose own copy is older than this, ms: longer than any change of leaders takes, and short enough for a
/// promise given meanwhile to be heard from another member within 2 s.
const OLD_MS: f64 = 1300.0;
/// Where all members have old copies they are gone through again after this, at first and at most, ms.
const ROUND_MS: (f64, f64) = (1000.0, 30_000.0);

/// What the group holds, as it was when it was last heard of.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Copy {
    /// Which group this is from; 0: none yet.
    pub group: u64,
    /// How far the log was carried out.
    pub applied: u64,
    /// Instances that are out.
    pub out: BTreeSet<String>,
    /// Documents.
    pub documents: BTreeMap<DocumentKind, Document>,
}

struct Ask {
    proposal: Option<Proposal>,
    made_at: u64,
    deadline: f64,
    /// Whether a member has been asked: it may be done.
    sent: bool,
}

/// An ingress beside the group.
pub struct Follower {
    name: String,
    origin: u64,
    /// Members in this follower's own order.
    order: Vec<String>,
    at: usize,
    fails: u32,
    due: f64,
    up: bool,
    copy: Copy,
    /// The group of the member that it is linked to.
    group: u64,
    /// When it was last heard of, and how old it was by then.
    heard: Option<(f64, f64)>,
    /// Whether the link has brought a copy.
    brought: bool,
    /// How many members in a row were left for their old copies, and until when the present one is kept all the same.
    left: u32,
    stays: f64,
    spoke: f64,
    asks: BTreeMap<u64, Ask>,
    number: u64,
    frames: VecDeque<Frame>,
    ended: Vec<(u64, Answered)>,
    changed: bool,
}

fn hash(a: &str, b: &str) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(a.as_bytes());
    hasher.write_u8(0xff);
    hasher.write(b.as_bytes());
    // The last bits of this hash vary least.
    let h = hasher.finish();
    (h ^ (h >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

impl Follower {
    /// Beside these members, with what it knew when it ended last; each follower prefers members in an order of its own
    /// (rendezvous hashing), so that a member's followers spread over all the others when it is lost.
    pub fn new<'a>(
        name: &str,
        origin: u64,
        members: impl IntoIterator<Item = &'a str>,
        copy: Copy,
        now: f64,
    ) -> Follower {
        let mut order: Vec<String> = members.into_iter().map(String::from).collect();
        order.sort_by_key(|member| hash(name, member));
        Follower {
            name: name.into(),
            origin,
            order,
            at: 0,
            fails: 0,
            due: now,
            up: false,
            copy,
            group: 0,
            heard: None,
            brought: false,
            left: 0,
            stays: now,
            spoke: now,
            asks: BTreeMap::new(),
            number: 0,
            frames: VecDeque::new(),
            ended: Vec::new(),
            changed: false,
        }
    }

    /// The member that it keeps to, and when it may be connected to, ms.
    pub fn next(&self) -> (&str, f64) {
        (self.order.get(self.at).map_or("", String::as_str), self.due)
    }

    /// A link to that member, which is in this group, is up.
    pub fn connected(&mut self, now: f64, group: u64) {
        (self.up, self.spoke, self.group, self.brought) = (true, now, group, false);
        self.frames.clear();
        // Numbers of another group's documents mean nothing to this one.
        let known = self
            .copy
            .documents
            .iter()
            .filter(|_| group == self.copy.group);
        let have = known.map(|(kind, d)| (*kind, d.number)).collect();
        self.frames.push_back(Frame::Follow { have });
        // What the last member did not answer is the same wish to this one: it takes effect once.
        let again: Vec<u64> = self.asks.keys().copied().collect();
        again.into_iter().for_each(|number| self.send(number));
    }

    /// There is none, or it has ended.
    pub fn broken(&mut self, now: f64) {
        if self.up {
            self.fails = 0;
        }
        self.up = false;
        self.fails += 1;
        self.at = (self.at + 1) % self.order.len().max(1);
        // All that lost one member at one moment come at different ones; a round of members that all refuse is slow.
        self.due = now + self.pause(AGAIN_MS, self.fails, self.fails);
    }

    /// Doubles with each of so many times from the first to the most, spread by half: every follower and every `turn` has
    /// another one.
    fn pause(&self, (first, max): (f64, f64), times: u32, turn: u32) -> f64 {
        let spread = (hash(&self.name, &turn.to_string()) % 1000) as f64 / 1000.0;
        (first * f64::from(1u32 << times.min(6))).min(max) * (0.5 + spread)
    }

    /// Whether the link has been silent for too long.
    pub fn silent(&self, now: f64) -> bool {
        self.up && now - self.spoke > SILENT_MS
    }

    /// Whether the member is to be left for another one, which may be connected to at once: what it knows is old.
    pub fn leaves(&mut self, now: f64) -> bool {
        let old = self.age_ms(now).is_none_or(|age| age > OLD_MS);
        if !self.up || !self.brought || now < self.stays {
            return false;
        }
        if !old {
            self.left = 0;
            return false;
        }
        (self.up, self.due, self.fails) = (false, now, 0);
        self.at = (self.at + 1) % self.order.len().max(1);
        self.left += 1;
        // Each member is tried at once; when none is any better, there is no majority, and no hurry.
        if let Some(rounds) = self.left.checked_sub(self.order.len() as u32) {
            self.stays = now + self.pause(ROUND_MS, rounds, self.left);
        }
        true
    }

    /// A frame from the member.
    pub fn hear(&mut self, now: f64, frame: Frame) {
        self.spoke = now;
        match frame {
            Frame::Copy {
                applied,
                age_ms,
                out,
                documents,
            } => {
                self.brought = true;
                if self.group != self.copy.group {
                    // A new group was begun in place of the lost one: what that had is as it says from now on.
                    self.copy = Copy {
                        group: self.group,
                        ..Copy::default()
                    };
                    self.changed = true;
                }
                // A member that lags behind the last one takes nothing back.
                if applied < self.copy.applied {
                    return;
                }
                self.fails = 0;
                self.heard = Some((now, age_ms));
                self.copy.applied = applied;
                if let Some(out) = out {
                    self.copy.out = out.into_iter().collect();
                    self.changed = true;
                }
                self.changed |= !documents.is_empty();
                self.copy.documents.extend(documents);
            }
            Frame::Answer { op, answered } => {
                let ours = op.origin == self.origin && self.asks.remove(&op.number).is_some();
                self.ended.extend(ours.then_some((op.number, answered)));
            }
            _ => {}
        }
    }

    /// Asks for something, or for a read where there is no wish; the number by which its end is told.
    pub fn ask(&mut self, now: f64, proposal: Option<Proposal>) -> Option<u64> {
        if self.asks.len() >= MAX_ASKS {
            return None;
        }
        self.number += 1;
        let deadline = now + PATIENCE_MS;
        self.asks.insert(
            self.number,
            Ask {
                proposal,
                made_at: self.copy.applied,
                deadline,
                sent: false,
            },
        );
        if self.up {
            self.send(self.number);
        }
        Some(self.number)
    }

    fn send(&mut self, number: u64) {
        let Some(ask) = self.asks.get_mut(&number) else {
            return;
        };
        ask.sent = true;
        let op = OpId {
            origin: self.origin,
            number,
        };
        self.frames.push_back(Frame::Ask {
            op,
            made_at: ask.made_at,
            proposal: ask.proposal.clone(),
        });
    }

    /// Time goes by.
    pub fn pass(&mut self, now: f64) {
        let late: Vec<u64> = self
            .asks
            .iter()
            .filter(|(_, a)| now >= a.deadline)
            .map(|(n, _)| *n)
            .collect();
        for number in late {
            if let Some(ask) = self.asks.remove(&number) {
                let refused = || Answered::Refused("no member is reached".into());
                self.ended
                    .push((number, if ask.sent { Answered::Open } else { refused() }));
            }
        }
    }

    /// The frames to be sent to the member.
    pub fn frames(&mut self) -> Vec<Frame> {
        if self.up {
            self.frames.drain(..).collect()
        } else {
            Vec::new()
        }
    }

    /// Wishes and reads that have ended.
    pub fn ended(&mut self) -> Vec<(u64, Answered)> {
        std::mem::take(&mut self.ended)
    }

    /// Whether the copy has changed since this was asked last.
    pub fn changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// The copy.
    pub fn copy(&self) -> &Copy {
        &self.copy
    }

    /// How old the copy is, ms; none: there is none yet.
    pub fn age_ms(&self, now: f64) -> Option<f64> {
        self.heard.map(|(at, age)| now - at + age)
    }

    /// Whether a link is up.
    pub fn is_up(&self) -> bool {
        self.up
    }
}
