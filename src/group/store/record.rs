//! One record in the store: a checksum and an encoded value. The disk may give back other bytes than it was given: a
//! member must not vote by them.

use super::StoreError;
use serde::{de::DeserializeOwned, Serialize};

/// A value with its checksum before it.
pub(super) fn seal<T: Serialize>(value: &T) -> Vec<u8> {
    let body = postcard::to_stdvec(value).unwrap_or_default();
    let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
    bytes.extend(body);
    bytes
}

/// The value of the record of this name.
///
/// # Errors
/// Its checksum differs, or it cannot be decoded.
pub(super) fn open<T: DeserializeOwned>(name: &str, bytes: &[u8]) -> Result<T, StoreError> {
    let corrupt = || StoreError::Spoilt(name.to_string());
    let (checksum, body) = bytes.split_first_chunk::<4>().ok_or_else(corrupt)?;
    if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
        return Err(corrupt());
    }
    postcard::from_bytes(body).map_err(|_| corrupt())
}
