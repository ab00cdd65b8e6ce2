//! The fronts: how clients reach the core. Each owns the listening, the connections and the wording
//! of its wire; none decides anything or knows another's wire.

pub mod http2;
pub mod resp;

/// Retry advice in whole milliseconds, never earlier than was meant; none: no advice.
pub fn advice(retry_after_ms: f64) -> Option<u64> {
    (retry_after_ms > 0.0).then(|| retry_after_ms.ceil().min(1e9) as u64)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn advice_is_never_earlier_than_was_meant() {
        assert_eq!(
            [0.0, 0.2, 250.0, 250.1].map(advice),
            [None, Some(1), Some(250), Some(251)]
        );
    }
}
