//! Links that other ingresses open to this member.

use super::error::LinkError;
use super::event::LinkEvent;
use super::frame_reader::{read_first, FrameReader};
use super::identity::LinkIdentity;
use super::sender::{write_all, LinkSender};
use super::statistics::LinkStatistics;
use super::PEER_TIMEOUT;
use driftgap_group::{Frame, Hello};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Most followers of one member; a further follower connects to another member.
pub(in crate::group) const MAX_FOLLOWERS: usize = 160;
/// Most links that other members and followers may have open to this member.
const MAX_LINKS: usize = 64 + MAX_FOLLOWERS;
/// Pause after a failed accept, for example when the process has no file descriptors left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts links from other ingresses.
pub(in crate::group) async fn listen(
    listener: TcpListener,
    identity: Rc<LinkIdentity>,
    events: mpsc::Sender<LinkEvent>,
    statistics: Rc<LinkStatistics>,
) {
    let open = Rc::new(Cell::new(0));
    let mut connection = 0;
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                tracing::warn!(error = %e, "cannot accept a link; retrying");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.get() >= MAX_LINKS {
            statistics.refused.add(&LinkError::TooManyLinks);
            continue;
        }
        connection += 1;
        let link = IncomingLink {
            connection,
            identity: identity.clone(),
            events: events.clone(),
            statistics: statistics.clone(),
        };
        open.set(open.get() + 1);
        let open = open.clone();
        spawn_local(async move {
            link.run_and_count(stream, from).await;
            open.set(open.get() - 1);
        });
    }
}

/// One link that another ingress has opened.
struct IncomingLink {
    connection: u64,
    identity: Rc<LinkIdentity>,
    events: mpsc::Sender<LinkEvent>,
    statistics: Rc<LinkStatistics>,
}

impl IncomingLink {
    async fn run_and_count(&self, stream: TcpStream, from: SocketAddr) {
        if let Err(error) = self.run(stream).await {
            self.statistics.refused.add(&error);
            tracing::debug!(%from, cause = error.cause(), why = %error, "incoming link refused or ended");
        }
    }

    /// Reads the link until it ends. Returns an error if the peer violates the protocol or a timeout.
    async fn run(&self, mut stream: TcpStream) -> Result<(), LinkError> {
        let _ = stream.set_nodelay(true);
        let hello = self.receive_hello(&mut stream).await?;
        let (mut reader, writer) = stream.into_split();
        let mut frames = FrameReader::default();
        while let Some(frame) = frames.next(&mut reader).await? {
            if !frame.is_allowed_from(hello.id) {
                return Err(LinkError::FrameNotAllowed);
            }
            if matches!(frame, Frame::Follow { .. }) {
                // This frame makes the connection a follower's, in both directions.
                return self
                    .run_follower(hello.name, frame, frames, reader, writer)
                    .await;
            }
            let event = LinkEvent::Frame {
                from: hello.name.clone(),
                incarnation: hello.id,
                frame: Box::new(frame),
            };
            if !self.report(event).await {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Receives the hello and answers it.
    async fn receive_hello(&self, stream: &mut TcpStream) -> Result<Hello, LinkError> {
        let hello = timeout(PEER_TIMEOUT, read_first::<Hello>(stream))
            .await
            .map_err(|_| LinkError::GreetingTimeout)?
            .ok_or(LinkError::NoGreeting)?;
        let format_version = self.identity.check_hello(&hello)?;
        let received = LinkEvent::HelloReceived {
            name: hello.name.clone(),
            newest_format: hello.formats.newest,
        };
        self.report(received).await;
        let welcome = self.identity.welcome(format_version);
        write_all(stream, &welcome.bytes()).await?;
        Ok(hello)
    }

    async fn run_follower(
        &self,
        name: String,
        first_frame: Frame,
        mut frames: FrameReader,
        mut reader: OwnedReadHalf,
        mut writer: OwnedWriteHalf,
    ) -> Result<(), LinkError> {
        let connection = self.connection;
        let sender = LinkSender::up(self.statistics.clone());
        let connected = LinkEvent::FollowerConnected {
            connection,
            name,
            sender: sender.clone(),
        };
        let task_runs = self.report(connected).await && self.report_frame(first_frame).await;
        let not_dropped = || match sender.is_up() {
            true => Ok(()),
            false => Err(LinkError::FollowerDropped),
        };
        let ended = tokio::select! {
            ended = sender.write_queue(&mut writer, not_dropped) => ended,
            ended = self.read_follower(&mut frames, &mut reader) => ended,
        };
        self.report(LinkEvent::FollowerDisconnected { connection })
            .await;
        if task_runs {
            ended
        } else {
            Ok(())
        }
    }

    async fn read_follower(
        &self,
        frames: &mut FrameReader,
        reader: &mut OwnedReadHalf,
    ) -> Result<(), LinkError> {
        while let Some(frame) = frames.next(reader).await? {
            let allowed = matches!(
                frame,
                Frame::Follow { .. } | Frame::Call { .. } | Frame::Idle
            );
            if !allowed || !self.report_frame(frame).await {
                return Err(LinkError::FollowerFrameNotAllowed);
            }
        }
        Ok(())
    }

    async fn report_frame(&self, frame: Frame) -> bool {
        let event = LinkEvent::FollowerFrame {
            connection: self.connection,
            frame: Box::new(frame),
        };
        self.report(event).await
    }

    /// Reports an event. Returns false if the member's task has ended.
    async fn report(&self, event: LinkEvent) -> bool {
        self.events.send(event).await.is_ok()
    }
}
