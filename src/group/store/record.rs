//! The encoding of a record in the database: a checksum and the encoded value. The checksum detects
//! bytes that the disk has changed, since a member must not vote by them.

use super::StoreError;
use serde::{de::DeserializeOwned, Serialize};

/// Encodes a value, preceded by its checksum.
pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let body = postcard::to_stdvec(value).unwrap_or_default();
    let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
    bytes.extend(body);
    bytes
}

/// Decodes the value of the record called `name`.
///
/// # Errors
/// Returns an error if the checksum differs or the value cannot be decoded.
pub(super) fn decode<T: DeserializeOwned>(name: &str, bytes: &[u8]) -> Result<T, StoreError> {
    let corrupt = || StoreError::Corrupt(name.to_string());
    let (checksum, body) = bytes.split_first_chunk::<4>().ok_or_else(corrupt)?;
    if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
        return Err(corrupt());
    }
    postcard::from_bytes(body).map_err(|_| corrupt())
}
