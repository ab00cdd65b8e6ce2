//! The links between members: one connection a direction, the one who connects writes. It owns sockets, queues and
//! their bounds. It must never hold more for a member that does not read than its bound, take a frame from somebody
//! who has not said who it is, or let one link's trouble reach another.

use driftgap_group::{read_frame, Frame, Hello, Welcome, MOST_FRAME, MOST_HELLO};
use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout, Instant};

/// A peer has so long for its greeting, for the rest of what it has begun, and to read what it is sent.
const PATIENCE: Duration = Duration::from_millis(2500);
/// A frame has so long in all, however it trickles.
const WHOLE: Duration = Duration::from_secs(10);
/// A link that has nothing to say says so this often.
const IDLE: Duration = Duration::from_millis(500);
/// Bytes that wait for one member at most; what comes beyond is dropped, as it may be on any way.
const MOST_QUEUED: usize = 8 << 20;
/// Most links that others have opened here.
const MOST_LINKS: usize = 64;
/// Between two tries to connect, at first and at most.
const AGAIN: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(1000));

/// Who this member is, for greetings; it changes when it is let in.
#[derive(Clone, Debug, Default)]
pub(super) struct Own {
    pub(super) name: String,
    pub(super) group: Cell<u64>,
    pub(super) id: Cell<u64>,
}

/// What links bring.
pub(super) enum News {
    /// A frame, from whom by name and incarnation.
    Frame(String, u64, Box<Frame>),
    /// What was sent to this member is lost.
    Broken(String),
}

/// Figures, for the log.
#[derive(Debug, Default)]
pub(super) struct Counts {
    pub(super) refused: Cell<u64>,
    pub(super) dropped: Cell<u64>,
    pub(super) sent_bytes: Cell<u64>,
}

fn add(cell: &Cell<u64>, n: u64) {
    cell.set(cell.get() + n);
}

/// The way to one member.
pub(super) struct Link {
    task: OnceCell<AbortHandle>,
    queue: RefCell<Vec<u8>>,
    more: Notify,
    up: Cell<bool>,
    counts: Rc<Counts>,
}

impl Link {
    /// Sends a frame, if the link is up and its reader keeps up; false: it is lost.
    pub(super) fn send(&self, frame: &Frame) -> bool {
        let bytes = frame.bytes();
        let mut queue = self.queue.borrow_mut();
        if !self.up.get() || queue.len() + bytes.len() > MOST_QUEUED {
            add(&self.counts.dropped, 1);
            return false;
        }
        queue.extend(bytes);
        self.more.notify_one();
        true
    }

    /// Whether it is up.
    pub(super) fn is_up(&self) -> bool {
        self.up.get()
    }

    /// Keeps a connection to a member.
    pub(super) fn keep(
        who: Rc<Own>,
        to: String,
        address: SocketAddr,
        news: mpsc::Sender<News>,
        counts: Rc<Counts>,
    ) -> Rc<Link> {
        let link = Rc::new(Link {
            task: OnceCell::new(),
            queue: RefCell::default(),
            more: Notify::new(),
            up: Cell::new(false),
            counts,
        });
        let kept = link.clone();
        let task = spawn_local(async move {
            let mut pause = AGAIN.0;
            loop {
                let began = Instant::now();
                if let Err(why) = kept.carry(&who, &to, address).await {
                    tracing::debug!(to, %address, why, "link");
                }
                kept.up.set(false);
                *kept.queue.borrow_mut() = Vec::new();
                let _ = news.send(News::Broken(to.clone())).await;
                // One that held for a while is tried again at once.
                pause = if began.elapsed() > PATIENCE { AGAIN.0 } else { (pause * 2).min(AGAIN.1) };
                sleep(pause).await;
            }
        });
        let _ = link.task.set(task.abort_handle());
        link
    }

    /// Ends it: the member is none any more.
    pub(super) fn end(&self) {
        if let Some(task) = self.task.get() {
            task.abort();
        }
    }

    async fn carry(&self, who: &Own, to: &str, address: SocketAddr) -> Result<(), String> {
        let connect = timeout(PATIENCE, TcpStream::connect(address)).await;
        let mut stream = connect.map_err(|_| "no connection in time")?.map_err(|e| e.to_string())?;
        let _ = stream.set_nodelay(true);
        let (group, id) = (who.group.get(), who.id.get());
        let hello = Hello::new(group, id, &who.name, to).bytes();
        write(&mut stream, &hello).await?;
        let welcome: Welcome = timeout(PATIENCE, first(&mut stream))
            .await
            .map_err(|_| "no welcome in time")?
            .ok_or("turned away")?;
        if group != 0 && welcome.group != 0 && welcome.group != group {
            return Err("of another group".into());
        }
        self.up.set(true);
        let (mut reader, mut writer) = stream.split();
        let mut rest = [0; 64];
        loop {
            if (who.group.get(), who.id.get()) != (group, id) {
                return Err("let in meanwhile: greets anew".into());
            }
            let bytes = std::mem::take(&mut *self.queue.borrow_mut());
            if !bytes.is_empty() {
                add(&self.counts.sent_bytes, bytes.len() as u64);
                write(&mut writer, &bytes).await?;
                continue;
            }
            tokio::select! {
                () = self.more.notified() => {}
                () = sleep(IDLE) => self.queue.borrow_mut().extend(Frame::Idle.bytes()),
                // Nothing comes this way: an end, or noise.
                _ = reader.read(&mut rest) => return Err("ended by the other side".into()),
            }
        }
    }
}

/// Writes all of it, as long as the reader takes something every while.
async fn write(stream: &mut (impl AsyncWriteExt + Unpin), mut bytes: &[u8]) -> Result<(), String> {
    while !bytes.is_empty() {
        match timeout(PATIENCE, stream.write(bytes)).await {
            Ok(Ok(n)) if n > 0 => bytes = &bytes[n..],
            Ok(Ok(_)) => return Err("ended".into()),
            Ok(Err(e)) => return Err(e.to_string()),
            Err(_) => return Err("it reads nothing".into()),
        }
    }
    Ok(())
}

/// The first frame of a connection, and nothing behind it; none: there is none.
async fn first<T: serde::de::DeserializeOwned>(stream: &mut TcpStream) -> Option<T> {
    let mut bytes = Vec::with_capacity(64);
    loop {
        match read_frame(&bytes, MOST_HELLO) {
            Ok(Some((value, used))) if used == bytes.len() => return Some(value),
            Ok(None) => {}
            _ => return None,
        }
        // Byte by byte as far as the length is not known: what comes behind is the link's.
        let need = match bytes.first_chunk::<4>() {
            Some(length) if bytes.len() >= 8 => 8 + u32::from_le_bytes(*length) as usize - bytes.len(),
            _ => 8 - bytes.len(),
        };
        if (&mut *stream).take(need as u64).read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

/// Takes in links that other members open.
pub(super) async fn listen(
    listener: TcpListener,
    who: Rc<Own>,
    news: mpsc::Sender<News>,
    counts: Rc<Counts>,
) {
    let open = Rc::new(Cell::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::warn!(error = %e, "accept, links");
                sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        if open.get() >= MOST_LINKS {
            add(&counts.refused, 1);
            continue;
        }
        open.set(open.get() + 1);
        let (who, news, counts, open) = (who.clone(), news.clone(), counts.clone(), open.clone());
        spawn_local(async move {
            if let Err(why) = hear(stream, &who, &news).await {
                add(&counts.refused, 1);
                tracing::debug!(why, "link refused");
            }
            open.set(open.get() - 1);
        });
    }
}

/// Reads one link until it ends; an error is a link that has done what none may.
async fn hear(mut stream: TcpStream, who: &Own, news: &mpsc::Sender<News>) -> Result<(), String> {
    let _ = stream.set_nodelay(true);
    let hello = timeout(PATIENCE, first::<Hello>(&mut stream)).await;
    let hello = hello.map_err(|_| "no greeting in time")?.ok_or("no greeting")?;
    let version = hello.judge(who.group.get(), &who.name)?;
    let welcome = Welcome { version, group: who.group.get(), id: who.id.get() };
    write(&mut stream, &welcome.bytes()).await?;
    let mut bytes = Vec::new();
    let mut begun: Option<Instant> = None;
    loop {
        let mut used = 0;
        while let Some((frame, n)) =
            read_frame::<Frame>(&bytes[used..], MOST_FRAME).map_err(|e| e.to_string())?
        {
            used += n;
            let names = match &frame {
                Frame::Raft(m) => hello.id != 0 && m.from == hello.id,
                Frame::Admitted { .. } | Frame::Hears { .. } => hello.id != 0,
                Frame::Round(_) | Frame::Passed(_) => hello.id != 0,
                Frame::Join { .. } | Frame::Idle => true,
            };
            if !names {
                return Err("speaks in another's name".into());
            }
            let frame = News::Frame(hello.name.clone(), hello.id, Box::new(frame));
            if news.send(frame).await.is_err() {
                return Ok(());
            }
        }
        if used > 0 {
            bytes.drain(..used);
            begun = None;
        }
        if bytes.is_empty() {
            // Memory for a large frame is not kept.
            if bytes.capacity() > 64 << 10 {
                bytes = Vec::new();
            }
        } else if begun.get_or_insert_with(Instant::now).elapsed() > WHOLE {
            return Err("a frame that does not end".into());
        }
        match timeout(PATIENCE, stream.read_buf(&mut bytes)).await {
            Ok(Ok(0)) if bytes.is_empty() => return Ok(()),
            Ok(Ok(0)) => return Err("torn within a frame".into()),
            Ok(Ok(_)) => {}
            // Cut off: its sender comes again.
            Ok(Err(_)) => return Ok(()),
            Err(_) => return Err("silent".into()),
        }
    }
}
