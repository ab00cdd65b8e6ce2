//! Conversions between units: settings count seconds, the ingress's clock milliseconds.

/// Milliseconds in a second.
pub const MS_PER_S: f64 = 1e3;
