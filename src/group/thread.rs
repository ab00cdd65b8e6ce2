//! Starts the group's thread, as a member or as a follower.

use super::cached_replica::CachedReplica;
use super::call::{Request, View};
use super::follower_task::FollowerTask;
use super::handle::Group;
use super::member_task::MemberTask;
use super::settings::GroupSettings;
use super::store::{Identity, Store};
use super::{random_id, GroupError};
use std::net::TcpListener;
use std::path::Path;
use tokio::sync::{mpsc, watch};

/// The resources of the thread: everything that can fail is opened before the thread starts.
enum Participant {
    Member {
        store: Store,
        /// `None` if the folder is empty.
        identity: Option<Identity>,
        listener: TcpListener,
    },
    Follower {
        cached: Option<CachedReplica>,
    },
}

impl Participant {
    fn open(
        settings: &GroupSettings,
        folder: &Path,
        name: &str,
    ) -> Result<Participant, GroupError> {
        if !settings.is_member(name) {
            let cached = settings.folder.as_ref().map(|path| {
                let path = folder.join(path);
                CachedReplica::open(&path).map_err(|e| GroupError::CachedReplica(path, e))
            });
            return Ok(Participant::Follower {
                cached: cached.transpose()?,
            });
        }
        let store = Store::open(&folder.join(settings.folder_of(name)?))?;
        let identity = store.identity(name, settings.newest_format().into())?;
        let listen = settings.listen_of(name)?;
        let listener = TcpListener::bind(listen).map_err(|e| GroupError::Listen(listen, e))?;
        listener.set_nonblocking(true)?;
        Ok(Participant::Member {
            store,
            identity,
            listener,
        })
    }

    async fn run(
        self,
        settings: GroupSettings,
        name: String,
        requests: mpsc::Receiver<Request>,
        view: watch::Sender<View>,
    ) -> std::io::Result<()> {
        match self {
            Participant::Member {
                store,
                identity,
                listener,
            } => {
                let task = MemberTask::new(settings, name, store, identity, view)?;
                task.run(listener, requests).await
            }
            Participant::Follower { cached } => {
                let task = FollowerTask::new(settings, name, random_id(), cached, view)?;
                task.run(requests).await
            }
        }
    }
}

/// Joins the group on a thread of its own, since the disk may be slow. Relative paths are resolved
/// against `folder`.
///
/// # Errors
/// Returns an error if the folder or the address cannot be used.
pub fn start(settings: &GroupSettings, folder: &Path, name: &str) -> Result<Group, GroupError> {
    let participant = Participant::open(settings, folder, name)?;
    let (view_sender, view) = watch::channel(View::default());
    let (group, requests) = Group::new(view);
    let (settings, name) = (settings.clone(), name.to_string());
    std::thread::Builder::new()
        .name("group".into())
        .spawn(move || run_thread(participant, settings, name, requests, view_sender))?;
    Ok(group)
}

/// The body of the thread. The consensus library panics when its own invariants are violated. Such
/// a panic ends this thread only: pending calls get an error, and client requests are still served.
fn run_thread(
    participant: Participant,
    settings: GroupSettings,
    name: String,
    requests: mpsc::Receiver<Request>,
    view: watch::Sender<View>,
) {
    let run = std::panic::AssertUnwindSafe(|| -> std::io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build_local(Default::default())?;
        runtime.block_on(participant.run(settings, name, requests, view))
    });
    match std::panic::catch_unwind(run) {
        Ok(Ok(())) => {}
        Ok(Err(e)) => {
            tracing::error!(error = %e, "the group's thread has ended with an error; this ingress no longer takes part in the group")
        }
        Err(_) => {
            tracing::error!(
                "the group's thread has panicked; this ingress no longer takes part in the group"
            );
        }
    }
}
