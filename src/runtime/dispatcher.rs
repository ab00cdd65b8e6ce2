//! What all parts of the ingress share: the clock, the settings, the core with its commands, the name table, and
//! who is owed which answer. It owns the way of effects out of the core (answers to their service clients, all
//! else to the [`Network`]) and of news into it. It must never know a wire, a socket or a task, decide about a
//! command, or hold the core while somebody else runs: the parts know the hub, and it knows none of them.

use crate::buffer::body_stream::Ways;
use crate::config::settings::{Config, Platform};
use crate::decision::driver::{CommandId, Facade, InstanceId};
use crate::decision::{HostEntry, HostState, ListKind};
use crate::discovery::registry::NameTable;
use crate::plugin::{Plugin, Wish};
use crate::request::{Answer, Command, Core, Effect, Tally};
use crate::runtime::clock::Clock;
use driftgap_admin::{Ban, Bans, Door, Way};
use driftgap_routes::{Instance, Replaced, Request, Router, Rules, Ticket, TooSoon, Verdict, ALL};
use std::cell::{Cell, OnceCell, RefCell, RefMut};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::{Rc, Weak};
use std::sync::Arc;

/// Without a word from discovery, the last known list serves after this long, ms.
const ALONE_MS: f64 = 300.0;

/// When to come back to an ingress that has been emptied, ms; elsewhere they are served at once.
const AWAY_MS: f64 = 500.0;

/// Who carries out what the core wants done, answers to service clients apart. Called without the core held,
/// so that it may bring news at once.
pub trait Network {
    /// Carries out one effect, in the order given.
    fn carry_out(&self, effect: Effect);
}

/// One end of a front that is owed answers; `ticket` is the front's own mark for one command.
pub trait ServiceClient {
    /// Gives it the one final answer to a command.
    fn answer(&self, ticket: u64, answer: Answer);
}

/// What one client has not read yet, out of what all clients together may leave unread. Guards memory against
/// clients that ask for much and read nothing: a cap for each of many connections is no bound.
pub struct Unsent {
    all: Rc<Cell<usize>>,
    most: usize,
    mine: Cell<usize>,
}

impl Unsent {
    /// Nothing yet; `all` is shared by all clients.
    pub fn new(all: Rc<Cell<usize>>, most: usize) -> Unsent {
        Unsent {
            all,
            most,
            mine: Cell::new(0),
        }
    }

    /// Notes bytes that wait to be sent; false: there are too many, and this client is to be cut off.
    pub fn add(&self, bytes: usize) -> bool {
        self.mine.set(self.mine.get() + bytes);
        self.all.set(self.all.get() + bytes);
        self.all.get() <= self.most
    }

    /// Notes that so many bytes are held now, no more and no less; false: too many are held by all together.
    pub fn hold(&self, bytes: usize) -> bool {
        self.sent(usize::MAX);
        self.add(bytes)
    }

    /// Notes bytes that were sent.
    pub fn sent(&self, bytes: usize) {
        let bytes = bytes.min(self.mine.get());
        self.mine.set(self.mine.get() - bytes);
        self.all.set(self.all.get() - bytes);
    }
}

impl Drop for Unsent {
    fn drop(&mut self) {
        self.sent(usize::MAX);
    }
}

/// Who is owed an answer, its mark for the command, and the command's places under the operator's limits.
type Owed = (Rc<dyn ServiceClient>, u64, Vec<Ticket>);

/// What all tasks share.
pub struct Hub {
    clock: Clock,
    platform: Rc<Platform>,
    core: RefCell<Core>,
    table: RefCell<NameTable>,
    /// Who carries effects out. Set once at the start; weak, since it holds the hub.
    network: OnceCell<Weak<dyn Network>>,
    clients: RefCell<HashMap<CommandId, Owed>>,
    plugin: Option<Plugin>,
    /// The operator's rules.
    router: RefCell<Option<Router>>,
    /// The instances that are ready, as the core was told of them.
    listed: RefCell<BTreeMap<InstanceId, HostEntry>>,
    /// What staff have taken out, and every instance that a list holds, as the list has it; none: nobody can call.
    bans: Option<RefCell<Bans>>,
    told: RefCell<BTreeMap<InstanceId, HostEntry>>,
    /// How far the ingress has been emptied.
    door: RefCell<Door>,
    /// Ids given to commands whose clients name none.
    ids: Cell<u64>,
    unsent: Rc<Cell<usize>>,
    most_unsent: usize,
    coming: Rc<Cell<usize>>,
    ways: Ways,
    pumping: Cell<bool>,
    started: f64,
    answered: Cell<bool>,
}

impl Hub {
    /// The shared state of an ingress with this configuration, within so much of its memory; others may take
    /// instances out for it where it is in a group.
    ///
    /// # Errors
    /// Settings that make no sense.
    pub fn new(
        config: &Config,
        memory_mb: f64,
        plugin: Option<Plugin>,
        clock: Clock,
        in_group: bool,
    ) -> Result<Rc<Hub>, crate::decision::SettingsError> {
        let platform = Rc::new(config.platform.clone());
        let facade = Facade::new(platform.module.clone(), config.seed)?;
        let most_bytes = (memory_mb * 1e6 / 3.0) as usize;
        Ok(Rc::new(Hub {
            started: clock.now(),
            core: Core::new(platform.clone(), facade, most_bytes).into(),
            table: NameTable::new(platform.zones.clone()).into(),
            network: OnceCell::new(),
            clients: RefCell::default(),
            pumping: Cell::new(false),
            // Without discovery, what is known is all there is.
            answered: Cell::new(config.discovery.is_none()),
            plugin,
            router: RefCell::default(),
            listed: RefCell::default(),
            bans: (config.operator.is_some() || in_group).then(RefCell::default),
            told: RefCell::default(),
            door: RefCell::default(),
            ids: Cell::new(0),
            unsent: Rc::default(),
            most_unsent: most_bytes / 2,
            coming: Rc::default(),
            ways: Ways::new(most_bytes / 2),
            platform,
            clock,
        }))
    }

    /// The time.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// The settings.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// The name table.
    pub fn table(&self) -> RefMut<'_, NameTable> {
        self.table.borrow_mut()
    }

    /// Names who carries effects out from now on; the first one named stays.
    pub fn carried_by(&self, network: &Rc<dyn Network>) {
        let _ = self.network.set(Rc::downgrade(network));
    }

    /// The clock.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Discovery has answered: the list is as good as it gets.
    pub fn discovery_answered(&self) {
        self.answered.set(true);
    }

    /// A new client's part of what may come half written from all clients together.
    pub fn coming(&self) -> Unsent {
        // Rings grow by doubling: what they take is up to twice of what they hold.
        Unsent::new(self.coming.clone(), self.most_unsent / 2)
    }

    /// Large values on their way.
    pub fn ways(&self) -> &Ways {
        &self.ways
    }

    /// A new client's part of what clients may leave unread.
    pub fn unsent(&self) -> Unsent {
        Unsent::new(self.unsent.clone(), self.most_unsent)
    }

    /// When [`Core::tick`] must be called at the latest.
    pub fn next_due(&self) -> Option<f64> {
        self.core.borrow_mut().next_due()
    }

    /// Commands so far, and those that are owed an answer.
    pub fn figures(&self) -> (Tally, usize) {
        let core = self.core.borrow();
        (core.tally(), core.owed())
    }

    /// Whether clients are to come: commands can be served, and no call has emptied the ingress.
    pub fn ready(&self) -> bool {
        self.lacks().is_none() && !self.door.borrow().paused()
    }

    /// What keeps a caller from sending clients here; none: nothing.
    pub fn unready(&self) -> Option<&'static str> {
        let door = self.door.borrow();
        match (door.stopped(), door.paused()) {
            (true, _) => Some("stopping"),
            (_, true) => Some("paused"),
            _ => self.lacks(),
        }
    }

    /// What commands cannot be served for; none: they can.
    fn lacks(&self) -> Option<&'static str> {
        let told = self.answered.get() || self.now() - self.started > ALONE_MS;
        match (told, self.core.borrow().instances()) {
            (false, _) => Some("no list yet"),
            (_, 0) => Some("no instance is ready"),
            _ => None,
        }
    }

    /// How far it is being emptied.
    pub fn door(&self) -> RefMut<'_, Door> {
        self.door.borrow_mut()
    }

    /// What becomes of clients now.
    pub fn way(&self) -> Way {
        self.door.borrow().way(self.now())
    }

    /// How many instances staff have taken out.
    pub fn out(&self) -> usize {
        self.bans
            .as_ref()
            .map_or(0, |bans| bans.borrow().out().count())
    }

    /// Whether staff have taken this one out.
    pub fn is_out(&self, name: &str) -> bool {
        self.bans
            .as_ref()
            .is_some_and(|bans| bans.borrow().is_out(name))
    }

    /// Takes an instance out, whatever the lists say, or puts it back.
    pub fn ban(&self, name: &str, out: bool) -> Ban {
        let Some(bans) = &self.bans else {
            return Ban::Unknown;
        };
        let done = if out {
            bans.borrow_mut().suspend(name)
        } else {
            bans.borrow_mut().restore(name)
        };
        if done == Ban::Done {
            self.tell_again(&[name.to_string()]);
        }
        done
    }

    /// Another process of this ingress says which instances are out; the names that have changed.
    pub fn take_over(&self, out: BTreeSet<String>) -> Vec<String> {
        let Some(bans) = &self.bans else {
            return Vec::new();
        };
        let changed = bans.borrow_mut().take_over(out);
        if !changed.is_empty() {
            self.tell_again(&changed);
        }
        changed
    }

    /// Whether a call here has taken this one out.
    pub fn is_out_here(&self, name: &str) -> bool {
        self.bans
            .as_ref()
            .is_some_and(|bans| bans.borrow().is_out_here(name))
    }

    /// Whether any list has named this one.
    pub fn was_listed(&self, name: &str) -> bool {
        self.bans
            .as_ref()
            .is_some_and(|bans| bans.borrow().was_listed(name))
    }

    /// The group of ingresses holds these instances as taken out, from now on.
    pub fn group_holds(&self, out: Arc<BTreeSet<String>>) {
        let Some(bans) = &self.bans else { return };
        let changed = bans.borrow_mut().group_holds(out);
        if !changed.is_empty() {
            tracing::info!(
                changed = changed.join(" "),
                "taken out or put back by the group"
            );
            self.tell_again(&changed);
        }
    }

    /// Tells the core once more of these instances, as far as a list holds them.
    fn tell_again(&self, names: &[String]) {
        let named = |id: InstanceId| {
            self.table
                .borrow()
                .instance(id)
                .is_some_and(|i| names.contains(&i.name))
        };
        let entries: Vec<HostEntry> = self
            .told
            .borrow()
            .values()
            .filter(|e| named(e.host))
            .cloned()
            .collect();
        if !entries.is_empty() {
            self.names(ListKind::Delta, entries);
        }
    }

    /// Keeps what a list says, and marks those that staff have taken out as draining.
    fn hold_back(&self, kind: ListKind, entries: &mut [HostEntry]) {
        let Some(bans) = &self.bans else { return };
        let (table, mut bans, mut told) = (
            self.table.borrow(),
            bans.borrow_mut(),
            self.told.borrow_mut(),
        );
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            told.clear();
        }
        for entry in entries {
            if entry.state == HostState::Gone {
                told.remove(&entry.host);
                continue;
            }
            told.insert(entry.host, entry.clone());
            let Some(instance) = table.instance(entry.host) else {
                continue;
            };
            bans.listed(&instance.name);
            if entry.state == HostState::Ready && bans.is_out(&instance.name) {
                entry.state = HostState::Draining;
            }
        }
    }

    /// Lets the core act, then carries out what it wants done.
    pub fn with_core(&self, act: impl FnOnce(&mut Core, f64)) {
        act(&mut self.core.borrow_mut(), self.clock.now());
        self.pump();
    }

    /// Whether an instance may be sent commands right now: asked again just before a command is written, since
    /// the name table may have changed while its connection came up.
    pub fn takes(&self, instance: InstanceId) -> bool {
        self.core.borrow().takes(instance)
    }

    /// Takes a command; `known` hears its number before any answer can come.
    pub fn arrive(
        &self,
        mut command: Command,
        client: Rc<dyn ServiceClient>,
        ticket: u64,
        places: Vec<Ticket>,
        known: impl FnOnce(CommandId),
    ) {
        let now = self.clock.now();
        if self.door.borrow().way(now) == Way::Empty {
            return self.refuse(AWAY_MS, client, ticket, known);
        }
        let wish = self
            .plugin
            .as_ref()
            .map(|plugin| plugin.decide(now, &self.platform, &command));
        let id = match wish {
            Some(Wish::Nack(after_ms)) => self.core.borrow_mut().refuse(after_ms),
            wish => {
                if let Some(Wish::Pass(notes)) = wish.filter(|w| *w != Wish::Pass(Vec::new())) {
                    tracing::debug!(id = command.id, ?notes, "notes of the plug-in");
                    command.notes.extend(notes);
                }
                self.core.borrow_mut().arrive(now, command)
            }
        };
        self.clients
            .borrow_mut()
            .insert(id, (client, ticket, places));
        known(id);
        self.pump();
    }

    /// Refuses a command on a rule's word, before any decision.
    pub fn refuse(
        &self,
        after_ms: f64,
        client: Rc<dyn ServiceClient>,
        ticket: u64,
        known: impl FnOnce(CommandId),
    ) {
        let id = self.core.borrow_mut().refuse(after_ms);
        self.clients
            .borrow_mut()
            .insert(id, (client, ticket, Vec::new()));
        known(id);
        self.pump();
    }

    /// Whether there are rules: without, what they would see of a request need not be put together.
    pub fn has_rules(&self) -> bool {
        self.router.borrow().is_some()
    }

    /// A request's way through the rules.
    pub fn route(&self, request: &Request<'_>) -> Verdict {
        match &mut *self.router.borrow_mut() {
            Some(router) => router.route(request, self.clock.now()),
            None => Verdict::Go(Box::default()),
        }
    }

    /// An id for a command whose client names none: like no other of this ingress.
    pub fn fresh_id(&self) -> String {
        self.ids.set(self.ids.get() + 1);
        format!("r{:x}-{:x}", self.started as u64, self.ids.get())
    }

    /// The rules in force.
    pub fn rules(&self) -> Option<Rules> {
        self.router
            .borrow()
            .as_ref()
            .map(|router| router.rules().clone())
    }

    /// Puts rules in force; what they replace is to be dropped on another thread. Commands under way end under
    /// those that they began with.
    ///
    /// # Errors
    /// Those still need too many pools; the old rules stay.
    pub fn put_rules(&self, rules: Rules) -> Result<Option<Replaced>, TooSoon> {
        let longest = self
            .platform
            .module
            .classes
            .iter()
            .map(|c| 1e3 * c.deadline)
            .fold(0.0, f64::max);
        let replaced = match &mut *self.router.borrow_mut() {
            Some(router) => Some(router.replace(rules, self.clock.now(), longest)?),
            none => {
                *none = Some(Router::new(rules));
                None
            }
        };
        // Without a new pool, every instance has the pools already that it would be told.
        if replaced.as_ref().is_none_or(Replaced::has_new_pools) {
            let listed = self.listed.borrow().values().cloned().collect();
            self.names(ListKind::Delta, listed);
        }
        Ok(replaced)
    }

    /// Ready instances by pool, and evaluations of rules that failed.
    pub fn pools(&self) -> Option<(String, u64)> {
        let router = self.router.borrow();
        let router = router.as_ref()?;
        let ready: Vec<String> = router
            .figures()
            .map(|(pool, ready)| format!("{pool}={ready}"))
            .collect();
        Some((ready.join(" "), router.faults()))
    }

    /// The name table has news: instances get their pools, and the core hears of it.
    pub fn names(&self, kind: ListKind, mut entries: Vec<HostEntry>) {
        self.hold_back(kind, &mut entries);
        if let Some(router) = &mut *self.router.borrow_mut() {
            let table = self.table.borrow();
            let mut listed = self.listed.borrow_mut();
            for entry in entries
                .iter_mut()
                .filter(|entry| entry.state == HostState::Ready)
            {
                entry.pools = match table.instance(entry.host) {
                    Some(instance) => router.pools_of(&Instance {
                        name: &instance.name,
                        zone: self
                            .platform
                            .zones
                            .get(entry.zone as usize)
                            .map_or("", String::as_str),
                        cell: entry.cell,
                        weight: entry.size,
                        protocol: instance.speaks.name(),
                        ip: instance.addr.ip(),
                        labels: &instance.labels,
                    }),
                    None => ALL,
                };
            }
            list(&mut listed, kind, &entries);
            router.ready(listed.values().map(|entry| entry.pools));
        } else {
            list(&mut self.listed.borrow_mut(), kind, &entries);
        }
        self.with_core(|core, now| core.names(now, kind, entries));
    }

    /// The process ends: everything that is held gets its final answer now.
    pub fn give_up(&self) {
        self.with_core(|core, now| core.give_up(now, AWAY_MS));
    }

    /// A service client is gone.
    pub fn client_gone(&self, id: CommandId) {
        self.clients.borrow_mut().remove(&id);
        self.with_core(|core, now| core.client_gone(now, id));
    }

    fn pump(&self) {
        if self.pumping.replace(true) {
            return;
        }
        loop {
            let effect = self.core.borrow_mut().next_effect();
            match effect {
                Some(Effect::Reply(id, answer)) => {
                    let client = self.clients.borrow_mut().remove(&id);
                    if let Some((client, ticket, _places)) = client {
                        client.answer(ticket, answer);
                    }
                }
                Some(effect) => {
                    // Without a network, as before the start is done, what was asked for has no effect.
                    if let Some(network) = self.network.get().and_then(Weak::upgrade) {
                        network.carry_out(effect);
                    }
                }
                None => break,
            }
        }
        self.pumping.set(false);
    }
}

/// Keeps the ready instances after news of the name table.
fn list(listed: &mut BTreeMap<InstanceId, HostEntry>, kind: ListKind, entries: &[HostEntry]) {
    if matches!(kind, ListKind::Full | ListKind::Cached) {
        listed.clear();
    }
    for entry in entries {
        if entry.state == HostState::Ready {
            listed.insert(entry.host, entry.clone());
        } else {
            listed.remove(&entry.host);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_clients_leave_unread_is_bounded_over_all_of_them() {
        let all = Rc::default();
        let (a, b) = (
            Unsent::new(Rc::clone(&all), 100),
            Unsent::new(Rc::clone(&all), 100),
        );
        assert!(a.add(60) && b.add(40) && !b.add(1));
        a.sent(30);
        assert!(b.add(10) && !b.add(60));
        drop(b);
        assert_eq!(all.get(), 30);
    }
}
