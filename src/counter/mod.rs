//! Calls to the counter service. It owns a few connections, one call on each as long as there are enough, so
//! that an answer that hangs or is spoilt costs no other call its own. When the service moves, calls already
//! written are answered where they were made and all others go to the new place. It must never repeat a call
//! that may have counted, take a late answer for another call's, use a connection on which an answer made no
//! sense, or hold a call back beyond the wait in the settings.

use crate::buffer::ring_buffer::RingBuffer;
use crate::decision::driver::CounterAdd;
use crate::decision::Outcome;
use crate::protocol::resp::{http_answer, http_answer_at_end, Parsed};
use crate::runtime::dispatcher::Dispatcher;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{ErrorKind, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Most connections: enough for the calls that are usually out together and for some on which an answer hangs.
pub const LANES: usize = 12;
/// A connection whose oldest call has waited this long is given up, ms: until then a late total may come.
const DEAD_MS: f64 = 1500.0;
/// Idle connections are closed after this long, ms, well before the counter does it.
const IDLE_MS: f64 = 5000.0;
/// Most bytes queued in a direction.
const MAX: usize = 256 * 1024;

struct Call {
    add: CounterAdd,
    made: f64,
    /// Its end was told; the answer, if one comes, is dropped.
    notified: bool,
}

/// One connection and its calls.
#[derive(Default)]
struct Lane {
    /// Written, in the order of the answers to come.
    written: VecDeque<Call>,
    /// Not written for want of a connection.
    waiting: VecDeque<Call>,
    stream: Option<Rc<OwnedWriteHalf>>,
    output: Option<RingBuffer>,
    connecting: bool,
    used: f64,
    /// Bytes of an answer that is not whole have come.
    begun: bool,
}

/// The counter at one address.
struct Place {
    addr: SocketAddr,
    lanes: [RefCell<Lane>; LANES],
    wake: [Notify; LANES],
    /// The service has moved: this place gets no further call.
    left: Cell<bool>,
}

/// The calls of this ingress.
pub struct Counter {
    wait_ms: f64,
    place: RefCell<Option<Rc<Place>>>,
    /// Where the service was, as long as calls are under way there.
    left: RefCell<Vec<Rc<Place>>>,
}

impl Place {
    fn new(addr: SocketAddr) -> Rc<Place> {
        let (lanes, wake) = Default::default();
        Rc::new(Place {
            addr,
            lanes,
            wake,
            left: Cell::new(false),
        })
    }

    fn under_way(&self) -> bool {
        self.lanes
            .iter()
            .any(|lane| lane.borrow().written.iter().any(|c| !c.notified))
    }

    /// The connection for the next call: one that is up and free, else a new one, else that with the fewest.
    fn lane(&self) -> usize {
        let order = |lane: &RefCell<Lane>| {
            let lane = lane.borrow();
            let calls = lane.written.len() + lane.waiting.len();
            (calls, calls == 0 && lane.stream.is_none())
        };
        let lanes = self.lanes.iter().enumerate();
        lanes
            .min_by_key(|(_, lane)| order(lane))
            .map_or(0, |(lane_no, _)| lane_no)
    }

    fn call(self: &Rc<Self>, dispatcher: &Rc<Dispatcher>, wait_ms: f64, call: Call) {
        let lane_no = self.lane();
        let mut lane = self.lanes[lane_no].borrow_mut();
        lane.used = dispatcher.now();
        if lane.stream.is_some() {
            if let Err(call) = lane.send(call, self.addr) {
                lane.waiting.push_back(call);
            }
            if lane.output.as_ref().is_some_and(|o| !o.is_empty()) {
                self.wake[lane_no].notify_one();
            }
            return;
        }
        lane.waiting.push_back(call);
        if !lane.connecting {
            lane.connecting = true;
            spawn_local(serve(self.clone(), dispatcher.clone(), wait_ms, lane_no));
        }
    }

    /// Ends the calls made before `late` and closes what is idle or dead.
    fn expire(&self, now: f64, late: f64, ended: &mut Vec<(u64, Outcome)>) {
        for (lane, wake) in self.lanes.iter().zip(&self.wake) {
            let mut lane = lane.borrow_mut();
            // An answer that has begun is one to the oldest call: it was added.
            let mut outcome = if lane.begun {
                Outcome::Error
            } else {
                Outcome::Timeout
            };
            for call in lane.written.iter_mut().take_while(|c| c.made <= late) {
                if !std::mem::replace(&mut call.notified, true) {
                    ended.push((call.add.name, outcome));
                }
                outcome = Outcome::Timeout;
            }
            // Never written, so nothing was added; dropped, so nothing ever will be.
            while lane.waiting.front().is_some_and(|c| c.made <= late) {
                ended.extend(
                    lane.waiting
                        .pop_front()
                        .map(|c| (c.add.name, Outcome::ConnectFailed)),
                );
            }
            let spoilt = lane.begun && lane.written.front().is_some_and(|c| c.notified);
            let dead = spoilt || lane.written.front().is_some_and(|c| now - c.made > DEAD_MS);
            let idle =
                lane.written.is_empty() && lane.waiting.is_empty() && now - lane.used > IDLE_MS;
            if lane.stream.is_some() && (dead || idle) {
                ended.extend(lane.broke());
                wake.notify_one();
            }
        }
    }
}

impl Counter {
    /// A counter at an address, if there is one; calls wait this long for their answers.
    pub fn new(addr: Option<SocketAddr>, wait_ms: f64) -> Counter {
        Counter {
            wait_ms,
            place: RefCell::new(addr.map(Place::new)),
            left: RefCell::default(),
        }
    }

    /// Makes a call; its end is told to the dispatcher.
    pub fn add(&self, dispatcher: &Rc<Dispatcher>, add: CounterAdd) {
        self.call(
            dispatcher,
            Call {
                add,
                made: dispatcher.now(),
                notified: false,
            },
        );
    }

    fn call(&self, dispatcher: &Rc<Dispatcher>, call: Call) {
        let place = self.place.borrow().clone();
        match place {
            Some(place) => place.call(dispatcher, self.wait_ms, call),
            None => tell(dispatcher, vec![(call.add.name, Outcome::ConnectFailed)]),
        }
    }

    /// The service is elsewhere from now on. What was written to the old place may have counted there and is
    /// not written again; what was not goes to the new one at once.
    pub fn move_to(&self, dispatcher: &Rc<Dispatcher>, addr: Option<SocketAddr>) {
        if self.place.borrow().as_ref().map(|p| p.addr) == addr {
            return;
        }
        let Some(old) = self.place.replace(addr.map(Place::new)) else {
            return;
        };
        old.left.set(true);
        let unwritten: Vec<Call> = old
            .lanes
            .iter()
            .flat_map(|lane| std::mem::take(&mut lane.borrow_mut().waiting))
            .collect();
        self.left.borrow_mut().push(old);
        for call in unwritten {
            self.call(dispatcher, call);
        }
    }

    /// When [`Counter::expire`] has something to do.
    pub fn next_due(&self) -> Option<f64> {
        let due = |lane: &RefCell<Lane>| {
            let lane = lane.borrow();
            let written = lane.written.iter().find(|c| !c.notified).map(|c| c.made);
            let waiting = lane.waiting.front().map(|c| c.made);
            written.into_iter().chain(waiting).min_by(f64::total_cmp)
        };
        let (place, left) = (self.place.borrow(), self.left.borrow());
        let lanes = place.iter().chain(left.iter()).flat_map(|p| &p.lanes);
        lanes
            .filter_map(due)
            .min_by(f64::total_cmp)
            .map(|made| made + self.wait_ms)
    }

    /// Ends the calls that have waited long enough and closes what is idle, dead or left behind.
    pub fn expire(&self, dispatcher: &Rc<Dispatcher>, now: f64) {
        let mut ended = Vec::new();
        for place in self.place.borrow().iter().chain(self.left.borrow().iter()) {
            place.expire(now, now - self.wait_ms, &mut ended);
        }
        self.left.borrow_mut().retain(|place| {
            let under_way = place.under_way();
            if !under_way {
                place
                    .lanes
                    .iter()
                    .for_each(|lane| lane.borrow_mut().stream = None);
                place.wake.iter().for_each(Notify::notify_one);
            }
            under_way
        });
        tell(dispatcher, ended);
    }
}

fn tell(dispatcher: &Rc<Dispatcher>, ended: Vec<(u64, Outcome)>) {
    for (name, outcome) in ended {
        dispatcher.with_requests(|core, now| core.counted(now, name, outcome, 0.0));
    }
}

impl Lane {
    /// Writes a call behind those already written, or gives it back, unwritten, where there is no room.
    fn send(&mut self, call: Call, endpoint: SocketAddr) -> Result<(), Call> {
        let (Some(stream), Some(output)) = (&self.stream, &mut self.output) else {
            return Err(call);
        };
        let CounterAdd {
            name,
            amount,
            lives_ms,
        } = call.add;
        let keep = lives_ms.clamp(1.0, 60_000.0) as u64;
        let mut text = Vec::with_capacity(128);
        // Writing to memory does not fail.
        let _ = write!(
            text,
            "POST /tally/{name:016x}?n={amount}&keep_ms={keep} HTTP/1.1\r\nHost: {endpoint}\r\nContent-Length: 0\r\n\r\n"
        );
        let direct = if output.is_empty() {
            stream.try_write(&text).unwrap_or(0)
        } else {
            0
        };
        if output.push(&text[direct..]).is_err() {
            return Err(call);
        }
        self.written.push_back(call);
        Ok(())
    }

    /// The connection is no more: what was written may have been added, and was if an answer to it had begun.
    /// Calls still in the ring were not written whole, but telling which would gain little: they "may have".
    fn broke(&mut self) -> Vec<(u64, Outcome)> {
        (self.stream, self.output) = (None, None);
        let first = if std::mem::take(&mut self.begun) {
            Outcome::Error
        } else {
            Outcome::Reset
        };
        let outcomes = std::iter::once(first).chain(std::iter::repeat(Outcome::Reset));
        let ended = self
            .written
            .drain(..)
            .zip(outcomes)
            .filter(|(c, _)| !c.notified);
        ended.map(|(c, outcome)| (c.add.name, outcome)).collect()
    }
}

/// One connection of a lane, from its connect to its end.
async fn serve(place: Rc<Place>, dispatcher: Rc<Dispatcher>, wait_ms: f64, lane_no: usize) {
    let lane = &place.lanes[lane_no];
    let wait = Duration::from_secs_f64(wait_ms.max(1.0) / 1e3);
    let connected = timeout(wait, TcpStream::connect(place.addr)).await;
    lane.borrow_mut().connecting = false;
    if place.left.get() {
        return;
    }
    let Ok(Ok(stream)) = connected else {
        let failed: Vec<_> = lane
            .borrow_mut()
            .waiting
            .drain(..)
            .map(|c| (c.add.name, Outcome::ConnectFailed))
            .collect();
        return tell(&dispatcher, failed);
    };
    let _ = stream.set_nodelay(true);
    let (mut read, write) = stream.into_split();
    let stream = Rc::new(write);
    {
        let mut lane = lane.borrow_mut();
        (lane.stream, lane.output) = (Some(stream.clone()), Some(RingBuffer::new(MAX)));
        while let Some(call) = lane.waiting.pop_front() {
            if let Err(call) = lane.send(call, place.addr) {
                lane.waiting.push_front(call);
                break;
            }
        }
    }
    let mut input = RingBuffer::new(MAX);
    while exchange(&place, &dispatcher, lane_no, &stream, &mut read, &mut input).await {}
    let mine = lane
        .borrow()
        .stream
        .as_ref()
        .is_some_and(|s| Rc::ptr_eq(s, &stream));
    if mine {
        let ended = lane.borrow_mut().broke();
        tell(&dispatcher, ended);
    }
}

/// Waits for bytes to read or room to write; false: the connection has ended.
#[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
async fn exchange(
    place: &Rc<Place>,
    dispatcher: &Rc<Dispatcher>,
    lane_no: usize,
    stream: &Rc<OwnedWriteHalf>,
    read: &mut OwnedReadHalf,
    input: &mut RingBuffer,
) -> bool {
    let lane = &place.lanes[lane_no];
    let more = lane.borrow().output.as_ref().is_some_and(|o| !o.is_empty());
    let Ok(spare) = input.spare() else {
        return false;
    };
    let (got, ended) = tokio::select! {
        got = read.read(spare) => match got {
            Ok(n) => (n, n == 0),
            Err(_) => return false,
        },
        _ = stream.writable(), if more => (0, false),
        () = place.wake[lane_no].notified() => (0, false),
    };
    input.filled(got);
    {
        let mut lane = lane.borrow_mut();
        if !lane.stream.as_ref().is_some_and(|s| Rc::ptr_eq(s, stream)) {
            return false;
        }
        if let Some(output) = lane.output.as_mut().filter(|o| !o.is_empty()) {
            match stream.try_write(output.front()) {
                Ok(n) => output.consume(n),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
        }
    }
    loop {
        if input.is_empty() {
            return !ended;
        }
        let parsed = if ended {
            http_answer_at_end(input.whole())
        } else {
            http_answer(input.whole())
        };
        let answer = match parsed {
            Ok(Parsed::Complete(answer, n)) => {
                input.consume(n);
                answer
            }
            // Guards against a spoilt connection: nobody waits for this answer.
            Ok(Parsed::More(_)) if lane.borrow().written.is_empty() => return false,
            more => {
                lane.borrow_mut().begun = true;
                return more.is_ok() && !ended;
            }
        };
        let call = {
            let mut lane = lane.borrow_mut();
            lane.begun = false;
            let Some(call) = lane.written.pop_front() else {
                return false;
            };
            call
        };
        let total = std::str::from_utf8(&answer.body)
            .ok()
            .and_then(|t| t.trim().parse::<f64>().ok());
        let (outcome, total) = match (answer.status, total) {
            (200, Some(total)) if total.is_finite() => (Outcome::Ok, total),
            // Added, but the total cannot be read.
            (200, _) => (Outcome::Error, 0.0),
            // Turned away, or no such call.
            (503 | 400 | 404, _) => (Outcome::Rejected, 0.0),
            _ => (Outcome::Timeout, 0.0),
        };
        match call {
            Call {
                notified: true,
                add,
                ..
            } if outcome == Outcome::Ok => {
                dispatcher.with_requests(|core, now| core.counter_answered_late(now, add, total));
            }
            Call { notified: true, .. } => {}
            Call { add, .. } => {
                dispatcher.with_requests(|core, now| core.counted(now, add.name, outcome, total))
            }
        }
        // Guards against a connection on which an answer came spoilt: what follows on it may be the rest of
        // that, and would be taken for the totals of other calls.
        if answer.close || matches!(outcome, Outcome::Error | Outcome::Timeout) {
            return false;
        }
    }
}
