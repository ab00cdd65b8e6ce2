//! The frontends: how clients reach the dispatcher. Each owns its listener, its connections and the words of its
//! protocol; none decides anything about a request, or knows another's protocol.

pub mod http2;
pub mod resp;

/// Longest Retry-After that is told to a client, ms: some eleven days.
const MAX_RETRY_AFTER_MS: f64 = 1e9;

/// Retry-After in whole milliseconds, never earlier than was meant; none: the client is told no time.
pub fn advice(retry_after_ms: f64) -> Option<u64> {
    (retry_after_ms > 0.0).then(|| retry_after_ms.ceil().min(MAX_RETRY_AFTER_MS) as u64)
}

#[cfg(test)]
mod tests;
