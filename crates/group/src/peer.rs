//! One ingress in the group, from an empty folder on: it asks to be let in, is let in, and is a member from then on. It
//! owns what goes to whom and by which way. It must never speak as a member before its folder says which one it is.

use crate::forwarding_routes::{ForwardingRoutes, Way};
use crate::frame::Frame;
use crate::member::{Event, Loaded, Lost, Member, Settings};
use crate::record::{Batch, MessageRecord};
use crate::subscribers::Subscribers;
use std::collections::{BTreeMap, BTreeSet};

/// A member with an empty folder asks this often to be let in, ms.
const JOIN_MS: f64 = 500.0;
/// Everybody tells whom it hears this often, ms.
const TELL_MS: f64 = 150.0;

/// What has to be on the disk before anything that follows from it.
#[derive(Clone, Debug, PartialEq)]
pub enum Job {
    /// The empty folder becomes this incarnation's.
    Begin {
        /// The group.
        group: u64,
        /// The incarnation.
        id: u64,
        /// What the folder was told apart by.
        nonce: u64,
    },
    /// A member's.
    Write(Box<Batch>),
}

enum Place {
    /// With the newest form that each other one has said to speak, for the member that it becomes.
    Waiting {
        nonce: u64,
        admitted: Option<(u64, u64)>,
        speaks: BTreeMap<String, u16>,
    },
    Sitting(Box<Member>),
}

/// One ingress in the group.
pub struct Peer {
    settings: Settings,
    place: Place,
    routes: ForwardingRoutes,
    /// Names by incarnation, as their links have said them.
    names: BTreeMap<u64, String>,
    joined: f64,
    notified: f64,
    frames: Vec<(String, Frame)>,
    subscribers: Subscribers,
    events: Vec<Event>,
}

impl Peer {
    /// With an empty folder, told from every other by the nonce.
    pub fn waiting(settings: Settings, nonce: u64) -> Peer {
        Peer::new(
            settings,
            Place::Waiting {
                nonce,
                admitted: None,
                speaks: BTreeMap::new(),
            },
        )
    }

    /// With what its folder holds.
    ///
    /// # Errors
    /// That makes no sense.
    pub fn sitting(settings: Settings, loaded: Loaded, now: f64) -> Result<Peer, Lost> {
        let member = Member::new(settings.clone(), loaded, now)?;
        Ok(Peer::new(settings, Place::Sitting(Box::new(member))))
    }

    fn new(settings: Settings, place: Place) -> Peer {
        let routes = ForwardingRoutes::new(&settings.name);
        let (names, frames) = Default::default();
        let (subscribers, events) = Default::default();
        let (joined, notified) = (f64::MIN, f64::MIN);
        Peer {
            settings,
            place,
            routes,
            names,
            joined,
            notified,
            frames,
            subscribers,
            events,
        }
    }

    /// The member; none: it has not been let in yet.
    pub fn member(&self) -> Option<&Member> {
        match &self.place {
            Place::Sitting(member) => Some(member),
            Place::Waiting { .. } => None,
        }
    }

    /// The member, to ask it for something.
    pub fn member_mut(&mut self) -> Option<&mut Member> {
        match &mut self.place {
            Place::Sitting(member) => Some(member),
            Place::Waiting { .. } => None,
        }
    }

    /// Everybody that this one is to keep a link to, and where.
    pub fn others(&self) -> BTreeMap<String, String> {
        let mut all = self.settings.members.clone();
        if let Some(state) = self.member().map(Member::state) {
            let invited = state.invited.iter().map(|(name, i)| (name, &i.address));
            let members = state
                .members
                .values()
                .filter(|m| !m.gone)
                .map(|m| (&m.name, &m.address));
            for (name, address) in members.chain(invited) {
                // Where its own file names a member it knows best how to reach it.
                all.entry(name.clone()).or_insert_with(|| address.clone());
            }
            let gone: BTreeSet<&String> = state
                .members
                .values()
                .filter(|m| m.gone)
                .map(|m| &m.name)
                .collect();
            all.retain(|name, _| !gone.contains(name) || state.incarnation(name).is_some());
        }
        all.remove(&self.settings.name);
        all
    }

    /// Another one has opened a link to this one: the newest form that it speaks.
    pub fn greeted(&mut self, from: &str, newest: u16) {
        // Followers, and whoever else greets, are no concern of the log.
        if !self.others().contains_key(from) {
            return;
        }
        match &mut self.place {
            Place::Sitting(member) => member.greeted(from, newest),
            Place::Waiting { speaks, .. } => drop(speaks.insert(from.into(), newest)),
        }
    }

    /// Those who say of late that they do not hear this one: a link to them that looks sound carries nothing.
    pub fn unheard_by(&self, now: f64) -> Vec<String> {
        self.routes.unheard_by(now)
    }

    /// A frame has come over the link that this member opened.
    pub fn hear(&mut self, now: f64, from: &str, id: u64, frame: Frame) {
        if id != 0 && self.names.get(&id).is_none_or(|name| name != from) {
            self.names.retain(|_, name| name != from);
            self.names.insert(id, from.into());
        }
        self.routes.heard(now, from);
        match frame {
            Frame::Idle => {}
            Frame::Raft(message) | Frame::Passed(message) => self.take(now, message),
            Frame::Round(message) => match self.name_of(message.to) {
                Some(to) if to != self.settings.name => self.pass_on(to, Frame::Passed(message)),
                _ => self.take(now, message),
            },
            Frame::Hears { of, hears } => {
                if of == from {
                    let frame = Frame::Hears {
                        of: of.clone(),
                        hears: hears.clone(),
                    };
                    for to in self.others().into_keys().filter(|name| name != from) {
                        self.pass_on(to, frame.clone());
                    }
                }
                if of != self.settings.name {
                    self.routes.notified(now, &of, hears);
                }
            }
            // Between followers and members only, on the follower's connection.
            Frame::Follow { .. }
            | Frame::Ask { .. }
            | Frame::Answer { .. }
            | Frame::Copy { .. } => {}
            Frame::Join { nonce } => {
                if let Place::Sitting(member) = &mut self.place {
                    let group = member.group();
                    if let Some(id) = member.join(now, from, nonce) {
                        self.frames
                            .push((from.into(), Frame::Admitted { group, id, nonce }));
                    }
                }
            }
            Frame::Admitted {
                group,
                id,
                nonce: of,
            } => {
                if let Place::Waiting {
                    nonce, admitted, ..
                } = &mut self.place
                {
                    if of == *nonce {
                        admitted.get_or_insert((group, id));
                    }
                }
            }
        }
    }

    /// Sends another member's frame on. Without an incarnation it must not: the link, and with it the request to be let
    /// in, would end.
    fn pass_on(&mut self, to: String, frame: Frame) {
        if self.member().is_some() {
            self.frames.push((to, frame));
        }
    }

    fn take(&mut self, now: f64, message: MessageRecord) {
        if let Place::Sitting(member) = &mut self.place {
            member.hear(now, message);
        }
    }

    fn name_of(&self, id: u64) -> Option<String> {
        let state = self.member().map(Member::state);
        let known = state
            .and_then(|s| s.members.get(&id))
            .map(|m| m.name.clone());
        known.or_else(|| self.names.get(&id).cloned())
    }

    /// What was sent to this member is lost.
    pub fn broken(&mut self, name: &str) {
        if let Place::Sitting(member) = &mut self.place {
            if let Some((id, _)) = member.state().incarnation(name) {
                member.unreachable(id);
            }
        }
    }

    /// Time goes by.
    pub fn pass(&mut self, now: f64) {
        match &mut self.place {
            Place::Sitting(member) => member.pass(now),
            Place::Waiting { nonce, .. } if now - self.joined > JOIN_MS => {
                self.joined = now;
                let frame = Frame::Join { nonce: *nonce };
                let others = self.others().into_keys();
                self.frames.extend(others.map(|name| (name, frame.clone())));
            }
            Place::Waiting { .. } => {}
        }
        if self.member().is_some() && now - self.notified >= TELL_MS {
            self.notified = now;
            let frame = Frame::Hears {
                of: self.settings.name.clone(),
                hears: self.routes.hears(now),
            };
            let others = self.others().into_keys();
            self.frames.extend(others.map(|name| (name, frame.clone())));
        }
    }

    /// What has to be on the disk next; none: nothing, or an earlier job is not done. To be followed by
    /// [`Peer::done`].
    pub fn job(&mut self, now: f64) -> Option<Job> {
        match &mut self.place {
            Place::Waiting {
                nonce, admitted, ..
            } => admitted.map(|(group, id)| Job::Begin {
                group,
                id,
                nonce: *nonce,
            }),
            Place::Sitting(member) => member.batch(now).map(|batch| Job::Write(Box::new(batch))),
        }
    }

    /// The job is done.
    ///
    /// # Errors
    /// The member cannot be.
    pub fn done(&mut self, now: f64) -> Result<(), Lost> {
        match &mut self.place {
            Place::Sitting(member) => member.written(now),
            Place::Waiting {
                admitted: Some((group, id)),
                speaks,
                ..
            } => {
                let loaded = Loaded::admitted(*group, *id);
                let mut member = Member::new(self.settings.clone(), loaded, now)?;
                speaks
                    .iter()
                    .for_each(|(name, newest)| member.greeted(name, *newest));
                self.place = Place::Sitting(Box::new(member));
            }
            Place::Waiting { .. } => {}
        }
        Ok(())
    }

    /// A frame has come from a follower, by its connection. False: this member has nothing to follow.
    pub fn hear_follower(&mut self, now: f64, from: u64, frame: Frame) -> bool {
        match &mut self.place {
            Place::Sitting(member) => {
                self.subscribers.hear(now, from, frame, member);
                true
            }
            Place::Waiting { .. } => false,
        }
    }

    /// A follower is gone.
    pub fn follower_gone(&mut self, from: u64) {
        self.subscribers.gone(from);
    }

    /// How many follow this member.
    pub fn followers(&self) -> usize {
        self.subscribers.len()
    }

    /// What is to be sent to followers, by their connections. Takes from the events those that they wait for.
    pub fn to_followers(&mut self, now: f64) -> Vec<(u64, Frame)> {
        self.sort_events(now);
        if let Place::Sitting(member) = &self.place {
            self.subscribers.tell(now, None, member);
        }
        self.subscribers.frames()
    }

    /// What has happened, apart from what followers waited for.
    pub fn events(&mut self, now: f64) -> Vec<Event> {
        self.sort_events(now);
        std::mem::take(&mut self.events)
    }

    /// Gives followers what they wait for, and keeps the rest.
    fn sort_events(&mut self, now: f64) {
        if let Place::Sitting(member) = &mut self.place {
            self.events.append(&mut member.events());
            self.subscribers.take(now, &mut self.events, member);
        }
    }

    /// What is to be sent, and to whom.
    pub fn frames(&mut self, now: f64) -> Vec<(String, Frame)> {
        let messages = self.member_mut().map(Member::messages).unwrap_or_default();
        for message in messages {
            let Some(to) = self.name_of(message.to) else {
                continue;
            };
            match self.routes.way(now, &to) {
                Way::Direct => self.frames.push((to, Frame::Raft(message))),
                Way::By(by) => self.frames.push((by, Frame::Round(message))),
            }
        }
        std::mem::take(&mut self.frames)
    }
}
