//! The statistics in the log.

use super::ingress::Ingress;

/// Logs the counts since the start, the state of the tables, and the number of ready endpoints of
/// each pool.
pub(super) fn log_statistics(ingress: &Ingress) {
    log_requests(ingress);
    log_rejections(ingress);
    log_tables(ingress);
    ingress.dispatcher.client_statistics().log();
    if let Some(pools) = ingress.dispatcher.pool_statistics() {
        tracing::info!(
            ready = pools.ready,
            faults = pools.failed_evaluations,
            "pool statistics"
        );
    }
}

fn log_requests(ingress: &Ingress) {
    let dispatcher = &ingress.dispatcher;
    let counts = dispatcher.request_counts();
    tracing::info!(
        received = counts.received,
        served = counts.served,
        rejected = counts.rejected,
        failed = counts.failed,
        client_gone = counts.client_gone,
        repeated_ids = counts.repeated_ids,
        answered_late = counts.answered_late,
        longest_lateness_ms = counts.longest_lateness_ms.round(),
        attempts = counts.attempts,
        counter_calls = counts.counter_calls,
        unanswered = dispatcher.unanswered(),
        connections = ingress.upstream.open_connections(),
        "statistics"
    );
    let ends = counts.attempt_ends;
    tracing::info!(
        served = ends.served,
        error = ends.error,
        rejected = ends.rejected,
        timeout = ends.timeout,
        connect_failed = ends.connect_failed,
        reset = ends.reset,
        cancelled = ends.cancelled,
        not_sent = ends.not_sent,
        "attempt statistics"
    );
}

fn log_rejections(ingress: &Ingress) {
    let counts = ingress.dispatcher.request_counts();
    let decided = ingress.dispatcher.rejections();
    tracing::info!(
        invalid = decided.invalid,
        load = decided.load,
        quota = decided.quota,
        no_lease = decided.no_lease,
        no_endpoint = decided.no_endpoint,
        no_time = decided.no_time,
        attempts_failed = decided.attempts_failed,
        memory = counts.rejected_for_memory,
        undecided = counts.rejected_undecided,
        "rejection statistics"
    );
}

fn log_tables(ingress: &Ingress) {
    let sizes = ingress.dispatcher.table_sizes();
    tracing::info!(
        in_flight = sizes.in_flight,
        request_bytes = sizes.request_bytes,
        tenants = sizes.tenants,
        awaited_calls = sizes.awaited_calls,
        recent_ids = sizes.recent_ids,
        longest_timer_delay_ms = ingress.timer_delay.take_longest_ms().round(),
        long_timer_delays = ingress.timer_delay.long_delays(),
        "process statistics"
    );
}
