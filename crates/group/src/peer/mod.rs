//! One ingress in the group, from an empty folder on: it asks to be admitted, is admitted, and is a member from then on.
//! It owns what goes to whom and by which route. It must never speak as a member before its folder says which one it is.

mod frames;

use crate::forwarding_routes::ForwardingRoutes;
use crate::frame::Frame;
use crate::member::{Event, Member, MemberFailure, Settings, StoredMember};
use crate::record::Batch;
use crate::subscribers::Subscribers;
use std::collections::{BTreeMap, BTreeSet};

/// What has to be on the disk before anything that follows from it.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteJob {
    /// The empty folder becomes this incarnation's.
    Begin {
        /// The group.
        group: u64,
        /// The incarnation.
        id: u64,
        /// What tells the folder from every other.
        nonce: u64,
    },
    /// A member's.
    Write(Box<Batch>),
}

/// Which incarnation an ingress was admitted as.
#[derive(Clone, Copy)]
struct Admission {
    group: u64,
    id: u64,
}

/// An ingress with an empty folder.
struct Joining {
    /// Tells the folder from every other.
    nonce: u64,
    admission: Option<Admission>,
    /// The newest format version that each other one has said to speak, for the member that this one becomes.
    newest_formats: BTreeMap<String, u16>,
}

enum Stage {
    Joining(Joining),
    Member(Box<Member>),
}

/// One ingress in the group.
pub struct Peer {
    settings: Settings,
    stage: Stage,
    routes: ForwardingRoutes,
    /// Names by incarnation, as their links have said them.
    names: BTreeMap<u64, String>,
    last_join_ms: f64,
    last_report_ms: f64,
    frames: Vec<(String, Frame)>,
    subscribers: Subscribers,
    events: Vec<Event>,
}

impl Peer {
    /// With an empty folder, which the nonce tells from every other.
    pub fn joining(settings: Settings, nonce: u64) -> Peer {
        let joining = Joining {
            nonce,
            admission: None,
            newest_formats: BTreeMap::new(),
        };
        Peer::new(settings, Stage::Joining(joining))
    }

    /// With what its folder holds.
    ///
    /// # Errors
    /// That makes no sense.
    pub fn from_member(
        settings: Settings,
        loaded: StoredMember,
        now_ms: f64,
    ) -> Result<Peer, MemberFailure> {
        let member = Member::new(settings.clone(), loaded, now_ms)?;
        Ok(Peer::new(settings, Stage::Member(Box::new(member))))
    }

    fn new(settings: Settings, stage: Stage) -> Peer {
        let routes = ForwardingRoutes::new(&settings.name);
        Peer {
            settings,
            stage,
            routes,
            names: BTreeMap::new(),
            last_join_ms: f64::MIN,
            last_report_ms: f64::MIN,
            frames: Vec::new(),
            subscribers: Subscribers::default(),
            events: Vec::new(),
        }
    }

    /// The member; none: it has not been admitted yet.
    pub fn member(&self) -> Option<&Member> {
        match &self.stage {
            Stage::Member(member) => Some(member),
            Stage::Joining(_) => None,
        }
    }

    /// The member, to ask it for something.
    pub fn member_mut(&mut self) -> Option<&mut Member> {
        match &mut self.stage {
            Stage::Member(member) => Some(member),
            Stage::Joining(_) => None,
        }
    }

    /// Everybody that this one is to have a link to, and the address.
    pub fn others(&self) -> BTreeMap<String, String> {
        let mut others = self.settings.members.clone();
        if let Some(state) = self.member().map(Member::state) {
            let invited = state.invited.iter().map(|(name, i)| (name, &i.address));
            let present = state.members.values().filter(|m| !m.gone);
            let members = present.map(|m| (&m.name, &m.address));
            for (name, address) in members.chain(invited) {
                // An address in the ingress's own file is the one by which it reaches that member.
                let address = || address.clone();
                others.entry(name.clone()).or_insert_with(address);
            }
            let gone = state.members.values().filter(|m| m.gone);
            let gone: BTreeSet<&String> = gone.map(|m| &m.name).collect();
            others.retain(|name, _| !gone.contains(name) || state.incarnation(name).is_some());
        }
        others.remove(&self.settings.name);
        others
    }

    /// Another one has opened a link to this one: the newest format version that it speaks.
    pub fn note_newest_format(&mut self, from: &str, newest: u16) {
        // Followers, and whoever else greets, are no concern of the log.
        if !self.others().contains_key(from) {
            return;
        }
        match &mut self.stage {
            Stage::Member(member) => member.note_newest_format(from, newest),
            Stage::Joining(joining) => {
                joining.newest_formats.insert(from.into(), newest);
            }
        }
    }

    /// Members that report of late not to hear this one: a link to them that looks sound carries nothing.
    pub fn unheard_by(&self, now_ms: f64) -> Vec<String> {
        self.routes.unheard_by(now_ms)
    }

    /// What was sent to this member is lost.
    pub fn disconnected(&mut self, name: &str) {
        let Some(member) = self.member_mut() else {
            return;
        };
        if let Some((id, _)) = member.state().incarnation(name) {
            member.unreachable(id);
        }
    }

    /// What has to be on the disk next; none: nothing, or an earlier job is not done. To be followed by
    /// [`Peer::written`].
    pub fn next_write(&mut self, now_ms: f64) -> Option<WriteJob> {
        match &mut self.stage {
            Stage::Joining(joining) => joining.admission.map(|admission| WriteJob::Begin {
                group: admission.group,
                id: admission.id,
                nonce: joining.nonce,
            }),
            Stage::Member(member) => {
                let batch = member.batch(now_ms)?;
                Some(WriteJob::Write(Box::new(batch)))
            }
        }
    }

    /// The job is done.
    ///
    /// # Errors
    /// The member cannot be.
    pub fn written(&mut self, now_ms: f64) -> Result<(), MemberFailure> {
        match &mut self.stage {
            Stage::Member(member) => member.written(now_ms),
            Stage::Joining(joining) => {
                let Some(admission) = joining.admission else {
                    return Ok(());
                };
                let loaded = StoredMember::admitted(admission.group, admission.id);
                let mut member = Member::new(self.settings.clone(), loaded, now_ms)?;
                for (name, newest) in &joining.newest_formats {
                    member.note_newest_format(name, *newest);
                }
                self.stage = Stage::Member(Box::new(member));
            }
        }
        Ok(())
    }

    /// A frame has come from a follower, by its connection. False: this one is no member, and has nothing to follow.
    pub fn receive_from_follower(&mut self, now_ms: f64, from: u64, frame: Frame) -> bool {
        let Stage::Member(member) = &mut self.stage else {
            return false;
        };
        self.subscribers.hear(now_ms, from, frame, member);
        true
    }

    /// A follower's connection has ended.
    pub fn follower_disconnected(&mut self, from: u64) {
        self.subscribers.gone(from);
    }

    /// How many follow this member.
    pub fn followers(&self) -> usize {
        self.subscribers.len()
    }

    /// Takes what is to be sent to followers, by their connections, and the events that they wait for.
    pub fn to_followers(&mut self, now_ms: f64) -> Vec<(u64, Frame)> {
        self.sort_events(now_ms);
        if let Stage::Member(member) = &self.stage {
            self.subscribers.notify(now_ms, None, member);
        }
        self.subscribers.frames()
    }

    /// Takes what has happened, apart from what followers waited for.
    pub fn events(&mut self, now_ms: f64) -> Vec<Event> {
        self.sort_events(now_ms);
        std::mem::take(&mut self.events)
    }

    /// Gives followers the events that they wait for, and puts the others by.
    fn sort_events(&mut self, now_ms: f64) {
        if let Stage::Member(member) = &mut self.stage {
            self.events.append(&mut member.events());
            self.subscribers.take(now_ms, &mut self.events, member);
        }
    }
}
