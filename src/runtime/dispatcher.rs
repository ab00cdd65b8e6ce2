//! What all parts of the ingress share: the clock, the settings, the core with its requests, the endpoint registry, and
//! who is owed which answer. It owns the way of effects out of the core (answers to their clients, all
//! else to the [`ActionExecutor`]) and of news into it. It must never know a wire, a socket or a task, decide about a
//! request, or hold the core while somebody else runs: the parts know the dispatcher, and it knows none of them.

use crate::buffer::body_stream::BodyStreams;
use crate::config::settings::{Config, Platform};
use crate::decision::driver::{DecisionDriver, EndpointId, RequestId};
use crate::decision::{EndpointEntry, EndpointState, ListKind};
use crate::discovery::registry::EndpointRegistry;
use crate::plugin::{Plugin, PluginVerdict};
use crate::request::{Action, ClientRequest, FinalAnswer, RequestCounts, RequestTable};
use crate::runtime::clock::Clock;
use driftgap_admin::{DrainControl, DrainState, ExcludedEndpoints, ExclusionOutcome};
use driftgap_routes::{Endpoint, Replaced, Request, Router, Rules, Ticket, TooSoon, Verdict, ALL};
use std::cell::{Cell, OnceCell, RefCell, RefMut};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::{Rc, Weak};
use std::sync::Arc;

/// Without a word from discovery, the last known list serves after this long, ms.
const ALONE_MS: f64 = 300.0;

/// When to come back to an ingress that has been emptied, ms; elsewhere they are served at once.
const AWAY_MS: f64 = 500.0;

/// Who carries out what the core wants done, answers to clients apart. Called without the core held,
/// so that it may bring news at once.
pub trait ActionExecutor {
    /// Carries out one effect, in the order given.
    fn carry_out(&self, effect: Action);
}

/// One end of a front that is owed answers; `ticket` is the front's own mark for one request.
pub trait ResponseSink {
    /// Gives it the one final answer to a request.
    fn answer(&self, ticket: u64, answer: FinalAnswer);
}

/// What one client has not read yet, out of what all clients together may leave unread. Guards memory against
/// clients that ask for much and read nothing: a cap for each of many connections is no bound.
pub struct UnsentBudget {
    all: Rc<Cell<usize>>,
    max: usize,
    mine: Cell<usize>,
}

impl UnsentBudget {
    /// Nothing yet; `all` is shared by all clients.
    pub fn new(all: Rc<Cell<usize>>, max: usize) -> UnsentBudget {
        UnsentBudget {
            all,
            max,
            mine: Cell::new(0),
        }
    }

    /// Notes bytes that wait to be sent; false: there are too many, and this client is to be cut off.
    pub fn add(&self, bytes: usize) -> bool {
        self.mine.set(self.mine.get() + bytes);
        self.all.set(self.all.get() + bytes);
        self.all.get() <= self.max
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

impl Drop for UnsentBudget {
    fn drop(&mut self) {
        self.sent(usize::MAX);
    }
}

/// Who is owed an answer, its mark for the request, and the request's places under the operator's limits.
type Owed = (Rc<dyn ResponseSink>, u64, Vec<Ticket>);

/// What all tasks share.
pub struct Dispatcher {
    clock: Clock,
    platform: Rc<Platform>,
    core: RefCell<RequestTable>,
    table: RefCell<EndpointRegistry>,
    /// Who carries effects out. Set once at the start; weak, since it holds the dispatcher.
    network: OnceCell<Weak<dyn ActionExecutor>>,
    clients: RefCell<HashMap<RequestId, Owed>>,
    plugin: Option<Plugin>,
    /// The operator's rules.
    router: RefCell<Option<Router>>,
    /// The endpoints that are ready, as the core was told of them.
    listed: RefCell<BTreeMap<EndpointId, EndpointEntry>>,
    /// What staff have taken out, and every endpoint that a list holds, as the list has it; none: nobody can call.
    excluded: Option<RefCell<ExcludedEndpoints>>,
    notified: RefCell<BTreeMap<EndpointId, EndpointEntry>>,
    /// How far the ingress has been emptied.
    drain: RefCell<DrainControl>,
    /// Ids given to requests whose clients name none.
    ids: Cell<u64>,
    unsent: Rc<Cell<usize>>,
    max_unsent: usize,
    incoming: Rc<Cell<usize>>,
    ways: BodyStreams,
    pumping: Cell<bool>,
    started: f64,
    answered: Cell<bool>,
}

impl Dispatcher {
    /// The shared state of an ingress with this configuration, within so much of its memory; others may take
    /// endpoints out for it where it is in a group.
    ///
    /// # Errors
    /// Settings that make no sense.
    pub fn new(
        config: &Config,
        memory_mb: f64,
        plugin: Option<Plugin>,
        clock: Clock,
        in_group: bool,
    ) -> Result<Rc<Dispatcher>, crate::decision::SettingsError> {
        let platform = Rc::new(config.platform.clone());
        let driver = DecisionDriver::new(platform.decision.clone(), config.seed)?;
        let max_bytes = (memory_mb * 1e6 / 3.0) as usize;
        Ok(Rc::new(Dispatcher {
            started: clock.now(),
            core: RequestTable::new(platform.clone(), driver, max_bytes).into(),
            table: EndpointRegistry::new(platform.zones.clone()).into(),
            network: OnceCell::new(),
            clients: RefCell::default(),
            pumping: Cell::new(false),
            // Without discovery, what is known is all there is.
            answered: Cell::new(config.discovery.is_none()),
            plugin,
            router: RefCell::default(),
            listed: RefCell::default(),
            excluded: (config.operator.is_some() || in_group).then(RefCell::default),
            notified: RefCell::default(),
            drain: RefCell::default(),
            ids: Cell::new(0),
            unsent: Rc::default(),
            max_unsent: max_bytes / 2,
            incoming: Rc::default(),
            ways: BodyStreams::new(max_bytes / 2),
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

    /// The endpoint registry.
    pub fn table(&self) -> RefMut<'_, EndpointRegistry> {
        self.table.borrow_mut()
    }

    /// Names who carries effects out from now on; the first one named stays.
    pub fn set_executor(&self, network: &Rc<dyn ActionExecutor>) {
        let _ = self.network.set(Rc::downgrade(network));
    }

    /// The clock.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Discovery has answered: the list is as good as it gets.
    pub fn mark_discovery_answered(&self) {
        self.answered.set(true);
    }

    /// A new client's part of what may come half written from all clients together.
    pub fn incoming_budget(&self) -> UnsentBudget {
        // Rings grow by doubling: what they take is up to twice of what they hold.
        UnsentBudget::new(self.incoming.clone(), self.max_unsent / 2)
    }

    /// Large values on their way.
    pub fn body_streams(&self) -> &BodyStreams {
        &self.ways
    }

    /// A new client's part of what clients may leave unread.
    pub fn unsent_budget(&self) -> UnsentBudget {
        UnsentBudget::new(self.unsent.clone(), self.max_unsent)
    }

    /// When [`RequestTable::tick`] must be called at the latest.
    pub fn next_due(&self) -> Option<f64> {
        self.core.borrow_mut().next_due()
    }

    /// Requests so far, and those that are owed an answer.
    pub fn statistics(&self) -> (RequestCounts, usize) {
        let core = self.core.borrow();
        (core.counts(), core.unanswered())
    }

    /// Whether clients are to come: requests can be served, and no call has emptied the ingress.
    pub fn ready(&self) -> bool {
        self.lacks().is_none() && !self.drain.borrow().paused()
    }

    /// What keeps a caller from sending clients here; none: nothing.
    pub fn unready(&self) -> Option<&'static str> {
        let drain = self.drain.borrow();
        match (drain.stopped(), drain.paused()) {
            (true, _) => Some("stopping"),
            (_, true) => Some("paused"),
            _ => self.lacks(),
        }
    }

    /// What requests cannot be served for; none: they can.
    fn lacks(&self) -> Option<&'static str> {
        let notified = self.answered.get() || self.now() - self.started > ALONE_MS;
        match (notified, self.core.borrow().endpoints()) {
            (false, _) => Some("no list yet"),
            (_, 0) => Some("no instance is ready"),
            _ => None,
        }
    }

    /// How far it is being emptied.
    pub fn drain(&self) -> RefMut<'_, DrainControl> {
        self.drain.borrow_mut()
    }

    /// What becomes of clients now.
    pub fn drain_state(&self) -> DrainState {
        self.drain.borrow().state(self.now())
    }

    /// How many endpoints staff have taken out.
    pub fn out(&self) -> usize {
        self.excluded
            .as_ref()
            .map_or(0, |excluded| excluded.borrow().out().count())
    }

    /// Whether staff have taken this one out.
    pub fn is_out(&self, name: &str) -> bool {
        self.excluded
            .as_ref()
            .is_some_and(|excluded| excluded.borrow().is_out(name))
    }

    /// Takes an endpoint out, whatever the lists say, or puts it back.
    pub fn set_excluded(&self, name: &str, out: bool) -> ExclusionOutcome {
        let Some(excluded) = &self.excluded else {
            return ExclusionOutcome::Unknown;
        };
        let done = if out {
            excluded.borrow_mut().suspend(name)
        } else {
            excluded.borrow_mut().restore(name)
        };
        if done == ExclusionOutcome::Done {
            self.notify_again(&[name.to_string()]);
        }
        done
    }

    /// Another process of this ingress says which endpoints are out; the names that have changed.
    pub fn take_over(&self, out: BTreeSet<String>) -> Vec<String> {
        let Some(excluded) = &self.excluded else {
            return Vec::new();
        };
        let changed = excluded.borrow_mut().take_over(out);
        if !changed.is_empty() {
            self.notify_again(&changed);
        }
        changed
    }

    /// Whether a call here has taken this one out.
    pub fn is_excluded_here(&self, name: &str) -> bool {
        self.excluded
            .as_ref()
            .is_some_and(|excluded| excluded.borrow().is_excluded_here(name))
    }

    /// Whether any list has named this one.
    pub fn was_listed(&self, name: &str) -> bool {
        self.excluded
            .as_ref()
            .is_some_and(|excluded| excluded.borrow().was_listed(name))
    }

    /// The group of ingresses holds these endpoints as taken out, from now on.
    pub fn set_group_exclusions(&self, out: Arc<BTreeSet<String>>) {
        let Some(excluded) = &self.excluded else {
            return;
        };
        let changed = excluded.borrow_mut().set_group_exclusions(out);
        if !changed.is_empty() {
            tracing::info!(
                changed = changed.join(" "),
                "taken out or put back by the group"
            );
            self.notify_again(&changed);
        }
    }

    /// Tells the core once more of these endpoints, as far as a list holds them.
    fn notify_again(&self, names: &[String]) {
        let named = |id: EndpointId| {
            self.table
                .borrow()
                .endpoint(id)
                .is_some_and(|i| names.contains(&i.name))
        };
        let entries: Vec<EndpointEntry> = self
            .notified
            .borrow()
            .values()
            .filter(|e| named(e.id))
            .cloned()
            .collect();
        if !entries.is_empty() {
            self.update_endpoints(ListKind::Delta, entries);
        }
    }

    /// Keeps what a list says, and marks those that staff have taken out as draining.
    fn apply_exclusions(&self, kind: ListKind, entries: &mut [EndpointEntry]) {
        let Some(excluded) = &self.excluded else {
            return;
        };
        let (table, mut excluded, mut notified) = (
            self.table.borrow(),
            excluded.borrow_mut(),
            self.notified.borrow_mut(),
        );
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            notified.clear();
        }
        for entry in entries {
            if entry.state == EndpointState::Gone {
                notified.remove(&entry.id);
                continue;
            }
            notified.insert(entry.id, entry.clone());
            let Some(endpoint) = table.endpoint(entry.id) else {
                continue;
            };
            excluded.listed(&endpoint.name);
            if entry.state == EndpointState::Ready && excluded.is_out(&endpoint.name) {
                entry.state = EndpointState::Draining;
            }
        }
    }

    /// Lets the core act, then carries out what it wants done.
    pub fn with_requests(&self, act: impl FnOnce(&mut RequestTable, f64)) {
        act(&mut self.core.borrow_mut(), self.clock.now());
        self.pump();
    }

    /// Whether an endpoint may be sent requests right now: asked again just before a request is written, since
    /// the endpoint registry may have changed while its connection came up.
    pub fn accepts_requests(&self, endpoint: EndpointId) -> bool {
        self.core.borrow().accepts_requests(endpoint)
    }

    /// Takes a request; `known` hears its number before any answer can come.
    pub fn arrive(
        &self,
        mut request: ClientRequest,
        client: Rc<dyn ResponseSink>,
        ticket: u64,
        places: Vec<Ticket>,
        known: impl FnOnce(RequestId),
    ) {
        let now = self.clock.now();
        if self.drain.borrow().state(now) == DrainState::Drained {
            return self.refuse(AWAY_MS, client, ticket, known);
        }
        let wish = self
            .plugin
            .as_ref()
            .map(|plugin| plugin.decide(now, &self.platform, &request));
        let id = match wish {
            Some(PluginVerdict::Reject(retry_after_ms)) => {
                self.core.borrow_mut().refuse(retry_after_ms)
            }
            wish => {
                if let Some(PluginVerdict::Pass(notes)) =
                    wish.filter(|w| *w != PluginVerdict::Pass(Vec::new()))
                {
                    tracing::debug!(id = request.id, ?notes, "notes of the plug-in");
                    request.notes.extend(notes);
                }
                self.core.borrow_mut().arrive(now, request)
            }
        };
        self.clients
            .borrow_mut()
            .insert(id, (client, ticket, places));
        known(id);
        self.pump();
    }

    /// Refuses a request on a rule's word, before any decision.
    pub fn refuse(
        &self,
        retry_after_ms: f64,
        client: Rc<dyn ResponseSink>,
        ticket: u64,
        known: impl FnOnce(RequestId),
    ) {
        let id = self.core.borrow_mut().refuse(retry_after_ms);
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

    /// An id for a request whose client names none: like no other of this ingress.
    pub fn generate_request_id(&self) -> String {
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

    /// Puts rules in force; what they replace is to be dropped on another thread. Requests under way end under
    /// those that they began with.
    ///
    /// # Errors
    /// Those still need too many pools; the old rules stay.
    pub fn put_rules(&self, rules: Rules) -> Result<Option<Replaced>, TooSoon> {
        let longest = self
            .platform
            .decision
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
        // Without a new pool, every endpoint has the pools already that it would be told.
        if replaced.as_ref().is_none_or(Replaced::has_new_pools) {
            let listed = self.listed.borrow().values().cloned().collect();
            self.update_endpoints(ListKind::Delta, listed);
        }
        Ok(replaced)
    }

    /// Ready endpoints by pool, and evaluations of rules that failed.
    pub fn pools(&self) -> Option<(String, u64)> {
        let router = self.router.borrow();
        let router = router.as_ref()?;
        let ready: Vec<String> = router
            .figures()
            .map(|(pool, ready)| format!("{pool}={ready}"))
            .collect();
        Some((ready.join(" "), router.faults()))
    }

    /// The endpoint registry has news: endpoints get their pools, and the core hears of it.
    pub fn update_endpoints(&self, kind: ListKind, mut entries: Vec<EndpointEntry>) {
        self.apply_exclusions(kind, &mut entries);
        if let Some(router) = &mut *self.router.borrow_mut() {
            let table = self.table.borrow();
            let mut listed = self.listed.borrow_mut();
            for entry in entries
                .iter_mut()
                .filter(|entry| entry.state == EndpointState::Ready)
            {
                entry.pools = match table.endpoint(entry.id) {
                    Some(endpoint) => router.pools_of(&Endpoint {
                        name: &endpoint.name,
                        zone: self
                            .platform
                            .zones
                            .get(entry.zone as usize)
                            .map_or("", String::as_str),
                        cell: entry.cell,
                        weight: entry.weight,
                        protocol: endpoint.protocol.name(),
                        ip: endpoint.addr.ip(),
                        labels: &endpoint.labels,
                    }),
                    None => ALL,
                };
            }
            list(&mut listed, kind, &entries);
            router.ready(listed.values().map(|entry| entry.pools));
        } else {
            list(&mut self.listed.borrow_mut(), kind, &entries);
        }
        self.with_requests(|core, now| core.update_endpoints(now, kind, entries));
    }

    /// The process ends: everything that is held gets its final answer now.
    pub fn give_up(&self) {
        self.with_requests(|core, now| core.give_up(now, AWAY_MS));
    }

    /// A client is gone.
    pub fn client_gone(&self, id: RequestId) {
        self.clients.borrow_mut().remove(&id);
        self.with_requests(|core, now| core.client_gone(now, id));
    }

    fn pump(&self) {
        if self.pumping.replace(true) {
            return;
        }
        loop {
            let effect = self.core.borrow_mut().next_action();
            match effect {
                Some(Action::Reply(id, answer)) => {
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

/// Keeps the ready endpoints after news of the endpoint registry.
fn list(
    listed: &mut BTreeMap<EndpointId, EndpointEntry>,
    kind: ListKind,
    entries: &[EndpointEntry],
) {
    if matches!(kind, ListKind::Full | ListKind::Cached) {
        listed.clear();
    }
    for entry in entries {
        if entry.state == EndpointState::Ready {
            listed.insert(entry.id, entry.clone());
        } else {
            listed.remove(&entry.id);
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
            UnsentBudget::new(Rc::clone(&all), 100),
            UnsentBudget::new(Rc::clone(&all), 100),
        );
        assert!(a.add(60) && b.add(40) && !b.add(1));
        a.sent(30);
        assert!(b.add(10) && !b.add(60));
        drop(b);
        assert_eq!(all.get(), 30);
    }
}
