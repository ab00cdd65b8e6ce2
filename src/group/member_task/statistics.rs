//! The periodic line of statistics of a member in the log.

use super::MemberTask;
use driftgap_group::Health;

impl MemberTask {
    pub(super) fn log_statistics(&mut self, now_ms: f64) {
        let Some(member) = self.member() else { return };
        let status = member.status(now_ms);
        self.call_times_ms.sort_by(f64::total_cmp);
        tracing::info!(
            leader = status.leader,
            term = status.term,
            applied = status.applied,
            age_ms = status.age_ms.round(),
            form = status.format_version,
            lags = lags(&status.members),
            links = self.links.values().filter(|link| link.is_up()).count(),
            followers = self.followers.len(),
            refused_links = self.link_statistics.refused.total(),
            refused_causes = self.link_statistics.refused.by_cause(),
            dropped = self.link_statistics.dropped_frames.get(),
            sent_bytes = self.link_statistics.sent_bytes.get(),
            promises = self.call_times_ms.len(),
            promise_p50_ms = quantile(&self.call_times_ms, 0.5),
            promise_p99_ms = quantile(&self.call_times_ms, 0.99),
            "member statistics"
        );
        self.call_times_ms.clear();
    }
}

/// Formats how many entries each member lags behind, as `name=entries`.
fn lags(members: &[Health]) -> String {
    let lags = members
        .iter()
        .filter_map(|member| Some(format!("{}={}", member.name, member.lag?)));
    lags.collect::<Vec<String>>().join(" ")
}

/// Returns a quantile of sorted durations, rounded to 0.1 ms; `None` without durations.
fn quantile(sorted_ms: &[f64], fraction: f64) -> Option<f64> {
    let index = (sorted_ms.len() as f64 * fraction) as usize;
    sorted_ms.get(index).map(|ms| (ms * 10.0).round() / 10.0)
}
