//! The links between members: one connection a direction, the one who connects writes. It owns sockets, queues and
//! their bounds. It must never hold more for a member that does not read than its bound, take a frame from somebody
//! who has not said who it is, or let one link's trouble reach another.

use super::follower_task::Line;
use super::link_error::{LinkError, Refusals};
use driftgap_group::{
    read_frame, FormatRange, Frame, Hello, HelloError, Welcome, MAX_FRAME, MAX_HELLO,
};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout, Instant};

/// A peer has so long for its greeting, for the rest of what it has begun, and to read what it is sent.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2500);
/// A frame has so long in all, however it trickles.
const WHOLE: Duration = Duration::from_secs(10);
/// A link that has nothing to say says so this often.
const IDLE: Duration = Duration::from_millis(500);
/// Bytes that wait for one member at most; what comes beyond is dropped, as it may be on any way.
const MAX_QUEUED: usize = 8 << 20;
/// Most links that others have opened here: members, and followers.
const MAX_LINKS: usize = 64 + MAX_FOLLOWERS;
/// Most followers of one member; the next one goes to another.
pub(super) const MAX_FOLLOWERS: usize = 160;
/// Between two tries to connect, at first and at most.
const AGAIN: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(1000));

/// Who this member is, for greetings; it changes when it is let in.
#[derive(Clone, Debug, Default)]
pub(super) struct Own {
    pub(super) name: String,
    pub(super) group: Cell<u64>,
    pub(super) id: Cell<u64>,
    /// The form that the group has, and the newest that this member speaks.
    pub(super) form: Cell<u16>,
    pub(super) newest: u16,
}

/// What links bring.
pub(super) enum Update {
    /// Somebody has opened a link: its name, and the newest form that it speaks.
    Greeted(String, u16),
    /// A frame, from whom by name and incarnation.
    Frame(String, u64, Box<Frame>),
    /// What was sent to this member is lost.
    Broken(String),
    /// A follower has come, by the number of its connection.
    Fan(u64, String, Rc<Outlet>),
    /// A frame of its.
    FanFrame(u64, Box<Frame>),
    /// It is gone.
    FanGone(u64),
}

/// Figures, for the log.
#[derive(Debug, Default)]
pub(super) struct Counts {
    pub(super) refused: Refusals,
    pub(super) dropped: Cell<u64>,
    pub(super) sent_bytes: Cell<u64>,
}

fn add(cell: &Cell<u64>, n: u64) {
    cell.set(cell.get() + n);
}

/// Bytes that wait to be written to one connection.
pub(super) struct Outlet {
    queue: RefCell<Vec<u8>>,
    more: Notify,
    up: Cell<bool>,
    since: Cell<Option<Instant>>,
    counts: Rc<Counts>,
}

impl Outlet {
    fn new(counts: Rc<Counts>, up: bool) -> Rc<Outlet> {
        let (queue, more, since) = (RefCell::default(), Notify::new(), Cell::new(None));
        Rc::new(Outlet {
            queue,
            more,
            up: Cell::new(up),
            since,
            counts,
        })
    }

    /// Sends a frame, if the connection is up and its reader keeps up; false: it is lost.
    pub(super) fn send(&self, frame: &Frame) -> bool {
        let bytes = frame.bytes();
        let mut queue = self.queue.borrow_mut();
        if !self.up.get() || queue.len() + bytes.len() > MAX_QUEUED {
            add(&self.counts.dropped, 1);
            return false;
        }
        queue.extend(bytes);
        self.more.notify_one();
        true
    }

    /// Writes what comes, and says that it is there where nothing does; until `stays` says no, or an error.
    async fn pump(
        &self,
        writer: &mut (impl AsyncWriteExt + Unpin),
        stays: impl Fn() -> Result<(), LinkError>,
    ) -> Result<(), LinkError> {
        loop {
            stays()?;
            let bytes = std::mem::take(&mut *self.queue.borrow_mut());
            if !bytes.is_empty() {
                add(&self.counts.sent_bytes, bytes.len() as u64);
                write(writer, &bytes).await?;
                continue;
            }
            tokio::select! {
                () = self.more.notified() => {}
                () = sleep(IDLE) => self.queue.borrow_mut().extend(Frame::Idle.bytes()),
            }
        }
    }

    /// Ends it; what waits is lost.
    pub(super) fn close(&self) {
        self.up.set(false);
        *self.queue.borrow_mut() = Vec::new();
        self.more.notify_one();
    }
}

/// The way to one member.
pub(super) struct Link {
    outlet: Rc<Outlet>,
    task: AbortHandle,
    pub(super) address: SocketAddr,
}

impl Link {
    /// Sends a frame; false: it is lost.
    pub(super) fn send(&self, frame: &Frame) -> bool {
        self.outlet.send(frame)
    }

    /// Whether it is up.
    pub(super) fn is_up(&self) -> bool {
        self.outlet.up.get()
    }

    /// Keeps a connection to a member.
    pub(super) fn keep(
        who: Rc<Own>,
        to: String,
        address: SocketAddr,
        update: mpsc::Sender<Update>,
        counts: Rc<Counts>,
    ) -> Link {
        let outlet = Outlet::new(counts, false);
        let kept = outlet.clone();
        let task = spawn_local(async move {
            let mut pause = AGAIN.0;
            loop {
                let began = Instant::now();
                if let Err(why) = carry(&kept, &who, &to, address).await {
                    tracing::debug!(to, %address, cause = why.cause(), %why, "link");
                }
                kept.close();
                let _ = update.send(Update::Broken(to.clone())).await;
                // One that held for a while is tried again at once.
                pause = if began.elapsed() > CLIENT_TIMEOUT {
                    AGAIN.0
                } else {
                    (pause * 2).min(AGAIN.1)
                };
                sleep(pause).await;
            }
        });
        Link {
            outlet,
            task: task.abort_handle(),
            address,
        }
    }

    /// Whether it has been up for longer than a sound one takes to be heard.
    pub(super) fn is_old(&self) -> bool {
        self.is_up()
            && self
                .outlet
                .since
                .get()
                .is_some_and(|at| at.elapsed() > CLIENT_TIMEOUT)
    }

    /// Ends it: the member is none any more, or another link takes its place.
    pub(super) fn end(&self) {
        self.task.abort();
    }
}

/// A connection to a member that has welcomed this one.
async fn greeted(
    who: &Own,
    to: &str,
    address: SocketAddr,
) -> Result<(TcpStream, Welcome), LinkError> {
    let connect = timeout(CLIENT_TIMEOUT, TcpStream::connect(address)).await;
    let mut stream = connect.map_err(|_| LinkError::ConnectTimeout)??;
    let _ = stream.set_nodelay(true);
    let group = who.group.get();
    let hello = Hello::new(who.newest, group, who.id.get(), &who.name, to).bytes();
    write(&mut stream, &hello).await?;
    let welcome: Welcome = timeout(CLIENT_TIMEOUT, first(&mut stream))
        .await
        .map_err(|_| LinkError::WelcomeTimeout)?
        .ok_or(LinkError::TurnedAway)?;
    if group != 0 && welcome.group != 0 && welcome.group != group {
        return Err(HelloError::OtherGroup.into());
    }
    if welcome.form < who.form.get() {
        return Err(HelloError::OlderForm.into());
    }
    Ok((stream, welcome))
}

async fn carry(outlet: &Outlet, who: &Own, to: &str, address: SocketAddr) -> Result<(), LinkError> {
    let as_whom = (who.group.get(), who.id.get());
    let (mut stream, _) = greeted(who, to, address).await?;
    outlet.up.set(true);
    outlet.since.set(Some(Instant::now()));
    let (mut reader, mut writer) = stream.split();
    let stays = || match (who.group.get(), who.id.get()) == as_whom {
        true => Ok(()),
        false => Err(LinkError::IncarnationChanged),
    };
    let mut rest = [0; 64];
    tokio::select! {
        ended = outlet.pump(&mut writer, stays) => ended,
        // Nothing comes this way: an end, or noise.
        _ = reader.read(&mut rest) => Err(LinkError::Closed),
    }
}

/// A follower's one connection to a member, both ways.
pub(super) async fn connect(
    who: Rc<Own>,
    to: String,
    address: SocketAddr,
    lines: mpsc::Sender<Line>,
    counts: Rc<Counts>,
) {
    let carried = async {
        let (stream, welcome) = greeted(&who, &to, address).await?;
        let (mut reader, mut writer) = stream.into_split();
        let outlet = Outlet::new(counts, true);
        let _ = lines.send(Line::Up(outlet.clone(), welcome.group)).await;
        let mut frames = Frames::default();
        let read = async {
            while let Some(frame) = frames.next(&mut reader).await? {
                if lines.send(Line::Frame(Box::new(frame))).await.is_err() {
                    break;
                }
            }
            Err::<(), LinkError>(LinkError::Closed)
        };
        tokio::select! {
            ended = outlet.pump(&mut writer, || Ok(())) => ended,
            ended = read => ended,
        }
    };
    if let Err(why) = carried.await {
        tracing::debug!(to, %address, cause = why.cause(), %why, "follower's link");
    }
    let _ = lines.send(Line::Down).await;
}

/// Writes all of it, as long as the reader takes something every while.
async fn write(
    stream: &mut (impl AsyncWriteExt + Unpin),
    mut bytes: &[u8],
) -> Result<(), LinkError> {
    while !bytes.is_empty() {
        match timeout(CLIENT_TIMEOUT, stream.write(bytes)).await {
            Ok(Ok(n)) if n > 0 => bytes = &bytes[n..],
            Ok(Ok(_)) => return Err(LinkError::Closed),
            Ok(Err(e)) => return Err(e.into()),
            Err(_) => return Err(LinkError::WriteTimeout),
        }
    }
    Ok(())
}

/// The first frame of a connection, and nothing behind it; none: there is none.
async fn first<T: serde::de::DeserializeOwned>(stream: &mut TcpStream) -> Option<T> {
    let mut bytes = Vec::with_capacity(64);
    loop {
        match read_frame(&bytes, MAX_HELLO) {
            Ok(Some((value, used))) if used == bytes.len() => return Some(value),
            Ok(None) => {}
            _ => return None,
        }
        // Byte by byte as far as the length is not known: what comes behind is the link's.
        let need = match bytes.first_chunk::<4>() {
            Some(length) if bytes.len() >= 8 => {
                8 + u32::from_le_bytes(*length) as usize - bytes.len()
            }
            _ => 8 - bytes.len(),
        };
        if (&mut *stream)
            .take(need as u64)
            .read_buf(&mut bytes)
            .await
            .ok()?
            == 0
        {
            return None;
        }
    }
}

/// Takes in links that other members open.
pub(super) async fn listen(
    listener: TcpListener,
    who: Rc<Own>,
    update: mpsc::Sender<Update>,
    counts: Rc<Counts>,
) {
    let open = Rc::new(Cell::new(0));
    let mut number = 0;
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                tracing::warn!(error = %e, "accept, links");
                sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        if open.get() >= MAX_LINKS {
            counts.refused.add(&LinkError::TooManyLinks);
            continue;
        }
        open.set(open.get() + 1);
        let (who, update, counts, open) =
            (who.clone(), update.clone(), counts.clone(), open.clone());
        number += 1;
        spawn_local(async move {
            if let Err(why) = hear(stream, &who, number, &update, &counts).await {
                counts.refused.add(&why);
                tracing::debug!(%from, cause = why.cause(), %why, "link refused");
            }
            open.set(open.get() - 1);
        });
    }
}

/// Frames as they come in, within their bounds of size and time.
#[derive(Default)]
struct Frames {
    bytes: Vec<u8>,
    begun: Option<Instant>,
}

impl Frames {
    /// The next one; none: the connection has ended where it may.
    async fn next(
        &mut self,
        stream: &mut (impl AsyncReadExt + Unpin),
    ) -> Result<Option<Frame>, LinkError> {
        loop {
            if let Some((frame, used)) = read_frame(&self.bytes, MAX_FRAME)? {
                self.bytes.drain(..used);
                self.begun = None;
                // Memory for a large frame is not kept.
                if self.bytes.is_empty() && self.bytes.capacity() > 64 << 10 {
                    self.bytes = Vec::new();
                }
                return Ok(Some(frame));
            }
            if !self.bytes.is_empty()
                && self.begun.get_or_insert_with(Instant::now).elapsed() > WHOLE
            {
                return Err(LinkError::FrameTimeout);
            }
            match timeout(CLIENT_TIMEOUT, stream.read_buf(&mut self.bytes)).await {
                Ok(Ok(0)) if self.bytes.is_empty() => return Ok(None),
                Ok(Ok(0)) => return Err(LinkError::TornFrame),
                Ok(Ok(_)) => {}
                // Cut off: its sender comes again.
                Ok(Err(_)) => return Ok(None),
                Err(_) => return Err(LinkError::ReadTimeout),
            }
        }
    }
}

/// Reads one link until it ends; an error is a link that has done what none may.
async fn hear(
    mut stream: TcpStream,
    who: &Own,
    number: u64,
    update: &mpsc::Sender<Update>,
    counts: &Rc<Counts>,
) -> Result<(), LinkError> {
    let _ = stream.set_nodelay(true);
    let hello = timeout(CLIENT_TIMEOUT, first::<Hello>(&mut stream)).await;
    let hello = hello
        .map_err(|_| LinkError::GreetingTimeout)?
        .ok_or(LinkError::NoGreeting)?;
    let form = hello.judge(
        FormatRange {
            oldest: who.form.get(),
            newest: who.newest,
        },
        who.group.get(),
        &who.name,
    )?;
    let _ = update
        .send(Update::Greeted(hello.name.clone(), hello.formats.newest))
        .await;
    let welcome = Welcome {
        form,
        group: who.group.get(),
        id: who.id.get(),
    };
    write(&mut stream, &welcome.bytes()).await?;
    let (mut reader, writer) = stream.into_split();
    let mut frames = Frames::default();
    let mut writer = Some(writer);
    while let Some(frame) = frames.next(&mut reader).await? {
        if !frame.is_allowed_from(hello.id) {
            return Err(LinkError::FrameNotAllowed);
        }
        let follows = matches!(frame, Frame::Follow { .. });
        if let Some(mut writer) = writer.take_if(|_| follows) {
            // From here on this connection is a follower's, both ways.
            let outlet = Outlet::new(counts.clone(), true);
            let fan = Update::Fan(number, hello.name.clone(), outlet.clone());
            let begun = update.send(fan).await.is_ok()
                && update
                    .send(Update::FanFrame(number, Box::new(frame)))
                    .await
                    .is_ok();
            let read = async {
                while let Some(frame) = frames.next(&mut reader).await? {
                    let known = matches!(
                        frame,
                        Frame::Follow { .. } | Frame::Ask { .. } | Frame::Idle
                    );
                    if !known
                        || update
                            .send(Update::FanFrame(number, Box::new(frame)))
                            .await
                            .is_err()
                    {
                        return Err(LinkError::FollowerFrameNotAllowed);
                    }
                }
                Ok(())
            };
            let stays = || {
                if outlet.up.get() {
                    Ok(())
                } else {
                    Err(LinkError::FollowerDropped)
                }
            };
            let ended = tokio::select! {
                ended = outlet.pump(&mut writer, stays) => ended,
                ended = read => ended,
            };
            let _ = update.send(Update::FanGone(number)).await;
            return if begun { ended } else { Ok(()) };
        }
        if update
            .send(Update::Frame(hello.name.clone(), hello.id, Box::new(frame)))
            .await
            .is_err()
        {
            return Ok(());
        }
    }
    Ok(())
}
