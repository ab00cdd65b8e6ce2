//! Conversions between time units: the settings use seconds, the ingress's clock uses milliseconds.

/// Milliseconds in a second.
pub const MS_PER_S: f64 = 1e3;
