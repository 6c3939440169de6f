//! Authentication of peers: the WebSocket upgrade request carries an HMAC that proves knowledge
//! of the shared secret.
//!
//! A proof names a time, and holds for a while around it by the clock of the host that verifies it. A
//! host whose own clock tells another time learns the verifier's from the refusal, and proves once
//! more for that. What tells the time is authenticated too, with the client's `Sec-WebSocket-Key`,
//! which is random and used once: who doesn't know the secret can neither have a client make proofs for
//! times to come nor repeat what a verifier told another time.

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;
use std::time::Duration;

/// Header of the upgrade request that carries the proof.
pub(crate) const PROOF_HEADER: &str = "x-parsleywall-proof";
/// Header of a refusal that tells the verifier's time.
pub(crate) const TIME_HEADER: &str = "x-parsleywall-time";

/// Largest difference between a proof's time and the verifier's clock; limits how long a recorded
/// proof can be replayed.
const MAX_PROOF_AGE: Duration = Duration::from_secs(120);

/// What an authenticated time is for.
#[derive(Clone, Copy, Debug)]
enum MacPurpose {
    /// The client proves that it knows the secret.
    Proof,
    /// The verifier tells its time.
    Time,
}

impl MacPurpose {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Proof => b"parsleywall peer\0",
            Self::Time => b"parsleywall peer time\0",
        }
    }
}

/// What a verifier thinks of a proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProofVerdict {
    /// It was made with the secret and the key, for about the present time.
    Valid,
    /// It was made with the secret and the key, for another time.
    OtherTime,
    /// It was not made with the secret and the key.
    Invalid,
}

/// Returns a proof for the upgrade request with the given `Sec-WebSocket-Key` and the given time in
/// seconds since the Unix epoch.
pub(crate) fn prove(secret: &str, websocket_key: &str, seconds: u64) -> String {
    sign(MacPurpose::Proof, secret, websocket_key, seconds)
}

/// Judges a `proof` of [`prove`] by the verifier's clock, which tells `now_seconds`.
pub(crate) fn verify(
    secret: &str,
    websocket_key: &str,
    proof: &str,
    now_seconds: u64,
) -> ProofVerdict {
    match signed_time(MacPurpose::Proof, secret, websocket_key, proof) {
        None => ProofVerdict::Invalid,
        Some(seconds) if now_seconds.abs_diff(seconds) > MAX_PROOF_AGE.as_secs() => {
            ProofVerdict::OtherTime
        }
        Some(_) => ProofVerdict::Valid,
    }
}

/// Returns what tells the client that used the given `Sec-WebSocket-Key` the verifier's time.
pub(crate) fn tell_time(secret: &str, websocket_key: &str, seconds: u64) -> String {
    sign(MacPurpose::Time, secret, websocket_key, seconds)
}

/// The verifier's time in `told`; `None` if that was not made by [`tell_time`] with the same secret
/// and key.
pub(crate) fn told_time(secret: &str, websocket_key: &str, told: &str) -> Option<u64> {
    signed_time(MacPurpose::Time, secret, websocket_key, told)
}

fn sign(purpose: MacPurpose, secret: &str, websocket_key: &str, seconds: u64) -> String {
    let mac = time_mac(purpose, secret, websocket_key, seconds);
    let tag = hex::encode(mac.finalize().into_bytes());
    format!("{seconds}.{tag}")
}

/// The time in `signed`, if it was made by [`sign`] with the same arguments. The MAC is compared in
/// constant time.
fn signed_time(
    purpose: MacPurpose,
    secret: &str,
    websocket_key: &str,
    signed: &str,
) -> Option<u64> {
    let (seconds, tag) = signed.split_once('.')?;
    let (seconds, tag) = (seconds.parse().ok()?, hex::decode(tag).ok()?);
    let mac = time_mac(purpose, secret, websocket_key, seconds);
    mac.verify_slice(&tag).is_ok().then_some(seconds)
}

fn time_mac(purpose: MacPurpose, secret: &str, websocket_key: &str, seconds: u64) -> Hmac<Sha256> {
    let mut mac = Hmac::new_from_slice(secret.as_bytes()).expect("HMAC takes keys of any length");
    mac.update(purpose.label());
    mac.update(websocket_key.as_bytes());
    mac.update(&seconds.to_be_bytes());
    mac
}
