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

/// What the thread is to run, with all that could be wrong with it at a start.
enum Part {
    Member {
        store: Store,
        /// None: the folder is empty.
        identity: Option<Identity>,
        listener: TcpListener,
    },
    Follower {
        cached: Option<CachedReplica>,
    },
}

impl Part {
    fn open(settings: &GroupSettings, folder: &Path, name: &str) -> Result<Part, GroupError> {
        if !settings.is_member(name) {
            let cached = settings.folder.as_ref().map(|path| {
                let path = folder.join(path);
                CachedReplica::open(&path).map_err(|e| GroupError::CachedReplica(path, e))
            });
            return Ok(Part::Follower {
                cached: cached.transpose()?,
            });
        }
        let store = Store::open(&folder.join(settings.folder_of(name)?))?;
        let identity = store.identity(name, settings.newest_format().into())?;
        let listen = settings.listen_of(name)?;
        let listener = TcpListener::bind(listen).map_err(|e| GroupError::Listen(listen, e))?;
        listener.set_nonblocking(true)?;
        Ok(Part::Member {
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
            Part::Member {
                store,
                identity,
                listener,
            } => {
                let task = MemberTask::new(settings, name, store, identity, view)?;
                task.run(listener, requests).await
            }
            Part::Follower { cached } => {
                let task = FollowerTask::new(settings, name, random_id(), cached, view)?;
                task.run(requests).await
            }
        }
    }
}

/// Joins the group, on a thread of its own: its disk may be slow. Paths count from `folder`.
///
/// # Errors
/// The folder or the address cannot be used.
pub fn start(settings: &GroupSettings, folder: &Path, name: &str) -> Result<Group, GroupError> {
    let part = Part::open(settings, folder, name)?;
    let (view_sender, view) = watch::channel(View::default());
    let (group, requests) = Group::new(view);
    let (settings, name) = (settings.clone(), name.to_string());
    std::thread::Builder::new()
        .name("group".into())
        .spawn(move || run_thread(part, settings, name, requests, view_sender))?;
    Ok(group)
}

/// The thread. The consensus library aborts where its own invariants break: a panic ends this thread alone, calls are
/// answered so, and client requests are served on.
fn run_thread(
    part: Part,
    settings: GroupSettings,
    name: String,
    requests: mpsc::Receiver<Request>,
    view: watch::Sender<View>,
) {
    let run = std::panic::AssertUnwindSafe(|| -> std::io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build_local(Default::default())?;
        runtime.block_on(part.run(settings, name, requests, view))
    });
    match std::panic::catch_unwind(run) {
        Ok(Ok(())) => {}
        Ok(Err(e)) => tracing::error!(error = %e, "the group's part has ended"),
        Err(_) => {
            tracing::error!("the group's part has ended by a fault; this member votes no more");
        }
    }
}
