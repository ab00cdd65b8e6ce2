//! The platform's front: RESP2 over TCP. It owns the listening socket, the service clients' connections with
//! one ring a direction, and the order of pipelined answers. It must never answer a command twice or out of
//! turn, read on while too many are unanswered, or decide about a command.

use super::{advice, ServiceClient, Unsent};
use crate::core::{Answer, Command};
use crate::facade::CommandId;
use crate::node::Hub;
use crate::ring::Ring;
use crate::wire::{command_words, platform_command, Parsed, MOST_VALUE};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::rc::{Rc, Weak};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// A command with its longest body and some room.
const MOST_INPUT: usize = MOST_VALUE + 16 * 1024;
/// Answers that a client does not read.
const MOST_OUTPUT: usize = 1024 * 1024;
/// A client that is in the middle of a command or an answer for this long is stuck, ms.
const STALE_MS: f64 = 10_000.0;
/// Unanswered commands on one connection; more are left unread.
const MOST_PIPELINED: usize = 512;

/// One command's place in the order of answers.
enum Slot {
    Open(Option<CommandId>),
    Answered(Vec<u8>),
}

struct Client {
    stream: OwnedWriteHalf,
    hub: Rc<Hub>,
    output: RefCell<Ring>,
    slots: RefCell<VecDeque<Slot>>,
    unsent: Unsent,
    /// Ticket of the first slot.
    first: Cell<u64>,
    wake: Notify,
    broken: Cell<bool>,
    /// Asked to end as soon as nothing is owed.
    leaving: Cell<bool>,
    /// Bytes of a command that is not whole yet.
    partial: Cell<bool>,
    used: Cell<f64>,
}

/// The front.
pub struct RespFront {
    hub: Rc<Hub>,
    clients: RefCell<HashMap<u64, Weak<Client>>>,
    next: Cell<u64>,
    budget: usize,
}

impl RespFront {
    /// A front that holds `budget` connections at most.
    pub fn new(hub: Rc<Hub>, budget: usize) -> Rc<RespFront> {
        Rc::new(RespFront { hub, clients: RefCell::default(), next: Cell::new(0), budget })
    }

    /// Takes in connections until its task is ended.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            // With every place taken by somebody who is owed an answer, others wait in the listener's line.
            while self.connections() >= self.budget && !self.shed() {
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
            match listener.accept().await {
                Ok((stream, _)) => self.open(stream),
                // Out of descriptors, or the client is gone already.
                Err(e) => {
                    log::warn!("accept: {e}");
                    self.shed();
                    tokio::time::sleep(std::time::Duration::from_millis(5)).await;
                }
            }
        }
    }

    fn open(self: &Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let client = Rc::new(Client {
            stream: write,
            hub: self.hub.clone(),
            output: Ring::new(MOST_OUTPUT).into(),
            slots: RefCell::default(),
            unsent: self.hub.unsent(),
            first: Cell::new(0),
            wake: Notify::new(),
            broken: Cell::new(false),
            leaving: Cell::new(false),
            partial: Cell::new(false),
            used: Cell::new(self.hub.now()),
        });
        let number = self.next.get();
        self.next.set(number + 1);
        self.clients.borrow_mut().insert(number, Rc::downgrade(&client));
        let front = self.clone();
        spawn_local(async move {
            serve(&client, read).await;
            let owed: Vec<CommandId> = client.owed();
            for id in owed {
                client.hub.client_gone(id);
            }
            front.clients.borrow_mut().remove(&number);
        });
    }

    /// Closes the connection that has been idle for longest; false: none is idle.
    fn shed(&self) -> bool {
        let clients = self.clients.borrow();
        // Guards against clients that take a place and neither finish a command nor read an answer.
        let old = self.hub.now() - STALE_MS;
        for client in clients.values().filter_map(Weak::upgrade).filter(|c| c.used.get() < old && !c.idle()) {
            if client.slots.borrow().is_empty() {
                client.broken.set(true);
                client.wake.notify_one();
            }
        }
        let idle = clients.values().filter_map(Weak::upgrade).filter(|c| c.idle() && !c.leaving.get());
        if let Some(client) = idle.min_by(|a, b| a.used.get().total_cmp(&b.used.get())) {
            client.leave();
            return true;
        }
        false
    }

    /// Ends every connection as soon as nothing is owed on it.
    pub fn leave(&self) {
        let clients: Vec<_> = self.clients.borrow().values().filter_map(Weak::upgrade).collect();
        clients.iter().for_each(|c| c.leave());
    }

    /// Connections held.
    pub fn connections(&self) -> usize {
        self.clients.borrow().len()
    }
}

impl Client {
    fn idle(&self) -> bool {
        self.slots.borrow().is_empty() && !self.partial.get() && self.output.borrow().is_empty()
    }

    fn leave(&self) {
        self.leaving.set(true);
        self.wake.notify_one();
    }

    fn owed(&self) -> Vec<CommandId> {
        let open = |slot: &Slot| if let Slot::Open(id) = slot { *id } else { None };
        self.slots.borrow().iter().filter_map(open).collect()
    }

    /// Opens a place for an answer; its ticket.
    fn ticket(&self) -> u64 {
        let mut slots = self.slots.borrow_mut();
        slots.push_back(Slot::Open(None));
        self.first.get() + slots.len() as u64 - 1
    }

    /// Fills a place and writes what is due in turn.
    fn fill(&self, ticket: u64, bytes: Vec<u8>) {
        {
            let mut slots = self.slots.borrow_mut();
            let Some(at) = ticket.checked_sub(self.first.get()) else { return };
            let Some(slot) = slots.get_mut(at as usize) else { return };
            if !self.unsent.add(bytes.len()) {
                self.broken.set(true);
            }
            *slot = Slot::Answered(bytes);
            while let Some(Slot::Answered(bytes)) = slots.front() {
                if self.output.borrow_mut().push(bytes).is_err() {
                    self.broken.set(true);
                }
                slots.pop_front();
                self.first.set(self.first.get() + 1);
            }
        }
        self.flush();
        if self.broken.get() || self.leaving.get() || !self.output.borrow().is_empty() {
            self.wake.notify_one();
        }
    }

    fn flush(&self) {
        let mut output = self.output.borrow_mut();
        while !output.is_empty() && !self.broken.get() {
            match self.stream.try_write(output.front()) {
                Ok(n) => {
                    output.consume(n);
                    self.unsent.sent(n);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => self.broken.set(true),
            }
        }
    }
}

impl ServiceClient for Client {
    fn answer(&self, ticket: u64, answer: Answer) {
        self.used.set(self.hub.now());
        self.fill(ticket, wording(&answer));
    }
}

/// An answer in the platform's words.
fn wording(answer: &Answer) -> Vec<u8> {
    match answer {
        Answer::Served(value) => {
            let mut out = Vec::with_capacity(value.len() + 16);
            out.extend_from_slice(format!("${}\r\n", value.len()).as_bytes());
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
            out
        }
        Answer::Nack { after_ms } => match advice(*after_ms) {
            Some(ms) => format!("-BUSY {ms}\r\n").into_bytes(),
            None => b"-BUSY\r\n".to_vec(),
        },
        Answer::Failed { late: true } => b"-ERR failed: no answer in time\r\n".to_vec(),
        Answer::Failed { late: false } => b"-ERR failed\r\n".to_vec(),
    }
}

/// What a client's words ask for.
enum Wanted {
    Words(&'static [u8]),
    Command(Box<Command>),
    Quit,
}

fn wanted(hub: &Hub, words: &[&[u8]]) -> Wanted {
    let verb = words.first().map_or(Vec::new(), |w| w.to_ascii_uppercase());
    match (verb.as_slice(), words.len()) {
        (b"PING", 1) if hub.can_serve() => Wanted::Words(b"+PONG\r\n"),
        (b"PING", 1) => Wanted::Words(b"-ERR not ready\r\n"),
        (b"QUIT", _) => Wanted::Quit,
        (b"SVC.QUERY" | b"SVC.SUBMIT", 4 | 5) => {
            match platform_command(hub.platform(), verb == b"SVC.QUERY", &words[1..]) {
                Ok(command) => Wanted::Command(Box::new(command)),
                Err(problem) => {
                    log::debug!("command: {problem}");
                    Wanted::Words(b"-ERR failed: the command makes no sense\r\n")
                }
            }
        }
        (b"SVC.QUERY" | b"SVC.SUBMIT", _) => Wanted::Words(b"-ERR wrong number of arguments\r\n"),
        _ => Wanted::Words(b"-ERR unknown command\r\n"),
    }
}

/// Carries out the whole commands that have come; false: the connection is to end.
fn take_in(client: &Rc<Client>, input: &mut Ring) -> bool {
    while !input.is_empty() && client.slots.borrow().len() < MOST_PIPELINED {
        let (wanted, n) = match command_words(input.whole()) {
            Ok(Parsed::Whole(words, n)) => (wanted(&client.hub, &words), n),
            Ok(Parsed::More) => break,
            Err(_) => {
                let ticket = client.ticket();
                client.fill(ticket, b"-ERR malformed command\r\n".to_vec());
                return false;
            }
        };
        input.consume(n);
        client.used.set(client.hub.now());
        let ticket = client.ticket();
        match wanted {
            Wanted::Words(words) => client.fill(ticket, words.to_vec()),
            Wanted::Quit => {
                client.fill(ticket, b"+OK\r\n".to_vec());
                return false;
            }
            Wanted::Command(command) => client.hub.arrive(*command, client.clone(), ticket, |id| {
                let at = (ticket - client.first.get()) as usize;
                if let Some(slot) = client.slots.borrow_mut().get_mut(at) {
                    *slot = Slot::Open(Some(id));
                }
            }),
        }
    }
    true
}

/// One connection, from its first byte to its end.
async fn serve(client: &Rc<Client>, mut read: OwnedReadHalf) {
    let mut input = Ring::new(MOST_INPUT);
    let mut going = true;
    loop {
        if going {
            going = take_in(client, &mut input);
            client.partial.set(going && !input.is_empty());
        }
        let (owed, unsent) = (client.slots.borrow().len(), !client.output.borrow().is_empty());
        if client.broken.get()
            || (owed == 0 && !unsent && (!going || client.leaving.get() && input.is_empty()))
        {
            return;
        }
        // What is written behind an end is left unread: a client sends it again elsewhere.
        let reads = going && owed < MOST_PIPELINED && !(client.leaving.get() && input.is_empty());
        let spare: &mut [u8] = match input.spare() {
            Ok(spare) if reads => spare,
            Err(_) if reads => {
                // The ring holds no whole command and has no room for the rest of one.
                going = false;
                client.fill(client.ticket(), b"-ERR command too long\r\n".to_vec());
                continue;
            }
            _ => &mut [],
        };
        tokio::select! {
            // Reading by the half spares the read that would only find nothing more.
            got = read.read(spare), if reads => match got {
                Ok(0) | Err(_) => return,
                Ok(n) => input.filled(n),
            },
            _ = client.stream.writable(), if unsent => client.flush(),
            () = client.wake.notified() => {}
        }
    }
}
