//! Periodic work: deadlines of the request table, time-outs of counter calls, idle connections,
//! statistics.

use super::ingress::Ingress;
use super::statistics::log_statistics;
use std::rc::Rc;

/// Longest interval between two rounds, ms. The decision module must be called at least this often.
const MAX_INTERVAL_MS: f64 = 50.0;
/// Interval between two sweeps for idle endpoint connections, ms.
const SWEEP_INTERVAL_MS: f64 = 1000.0;
/// Interval between two statistics log lines, ms.
const STATISTICS_INTERVAL_MS: f64 = 10_000.0;

/// Runs until the process ends. Each round starts when the earliest deadline is due.
pub(super) async fn run(ingress: Rc<Ingress>) {
    let dispatcher = &ingress.dispatcher;
    let mut last_sweep = dispatcher.now();
    let mut last_statistics = dispatcher.now();
    loop {
        let due = wait_for_next_deadline(&ingress).await;
        ingress.timer_delay.record(due, dispatcher.now());
        dispatcher.with_requests(|requests, now| requests.tick(now));
        let now = dispatcher.now();
        ingress.counter.expire(dispatcher, now);
        if now - last_sweep > SWEEP_INTERVAL_MS {
            last_sweep = now;
            ingress.upstream.close_idle(now);
        }
        if now - last_statistics > STATISTICS_INTERVAL_MS {
            last_statistics = now;
            log_statistics(&ingress);
        }
    }
}

/// Waits until the next round is due. Returns the time at which it was due, ms.
async fn wait_for_next_deadline(ingress: &Ingress) -> f64 {
    let dispatcher = &ingress.dispatcher;
    let now = dispatcher.now();
    let latest = now + MAX_INTERVAL_MS;
    let deadlines = [dispatcher.next_due(), ingress.counter.next_due()];
    let due = deadlines.into_iter().flatten().fold(latest, f64::min);
    tokio::time::sleep_until(dispatcher.clock().instant(due).into()).await;
    due.max(now)
}
