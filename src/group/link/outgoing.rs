//! Links that this ingress opens: one to each other member, or a follower's single link to its
//! member.

use super::error::LinkError;
use super::event::{FollowerLinkEvent, LinkEvent};
use super::frame_reader::{read_first, FrameReader};
use super::identity::LinkIdentity;
use super::sender::{write_all, LinkSender};
use super::statistics::LinkStatistics;
use super::PEER_TIMEOUT;
use driftgap_group::{Frame, Welcome};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout, Instant};

/// Pause before reconnecting after a connection that lasted longer than [`PEER_TIMEOUT`]; doubles with
/// each connection or attempt that ends sooner.
const FIRST_RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two attempts to connect.
const MAX_RECONNECT_PAUSE: Duration = Duration::from_millis(1000);

/// The link to one member.
pub(in crate::group) struct MemberLink {
    sender: Rc<LinkSender>,
    task: AbortHandle,
    pub(in crate::group) address: SocketAddr,
}

impl MemberLink {
    /// Opens the link, and reconnects whenever it ends, until [`MemberLink::end`].
    pub(in crate::group) fn open(
        identity: Rc<LinkIdentity>,
        to: String,
        address: SocketAddr,
        events: mpsc::Sender<LinkEvent>,
        statistics: Rc<LinkStatistics>,
    ) -> MemberLink {
        let sender = LinkSender::down(statistics);
        let connector = Connector {
            identity,
            to,
            address,
        };
        let task = spawn_local(keep_connected(connector, sender.clone(), events));
        MemberLink {
            sender,
            task: task.abort_handle(),
            address,
        }
    }

    /// Sends a frame. Returns false if the frame is dropped.
    pub(in crate::group) fn send(&self, frame: &Frame) -> bool {
        self.sender.send(frame)
    }

    /// Whether the link is up.
    pub(in crate::group) fn is_up(&self) -> bool {
        self.sender.is_up()
    }

    /// Whether the link has been up for long enough that a healthy link has delivered frames.
    pub(in crate::group) fn is_established(&self) -> bool {
        self.sender.is_established()
    }

    /// Ends the link for good, because the other ingress is no longer a member or another link
    /// replaces this one.
    pub(in crate::group) fn end(&self) {
        self.task.abort();
    }
}

/// Connects to one member under this ingress's identity.
struct Connector {
    identity: Rc<LinkIdentity>,
    to: String,
    address: SocketAddr,
}

impl Connector {
    /// Connects to the member and completes the handshake.
    async fn connect(&self) -> Result<(TcpStream, Welcome), LinkError> {
        let connecting = timeout(PEER_TIMEOUT, TcpStream::connect(self.address));
        let mut stream = connecting.await.map_err(|_| LinkError::ConnectTimeout)??;
        let _ = stream.set_nodelay(true);
        let hello = self.identity.hello(&self.to);
        write_all(&mut stream, &hello.bytes()).await?;
        let welcome: Welcome = timeout(PEER_TIMEOUT, read_first(&mut stream))
            .await
            .map_err(|_| LinkError::WelcomeTimeout)?
            .ok_or(LinkError::Rejected)?;
        self.identity.check_welcome(&welcome, hello.group)?;
        Ok((stream, welcome))
    }

    fn log_end(&self, error: &LinkError, message: &'static str) {
        tracing::debug!(
            to = self.to,
            address = %self.address,
            cause = error.cause(),
            why = %error,
            "{message}"
        );
    }
}

/// Keeps one connection open by reconnecting, with an exponential backoff between the attempts.
async fn keep_connected(
    connector: Connector,
    sender: Rc<LinkSender>,
    events: mpsc::Sender<LinkEvent>,
) {
    let mut pause = FIRST_RECONNECT_PAUSE;
    loop {
        let began = Instant::now();
        if let Err(error) = run_member_link(&connector, &sender).await {
            connector.log_end(&error, "member link ended");
        }
        sender.close();
        let name = connector.to.clone();
        let _ = events.send(LinkEvent::Disconnected { name }).await;
        pause = if began.elapsed() > PEER_TIMEOUT {
            FIRST_RECONNECT_PAUSE
        } else {
            (pause * 2).min(MAX_RECONNECT_PAUSE)
        };
        sleep(pause).await;
    }
}

/// Runs one connection to a member until it ends.
async fn run_member_link(connector: &Connector, sender: &LinkSender) -> Result<(), LinkError> {
    let identity = &connector.identity;
    let connected_as = (identity.group.get(), identity.incarnation.get());
    let (mut stream, _) = connector.connect().await?;
    sender.set_up();
    let (mut reader, mut writer) = stream.split();
    let same_identity = || match (identity.group.get(), identity.incarnation.get()) == connected_as
    {
        true => Ok(()),
        false => Err(LinkError::IncarnationChanged),
    };
    let mut unexpected = [0; 64];
    tokio::select! {
        ended = sender.write_queue(&mut writer, same_identity) => ended,
        // The peer sends nothing in this direction: a read returns at the end of the connection or
        // with invalid data.
        _ = reader.read(&mut unexpected) => Err(LinkError::Closed),
    }
}

/// Runs a follower's one connection to a member until it ends.
pub(in crate::group) async fn follow(
    identity: Rc<LinkIdentity>,
    to: String,
    address: SocketAddr,
    events: mpsc::Sender<FollowerLinkEvent>,
    statistics: Rc<LinkStatistics>,
) {
    let connector = Connector {
        identity,
        to,
        address,
    };
    if let Err(error) = run_follower_link(&connector, &events, statistics).await {
        connector.log_end(&error, "follower link ended");
    }
    let _ = events.send(FollowerLinkEvent::Down).await;
}

async fn run_follower_link(
    connector: &Connector,
    events: &mpsc::Sender<FollowerLinkEvent>,
    statistics: Rc<LinkStatistics>,
) -> Result<(), LinkError> {
    let (stream, welcome) = connector.connect().await?;
    let (mut reader, mut writer) = stream.into_split();
    let sender = LinkSender::up(statistics);
    let up = FollowerLinkEvent::Up {
        sender: sender.clone(),
        group: welcome.group,
    };
    let _ = events.send(up).await;
    tokio::select! {
        ended = sender.write_queue(&mut writer, || Ok(())) => ended,
        ended = read_frames(&mut reader, events) => ended,
    }
}

async fn read_frames(
    reader: &mut (impl AsyncRead + Unpin),
    events: &mpsc::Sender<FollowerLinkEvent>,
) -> Result<(), LinkError> {
    let mut frames = FrameReader::default();
    while let Some(frame) = frames.next(reader).await? {
        let event = FollowerLinkEvent::Frame(Box::new(frame));
        if events.send(event).await.is_err() {
            break;
        }
    }
    Err(LinkError::Closed)
}
