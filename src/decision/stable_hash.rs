//! Hashes that are the same at every ingress and in every process, for the names of totals on the
//! counter and for choices that must differ between ingresses without a new random number each
//! time.

const ID_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
const INDEX_MULTIPLIER: u64 = 0xD1B5_4A32_D192_ED03;
/// Multiplier of the SplitMix64 finalizer: every bit of the input affects every bit of the result.
const FIRST_MIX_MULTIPLIER: u64 = 0xBF58_476D_1CE4_E5B9;
const SECOND_MIX_MULTIPLIER: u64 = 0x94D0_49BB_1331_11EB;
/// Bits that an `f64` represents exactly.
const FRACTION_BITS: u32 = 53;

/// Returns a hash of an id and an index.
pub(super) fn hash(id: u64, index: i64) -> u64 {
    let mut bits = id.wrapping_mul(ID_MULTIPLIER) ^ (index as u64).wrapping_mul(INDEX_MULTIPLIER);
    bits = (bits ^ (bits >> 30)).wrapping_mul(FIRST_MIX_MULTIPLIER);
    bits = (bits ^ (bits >> 27)).wrapping_mul(SECOND_MIX_MULTIPLIER);
    bits ^ (bits >> 31)
}

/// Returns the hash as a number in [0, 1).
pub(super) fn fraction(id: u64, index: i64) -> f64 {
    (hash(id, index) >> (64 - FRACTION_BITS)) as f64 / (1u64 << FRACTION_BITS) as f64
}
