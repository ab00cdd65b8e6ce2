//! What the module remembers: plain data, no decisions. `src/decision/balance.rs` gives it its meaning.

use crate::decision::balance::DecisionEngine;
use crate::decision::{
    Action, DeduplicationScope, EndpointEntry, EndpointId, EndpointState, LoadReportField, Pools,
    Request, RequestId, TenantId,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A class and a plan.
pub(crate) type Kind = (usize, usize);
/// What an endpoint is chosen for: a class and a plan, and the pools that may serve it.
pub(crate) type Ask = (Kind, Pools);
/// The endpoints that share keys with one in this zone and cell.
pub(crate) type Peers = (DeduplicationScope, u32, u32);

#[derive(Default)]
pub(crate) struct Endpoint {
    pub(crate) zone: u32,
    pub(crate) cell: u32,
    pub(crate) size: f64,
    pub(crate) ready: bool,
    pub(crate) pools: Pools,
    pub(crate) gone: bool,
    pub(crate) started: f64,
    pub(crate) out: u32,
    /// Latency relative to the fleet's for the same class.
    pub(crate) ratio: f64,
    pub(crate) ratio_at: f64,
    pub(crate) fails: u32,
    pub(crate) last_answer: f64,
    pub(crate) strikes: i32,
    pub(crate) ejected: Option<f64>,
    pub(crate) trial: bool,
    pub(crate) avoid: Vec<Avoid>,
    pub(crate) waiting: Option<(f64, f64)>,
    /// When attempts were sent while it was cold.
    pub(crate) cold_sent: VecDeque<f64>,
}

/// A class (`Err`) or a plan (`Ok`) that an endpoint does not serve.
pub(crate) struct Avoid {
    pub(crate) what: Result<usize, usize>,
    /// Until when that is believed, and how long it was believed the last time.
    pub(crate) until: f64,
    pub(crate) spell: f64,
}

#[derive(Clone)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) sent: f64,
    pub(crate) over: bool,
    pub(crate) may_have_run: bool,
    /// Part of the count that the ladder reads.
    pub(crate) counted: bool,
    /// Out for so long that its endpoint is suspected.
    pub(crate) suspect: bool,
    pub(crate) slow: bool,
}

pub(crate) struct Open {
    pub(crate) request: Request,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) done: bool,
    pub(crate) streaming: bool,
}

impl Attempt {
    /// Takes it out of the count; what to take off.
    pub(crate) fn uncount(&mut self) -> u32 {
        u32::from(std::mem::take(&mut self.counted))
    }
}

impl Endpoint {
    /// Notes a load report.
    pub(crate) fn report(&mut self, now: f64, fields: &[LoadReportField], report: &[f64]) {
        for (field, value) in fields.iter().zip(report) {
            if *field == LoadReportField::Queue && value.is_finite() && *value >= 0.0 {
                self.waiting = Some((now, *value));
            }
        }
    }
}

impl Open {
    pub(crate) fn new(request: Request) -> Open {
        Open {
            request,
            attempts: Vec::new(),
            done: false,
            streaming: false,
        }
    }

    /// Its class and plan.
    pub(crate) fn kind(&self) -> Kind {
        (self.request.class, self.request.plan)
    }

    /// What its endpoints are chosen for.
    pub(crate) fn ask(&self) -> Ask {
        (self.kind(), self.request.pools)
    }
}

#[derive(Default)]
pub(crate) struct Tenant {
    pub(crate) plan: usize,
    pub(crate) spread: f64,
    pub(crate) thin: bool,
    /// What waits for the counter; thin: how many of these the call under way is for.
    pub(crate) held: Vec<(RequestId, f64)>,
    pub(crate) covered: usize,
    pub(crate) asked_at: f64,
    /// Units granted and not spent; below 0: spent ahead, settled at the next refill.
    pub(crate) hand: f64,
    pub(crate) known: bool,
    pub(crate) window: i64,
    pub(crate) carry: f64,
    pub(crate) total: f64,
    pub(crate) own: f64,
    pub(crate) read_last: bool,
    pub(crate) allowed_last: f64,
    pub(crate) in_flight: Option<(f64, i64)>,
    /// Added in this window by calls whose totals could not be read: the next total grants them too.
    pub(crate) lost: f64,
    /// Added in this window by calls that broke off or were not answered in time, or not added.
    pub(crate) unsure: f64,
    pub(crate) blocked_until: f64,
    pub(crate) demand: f64,
    pub(crate) units: f64,
    pub(crate) last: f64,
    pub(crate) share: f64,
    pub(crate) share_at: f64,
    pub(crate) reserve: f64,
    pub(crate) reserve_at: f64,
    pub(crate) out: u32,
}

impl Tenant {
    pub(crate) fn new(request: &Request, thin: bool, spread: f64, now: f64) -> Tenant {
        Tenant {
            plan: request.plan,
            thin,
            spread,
            share_at: now,
            units: request.units,
            window: i64::MIN,
            ..Tenant::default()
        }
    }
}

impl Tenant {
    /// Drops a request that waits for the counter; what the call under way brings for it is left for others.
    fn waits_no_more(&mut self, id: RequestId) {
        if let Some(at) = self.held.iter().position(|(held, _)| *held == id) {
            self.held.remove(at);
            self.covered -= usize::from(at < self.covered);
        }
    }
}

/// What an ingress remembers beside its settings.
#[derive(Default)]
pub(crate) struct Memory {
    pub(crate) boot: f64,
    pub(crate) started: bool,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) requests: BTreeMap<RequestId, Open>,
    pub(crate) tenants: BTreeMap<TenantId, Tenant>,
    /// Calls by name: the tenant, the window and when. Those given up stay a while, for a late total.
    pub(crate) calls: BTreeMap<u64, (TenantId, i64, f64)>,
    pub(crate) level: usize,
    /// Share of the last attempts that were out for long.
    pub(crate) slow_share: f64,
    /// Attempts out at the back end.
    pub(crate) out: u32,
    pub(crate) above: u32,
    pub(crate) below: u32,
    pub(crate) threshold: f64,
    /// Mean count, aims of what departs a second and departures a second, over `pace` seconds.
    pub(crate) mean_out: f64,
    pub(crate) aims: f64,
    pub(crate) departs: f64,
    pub(crate) pace: f64,
    pub(crate) paced_at: f64,
    pub(crate) call_fails: u32,
    pub(crate) outage_at: f64,
    /// Part of the calls to the counter that is not made, for its sake.
    pub(crate) strain: f64,
    /// By plan: how often the store had room, and the weight of the last answer in that.
    pub(crate) base: Vec<(f64, f64)>,
    pub(crate) latency: Vec<f64>,
    /// Attempts a second that a warm endpoint takes on, and since when that is known; what went into it since
    /// `warm_at`:
    /// attempts that warm endpoints have ended and not rejected, and requests that wanted an endpoint.
    pub(crate) warm_rate: f64,
    pub(crate) rated_at: f64,
    pub(crate) warm_taken: f64,
    pub(crate) wanted: f64,
    pub(crate) warm_at: f64,
    pub(crate) tokens: f64,
}

impl Memory {
    /// Count and departures, averaged over the same last seconds: as many as hold `of` departures, within `range`.
    pub(crate) fn pass_time(&mut self, now: f64, of: f64, range: (f64, f64)) {
        let keep = (-(now - self.paced_at) / self.pace).exp();
        self.mean_out += (1.0 - keep) * (f64::from(self.out) - self.mean_out);
        (self.aims, self.departs) = (self.aims * keep, self.departs * keep);
        self.paced_at = now;
        self.pace = (of / self.departs.max(1e-3)).clamp(range.0, range.1);
    }

    /// Attempts a second that a warm endpoint takes on, the last spell with this weight. Where none was ever
    /// warm, an even
    /// part of what is wanted stands in.
    pub(crate) fn measure_warm(&mut self, now: f64, (warm, ready): (usize, usize), weight: f64) {
        let (sum, endpoints) = match (warm, self.warm_rate > 0.0) {
            (0, false) => (self.wanted, ready),
            _ => (self.warm_taken, warm),
        };
        if endpoints > 0 {
            let rate = sum / endpoints as f64 / (now - self.warm_at);
            if self.warm_rate <= 0.0 && rate > 0.0 {
                (self.warm_rate, self.rated_at) = (rate, now);
            }
            self.warm_rate += weight * (rate - self.warm_rate);
        }
        (self.warm_taken, self.wanted, self.warm_at) = (0.0, 0.0, now);
    }

    /// Notes the list of endpoints, or changes to it; those missing from a whole list are gone.
    pub(crate) fn list(&mut self, changes: bool, entries: Vec<EndpointEntry>) {
        if !changes {
            let named: BTreeSet<EndpointId> = entries.iter().map(|e| e.id).collect();
            for (_, h) in self
                .endpoints
                .iter_mut()
                .filter(|(id, _)| !named.contains(id))
            {
                (h.ready, h.gone) = (false, true);
            }
        }
        for e in entries {
            let h = self.endpoints.entry(e.id).or_insert_with(|| Endpoint {
                ratio: 1.0,
                ..Endpoint::default()
            });
            if e.started > h.started {
                // A new process: what was learnt of the old one is void.
                (h.fails, h.strikes, h.ejected, h.trial, h.ratio) = (0, 0, None, false, 1.0);
                (h.started, h.waiting) = (e.started, None);
                h.avoid.clear();
            }
            (h.zone, h.cell, h.size) =
                (e.zone, e.cell, if e.weight > 0.0 { e.weight } else { 1.0 });
            (h.ready, h.pools) = (e.state == EndpointState::Ready, e.pools);
            h.gone = e.state == EndpointState::Gone;
        }
        self.endpoints.retain(|_, h| !h.gone || h.out > 0);
    }

    /// Notes an attempt.
    pub(crate) fn sent(&mut self, now: f64, id: RequestId, endpoint: EndpointId) {
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let (over, suspect, slow) = (false, false, false);
        open.attempts.push(Attempt {
            endpoint,
            sent: now,
            over,
            may_have_run: true,
            counted: true,
            suspect,
            slow,
        });
        self.out += 1;
        if let Some(c) = self.tenants.get_mut(&open.request.tenant) {
            c.out += 1;
        }
        if let Some(h) = self.endpoints.get_mut(&endpoint) {
            h.out += 1;
        }
    }

    /// Notes a counter call for a tenant.
    pub(crate) fn call(
        &mut self,
        now: f64,
        id: TenantId,
        window: i64,
        amount: f64,
        lives: f64,
    ) -> Action {
        let (name, amount) = (name_of(id, window), f64::from(amount as f32));
        if let Some(c) = self.tenants.get_mut(&id) {
            (c.in_flight, c.asked_at) = (Some((amount, window)), now);
        }
        self.calls.insert(name, (id, window, now));
        Action::AddToCounter {
            name,
            amount,
            lives: lives.min(60.0),
        }
    }

    /// Notes that a request's answer streams.
    pub(crate) fn streams(&mut self, id: RequestId) {
        if let Some(open) = self.requests.get_mut(&id) {
            open.streaming = true;
        }
    }

    /// Notes a request's final answer.
    pub(crate) fn finish(&mut self, id: RequestId) {
        if let Some(open) = self.requests.get_mut(&id) {
            open.done = true;
            if let Some(c) = self.tenants.get_mut(&open.request.tenant) {
                c.waits_no_more(id);
            }
            if open.attempts.iter().all(|a| a.over) {
                self.requests.remove(&id);
            }
        }
    }
}

/// Notes which part of a plan's requests the store had room for, by the mean of what was seen and later with this
/// weight: an ingress among many sees few.
pub(crate) fn fare((base, weight): &mut (f64, f64), part: f64, min: f64) {
    *weight = (*weight / (1.0 + *weight)).max(min);
    *base += *weight * (part - *base);
}

/// Name of a tenant's number on the counter in one window: the same at every ingress.
fn name_of(tenant: TenantId, window: i64) -> u64 {
    let mut z = tenant.wrapping_mul(0x9E37_79B9_7F4A_7C15)
        ^ (window as u64).wrapping_mul(0xD1B5_4A32_D192_ED03);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// A thin tenant's number on the counter lasts this long, s: it and the next fit into a life of 60 s.
pub(crate) const STORE: f64 = 25.0;

/// The number that holds a thin tenant's store now, and since when it does, s. Numbers change for each tenant
/// at another time: ingresses that all came for new ones at once would drown the counter.
pub(crate) fn store_window(now: f64, id: TenantId) -> (i64, f64) {
    let at = now / STORE + lot(id, 0);
    (at.floor() as i64, (at - at.floor()) * STORE)
}

/// A number from 0 to 1, drawn by these alone.
pub(crate) fn lot(id: u64, turn: i64) -> f64 {
    (name_of(id, turn) >> 11) as f64 / (1u64 << 53) as f64
}

/// What can be watched from outside.
impl DecisionEngine {
    /// The load level: 0, 1 or 2.
    pub fn level(&self) -> usize {
        self.m.level
    }

    /// The count above which the level becomes 1; infinite until learnt.
    pub fn threshold(&self) -> f64 {
        self.m.threshold
    }

    /// Whether a timer that the module has set still means anything to it.
    pub fn awaits(&self, token: u64) -> bool {
        token == 0 || self.m.requests.contains_key(&(token as RequestId))
    }

    /// How many tenants are remembered.
    pub fn tenants(&self) -> usize {
        self.m.tenants.len()
    }
}
