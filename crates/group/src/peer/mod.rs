//! One ingress in the group, starting with an empty folder: it asks to be admitted, is admitted,
//! and is a member from then on. The module decides which frame goes to whom and by which route.
//! The ingress sends nothing as a member before its folder records its incarnation.

mod frames;

use crate::forwarding_routes::ForwardingRoutes;
use crate::frame::Frame;
use crate::member::{Event, Member, MemberFailure, Settings, StoredMember};
use crate::record::Batch;
use crate::subscribers::Subscribers;
use std::collections::{BTreeMap, BTreeSet};

/// A write that must be on the disk before anything that follows from it is sent.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteJob {
    /// Assigns the empty folder to this incarnation.
    Begin {
        /// The group id.
        group: u64,
        /// The incarnation.
        id: u64,
        /// Identifies the folder, unique among all folders.
        nonce: u64,
    },
    /// Writes a batch of the member.
    Write(Box<Batch>),
}

/// The incarnation that an ingress was admitted as.
#[derive(Clone, Copy)]
struct Admission {
    group: u64,
    id: u64,
}

/// An ingress with an empty folder.
struct Joining {
    /// Identifies the folder, unique among all folders.
    nonce: u64,
    admission: Option<Admission>,
    /// The newest format version that each other ingress has announced, kept for the member that
    /// this ingress becomes.
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
    /// Names by incarnation, from the hellos of their links.
    names: BTreeMap<u64, String>,
    last_join_ms: f64,
    last_report_ms: f64,
    frames: Vec<(String, Frame)>,
    subscribers: Subscribers,
    events: Vec<Event>,
}

impl Peer {
    /// Creates an ingress with an empty folder, which `nonce` identifies.
    pub fn joining(settings: Settings, nonce: u64) -> Peer {
        let joining = Joining {
            nonce,
            admission: None,
            newest_formats: BTreeMap::new(),
        };
        Peer::new(settings, Stage::Joining(joining))
    }

    /// Creates a member from the content of its folder.
    ///
    /// # Errors
    /// The folder's content is inconsistent, or of a newer format version than the settings allow.
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

    /// Returns the member; `None`: the ingress has not been admitted yet.
    pub fn member(&self) -> Option<&Member> {
        match &self.stage {
            Stage::Member(member) => Some(member),
            Stage::Joining(_) => None,
        }
    }

    /// Returns the member for changes and calls; `None`: the ingress has not been admitted yet.
    pub fn member_mut(&mut self) -> Option<&mut Member> {
        match &mut self.stage {
            Stage::Member(member) => Some(member),
            Stage::Joining(_) => None,
        }
    }

    /// Returns the names and addresses of all ingresses that this one keeps a link to.
    pub fn others(&self) -> BTreeMap<String, String> {
        let mut others = self.settings.members.clone();
        if let Some(state) = self.member().map(Member::state) {
            let invited = state.invited.iter().map(|(name, i)| (name, &i.address));
            let present = state.members.values().filter(|m| !m.removed);
            let members = present.map(|m| (&m.name, &m.address));
            for (name, address) in members.chain(invited) {
                // An address in the settings of this ingress takes precedence, because it is
                // the one by which this ingress reaches the member.
                let address = || address.clone();
                others.entry(name.clone()).or_insert_with(address);
            }
            let removed = state.members.values().filter(|m| m.removed);
            let removed: BTreeSet<&String> = removed.map(|m| &m.name).collect();
            others.retain(|name, _| !removed.contains(name) || state.incarnation(name).is_some());
        }
        others.remove(&self.settings.name);
        others
    }

    /// Records the newest format version that another ingress has announced when it opened a link.
    pub fn note_newest_format(&mut self, from: &str, newest: u16) {
        // Followers and unknown ingresses do not affect the format version of the log.
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

    /// Returns the members whose recent reports do not include this one: a link to them may seem up
    /// although it delivers nothing.
    pub fn unheard_by(&self, now_ms: f64) -> Vec<String> {
        self.routes.unheard_by(now_ms)
    }

    /// Reports that frames to this member were lost.
    pub fn disconnected(&mut self, name: &str) {
        let Some(member) = self.member_mut() else {
            return;
        };
        if let Some((id, _)) = member.state().incarnation(name) {
            member.unreachable(id);
        }
    }

    /// Returns the next write; `None`: there is nothing to write, or an earlier write is not done.
    /// Each write must be followed by [`Peer::written`].
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

    /// Reports that the write is done.
    ///
    /// # Errors
    /// The admitted member cannot be created.
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

    /// Handles a frame from a follower's connection. Returns false if this ingress is not a member,
    /// so that there is nothing to follow.
    pub fn receive_from_follower(&mut self, now_ms: f64, from: u64, frame: Frame) -> bool {
        let Stage::Member(member) = &mut self.stage else {
            return false;
        };
        self.subscribers.receive(now_ms, from, frame, member);
        true
    }

    /// Removes a follower whose connection has ended.
    pub fn follower_disconnected(&mut self, from: u64) {
        self.subscribers.disconnected(from);
    }

    /// Returns the number of followers of this member.
    pub fn followers(&self) -> usize {
        self.subscribers.len()
    }

    /// Returns and clears the frames to send to followers, by connection. Events that followers
    /// wait for become answers.
    pub fn to_followers(&mut self, now_ms: f64) -> Vec<(u64, Frame)> {
        self.dispatch_events(now_ms);
        if let Stage::Member(member) = &self.stage {
            self.subscribers.notify(now_ms, None, member);
        }
        self.subscribers.frames()
    }

    /// Returns and clears the events that no follower waits for.
    pub fn events(&mut self, now_ms: f64) -> Vec<Event> {
        self.dispatch_events(now_ms);
        std::mem::take(&mut self.events)
    }

    /// Answers the followers that wait for events, and keeps the other events.
    fn dispatch_events(&mut self, now_ms: f64) {
        if let Stage::Member(member) = &mut self.stage {
            self.events.append(&mut member.events());
            self.subscribers
                .take_events(now_ms, &mut self.events, member);
        }
    }
}
