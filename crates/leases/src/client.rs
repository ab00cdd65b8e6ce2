//! What one ingress does about duties: when it takes, renews and gives back, and by which token it may act right now.
//! It owns this ingress's own clock readings of leases. It must never say that it may act by a lease that counts from
//! anything later than before its wish was sent, nor take a duty before its last lease is over for the slowest clock.

use crate::lease;
use crate::table::{Holder, Table, Wish};
use std::collections::BTreeMap;

/// Each further ingress in a duty's order comes so much later, ms: the first that can takes it, and three in a row that
/// cannot cost less than the 200 ms in which a duty that was given back is to be held again.
const STEP_MS: f64 = 50.0;
/// A duty that this ingress could not do is left alone for so long, at first and at most, ms.
const BACK_OFF_MS: (f64, f64) = (1000.0, 60_000.0);
/// One that was held for so long is no failure that adds to earlier ones, ms.
const SETTLED_MS: f64 = 30_000.0;
/// A wish without an answer is sent anew after this, ms.
const AGAIN_MS: f64 = 300.0;

/// A duty as this ingress sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Duty {
    /// Its name.
    pub name: String,
    /// How long a grant or renewal may be used, ms.
    pub lease_ms: u32,
    /// This ingress's place in the order of those who are to hold it; 0: the first.
    pub place: u32,
}

/// What the safety of leases rests on. Anything but [`Rules::SOUND`] is for tests that show what breaks without it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Clocks run so much too fast or slow at most, a part.
    pub bound: f64,
    /// Leases count from when their wish was sent, and not from when it was seen carried out.
    pub from_sending: bool,
}

impl Rules {
    /// As they have to be.
    pub const SOUND: Rules = Rules {
        bound: lease::BOUND,
        from_sending: true,
    };
}

/// Why a duty has changed hands, as this ingress knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Nobody held it.
    Free,
    /// The last holder had not renewed it in time.
    Lapsed,
    /// No renewal came through in time: this ingress stops by its own clock.
    Expired,
    /// Somebody else holds it now.
    Taken,
    /// It cannot do the work.
    Unable,
    /// It is told to stop.
    Leaving,
}

/// A change of what this ingress may do.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The duty.
    pub duty: String,
    /// The token by which it begins; none: it ends.
    pub token: Option<u64>,
    /// Why.
    pub cause: Cause,
}

#[derive(Clone, Debug, PartialEq)]
struct Mine {
    duty: Duty,
    /// The last change that was seen, and when it was first seen.
    seen: (u64, f64),
    /// The token, and until when it may be used.
    lease: Option<(u64, f64)>,
    began: f64,
    /// When the last wish was sent, and its number.
    asked: Option<(u64, f64)>,
    /// Why it would begin, if what was asked for is granted.
    cause: Cause,
    not_before: f64,
    failures: u32,
    gives: Option<u64>,
}

/// One ingress's part in duties.
#[derive(Clone, Debug, PartialEq)]
pub struct Keeper {
    who: Holder,
    rules: Rules,
    mine: BTreeMap<String, Mine>,
    /// When each wish that is still of use was sent.
    sent: BTreeMap<u64, f64>,
    number: u64,
    leaving: bool,
    changes: Vec<Change>,
}

impl Keeper {
    /// One that may hold these.
    pub fn new(who: Holder, duties: impl IntoIterator<Item = Duty>, now: f64) -> Keeper {
        let mine = duties.into_iter().map(|duty| {
            let mine = Mine {
                duty,
                seen: (0, now),
                lease: None,
                began: now,
                asked: None,
                cause: Cause::Free,
                not_before: now,
                failures: 0,
                gives: None,
            };
            (mine.duty.name.clone(), mine)
        });
        let mine = mine.collect();
        let (rules, sent, changes) = (Rules::SOUND, BTreeMap::new(), Vec::new());
        Keeper {
            who,
            rules,
            mine,
            sent,
            number: 0,
            leaving: false,
            changes,
        }
    }

    /// The same by other rules, for tests.
    pub fn by(self, rules: Rules) -> Keeper {
        Keeper { rules, ..self }
    }

    /// The token by which this ingress may act at this moment; to be asked right before each act, and sent with it.
    pub fn token(&self, now: f64, duty: &str) -> Option<u64> {
        let (token, ends) = self.mine.get(duty)?.lease?;
        (now < ends).then_some(token)
    }

    /// Until when, by this ingress's clock.
    pub fn until(&self, duty: &str) -> Option<f64> {
        self.mine.get(duty)?.lease.map(|(_, ends)| ends)
    }

    /// What is agreed, as far as it is known here now.
    pub fn see(&mut self, now: f64, table: &Table) {
        for (name, mine) in &mut self.mine {
            let Some(held) = table.held(name) else {
                continue;
            };
            if held.changed == mine.seen.0 {
                continue;
            }
            mine.seen = (held.changed, now);
            let ours = held.holder.as_ref() == Some(&self.who);
            match (ours, mine.lease) {
                (true, lease) => {
                    // Without the time at which it was sent there is nothing to count from: it lapses.
                    let Some(sent) = self.sent.get(&held.number) else {
                        continue;
                    };
                    // What it is about to give back, or has no more use for, it does not begin again.
                    if mine.gives == Some(held.token) || self.leaving {
                        mine.gives = Some(held.token);
                        continue;
                    }
                    let from = if self.rules.from_sending { *sent } else { now };
                    let ends = lease::ends(from, f64::from(held.lease_ms));
                    let before = lease
                        .filter(|(token, _)| *token == held.token)
                        .map_or(f64::MIN, |(_, e)| e);
                    mine.lease = Some((held.token, ends.max(before)));
                    mine.asked = None;
                    if lease.is_none_or(|(token, _)| token != held.token) {
                        mine.began = now;
                        let (duty, token, cause) = (name.clone(), Some(held.token), mine.cause);
                        self.changes.push(Change { duty, token, cause });
                    }
                }
                (false, Some(_)) => {
                    (mine.lease, mine.asked) = (None, None);
                    let cause = if held.holder.is_some() {
                        Cause::Taken
                    } else {
                        Cause::Leaving
                    };
                    self.changes.push(Change {
                        duty: name.clone(),
                        token: None,
                        cause,
                    });
                }
                (false, None) => mine.asked = None,
            }
        }
    }

    /// It cannot do the work of this duty now: it gives it back, and leaves it alone for a while.
    pub fn unable(&mut self, now: f64, duty: &str) {
        let Some(mine) = self.mine.get_mut(duty) else {
            return;
        };
        let Some((token, _)) = mine.lease.take() else {
            return;
        };
        if now - mine.began > SETTLED_MS {
            mine.failures = 0;
        }
        let pause = BACK_OFF_MS.0 * f64::from(1u32 << mine.failures.min(6));
        mine.failures += 1;
        (mine.not_before, mine.gives, mine.asked) =
            (now + pause.min(BACK_OFF_MS.1), Some(token), None);
        self.changes.push(Change {
            duty: duty.into(),
            token: None,
            cause: Cause::Unable,
        });
    }

    /// The ingress is told to stop: all that it holds goes back at once, and nothing more is taken.
    pub fn leave(&mut self) {
        self.leaving = true;
        for (name, mine) in &mut self.mine {
            if let Some((token, _)) = mine.lease.take() {
                mine.gives = Some(token);
                self.changes.push(Change {
                    duty: name.clone(),
                    token: None,
                    cause: Cause::Leaving,
                });
            }
        }
    }

    /// Whether nothing is left to be given back.
    pub fn has_left(&self) -> bool {
        self.leaving && self.mine.values().all(|mine| mine.gives.is_none())
    }

    /// Time goes by; what to wish for now. `table`: as it was shown to [`Keeper::see`] last.
    pub fn pass(&mut self, now: f64, table: &Table) -> Vec<Wish> {
        let mut wishes = Vec::new();
        let mut renews = Vec::new();
        let number = self.number + 1;
        for (name, mine) in &mut self.mine {
            if mine.lease.is_some_and(|(_, ends)| now >= ends) {
                // By its own clock alone: whoever is cut off, or was stopped, hears of nothing.
                (mine.lease, mine.asked) = (None, None);
                self.changes.push(Change {
                    duty: name.clone(),
                    token: None,
                    cause: Cause::Expired,
                });
            }
            let held = table.held(name);
            if let Some(token) = mine.gives {
                let still =
                    held.is_some_and(|h| h.token == token && h.holder.as_ref() == Some(&self.who));
                if !still {
                    mine.gives = None;
                } else if mine.asked.is_none_or(|(_, at)| now - at >= AGAIN_MS) {
                    mine.asked = Some((number, now));
                    wishes.push(Wish::Give {
                        duty: name.clone(),
                        token,
                    });
                }
                continue;
            }
            if self.leaving || mine.asked.is_some_and(|(_, at)| now - at < AGAIN_MS) {
                continue;
            }
            let lease_ms = f64::from(mine.duty.lease_ms);
            if let Some((token, ends)) = mine.lease {
                if now >= ends - lease_ms + lease::renew_after(lease_ms) {
                    mine.asked = Some((number, now));
                    renews.push((name.clone(), token));
                }
                continue;
            }
            let holder = held.and_then(|h| h.holder.as_ref().map(|_| f64::from(h.lease_ms)));
            let wait = holder.map_or(0.0, |lease| lease::wait(lease, self.rules.bound));
            let wait = wait + f64::from(mine.duty.place) * STEP_MS;
            if now >= mine.seen.1 + wait && now >= mine.not_before {
                mine.asked = Some((number, now));
                mine.cause = if holder.is_some() {
                    Cause::Lapsed
                } else {
                    Cause::Free
                };
                wishes.push(Wish::Take {
                    duty: name.clone(),
                    who: self.who.clone(),
                    seen: mine.seen.0,
                    lease_ms: mine.duty.lease_ms,
                    number,
                });
            }
        }
        if !renews.is_empty() {
            wishes.push(Wish::Renew {
                who: self.who.clone(),
                duties: renews,
                number,
            });
        }
        if !wishes.is_empty() {
            self.number = number;
            self.sent.insert(number, now);
            // An answer that comes later than any lease is of no use.
            let longest = self
                .mine
                .values()
                .map(|m| f64::from(m.duty.lease_ms))
                .fold(0.0, f64::max);
            self.sent.retain(|_, at| now - *at <= longest);
        }
        wishes
    }

    /// What has begun and ended since this was asked last.
    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }
}
