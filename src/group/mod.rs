//! This ingress in a group with others. It owns the group's thread, and the door between it and the rest: calls go in,
//! answers and what the group holds come out. It must never let a client's request wait for the group, nor
//! exist where the operator's file has no `[group]`: then there is no thread, no listener and no file.

mod cached_replica;
mod follower_task;
mod link_error;
mod links;
mod member_task;
pub mod store;

use cached_replica::CachedReplica;
pub use cached_replica::CachedReplicaError;
use driftgap_group::{
    is_name, Document, DocumentKind, Member, MemberStatus, Outcome, Proposal, Settings,
    MAX_DOCUMENT, NEWEST_FORMAT, OLDEST_FORMAT,
};
use follower_task::Following;
use member_task::Engine;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use store::{Identity, Store, StoreError};
use tokio::sync::{mpsc, oneshot, watch};

/// Most calls that wait for the group's thread.
const MAX_WAITING: usize = 256;
/// The group answers a call by itself before this; if not, its thread hangs on its disk.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2600);

/// At a start whose file is torn or missing the group's answer is waited for so long.
const ANSWER_AT_START: Duration = Duration::from_secs(5);
/// Then, where no version of that file is known, the first one is waited for so long: others hand theirs in within
/// [`HAND_IN`] of when they can.
const FIRST_VERSION_AT_START: Duration = Duration::from_secs(5);
/// Between two questions at a start.
const ASK_AGAIN: Duration = Duration::from_millis(100);
/// What the group did not take is handed in again after this.
const HAND_IN: Duration = Duration::from_millis(500);

/// What callers hear of a thread that has ended, or hangs.
const SILENT: &str = "the group's part of this ingress does not answer";

/// `[group]` of the operator's file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSettings {
    /// Where other members reach this one, if it is a member.
    pub listen: Option<SocketAddr>,
    /// What a member keeps on its disk; a follower keeps its copy there, if it has one.
    pub folder: Option<PathBuf>,
    /// Where each member is reached, by name; an ingress of another name follows them.
    pub members: BTreeMap<String, SocketAddr>,
    /// The newest form of the log that this member takes part in, so that a release can be taken back; the newest that
    /// the program knows where it is absent.
    pub form: Option<u16>,
}

impl GroupSettings {
    /// What the ingress of this name lacks in it.
    ///
    /// # Errors
    /// The field.
    pub fn judge_for(&self, name: &str) -> Result<(), GroupError> {
        if self.members.contains_key(name) {
            self.folder(name)?;
            self.listen_of(name)?;
        }
        Ok(())
    }

    fn listen_of(&self, name: &str) -> Result<SocketAddr, GroupError> {
        self.listen
            .ok_or_else(|| GroupError::Missing("listen", name.into()))
    }

    /// The newest form that a member may speak.
    fn newest(&self) -> u16 {
        self.form.unwrap_or(NEWEST_FORMAT)
    }

    /// A member's folder.
    fn folder(&self, name: &str) -> Result<&Path, GroupError> {
        if !self.members.contains_key(name) {
            return Err(GroupError::Name(name.into()));
        }
        self.folder
            .as_deref()
            .ok_or_else(|| GroupError::Missing("folder", name.into()))
    }

    /// The members' addresses as the group's log has them.
    fn texts(&self) -> BTreeMap<String, String> {
        self.members
            .iter()
            .map(|(name, address)| (name.clone(), address.to_string()))
            .collect()
    }

    /// Judges the section for the ingress of this name.
    ///
    /// # Errors
    /// The field and what is wrong with it.
    pub fn judge(&self) -> Result<(), (&'static str, String)> {
        if let Some(name) = self.members.keys().find(|name| !is_name(name)) {
            return Err(("group.members", format!("{name:?} is no name of a member")));
        }
        let (min, max) = (driftgap_group::MIN_MEMBERS, driftgap_group::MAX_MEMBERS);
        if !(min..=max).contains(&self.members.len()) {
            return Err(("group.members", format!("must be {min} to {max} members")));
        }
        if self
            .form
            .is_some_and(|form| !(OLDEST_FORMAT..=NEWEST_FORMAT).contains(&form))
        {
            return Err((
                "group.form",
                format!("must be {} to {}", OLDEST_FORMAT, NEWEST_FORMAT),
            ));
        }
        let addresses: BTreeSet<SocketAddr> = self.members.values().copied().collect();
        if addresses.len() != self.members.len() {
            return Err(("group.members", "two members at one address".into()));
        }
        Ok(())
    }
}

/// Why the group's part cannot start.
#[derive(Debug, thiserror::Error)]
pub enum GroupError {
    /// The folder cannot be used.
    #[error("group.folder: {0}")]
    Folder(#[from] StoreError),
    /// The link's address cannot be listened on.
    #[error("group.listen: {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// This ingress is no member.
    #[error("group.members: {0} is not among them")]
    Name(String),
    /// A member needs it.
    #[error("group.{0} is missing: {1} is a member")]
    Missing(&'static str, String),
    /// A follower's folder cannot be used.
    #[error("group.folder: {0}: {1}")]
    CachedReplica(PathBuf, CachedReplicaError),
    /// The system refuses.
    #[error("group: {0}")]
    System(#[from] std::io::Error),
}

/// What the group holds, as this ingress knows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Endpoints that are out.
    pub out: Arc<BTreeSet<String>>,
    /// The last accepted versions of what operators write.
    pub documents: Arc<BTreeMap<DocumentKind, Document>>,
    /// How far the log is carried out here.
    pub applied: u64,
}

/// How the group's part of this ingress stands.
#[derive(Clone, Debug)]
pub enum MembershipStatus {
    /// Its folder is empty, and nobody has let it in yet.
    Waiting,
    /// It is a member.
    Member(Box<MemberStatus>),
    /// It follows a member; none: it reaches none now.
    Following {
        /// The member.
        member: Option<String>,
        /// How far its copy is.
        applied: u64,
        /// How old that is, ms; none: it has none.
        age_ms: Option<f64>,
        /// Up to which place in the log the copy on its disk holds everything, which a crash does not take back;
        /// none: it has no folder, or nothing is written yet.
        stored: Option<u64>,
    },
    /// It neither votes nor promises any more, and why.
    Lost(String),
}

/// How a call at the group ended.
#[derive(Clone, Debug)]
pub enum Ended {
    /// It is agreed and on the disks of a majority; what the group holds now.
    Done(Outcome, View),
    /// It was not done.
    Refused(String),
    /// Nobody knows whether it will yet be done.
    Open,
}

/// What the rest of the ingress asks of the group's thread.
enum Request {
    Proposal(Proposal, oneshot::Sender<Ended>),
    Read(oneshot::Sender<Ended>),
    MembershipStatus(oneshot::Sender<MembershipStatus>),
    Leave(oneshot::Sender<()>),
}

/// The door to the group's thread.
#[derive(Clone)]
pub struct Group {
    requests: mpsc::Sender<Request>,
    view: watch::Receiver<View>,
}

impl Group {
    /// What the group's thread answers; else whether it has been asked at all.
    async fn request<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<T>) -> Request,
    ) -> Result<T, bool> {
        let (answer, answered) = oneshot::channel();
        self.requests.try_send(request(answer)).map_err(|_| false)?;
        match tokio::time::timeout(CLIENT_TIMEOUT, answered).await {
            Ok(Ok(answer)) => Ok(answer),
            _ => Err(true),
        }
    }

    /// Asks the group for something; back when it is agreed, or will not be known to be in time.
    pub async fn ask(&self, proposal: Proposal) -> Ended {
        self.request(|answer| Request::Proposal(proposal, answer))
            .await
            .unwrap_or_else(|asked| match asked {
                true => Ended::Open,
                false => Ended::Refused(SILENT.into()),
            })
    }

    /// What the group holds now: all that anybody was told is in it.
    pub async fn read(&self) -> Ended {
        self.request(Request::Read)
            .await
            .unwrap_or_else(|_| Ended::Refused(SILENT.into()))
    }

    /// How it stands.
    pub async fn membership_status(&self) -> MembershipStatus {
        self.request(Request::MembershipStatus)
            .await
            .unwrap_or_else(|_| MembershipStatus::Lost(SILENT.into()))
    }

    /// Gives leadership away before the process ends.
    pub async fn leave(&self) {
        let _ = self.request(Request::Leave).await;
    }

    /// The last version of a document: what the group says if it can be asked in time, else what is known here. Where
    /// neither has one, the first is waited for: nothing can be handed in before enough members vote, so a group that
    /// has just come up answers before it keeps anything.
    pub async fn document(&self, kind: DocumentKind) -> Option<Document> {
        if tokio::time::timeout(ANSWER_AT_START, self.answers())
            .await
            .is_err()
        {
            tracing::warn!(
                ?kind,
                "the group cannot be asked: what is known here may be old"
            );
        }
        if let Some(known) = self.known(kind) {
            return Some(known);
        }
        tracing::info!(?kind, "the group holds no version yet: waits for the first");
        let first = tokio::time::timeout(FIRST_VERSION_AT_START, self.first_version(kind)).await;
        if first.is_err() {
            tracing::warn!(?kind, "the group has been given no version in time");
        }
        self.known(kind)
    }

    /// The last version of a document that is known here.
    fn known(&self, kind: DocumentKind) -> Option<Document> {
        self.view.borrow().documents.get(&kind).cloned()
    }

    /// Back once the group has answered a read.
    async fn answers(&self) {
        while !matches!(self.read().await, Ended::Done(..)) {
            tokio::time::sleep(ASK_AGAIN).await;
        }
    }

    /// Back once a version of the document is known here, or never will be: the group's part has ended.
    async fn first_version(&self, kind: DocumentKind) {
        let _ = self
            .view
            .clone()
            .wait_for(|view| view.documents.contains_key(&kind))
            .await;
    }

    /// Hands in what was accepted here, until the group has it or a later one. At a start the group's own is left as
    /// it is: a file that was forgotten on one machine is no news.
    pub async fn submit_document(self, kind: DocumentKind, bytes: Vec<u8>, at_start: bool) {
        if bytes.len() > MAX_DOCUMENT {
            return tracing::warn!(
                ?kind,
                bytes = bytes.len(),
                "too large to be kept by the group"
            );
        }
        // What the group holds has to be known before anything is compared with it.
        while !matches!(self.read().await, Ended::Done(..)) {
            tokio::time::sleep(HAND_IN).await;
        }
        loop {
            let held = self.known(kind);
            match &held {
                Some(held) if held.bytes == bytes => return,
                Some(held) if at_start => {
                    return tracing::warn!(
                        ?kind,
                        number = held.number,
                        "differs from the group's last accepted"
                    );
                }
                _ => {}
            }
            let number = held.map_or(0, |held| held.number);
            match self.ask(Proposal::Write(kind, number, bytes.clone())).await {
                Ended::Done(Outcome::Written(number), _) => {
                    return tracing::info!(?kind, number, "kept by the group");
                }
                Ended::Done(Outcome::Refused, _) => {
                    return tracing::warn!(?kind, "refused by the group")
                }
                _ => tokio::time::sleep(HAND_IN).await,
            }
        }
    }

    /// What the group holds, and when that changes.
    pub fn view(&self) -> watch::Receiver<View> {
        self.view.clone()
    }
}

/// A number like no other: the seeds of the standard library's hashers come from the system.
fn fresh() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::hash::RandomState::new().build_hasher().finish().max(1)
}

/// Begins a new group, with this member alone in it; others are let in as they come.
///
/// # Errors
/// The folder holds a member already, or cannot be used.
pub fn init(settings: &GroupSettings, folder: &Path, name: &str) -> Result<u64, GroupError> {
    let address = settings
        .members
        .get(name)
        .ok_or_else(|| GroupError::Name(name.into()))?
        .to_string();
    let mut store = Store::open(&folder.join(settings.folder(name)?))?;
    let (group, nonce) = (fresh(), fresh());
    let identity = Identity::new(group, name, 1, nonce);
    store.begin(
        &identity,
        &driftgap_group::Loaded::first(group, name, &address, nonce),
    )?;
    Ok(group)
}

/// Begins a new group with what one folder of the old one holds, for operators who have lost a majority for good.
/// The old folder stays as it is.
///
/// # Errors
/// Either folder cannot be used; the new one has to be empty.
pub fn recover(
    settings: &GroupSettings,
    folder: &Path,
    name: &str,
    from: &Path,
) -> Result<String, GroupError> {
    let address = settings
        .members
        .get(name)
        .ok_or_else(|| GroupError::Name(name.into()))?
        .to_string();
    let mut store = Store::open(&folder.join(settings.folder(name)?))?;
    let newest = settings.newest().into();
    if store.identity(name, newest)?.is_some() {
        return Err(StoreError::Taken(folder.join(settings.folder(name)?)).into());
    }
    let old = Store::open(from)?;
    old.identity(name, newest)?;
    let (group, nonce) = (fresh(), fresh());
    let loaded = old.load()?.recover(group, name, &address, nonce);
    let recovered = loaded.map_err(|e| StoreError::Disk(e.to_string()))?;
    let (agreed, last) = (recovered.committed, recovered.last);
    let identity = Identity::new(group, name, recovered.loaded.id, nonce);
    store.begin(&identity, &recovered.loaded)?;
    Ok(format!(
        "group {group:x} begins with {name} and all that its old folder held, {agreed} places known as agreed and {} \
         more. Lost is what others were promised and this folder never received; a call that had a NAK may hold now: \
         look through GROUP OUT. Members of the old group are let in with empty folders only.",
        last.saturating_sub(agreed)
    ))
}

/// Looks at a member's folder while it does not run, in words.
///
/// # Errors
/// It cannot be used: which record, or who holds it.
pub fn look(settings: &GroupSettings, folder: &Path, name: &str) -> Result<String, GroupError> {
    let path = folder.join(settings.folder(name)?);
    let store = Store::open(&path)?;
    let Some(identity) = store.identity(name, store::FORMAT)? else {
        return Ok(format!(
            "{}: empty; {name} will ask to be let in",
            path.display()
        ));
    };
    let loaded = store.load()?;
    let (entries, state, term) = (
        loaded.entries.len(),
        loaded.snapshot.index,
        loaded.hard.term,
    );
    let out = Member::new(Settings::new(name, 0, settings.texts()), loaded, 0.0)
        .map_err(|e| StoreError::Disk(e.to_string()))?
        .state()
        .out
        .len();
    Ok(format!(
        "{}: group {:x}, member {name} as incarnation {}, form {}, term {term}, state at {state} ({out} out), \
         {entries} entries: sound",
        path.display(),
        identity.group,
        identity.id,
        store.format()?.unwrap_or(0),
    ))
}

/// Joins the group, on a thread of its own: its disk may be slow. Paths count from `folder`.
///
/// # Errors
/// The folder or the address cannot be used.
pub fn start(settings: &GroupSettings, folder: &Path, name: &str) -> Result<Group, GroupError> {
    let member = match settings.members.contains_key(name) {
        true => {
            let store = Store::open(&folder.join(settings.folder(name)?))?;
            let identity = store.identity(name, settings.newest().into())?;
            let listen = settings.listen_of(name)?;
            let listener =
                std::net::TcpListener::bind(listen).map_err(|e| GroupError::Listen(listen, e))?;
            listener.set_nonblocking(true)?;
            Some((store, identity, listener))
        }
        false => None,
    };
    let kept = match (&member, &settings.folder) {
        (None, Some(path)) => {
            let path = folder.join(path);
            Some(CachedReplica::open(&path).map_err(|e| GroupError::CachedReplica(path, e))?)
        }
        _ => None,
    };
    let (requests, asked) = mpsc::channel(MAX_WAITING);
    let (viewed, view) = watch::channel(View::default());
    let (settings, name) = (settings.clone(), name.to_string());
    std::thread::Builder::new()
        .name("group".into())
        .spawn(move || {
            // Whatever goes wrong there ends there: calls are told so, and requests are served on.
            let run = std::panic::AssertUnwindSafe(|| -> std::io::Result<()> {
                let runtime = tokio::runtime::Builder::new_current_thread()
                    .enable_all()
                    .build_local(Default::default())?;
                runtime.block_on(async {
                    match member {
                        Some((store, identity, listener)) => {
                            let engine = Engine::new(settings, name, store, identity, viewed)?;
                            engine.run(listener, asked).await
                        }
                        None => {
                            Following::new(settings, name, fresh(), kept, viewed)?
                                .run(asked)
                                .await
                        }
                    }
                })
            });
            match std::panic::catch_unwind(run) {
                Ok(Ok(())) => {}
                Ok(Err(e)) => tracing::error!(error = %e, "the group's part has ended"),
                Err(_) => tracing::error!(
                    "the group's part has ended by a fault; this member votes no more"
                ),
            }
        })?;
    Ok(Group { requests, view })
}
