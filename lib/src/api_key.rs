//! Keys by which callers prove who they are.
//!
//! A key is a secret: it is looked up and compared by its digest, and stands in no log, metric or
//! message to another host.

use std::fmt;

use http::HeaderMap;
use http::header;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 512;

/// SHA-256 digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digest of `key`.
    pub(crate) fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Parses a digest in hexadecimal; `None` if it is malformed.
    pub(crate) fn from_hex(text: &str) -> Option<Self> {
        Some(Self(hex::decode(text).ok()?.try_into().ok()?))
    }

    /// The digest in lower-case hexadecimal.
    pub(crate) fn to_hex(self) -> String {
        hex::encode(self.0)
    }

    /// Whether both are digests of the same key. Takes the same time for all digests.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Why the headers of a request hold no usable key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum KeyFault {
    /// There is no `Authorization` header.
    Missing,
    /// There are several.
    Repeated,
    /// The header has another scheme than `Bearer`.
    OtherScheme,
    /// The key is empty, too long or has characters that no key has.
    Malformed,
    /// The key is well-formed and belongs to nobody.
    Unknown,
}

/// Returns the key of the `Authorization: Bearer` header.
pub(crate) fn bearer_key(headers: &HeaderMap) -> Result<&str, KeyFault> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let value = values.next().ok_or(KeyFault::Missing)?;
    if values.next().is_some() {
        return Err(KeyFault::Repeated);
    }
    let value = value.to_str().map_err(|_| KeyFault::Malformed)?.trim();
    let (scheme, key) = value.split_once(' ').unwrap_or((value, ""));
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(KeyFault::OtherScheme);
    }
    let key = key.trim_start();
    match is_key(key) {
        true => Ok(key),
        false => Err(KeyFault::Malformed),
    }
}

/// Whether `text` may be a key: not empty, not too long, and of visible ASCII characters only.
pub(crate) fn is_key(text: &str) -> bool {
    let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    !text.is_empty() && text.len() <= MAX_KEY_BYTES && is_visible
}
