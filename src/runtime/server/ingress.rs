//! The running ingress: the components around the dispatcher that are started and stopped with it.

use super::timer_delay::TimerDelay;
use crate::config::settings::Config;
use crate::counter::Counter;
use crate::discovery;
use crate::request::Action;
use crate::runtime::dispatcher::{ActionExecutor, Dispatcher};
use crate::upstream::Upstream;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::{spawn_local, AbortHandle};

/// The task that follows the endpoint registry at one discovery agent.
struct DiscoveryTask {
    agent: SocketAddr,
    task: AbortHandle,
}

/// The running ingress: dispatcher, connections to endpoints and counter, and discovery task.
pub(super) struct Ingress {
    pub(super) dispatcher: Rc<Dispatcher>,
    pub(super) upstream: Rc<Upstream>,
    pub(super) counter: Counter,
    pub(super) timer_delay: TimerDelay,
    /// Differs between ingresses, to spread over time what all of them would otherwise do at once.
    seed: u64,
    discovery: RefCell<Option<DiscoveryTask>>,
}

impl ActionExecutor for Ingress {
    fn carry_out(&self, action: Action) {
        match action {
            Action::StartAttempt(attempt) => self.upstream.start_attempt(attempt),
            Action::AbandonAttempt(id, attempt) => self.upstream.abandon_attempt(id, attempt),
            Action::Probe(endpoint) => self.upstream.start_health_check(endpoint),
            Action::ReleaseEndpoint(endpoint) => self.upstream.release(endpoint),
            Action::AddToCounter(add) => self.counter.add(&self.dispatcher, add),
            // The dispatcher delivers answers to clients itself.
            Action::Reply(..) => {}
        }
    }
}

impl Ingress {
    /// Creates the components for a configuration and registers them as the dispatcher's executor.
    /// `max_endpoint_connections` limits the connections to endpoints.
    pub(super) fn new(
        config: &Config,
        dispatcher: Rc<Dispatcher>,
        max_endpoint_connections: usize,
    ) -> Rc<Ingress> {
        let upstream = Upstream::new(dispatcher.clone(), max_endpoint_connections);
        let counter = Counter::new(config.counter, dispatcher.platform().counter_timeout_ms);
        let ingress = Rc::new(Ingress {
            dispatcher,
            upstream,
            counter,
            timer_delay: TimerDelay::default(),
            seed: config.seed,
            discovery: RefCell::default(),
        });
        let executor: Rc<dyn ActionExecutor> = ingress.clone();
        ingress.dispatcher.set_executor(&executor);
        ingress
    }

    /// Follows the endpoint registry at this agent, starting after list `version` if that is known.
    /// The endpoints in force stay until the agent sends a list. Does nothing if the agent has not
    /// changed.
    pub(super) fn follow_discovery(
        self: &Rc<Self>,
        agent: Option<SocketAddr>,
        version: Option<u64>,
    ) {
        if self.discovery.borrow().as_ref().map(|d| d.agent) == agent {
            return;
        }
        let following = agent.map(|agent| {
            let poll =
                discovery::follow_registry(self.dispatcher.clone(), agent, version, self.seed);
            let task = spawn_local(poll).abort_handle();
            DiscoveryTask { agent, task }
        });
        if let Some(previous) = self.discovery.replace(following) {
            previous.task.abort();
        }
    }
}
