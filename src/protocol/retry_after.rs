//! Retry-After as clients are told it, in whole milliseconds.

/// Longest Retry-After that is told to a client, ms: some eleven days.
const MAX_RETRY_AFTER_MS: f64 = 1e9;

/// Retry-After in whole milliseconds, never earlier than was meant; none: the client is told no time.
pub fn retry_after_whole_ms(retry_after_ms: f64) -> Option<u64> {
    (retry_after_ms > 0.0).then(|| retry_after_ms.ceil().min(MAX_RETRY_AFTER_MS) as u64)
}

#[cfg(test)]
mod tests;
