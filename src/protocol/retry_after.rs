//! Retry-After as sent to clients, in whole milliseconds.

/// Largest Retry-After sent to a client, ms (about eleven days).
const MAX_RETRY_AFTER_MS: f64 = 1e9;

/// Rounds Retry-After up to whole milliseconds; none if the client gets no Retry-After.
pub fn retry_after_whole_ms(retry_after_ms: f64) -> Option<u64> {
    (retry_after_ms > 0.0).then(|| retry_after_ms.ceil().min(MAX_RETRY_AFTER_MS) as u64)
}

#[cfg(test)]
mod tests;
