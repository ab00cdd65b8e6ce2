//! The writing end of a connection.

use super::error::LinkError;
use super::statistics::LinkStatistics;
use super::PEER_TIMEOUT;
use driftgap_group::Frame;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

/// Interval between idle frames on a connection with nothing to send, so that its peer can detect a
/// broken connection by a read timeout.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Most bytes that are queued for one connection. Frames beyond that are dropped, which the
/// protocol tolerates.
const MAX_QUEUED_BYTES: usize = 8 << 20;

/// Queues frames for one connection.
pub(in crate::group) struct LinkSender {
    queue: RefCell<Vec<u8>>,
    queued: Notify,
    up: Cell<bool>,
    up_since: Cell<Option<Instant>>,
    statistics: Rc<LinkStatistics>,
}

impl LinkSender {
    /// Creates the sender of a connection that is not up yet.
    pub(super) fn down(statistics: Rc<LinkStatistics>) -> Rc<LinkSender> {
        Rc::new(LinkSender {
            queue: RefCell::default(),
            queued: Notify::new(),
            up: Cell::new(false),
            up_since: Cell::new(None),
            statistics,
        })
    }

    /// Creates the sender of a connection that is up.
    pub(super) fn up(statistics: Rc<LinkStatistics>) -> Rc<LinkSender> {
        let sender = LinkSender::down(statistics);
        sender.set_up();
        sender
    }

    /// Marks the connection as up.
    pub(super) fn set_up(&self) {
        self.up.set(true);
        self.up_since.set(Some(Instant::now()));
    }

    pub(super) fn is_up(&self) -> bool {
        self.up.get()
    }

    /// Whether the connection has been up for long enough that a healthy connection has delivered
    /// frames.
    pub(super) fn is_established(&self) -> bool {
        let since = self.up_since.get();
        self.is_up() && since.is_some_and(|since| since.elapsed() > PEER_TIMEOUT)
    }

    /// Queues a frame. Returns false if the frame is dropped because the connection is down or the
    /// queue is full.
    pub(in crate::group) fn send(&self, frame: &Frame) -> bool {
        let bytes = frame.bytes();
        let mut queue = self.queue.borrow_mut();
        if !self.is_up() || queue.len() + bytes.len() > MAX_QUEUED_BYTES {
            self.statistics.count_dropped_frame();
            return false;
        }
        queue.extend(bytes);
        self.queued.notify_one();
        true
    }

    /// Closes the connection. Queued frames are lost.
    pub(in crate::group) fn close(&self) {
        self.up.set(false);
        *self.queue.borrow_mut() = Vec::new();
        self.queued.notify_one();
    }

    /// Writes queued frames, and idle frames while the queue is empty, until `check_open` or a write
    /// fails.
    ///
    /// # Errors
    /// Returns why the link ended.
    pub(super) async fn write_queue(
        &self,
        writer: &mut (impl AsyncWrite + Unpin),
        check_open: impl Fn() -> Result<(), LinkError>,
    ) -> Result<(), LinkError> {
        loop {
            check_open()?;
            let bytes = std::mem::take(&mut *self.queue.borrow_mut());
            if !bytes.is_empty() {
                self.statistics.count_sent(bytes.len());
                write_all(writer, &bytes).await?;
                continue;
            }
            tokio::select! {
                () = self.queued.notified() => {}
                () = sleep(IDLE_INTERVAL) => self.queue.borrow_mut().extend(Frame::Idle.bytes()),
            }
        }
    }
}

/// Writes all bytes, with a timeout for each partial write.
///
/// # Errors
/// Returns an error if the peer reads nothing in time, or the connection has ended.
pub(super) async fn write_all(
    writer: &mut (impl AsyncWrite + Unpin),
    mut bytes: &[u8],
) -> Result<(), LinkError> {
    while !bytes.is_empty() {
        let written = timeout(PEER_TIMEOUT, writer.write(bytes))
            .await
            .map_err(|_| LinkError::WriteTimeout)??;
        if written == 0 {
            return Err(LinkError::Closed);
        }
        bytes = &bytes[written..];
    }
    Ok(())
}
