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

/// A connection on which nothing is to be sent carries an idle frame this often: silence means that it is broken.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes that wait for one reader at most. Frames beyond are dropped: the group's messages may be lost on any link.
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
    /// For a connection that is not up yet.
    pub(super) fn down(statistics: Rc<LinkStatistics>) -> Rc<LinkSender> {
        Rc::new(LinkSender {
            queue: RefCell::default(),
            queued: Notify::new(),
            up: Cell::new(false),
            up_since: Cell::new(None),
            statistics,
        })
    }

    /// For a connection that is up.
    pub(super) fn up(statistics: Rc<LinkStatistics>) -> Rc<LinkSender> {
        let sender = LinkSender::down(statistics);
        sender.set_up();
        sender
    }

    /// The connection is up.
    pub(super) fn set_up(&self) {
        self.up.set(true);
        self.up_since.set(Some(Instant::now()));
    }

    pub(super) fn is_up(&self) -> bool {
        self.up.get()
    }

    /// Whether the connection has been up for longer than a sound one takes to be heard.
    pub(super) fn is_established(&self) -> bool {
        let since = self.up_since.get();
        self.is_up() && since.is_some_and(|since| since.elapsed() > PEER_TIMEOUT)
    }

    /// Queues a frame, if the connection is up and its reader keeps up; false: the frame is lost.
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

    /// Closes the connection; what is queued is lost.
    pub(in crate::group) fn close(&self) {
        self.up.set(false);
        *self.queue.borrow_mut() = Vec::new();
        self.queued.notify_one();
    }

    /// Writes what is queued, and idle frames where nothing is, until `may_go_on` gives an error or the write does.
    ///
    /// # Errors
    /// Why it ended.
    pub(super) async fn write_queue(
        &self,
        writer: &mut (impl AsyncWrite + Unpin),
        may_go_on: impl Fn() -> Result<(), LinkError>,
    ) -> Result<(), LinkError> {
        loop {
            may_go_on()?;
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

/// Writes all bytes, as long as the reader takes some of them within each timeout.
///
/// # Errors
/// It took none in time, or the connection has ended.
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
