//! Every decision, table and tuned value of the library. The interface is `src/decision/api.rs`.
//!
//! Order of reading: constants, events, admit, ladder, quota, choice, health, attempts.
//! `docs/design.md` tells what comes from the paper and what departs from it.

use crate::decision::state::{
    fare, lot, store_window, Ask, Attempt, Avoid, Endpoint, Kind, Memory, Open, Peers, Tenant,
    STORE,
};
use crate::decision::*;

/// Housekeeping period, s: short beside any aim, long beside the cost of one pass.
const TICK: f64 = 0.05;
/// Readings in a row that move the ladder (the paper's five).
const READINGS: u32 = 5;
/// Refusal chance at each level (the paper's static method).
const CHANCE: [f64; 3] = [0.0, 0.5, 1.0];
/// Level 2's threshold as a multiple of level 1's (the paper's 45/40).
const LEVEL2: f64 = 45.0 / 40.0;
/// The threshold, in aims of what departs a second (for endpoints that do much at once), and the memory of
/// departures, s, within `PACE`: as long as it takes to see `PACE_OF` of them.
const AIMS: f64 = 0.12;
const PACE: (f64, f64) = (1.5, 6.0);
const PACE_OF: f64 = 24.0;
/// Below this threshold the ladder reads the count's mean: counts of 0 to 3 say little one by one.
const FEW: f64 = 4.0;
/// A count this many roots above the threshold is no chance.
const PLAIN: f64 = 3.0;
/// Attempts a warm endpoint that all ingresses together may always have out.
const MIN: f64 = 3.0;

/// Window lengths, s: burst over rate within these.
const WINDOW: (f64, f64) = (1.0, 25.0);
/// A block covers this much demand, s; the demand's memory, s.
const BLOCK: (f64, f64) = (0.4, 1.5);
/// Under a ceiling: most of the burst that all ingresses together hold in blocks, unspent.
const HOARD: f64 = 0.2;
/// A tenant is thin where an ingress's part of its burst is under this many mean requests.
const THIN: f64 = 0.7;
/// Wait advised with a refusal that says nothing of the quota, in aims: a retry can still earn.
const ADVICE: f64 = 0.3;
/// Thin tenants, in bursts: what the store may hold too much before it is put right; most of an even share;
/// and the weight of an answer in how a plan's requests fare.
const SLACK: f64 = 0.25;
const LONG: f64 = 3.0;
const BASE: f64 = 0.03;
/// For a tenant refused this short ago, s, others ask too: only this part of what comes is asked for.
const BESET: (f64, f64) = (3.0, 0.3);
/// Strain of the counter: start, rise by a bad call, fall by a good one, most; what a second leaves of it; a
/// call is bad if it fails or takes this share of the wait for an answer.
const STRAIN: (f64, f64, f64, f64, f64) = (0.3, 0.3, 0.06, 0.95, 0.8);
const SLOW_CALL: f64 = 0.4;
/// Failed counter calls in a row that mean silence.
const SILENT: u32 = 3;
/// A call's total is awaited this long, s.
const LATE: f64 = 5.0;
/// Windows after its start in which an ingress reads new tenants' last totals; idle ones, to be like new.
const YOUNG: f64 = 2.0;
const IDLE: f64 = 3.0;
/// Most tenants remembered; those idle longest go first.
const TENANT_IDS: usize = 20_000;

/// Weight of the last second in the rate of attempts at a warm endpoint; how much a cold one drawn is preferred.
const WARM: f64 = 0.2;
const DRAWN: f64 = 10.0;
/// Health: failures in a row that eject; first and longest ejection, s; most endpoints ejected, or left out for a
/// class or plan, as a share: what most of them fail alike is load.
const FAILS: u32 = 3;
const EJECT: (f64, f64) = (1.0, 8.0);
const EJECT_SHARE: f64 = 0.5;
/// An attempt out for this many typical latencies no longer counts as load.
const STUCK: f64 = 2.5;
/// Unless so many are: weight of one attempt in their share, and the share that means load.
const SLOW: (f64, f64) = (0.08, 0.25);
/// An endpoint that failed a class or plan is left out for it this long, s: at most, and at first if by load.
const AVOID: (f64, f64) = (20.0, 2.0);
/// Latency memory: weight of a sample; most that one counts, in typical latencies; the first, in aims.
const LEARN: f64 = 0.1;
const WORST: f64 = 10.0;
/// The same for an endpoint's slowness: one long answer is not a slow endpoint.
const SLOWLY: (f64, f64) = (0.08, 4.0);
const FIRST_GUESS: f64 = 0.25;
/// Slowness is forgotten with this time constant, s.
const FORGET: f64 = 8.0;
const FRESH: f64 = 0.5; // s that a load report is believed

/// Retry budget: tokens earned by a first attempt, and most saved.
const EARN: f64 = 0.2;
const SAVED: f64 = 20.0;
/// A hedged request is sent after this share of the aim.
const COPY_AT: f64 = 0.75;

/// What a quota says to a request.
enum Draw {
    Granted,
    /// Beyond the quota; seconds until there is room.
    Beyond(f64),
    /// The counter was asked.
    Held,
}

/// The decisions of one ingress.
pub struct DecisionEngine {
    set: Settings,
    rng: oorandom::Rand32,
    pub(crate) m: Memory,
}

impl Plan {
    /// Length of a window of a tenant that is not thin.
    fn window(&self) -> f64 {
        (self.burst / self.rate).clamp(WINDOW.0, WINDOW.1)
    }
}

impl DecisionEngine {
    /// An ingress that knows nothing yet.
    ///
    /// # Errors
    /// Settings that make no sense, by field.
    pub fn new(set: Settings, seed: u64) -> Result<DecisionEngine, SettingsError> {
        set.check()?;
        let m = Memory {
            latency: set
                .classes
                .iter()
                .map(|c| FIRST_GUESS * c.latency_objective)
                .collect(),
            threshold: f64::INFINITY,
            outage_at: f64::NEG_INFINITY,
            tokens: SAVED / 2.0,
            strain: STRAIN.0,
            pace: PACE.0,
            base: vec![(0.9, 0.5); set.plans.len()],
            ..Memory::default()
        };
        Ok(DecisionEngine {
            rng: oorandom::Rand32::new(seed),
            m,
            set,
        })
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        if !self.m.started {
            self.m.started = true;
            (self.m.boot, self.m.warm_at, self.m.paced_at) = (now, now, now);
            actions.push(Action::Timer {
                after: TICK,
                token: 0,
            });
            actions.extend(
                self.set
                    .list_on_request
                    .then_some(Action::FollowEndpointList),
            );
        }
        match event {
            Event::EndpointList {
                kind: ListKind::Failed,
                ..
            } => {
                actions.extend(
                    self.set
                        .list_on_request
                        .then_some(Action::FollowEndpointList),
                );
            }
            Event::EndpointList { kind, entries } => self.m.list(kind == ListKind::Delta, entries),
            Event::RequestArrived(request) => self.arrived(now, request, actions),
            Event::AttemptEnded(end) => self.ended(now, &end, actions),
            Event::ClientGone { id } => self.m.finish(id),
            Event::StreamStarted { id, .. } => self.m.streams(id),
            Event::ProbeEnded {
                endpoint,
                outcome,
                report,
            } => self.probed(now, endpoint, outcome, &report),
            Event::Timer { token: 0 } => self.tick(now, actions),
            // The answer timer: whatever happens, the client hears in time.
            Event::Timer { token } => {
                if self
                    .m
                    .requests
                    .get(&(token as RequestId))
                    .is_some_and(|o| !o.streaming)
                {
                    self.answer(token as RequestId, actions);
                }
            }
            Event::CounterAnswered {
                name,
                outcome,
                total,
            } => self.counted(now, name, outcome, total, actions),
            Event::CounterAnsweredLate {
                name,
                amount,
                total,
            } => {
                self.counter_answered_late(now, name, (amount, total), actions);
            }
        }
    }

    // ---- Admit ----

    fn arrived(&mut self, now: f64, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if self.m.requests.contains_key(&id) {
            return;
        }
        if !request.sound(now, &self.set) {
            return actions.push(Action::Reject {
                id,
                retry_after: 0.0,
            });
        }
        self.reading(now, true);
        let class = &self.set.classes[request.class];
        let (latency_objective, latency) = (class.latency_objective, self.m.latency[request.class]);
        // Behind its aim an answer earns the late share alone: under load, such a request goes first.
        let late = self.m.level > 0
            && class.deadline - (request.give_up - now) + latency > latency_objective;
        let lost = if late { 1.0 - class.late_share } else { 0.0 };
        let chance = CHANCE[self.m.level].max(lost);
        if chance > 0.0 && self.dice(chance) {
            return self.refuse(id, ADVICE * latency_objective, actions);
        }
        let drawn = self.draw(now, &request, actions);
        if let Draw::Beyond(wait) = drawn {
            return self.refuse(id, wait.max(0.5), actions);
        }
        let after = (request.give_up - now - self.set.resolution).max(0.0);
        actions.push(Action::Timer {
            after,
            token: (1 << 32) | u64::from(id),
        });
        self.m.requests.insert(id, Open::new(request));
        if !matches!(drawn, Draw::Held) {
            self.admit(now, id, actions);
        }
    }

    /// First attempt of a request that its quota lets in, or a refusal where no endpoint can take it.
    fn admit(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.m.requests.get(&id).filter(|o| !o.done) else {
            return;
        };
        let (of, tenant, units) = (open.ask(), open.request.tenant, open.request.units);
        self.m.wanted += 1.0;
        if let Some(endpoint) = self.choose(now, of, &[], None) {
            self.m.tokens = (self.m.tokens + EARN).min(SAVED);
            return self.send(now, id, endpoint, actions);
        }
        self.m.tenants.entry(tenant).and_modify(|c| c.hand += units);
        self.answer(id, actions);
    }

    fn refuse(&self, id: RequestId, wait: f64, actions: &mut Vec<Action>) {
        actions.push(Action::Reject {
            id,
            retry_after: wait.min(self.set.max_retry_after),
        });
    }

    fn dice(&mut self, chance: f64) -> bool {
        f64::from(self.rng.rand_float()) < chance
    }

    // ---- Ladder ----

    fn reading(&mut self, now: f64, arrival: bool) {
        self.m.pass_time(now, PACE_OF, PACE);
        // Where few are out the mean is read, but not of what is plain: none out, or far too many.
        let (mut count, few) = (f64::from(self.m.out), self.m.threshold < FEW);
        if few && (count > 0.0 || !arrival) {
            count = self.m.mean_out.max(count - PLAIN * self.m.threshold.sqrt());
        }
        let next = self.m.threshold * if self.m.level == 0 { 1.0 } else { LEVEL2 };
        let own = self.m.threshold * if self.m.level == 2 { LEVEL2 } else { 1.0 };
        self.m.above = if self.m.level < 2 && count > next {
            self.m.above + 1
        } else {
            0
        };
        self.m.below = if self.m.level > 0 && count < own {
            self.m.below + 1
        } else {
            0
        };
        let (up, down) = (self.m.above >= READINGS, self.m.below >= READINGS);
        if up || down {
            self.m.level = if up {
                self.m.level + 1
            } else {
                self.m.level - 1
            };
            (self.m.above, self.m.below) = (0, 0);
        }
    }

    /// Little's law: a count of more than `AIMS` aims of what departs a second is not worked off in time. A
    /// few attempts an endpoint for all ingresses together are in order. Harm: it lags a load after an idle spell.
    fn learn(&mut self, now: f64) {
        self.m.pass_time(now, PACE_OF, PACE);
        let able = self
            .m
            .endpoints
            .values()
            .filter(|h| h.ready && h.ejected.is_none());
        let endpoints: f64 = able.map(|h| self.warmth(now, h)).sum();
        let min = MIN * endpoints / f64::from(self.set.ingresses);
        self.m.threshold = (AIMS * self.m.aims).max(min);
    }

    // ---- Quota ----

    /// Takes a request's units, or tells the time until there are some when it is beyond the quota.
    fn draw(&mut self, now: f64, request: &Request, actions: &mut Vec<Action>) -> Draw {
        let plan = self.set.plans[request.plan].clone();
        let (id, units) = (request.tenant, request.units);
        if !self.m.tenants.contains_key(&id) {
            if self.m.tenants.len() >= TENANT_IDS {
                self.forget(now);
                if self.m.tenants.len() >= TENANT_IDS {
                    return Draw::Beyond(0.0);
                }
            }
            let spread = f64::from(request.spread.clamp(1, self.set.ingresses));
            let units_each = THIN * spread * (1.0 + self.set.max_units.max(1.0)) / 2.0;
            let thin = self.set.counter && plan.ceiling_rate <= 0.0 && plan.burst < units_each;
            let mut fresh = Tenant::new(request, thin, spread, now);
            (fresh.carry, fresh.share, fresh.reserve_at) =
                (plan.burst, plan.burst / spread, self.m.boot);
            // One that has just started may have served it a moment ago: it reads the last total.
            if plan.rate > 0.0 && now - self.m.boot < YOUNG * plan.window() {
                (fresh.window, fresh.known) = ((now / plan.window()).floor() as i64 - 1, true);
                (fresh.carry, fresh.total) = (0.5 * plan.burst, 0.5 * plan.burst);
            }
            self.m.tenants.insert(id, fresh);
        }
        let silent = self.m.call_fails >= SILENT;
        let hold = silent && self.dice(self.m.strain);
        let outage = self.m.outage_at;
        let Some(c) = self.m.tenants.get_mut(&id) else {
            return Draw::Beyond(0.0);
        };
        c.demand = c.demand * (-(now - c.last) / BLOCK.1).exp() + units / BLOCK.1;
        c.units += 0.05 * (units - c.units);
        c.last = now;
        // At-once cap: an even part of it, the odd ones by turn. Harm: uneven traffic leaves parts unused.
        if plan.at_once > 0 {
            let (n, cap) = (request.spread.clamp(1, self.set.ingresses), plan.at_once);
            let all = self.set.ingresses;
            let turn = (self.set.position + all - request.first % all) % all;
            let odd = (turn + (id % u64::from(n)) as u32) % n < cap % n;
            if c.out >= (cap / n + u32::from(odd)).max(1) {
                return Draw::Beyond(0.0);
            }
        }
        if plan.rate <= 0.0 {
            return Draw::Granted;
        }
        if c.thin {
            return self.draw_thin(now, request, &plan, actions);
        }
        c.roll(now, &plan);
        // Ceiling: a restart fills nothing, so the reserve starts empty when this ingress does.
        if plan.ceiling_rate > 0.0 {
            let rate = (plan.ceiling_rate - plan.rate).max(0.0) / c.spread;
            let max = (plan.ceiling_burst - (1.0 + 2.0 * HOARD) * plan.burst).max(0.0) / c.spread;
            c.reserve = (c.reserve + rate * (now - c.reserve_at)).min(max);
            c.reserve_at = now;
        }
        let start = c.window as f64 * plan.window();
        let alone = !self.set.counter || silent || start < outage;
        c.share = (c.share + plan.rate / c.spread * (now - c.share_at)).min(plan.burst / c.spread);
        c.share_at = now;
        let mut drawn = Draw::Granted;
        if c.hand >= units {
            c.hand -= units;
        } else if !alone {
            c.held.push((request.id, units));
            drawn = Draw::Held;
        } else if !c.take_share(units, &plan) {
            drawn = Draw::Beyond(units / plan.rate);
        }
        if !hold {
            self.ask(now, id, alone, actions);
        }
        let Some(c) = self.m.tenants.get_mut(&id) else {
            return drawn;
        };
        if c.in_flight.is_none() && c.held.pop().is_some() {
            let room = c.avail(now, &plan);
            drawn = Draw::Beyond((units - room).max(0.0) / plan.rate);
        }
        drawn
    }

    /// Answers what waits for a block: let in as far as the hand or, after a failed call, the share lasts.
    fn settle(&mut self, now: f64, id: TenantId, failed: bool, actions: &mut Vec<Action>) {
        let Some(c) = self.m.tenants.get_mut(&id) else {
            return;
        };
        let plan = &self.set.plans[c.plan];
        let (mut served, mut left) = (Vec::new(), Vec::new());
        let alone = c.window as f64 * plan.window() < self.m.outage_at;
        for (request, units) in std::mem::take(&mut c.held) {
            // What the share lends while the counter goes on is counted by the next call.
            let lent = c.hand < units && failed && c.take_share(units, plan);
            if c.hand < units && !lent {
                left.push((request, units));
                continue;
            }
            c.hand -= if lent && alone { 0.0 } else { units };
            served.push(request);
        }
        c.held = left;
        if !failed {
            self.ask(now, id, alone, actions);
        }
        for request in served {
            self.admit(now, request, actions);
        }
        let Some(c) = self.m.tenants.get_mut(&id) else {
            return;
        };
        if failed || c.in_flight.is_none_or(|f| f.0 < 0.0) {
            for (request, _) in std::mem::take(&mut c.held) {
                self.answer(request, actions);
            }
        }
    }

    /// Where an ingress's part of a quota is a request or less, blocks and shares would strand it: the store
    /// is on the counter, asked for each request. What a strained one is not asked fares as what was
    /// asked, less its price, and weighs on it. Harm: a call a request, one more for each refused.
    fn draw_thin(
        &mut self,
        now: f64,
        request: &Request,
        plan: &Plan,
        actions: &mut Vec<Action>,
    ) -> Draw {
        let (odds, silent) = (1.0 - self.m.strain, self.m.call_fails >= SILENT);
        let [asks, luck] = [(); 2].map(|()| f64::from(self.rng.rand_float()));
        let Some(c) = self.m.tenants.get_mut(&request.tenant) else {
            return Draw::Beyond(0.0);
        };
        if now < c.blocked_until || now - c.blocked_until < BESET.0 && luck >= BESET.1 {
            return Draw::Beyond(c.blocked_until - now);
        }
        if asks >= odds {
            let fits = luck
                < c.unasked(
                    now,
                    request.units,
                    plan,
                    silent,
                    self.m.base[request.plan].0,
                );
            return if fits {
                Draw::Granted
            } else {
                Draw::Beyond(plan.burst / plan.rate)
            };
        }
        c.held.push((request.id, request.units / odds));
        if c.in_flight.is_none() {
            self.ask_store(now, request.tenant, actions);
        }
        Draw::Held
    }

    /// Takes from the store for all that wait, together with what is to be put right.
    fn ask_store(&mut self, now: f64, id: TenantId, actions: &mut Vec<Action>) {
        let Some(c) = self.m.tenants.get_mut(&id) else {
            return;
        };
        c.covered = c.held.len();
        let amount = c.held.iter().map(|h| h.1).sum::<f64>() - std::mem::take(&mut c.hand);
        actions.push(
            self.m
                .call(now, id, store_window(now, id).0, amount, 2.2 * STORE),
        );
    }

    /// The store's number after a call: the units taken, less what comes in with time, are what it lacks.
    fn counts(
        &mut self,
        now: f64,
        id: TenantId,
        call: (f64, i64),
        total: Option<f64>,
        to: &mut Vec<Action>,
    ) {
        let silent = self.m.call_fails >= SILENT;
        let Some(c) = self.m.tenants.get_mut(&id) else {
            return;
        };
        let plan = self.set.plans[c.plan].clone();
        let asked: Vec<_> = c.held.drain(..std::mem::take(&mut c.covered)).collect();
        let need: f64 = asked.iter().map(|h| h.1).sum();
        let ((amount, window), (current, elapsed)) = (call, store_window(now, id));
        let since = elapsed + STORE * (current - window) as f64;
        let mut lacks = total.map(|t| t - need - plan.rate * since);
        let first = total.is_some_and(|t| window == current && (t - amount).abs() < 0.01);
        if let Some(l) = &mut lacks {
            let put = amount - need;
            if asked.is_empty() && window < current {
                // What the last number lacked at its end, the new one lacks too.
                c.hand -= (*l + plan.rate * elapsed).clamp(0.0, plan.burst);
            } else if *l < -SLACK * plan.burst {
                // A full store takes in nothing: what came in with time beyond it is taken off.
                c.hand += std::mem::take(l);
            } else if put >= 0.5 && *l >= put {
                // Another ingress had just put the same right.
                c.hand += put;
                *l -= put;
            }
        }
        let (luck, base) = (f64::from(self.rng.rand_float()), self.m.base[c.plan].0);
        let (let_in, refused): (Vec<_>, Vec<_>) =
            asked.into_iter().partition(|h| match &mut lacks {
                Some(lacks) => c.fits(now, h.1, lacks, &plan),
                None => luck < c.unasked(now, c.units, &plan, silent, base),
            });
        if lacks.is_some() && let_in.len() + refused.len() > 0 {
            let part = let_in.len() as f64 / (let_in.len() + refused.len()) as f64;
            fare(&mut self.m.base[c.plan], part, BASE);
        }
        let wait = (c.blocked_until - now).max(0.5);
        if first && elapsed < plan.burst / plan.rate {
            to.push(self.m.call(now, id, window - 1, 0.0, STORE));
        } else if !c.held.is_empty() || c.hand.abs() >= 0.5 {
            self.ask_store(now, id, to);
        }
        let_in
            .into_iter()
            .for_each(|(request, _)| self.admit(now, request, to));
        for (request, _) in refused {
            self.refuse(request, wait, to);
            self.m.finish(request);
        }
    }

    /// One counter add for a demand-sized block, before the hand is empty; at most one in flight.
    fn ask(&mut self, now: f64, id: TenantId, alone: bool, actions: &mut Vec<Action>) {
        let Some(c) = self.m.tenants.get_mut(&id) else {
            return;
        };
        let plan = &self.set.plans[c.plan];
        if !self.set.counter || c.in_flight.is_some() {
            return;
        }
        let (window, amount) = if alone {
            if self.m.call_fails < SILENT {
                return;
            }
            (c.window, 0.0)
        } else if c.read_last {
            (c.window - 1, 0.0)
        } else {
            // Units held in blocks come on top of what the store holds: under a ceiling they stay few.
            let max = if plan.ceiling_rate > 0.0 {
                HOARD / c.spread
            } else {
                0.5
            } * plan.burst;
            let block = (c.demand * BLOCK.0)
                .max(c.units)
                .max(1.0)
                .min(max.max(c.units));
            let need: f64 = c.held.iter().map(|h| h.1).sum();
            // A block of one request is not refilled ahead: one at each ingress is most of a small store.
            let ahead = c.demand * BLOCK.0 >= c.units;
            if need <= 0.0 && (!ahead || c.hand >= block / 2.0) || now < c.blocked_until {
                return;
            }
            let avail = if c.known {
                c.avail(now, plan)
            } else {
                plan.burst
            };
            let amount = (block + need - c.hand).min(avail.max(-c.hand));
            if amount < 1.0 {
                c.blocked_until =
                    now + (c.units - avail).clamp(0.1 * c.units, plan.burst) / plan.rate;
                return;
            }
            (c.window, amount)
        };
        let lives = 3.0 * plan.window();
        actions.push(self.m.call(now, id, window, amount, lives));
    }

    #[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
    fn counted(
        &mut self,
        now: f64,
        name: u64,
        outcome: Outcome,
        total: f64,
        actions: &mut Vec<Action>,
    ) {
        let Some(&(id, ..)) = self.m.calls.get(&name) else {
            return;
        };
        if outcome != Outcome::Timeout {
            self.m.calls.remove(&name);
        }
        let Some(c) = self.m.tenants.get_mut(&id) else {
            return;
        };
        let Some((mut amount, window)) = c.in_flight.take() else {
            return;
        };
        let plan = self.set.plans[c.plan].clone();
        let good =
            outcome == Outcome::Ok && now - c.asked_at < SLOW_CALL * self.set.counter_timeout;
        let strain = self.m.strain;
        self.m.strain = if good {
            strain - STRAIN.2
        } else {
            strain + STRAIN.1 * (1.0 - strain)
        };
        self.m.strain = self.m.strain.clamp(0.0, STRAIN.3);
        let failed = outcome != Outcome::Ok || !total.is_finite();
        // One that turns calls away is there.
        let mute = failed && outcome != Outcome::Rejected;
        if self.m.call_fails + u32::from(mute) >= SILENT {
            self.m.outage_at = now;
        }
        self.m.call_fails = if mute { self.m.call_fails + 1 } else { 0 };
        if c.thin {
            return self.counts(
                now,
                id,
                (amount, window),
                (!failed).then_some(total),
                actions,
            );
        }
        if failed {
            let (added, may_be) = (
                outcome == Outcome::Error,
                !matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed),
            );
            if window == c.window {
                c.lost += if added { amount } else { 0.0 };
                c.unsure += if may_be && !added {
                    amount.max(0.0)
                } else {
                    0.0
                };
            }
            // Spoilt or broken off, not silent: the next total tells what it grants, at once as a rule.
            if matches!(outcome, Outcome::Error | Outcome::Reset) && self.m.call_fails < SILENT {
                return self.settle(now, id, false, actions);
            }
            c.blocked_until = now + 0.1;
            return self.settle(now, id, true, actions);
        }
        if window == c.window - 1 {
            c.read_last = false;
            c.carry = (c.allowed_last - total).clamp(0.0, plan.burst);
        } else if window == c.window {
            // What may have been added was, if the total has grown by just that since.
            let unsure = std::mem::take(&mut c.unsure);
            let grown = total - amount - c.lost - c.total;
            if unsure > 0.0 && (grown - unsure).abs() < 1e-5 * (1.0 + total) {
                c.lost += unsure;
            }
            amount += std::mem::take(&mut c.lost);
            if total < c.own + amount - 0.01 * (1.0 + c.own) {
                // Totals went back: the counter came back empty. Grants of this window may be given again.
                self.m.outage_at = now;
                return self.settle(now, id, true, actions);
            }
            c.own += amount;
            let before = total - amount;
            let elapsed = now - c.window as f64 * plan.window();
            c.carry = c.carry.min(plan.burst + before - plan.rate * elapsed);
            let avail = c.carry + plan.rate * elapsed - before;
            let grant = avail.clamp(0.0, amount.max(0.0));
            if amount > 0.0 {
                c.hand += grant;
            }
            (c.known, c.total) = (true, total);
            c.share = (avail - grant).max(0.0).min(plan.burst) / c.spread;
            c.share_at = now;
            let excess = amount - grant;
            if amount > 0.0 && excess > 0.0 {
                c.hand = c.hand.max(0.0);
                c.blocked_until = now + c.units / plan.rate;
                if excess >= 0.5 {
                    // Trim what the window did not hold.
                    c.total -= excess;
                    actions.push(self.m.call(now, id, window, -excess, 3.0 * plan.window()));
                }
            }
        }
        self.settle(now, id, false, actions);
    }

    /// A total that came too late for its call, whose amount was held to be used up.
    fn counter_answered_late(
        &mut self,
        now: f64,
        name: u64,
        (amount, total): (f64, f64),
        actions: &mut Vec<Action>,
    ) {
        let Some(&(id, window, _)) = self.m.calls.get(&name) else {
            return;
        };
        let Some(c) = self
            .m
            .tenants
            .get_mut(&id)
            .filter(|c| !c.thin && c.window == window)
        else {
            return;
        };
        c.lost += amount;
        c.unsure = (c.unsure - amount.max(0.0)).max(0.0);
        if c.in_flight.is_none() {
            c.in_flight = Some((0.0, window));
            self.counted(now, name, Outcome::Ok, total, actions);
        }
    }

    /// Drops tenants of whom nothing is known that a new one would not be given: store, reserve are full.
    fn forget_idle(&mut self, now: f64) {
        let plans = &self.set.plans;
        self.m.tenants.retain(|_, c| {
            let plan = &plans[c.plan];
            let fill =
                (plan.ceiling_burst - plan.burst) / (plan.ceiling_rate - plan.rate).max(1e-3);
            let window = if plan.rate > 0.0 { plan.window() } else { 0.0 };
            let busy = c.out > 0 || c.in_flight.is_some() || c.hand < 0.0;
            busy || now - c.last <= (IDLE * window).max(fill)
        });
    }

    /// Drops the longest idle tenants when the memory is full.
    fn forget(&mut self, now: f64) {
        let mut last: Vec<f64> = self.m.tenants.values().map(|c| c.last).collect();
        last.sort_unstable_by(f64::total_cmp);
        let cut = last[last.len() / 4];
        self.m.tenants.retain(|_, c| c.last > cut || c.out > 0);
        // A tenant met again must not find its ceiling's reserve full.
        self.m.boot = now;
    }

    // ---- Choice ----

    fn choose(
        &mut self,
        now: f64,
        of: Ask,
        tried: &[EndpointId],
        group: Option<Peers>,
    ) -> Option<EndpointId> {
        let (kind, pools) = of;
        let may = |h: &Endpoint| h.ready && h.pools & pools != 0;
        let ready = self.m.endpoints.values().filter(|h| may(h)).count();
        let ejected = self
            .m
            .endpoints
            .values()
            .filter(|h| may(h) && h.ejected.is_some())
            .count();
        let left_out = self
            .m
            .endpoints
            .values()
            .filter(|h| may(h) && h.left_out(now, kind))
            .count();
        let load = left_out as f64 > EJECT_SHARE * ready as f64;
        let mut best: Option<(f64, EndpointId)> = None;
        for round in 0..2 {
            for (&id, h) in &self.m.endpoints {
                let in_group = match group {
                    Some((DeduplicationScope::Zone, zone, _)) => h.zone == zone,
                    Some((DeduplicationScope::Cell, _, cell)) => h.cell == cell,
                    _ => true,
                };
                let late = round == 0 && (!load && h.left_out(now, kind) || h.trial && h.out > 0);
                // With everything out, something must still be tried.
                let out = h.ejected.is_some() && (round == 0 || ejected < ready);
                let skip = !may(h) || !in_group || tried.contains(&id) || late || out;
                let room = if skip {
                    0.0
                } else {
                    self.cold_room(now, id, h)
                };
                if room <= 0.0 {
                    continue;
                }
                let luck = 1.0 + 0.1 * f64::from(self.rng.rand_float());
                let far = if h.zone != self.set.zone { 1.02 } else { 1.0 };
                let score =
                    h.wait(now, self.warmth(now, h), self.set.ingresses) * luck * far / room;
                if best.is_none_or(|b| score < b.0) {
                    best = Some((score, id));
                }
            }
            if best.is_some() {
                break;
            }
        }
        best.map(|b| b.1)
    }

    /// Share of its capacity that an endpoint has at the least.
    fn warmth(&self, now: f64, h: &Endpoint) -> f64 {
        let age = now - h.started;
        if h.started <= 0.0 || age >= self.set.warm_up {
            return 1.0;
        }
        let cold = self.set.cold_share;
        (cold + (1.0 - cold) * age.max(0.0) / self.set.warm_up).clamp(0.01, 1.0)
    }

    /// How much an endpoint is to be preferred (0: not at all). A cold one gets its warmth of what a warm one
    /// serves here, half of what it bears where that is better; a share under one attempt by lot in a span.
    fn cold_room(&self, now: f64, id: EndpointId, h: &Endpoint) -> f64 {
        let (warmth, span) = (self.warmth(now, h), self.set.tip_after.max(TICK));
        let sent = h.cold_sent.iter().filter(|s| **s > now - span).count() as f64;
        let part = warmth * self.m.warm_rate * span;
        let room = 0.5 * self.set.overload_factor * part;
        if warmth >= 1.0 || sent + 1.0 <= room {
            return 1.0;
        }
        let place = u64::from(id) << 32 | u64::from(self.set.position);
        let phase = lot(place, -1);
        let turn = (now / span + phase).floor();
        let luck = lot(place, turn as i64);
        // Where it, or the rate, becomes known in mid-span all would draw at once, and soon after once more.
        let known = (turn - phase) * span >= h.started.max(self.m.rated_at);
        f64::from(u8::from(known && sent <= 0.0 && luck < room))
            * if luck < part { DRAWN } else { 1.0 }
    }

    // ---- Health ----

    fn eject(&mut self, now: f64, id: EndpointId) {
        let ready = self.m.endpoints.values().filter(|h| h.ready).count();
        let out = self
            .m
            .endpoints
            .values()
            .filter(|h| h.ready && h.ejected.is_some())
            .count();
        let Some(h) = self.m.endpoints.get_mut(&id) else {
            return;
        };
        // Most of the fleet failing alike is not one endpoint's fault; ejecting it would crush the rest.
        if h.ejected.is_some() || (out + 1) as f64 > EJECT_SHARE * ready as f64 {
            return;
        }
        h.eject(now);
    }

    fn probed(&mut self, now: f64, endpoint: EndpointId, outcome: Outcome, report: &[f64]) {
        let Some(h) = self.m.endpoints.get_mut(&endpoint) else {
            return;
        };
        if h.ejected.is_some() {
            if outcome == Outcome::Ok {
                (h.ejected, h.trial) = (None, true);
            } else {
                h.eject(now);
            }
        }
        h.report(now, &self.set.report, report);
    }

    fn tick(&mut self, now: f64, actions: &mut Vec<Action>) {
        actions.push(Action::Timer {
            after: TICK,
            token: 0,
        });
        self.learn(now);
        if now - self.m.warm_at >= 1.0 {
            self.forget_idle(now);
            self.m.strain *= STRAIN.4;
            let ready = self.m.endpoints.values().filter(|h| h.ready);
            let warm = ready.clone().filter(|h| self.warmth(now, h) >= 1.0).count();
            self.m.measure_warm(now, (warm, ready.count()), WARM);
        }
        self.watch(now, actions);
        self.m.calls.retain(|_, (.., made)| now - *made < LATE);
        for (&id, h) in &mut self.m.endpoints {
            if h.ready && h.ejected.is_some_and(|until| now >= until) {
                if self.set.probes_allowed {
                    h.ejected = Some(now + 0.5);
                    actions.push(Action::Probe { endpoint: id });
                } else {
                    (h.ejected, h.trial) = (None, true);
                }
            }
        }
    }

    // ---- Attempts ----

    fn send(&mut self, now: f64, id: RequestId, endpoint: EndpointId, actions: &mut Vec<Action>) {
        self.m.sent(now, id, endpoint);
        let cold = self
            .m
            .endpoints
            .get(&endpoint)
            .is_some_and(|h| self.warmth(now, h) < 1.0);
        if let Some(h) = self.m.endpoints.get_mut(&endpoint).filter(|_| cold) {
            h.cold_sent.retain(|s| *s > now - self.set.tip_after);
            h.cold_sent.push_back(now);
        }
        actions.push(Action::Send {
            id,
            endpoint,
            timeout: 0.0,
        });
    }

    fn ended(&mut self, now: f64, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let (id, outcome) = (end.id, end.outcome);
        let Some(open) = self.m.requests.get_mut(&id) else {
            return;
        };
        let Some(a) = open
            .attempts
            .get_mut(end.attempt as usize)
            .filter(|a| !a.over)
        else {
            return;
        };
        a.over = true;
        self.m.out -= a.uncount();
        self.m.slow_share -= if a.slow {
            0.0
        } else {
            SLOW.0 * self.m.slow_share
        };
        a.may_have_run = !matches!(
            outcome,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        );
        let (a, (class, plan)) = (a.clone(), open.kind());
        open.done |= end.request_finished || outcome == Outcome::Ok;
        if let Some(c) = self.m.tenants.get_mut(&open.request.tenant) {
            c.out = c.out.saturating_sub(1);
            if let Some(real) = end
                .settled_units
                .filter(|r| r.is_finite() && self.set.settles_units_later)
            {
                c.hand -= real - open.request.units;
            }
        }
        self.outcome(now, &a, outcome, (class, plan));
        if let Some(h) = self.m.endpoints.get_mut(&a.endpoint) {
            h.report(now, &self.set.report, &end.report);
        }
        self.reading(now, false);
        let Some(open) = self.m.requests.get_mut(&id) else {
            return;
        };
        if open.done {
            // The other copies are waste now.
            if self.set.cancellation_allowed {
                for (i, _) in open.attempts.iter().enumerate().filter(|(_, a)| !a.over) {
                    actions.push(Action::Cancel {
                        id,
                        attempt: i as u32,
                    });
                }
            }
            self.m.finish(id);
        } else if open.attempts.iter().all(|a| a.over)
            && (outcome == Outcome::Cancelled || !self.again(now, id, actions))
        {
            self.answer(id, actions);
        }
    }

    /// What an outcome tells of the endpoint and of the load.
    fn outcome(&mut self, now: f64, a: &Attempt, o: Outcome, (class, plan): Kind) {
        let (typical, took) = (self.m.latency[class], now - a.sent);
        let warm = self
            .m
            .endpoints
            .get(&a.endpoint)
            .is_some_and(|h| self.warmth(now, h) >= 1.0);
        let ran = !matches!(
            o,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        );
        self.m.warm_taken += f64::from(u8::from(warm && ran));
        let Some(h) = self.m.endpoints.get_mut(&a.endpoint) else {
            return;
        };
        h.out = h.out.saturating_sub(1);
        match o {
            Outcome::Ok => {
                let sample = (took / typical.max(1e-6)).min(SLOWLY.1);
                h.ratio = 1.0 + (h.ratio - 1.0) * (-(now - h.ratio_at) / FORGET).exp();
                h.ratio += SLOWLY.0 * (sample - h.ratio);
                h.ratio_at = now;
                (h.fails, h.ejected, h.last_answer) = (0, None, now);
                h.avoid
                    .retain(|m| m.what != Err(class) && m.what != Ok(plan));
                if h.trial {
                    h.trial = false;
                } else {
                    h.strikes = 0;
                }
                self.m.aims += self.set.classes[class].latency_objective / self.m.pace;
                self.m.departs += 1.0 / self.m.pace;
                if h.ratio < 3.0 {
                    self.m.latency[class] += LEARN * (took.min(WORST * typical) - typical);
                }
            }
            Outcome::Cancelled | Outcome::NotSent => {}
            _ => {
                match o {
                    Outcome::Rejected => h.leave_out(now, Ok(plan), AVOID.1),
                    Outcome::Timeout => h.leave_out(now, Err(class), AVOID.1),
                    Outcome::Error => h.leave_out(now, Err(class), AVOID.0),
                    _ => {}
                }
                if !a.suspect {
                    self.blame(now, a.endpoint, (o, a.sent));
                }
            }
        }
    }

    /// A failure at an endpoint; after some in a row it is ejected. Lateness counts only while the endpoint answers
    /// nobody: else it may just be busy. Harm: the rest of the fleet carries more.
    fn blame(&mut self, now: f64, endpoint: EndpointId, (o, sent): (Outcome, f64)) {
        let Some(h) = self.m.endpoints.get_mut(&endpoint) else {
            return;
        };
        h.fails +=
            u32::from(o != Outcome::Rejected && (o != Outcome::Timeout || h.last_answer < sent));
        if matches!(o, Outcome::Rejected | Outcome::Error) {
            h.last_answer = now;
        }
        if h.trial || h.fails >= FAILS {
            self.eject(now, endpoint);
        }
    }

    /// Sends a further attempt if class, time, number and budget allow it.
    fn again(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(open) = self.m.requests.get(&id) else {
            return false;
        };
        let class = &self.set.classes[open.request.class];
        let ran = open.attempts.iter().find(|a| a.may_have_run);
        let mut group = None;
        if let Some(a) = ran {
            match class.idempotency {
                Idempotency::Safe => {}
                Idempotency::Unsafe => return false,
                Idempotency::Keyed => {
                    if now - a.sent >= class.idempotency_window - 2.0 * self.set.resolution {
                        return false;
                    }
                    // Without knowing the endpoint's group any more, no group is safe.
                    let Some(h) = self.m.endpoints.get(&a.endpoint) else {
                        return false;
                    };
                    group = Some((class.deduplication_scope, h.zone, h.cell));
                }
            }
        }
        if open.done
            || open.streaming
            || open.attempts.len() as u32 >= self.set.max_attempts
            || open.request.give_up - now <= 2.0 * self.set.resolution
            || self.m.tokens < 1.0
        {
            return false;
        }
        let tried: Vec<EndpointId> = open.attempts.iter().map(|a| a.endpoint).collect();
        let of = open.ask();
        let Some(endpoint) = self.choose(now, of, &tried, group) else {
            return false;
        };
        self.m.tokens -= 1.0;
        self.send(now, id, endpoint, actions);
        true
    }

    /// Attempts that take long leave the count: hung servers must not hold level 2. After a share of the aim
    /// the endpoint is suspected, and a hedged request may go out. Harm: work that hung endpoints still do is not seen.
    fn watch(&mut self, now: f64, actions: &mut Vec<Action>) {
        let (mut due, mut suspects) = (Vec::new(), Vec::new());
        for (&id, open) in &mut self.m.requests {
            let kind = open.kind();
            let class = &self.set.classes[kind.0];
            let stuck = now - STUCK * self.m.latency[kind.0];
            let tries = open.attempts.len();
            let mut all = !(open.attempts.is_empty() || open.done || open.streaming);
            for a in open.attempts.iter_mut().filter(|a| !a.over) {
                let lost = self
                    .m
                    .endpoints
                    .get(&a.endpoint)
                    .is_none_or(|h| h.ejected.is_some() || h.gone);
                if a.sent < stuck && !a.slow {
                    a.slow = true;
                    self.m.slow_share += SLOW.0 * (1.0 - self.m.slow_share);
                }
                if lost || a.slow && self.m.slow_share < SLOW.1 {
                    self.m.out -= a.uncount();
                }
                let late = now - a.sent > COPY_AT * class.latency_objective;
                if late && !a.suspect {
                    a.suspect = true;
                    suspects.push((a.endpoint, a.sent));
                }
                all &= lost || late && self.m.level == 0 && tries < 2;
            }
            if all && self.set.hedging && class.idempotency != Idempotency::Unsafe {
                due.push(id);
            }
        }
        for (endpoint, sent) in suspects {
            self.blame(now, endpoint, (Outcome::Timeout, sent));
        }
        for id in due {
            self.again(now, id, actions);
        }
    }

    /// Final answer without success: refused where a retry is harmless by class, else failed.
    fn answer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.m.requests.get(&id).filter(|o| !o.done) else {
            return;
        };
        let class = &self.set.classes[open.request.class];
        let ran = open.attempts.iter().any(|a| a.may_have_run);
        let harmless = match class.idempotency {
            Idempotency::Safe => true,
            Idempotency::Keyed => !ran || class.deduplication_scope == DeduplicationScope::All,
            Idempotency::Unsafe => !ran,
        };
        if harmless && !ran {
            self.refuse(id, ADVICE * class.latency_objective, actions);
        } else {
            actions.push(Action::Fail { id });
        }
        self.m.finish(id);
    }
}

impl Tenant {
    /// Whether the store, which lacks so much, holds a request's units; if so they are taken.
    fn fits(&mut self, now: f64, units: f64, lacks: &mut f64, plan: &Plan) -> bool {
        let beyond = lacks.max(0.0) + units.min(self.units) - plan.burst;
        if beyond > 0.0 {
            // Whoever comes meanwhile, what is missing takes this long to come in.
            self.blocked_until = now + beyond / plan.rate;
            self.hand += units;
            return false;
        }
        *lacks = lacks.max(0.0) + units;
        true
    }

    /// Chance of a request not asked for: its plan's fare less the price of one beyond, or by even share.
    fn unasked(&mut self, now: f64, units: f64, plan: &Plan, silent: bool, base: f64) -> f64 {
        if !silent {
            return (base - plan.over_cost * (1.0 - base)).max(0.0);
        }
        let (rate, max) = (plan.rate / self.spread, LONG * plan.burst / self.spread);
        let share = (self.share + rate * (now - self.share_at)).min(max);
        (self.share, self.share_at) = ((share - units).max(0.0), now);
        share / units.max(1e-9)
    }

    /// Moves to the window of `now`, carrying over what the last one left.
    fn roll(&mut self, now: f64, plan: &Plan) {
        let window = (now / plan.window()).floor() as i64;
        if window == self.window || self.in_flight.is_some() {
            return;
        }
        if self.window == window - 1 && self.known {
            let left = self.carry + plan.rate * plan.window() - self.total;
            // Where others may have used the rest, the last total is read once.
            self.read_last =
                self.spread > 1.0 && (left < 1.3 * plan.burst || plan.ceiling_rate > 0.0);
            self.allowed_last = self.carry + plan.rate * plan.window();
            self.carry = left.clamp(0.0, plan.burst);
        } else {
            // Not met in the last window: others may have used it, and the one before, up.
            self.carry = if plan.ceiling_rate > 0.0 {
                0.0
            } else {
                plan.burst
            };
            self.allowed_last = plan.rate * plan.window();
            self.read_last = plan.ceiling_rate > 0.0;
            self.hand = self.hand.min(0.0);
        }
        self.window = window;
        (self.total, self.own, self.lost, self.unsure) = (0.0, 0.0, 0.0, 0.0);
        self.blocked_until = 0.0;
    }

    /// This ingress's even share, where the counter is no help.
    fn take_share(&mut self, units: f64, plan: &Plan) -> bool {
        let ceiling = plan.ceiling_rate > 0.0;
        let fits = self.share >= units && !(ceiling && self.reserve < units);
        if fits {
            self.share -= units;
            self.reserve -= if ceiling { units } else { 0.0 };
        }
        fits
    }

    /// Units in the plan's store by the last total: they come in evenly, never more than the burst.
    fn avail(&self, now: f64, plan: &Plan) -> f64 {
        let elapsed = now - self.window as f64 * plan.window();
        (self.carry + plan.rate * elapsed - self.total - self.unsure).min(plan.burst)
    }
}

impl Endpoint {
    fn eject(&mut self, now: f64) {
        self.ejected = Some(now + (EJECT.0 * f64::from(1 << self.strikes.min(4))).min(EJECT.1));
        self.strikes += 1;
        (self.trial, self.fails) = (false, 0);
    }

    /// It failed one class, or turned one plan away: it is left out for these alone, twice as long each time.
    fn leave_out(&mut self, now: f64, what: Result<usize, usize>, first: f64) {
        self.avoid.retain(|m| now < m.until + AVOID.0);
        let at = self.avoid.iter().position(|m| m.what == what);
        let old = at.map(|at| self.avoid.swap_remove(at));
        // What was sent before the endpoint was left out says nothing new.
        let (until, spell) = match old {
            Some(m) if now < m.until => (m.until.max(now + first), m.spell),
            Some(m) => (
                now + (2.0 * m.spell).min(AVOID.0),
                (2.0 * m.spell).min(AVOID.0),
            ),
            None => (now + first, first),
        };
        self.avoid.push(Avoid { what, until, spell });
    }

    fn left_out(&self, now: f64, (class, plan): Kind) -> bool {
        self.avoid
            .iter()
            .any(|m| now < m.until && (m.what == Err(class) || m.what == Ok(plan)))
    }

    /// Expected wait for one more attempt, in latencies. All ingresses choose alike, each has as much out.
    fn wait(&self, now: f64, warmth: f64, all: u32) -> f64 {
        let queue = self.waiting.map_or(0.0, |(at, queue)| {
            queue * (1.0 - (now - at) / FRESH).max(0.0)
        });
        let ratio = 1.0 + (self.ratio - 1.0) * (-(now - self.ratio_at) / FORGET).exp();
        ((f64::from(self.out * all) + queue) / warmth + 1.0) * ratio.max(0.3) / self.size
    }
}
