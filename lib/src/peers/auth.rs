//! Authentication of peers: the WebSocket upgrade request carries an HMAC that proves knowledge
//! of the shared secret.

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;
use std::time::Duration;

use crate::clock::unix_millis;

/// Header of the upgrade request that carries the proof.
pub(crate) const PROOF_HEADER: &str = "x-parsleywall-proof";

/// Largest difference between a proof's time and this host's clock; limits how long a recorded
/// proof can be replayed.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(120);

/// Returns a proof, made with the current time, for the upgrade request with the given
/// `Sec-WebSocket-Key`.
pub(crate) fn prove(secret: &str, websocket_key: &str) -> String {
    let seconds = unix_seconds();
    let tag = hex::encode(
        proof_mac(secret, websocket_key, seconds)
            .finalize()
            .into_bytes(),
    );
    format!("{seconds}.{tag}")
}

/// Whether `proof` was made by [`prove`] with the same secret and key, not too long ago. The MAC
/// is compared in constant time.
pub(crate) fn verify(secret: &str, websocket_key: &str, proof: &str) -> bool {
    let Some((seconds, digest)) = proof.split_once('.') else {
        return false;
    };
    let (Ok(seconds), Ok(digest)) = (seconds.parse::<u64>(), hex::decode(digest)) else {
        return false;
    };
    let is_fresh = unix_seconds().abs_diff(seconds) <= MAX_CLOCK_SKEW.as_secs();
    is_fresh
        && proof_mac(secret, websocket_key, seconds)
            .verify_slice(&digest)
            .is_ok()
}

fn proof_mac(secret: &str, websocket_key: &str, seconds: u64) -> Hmac<Sha256> {
    let mut mac = Hmac::new_from_slice(secret.as_bytes()).expect("HMAC takes keys of any length");
    mac.update(b"parsleywall peer\0");
    mac.update(websocket_key.as_bytes());
    mac.update(&seconds.to_be_bytes());
    mac
}

fn unix_seconds() -> u64 {
    unix_millis() / 1000
}
