//! Digests by which resends of the same request are recognized.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use sha2::Digest;
use sha2::Sha256;

use crate::edges::engine::Endpoint;

/// Members of a request body that do not change what the engine computes.
const IGNORED_MEMBERS: [&str; 5] = ["stream", "stream_options", "user", "metadata", "store"];

/// Digest of the work that a request asks of an engine, or of a part of its prompt; equal on all
/// hosts and for all callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// Computes the digest of a request with `body` to `endpoint`.
    pub fn new(endpoint: Endpoint, body: &Value) -> Self {
        let mut hash = Sha256::new();
        hash.update(endpoint.path());
        // `Value` sorts members by name, so their order in the caller's text does not matter.
        for (name, value) in body.as_object().into_iter().flatten() {
            if !IGNORED_MEMBERS.contains(&name.as_str()) {
                hash.update(name);
                hash.update([0]);
                hash.update(value.to_string());
                hash.update([0]);
            }
        }
        Self::from_hash(hash)
    }

    /// Computes the digest of a request whose body is not interpreted.
    pub fn opaque(host: &str, method: &str, target: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [host.as_bytes(), method.as_bytes(), target.as_bytes()] {
            hash.update(part);
            hash.update([0]);
        }
        hash.update(body);
        Self::from_hash(hash)
    }

    /// Computes the digest of a part of a prompt that requests share, from its identifier.
    pub fn prompt_part(id: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update(b"prompt part");
        hash.update([0]);
        hash.update(id);
        Self::from_hash(hash)
    }

    fn from_hash(hash: Sha256) -> Self {
        let digest = hash.finalize();
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest[..16]);
        Self(bytes)
    }

    /// Returns the digest in hexadecimal.
    pub fn to_hex(self) -> String {
        hex::encode(self.0)
    }

    /// Parses the output of [`Fingerprint::to_hex`]; `None` if `text` is anything else.
    pub fn from_hex(text: &str) -> Option<Self> {
        hex::decode(text).ok()?.try_into().ok().map(Self)
    }

    /// Returns the first 64 bits of the digest, which are evenly distributed.
    pub(crate) fn number(self) -> u64 {
        u64::from_le_bytes(self.0[..8].try_into().expect("eight bytes"))
    }
}
