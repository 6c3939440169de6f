//! Authentication of gossip datagrams with HMAC-SHA256 and the shared secret, and replay
//! protection.
//!
//! A sealed datagram is the tag followed by a CBOR envelope. The envelope names the receiver's
//! address, the time of sending, and a sequence number that is unique within one process start of
//! the sender.

use std::net::SocketAddr;
use std::time::Duration;

use hmac::Hmac;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;

use crate::collections::HashMap;
use crate::membership::message::GossipPacket;

const TAG_BYTES: usize = 32;
/// Largest difference between a datagram's time and the receiver's clock.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(120);
/// Time for which an unused replay window is kept. It exceeds twice `MAX_CLOCK_SKEW`, the longest
/// time for which a datagram stays valid: dropping a window earlier would allow replays.
const WINDOW_RETENTION: Duration = Duration::from_secs(300);
/// Replay windows, one per process start of a sender, above which unused ones are dropped.
const MAX_WINDOWS: usize = 16_384;
const WINDOW_BITS: u64 = 128;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SealError {
    /// The authentication tag does not match the content and the secret.
    Forged,
    /// The datagram is too short for a tag, or its content cannot be decoded.
    Malformed,
    /// The envelope names another receiver's address.
    Misdirected,
    /// The time of sending differs by more than the allowed clock skew from the receiver's clock.
    Expired,
    /// The sequence number was accepted before, or is too old for the replay window.
    Replayed,
}

#[derive(Serialize, Deserialize)]
struct SealEnvelope {
    #[serde(rename = "b")]
    boot: u64,
    #[serde(rename = "n")]
    sequence: u64,
    #[serde(rename = "t")]
    sent_at: u64,
    #[serde(rename = "d")]
    to: SocketAddr,
    #[serde(rename = "p")]
    packet: GossipPacket,
}

/// Seals and opens gossip datagrams of this host during one process start.
pub struct PacketSealer {
    secret: String,
    own: SocketAddr,
    boot: u64,
    sequence: u64,
    windows: HashMap<u64, ReplayWindow>,
}

impl PacketSealer {
    /// Returns a sealer for the host at `own`. `boot` is a random number that identifies this
    /// process start, so that the sequence numbers of a restarted host are not taken for replays.
    pub fn new(secret: String, own: SocketAddr, boot: u64) -> Self {
        Self {
            secret,
            own,
            boot,
            sequence: 0,
            windows: HashMap::default(),
        }
    }

    /// Encodes `packet` and authenticates it for the receiver `to`. `unix_seconds` is the current
    /// time.
    pub fn seal(&mut self, packet: GossipPacket, to: SocketAddr, unix_seconds: u64) -> Vec<u8> {
        self.sequence += 1;
        let envelope = SealEnvelope {
            boot: self.boot,
            sequence: self.sequence,
            sent_at: unix_seconds,
            to,
            packet,
        };
        let mut datagram = vec![0; TAG_BYTES];
        ciborium::into_writer(&envelope, &mut datagram).expect("datagrams serialize to CBOR");
        let tag = self.tag(&datagram[TAG_BYTES..]).finalize().into_bytes();
        datagram[..TAG_BYTES].copy_from_slice(&tag);
        datagram
    }

    /// Verifies and decodes a datagram. Each datagram is accepted only once.
    pub fn open(&mut self, datagram: &[u8], unix_seconds: u64) -> Result<GossipPacket, SealError> {
        let (tag, body) = datagram
            .split_at_checked(TAG_BYTES)
            .ok_or(SealError::Malformed)?;
        self.tag(body)
            .verify_slice(tag)
            .map_err(|_| SealError::Forged)?;
        let envelope: SealEnvelope =
            ciborium::from_reader(body).map_err(|_| SealError::Malformed)?;
        if envelope.to != self.own {
            return Err(SealError::Misdirected);
        }
        if unix_seconds.abs_diff(envelope.sent_at) > MAX_CLOCK_SKEW.as_secs() {
            return Err(SealError::Expired);
        }
        if !self.window(envelope.boot, unix_seconds).accept(&envelope) {
            return Err(SealError::Replayed);
        }
        Ok(envelope.packet)
    }

    fn window(&mut self, boot: u64, unix_seconds: u64) -> &mut ReplayWindow {
        if !self.windows.contains_key(&boot) && self.windows.len() >= MAX_WINDOWS {
            self.windows.retain(|_, window| {
                window.last_used_at + WINDOW_RETENTION.as_secs() > unix_seconds
            });
        }
        let window = self.windows.entry(boot).or_default();
        window.last_used_at = unix_seconds;
        window
    }

    fn tag(&self, body: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::new_from_slice(self.secret.as_bytes()).expect("HMAC takes keys of any length");
        mac.update(b"parsleywall gossip\0");
        mac.update(body);
        mac
    }
}

/// Sequence numbers accepted from one process start of one sender, as a sliding window.
#[derive(Default)]
struct ReplayWindow {
    last_used_at: u64,
    newest_sequence: u64,
    /// Bit n is set if the sequence number `newest_sequence - n` was accepted.
    accepted: u128,
}

impl ReplayWindow {
    fn accept(&mut self, envelope: &SealEnvelope) -> bool {
        let sequence = envelope.sequence;
        if sequence > self.newest_sequence {
            let ahead = sequence - self.newest_sequence;
            self.accepted = match ahead < WINDOW_BITS {
                true => self.accepted << ahead | 1,
                false => 1,
            };
            self.newest_sequence = sequence;
            return true;
        }
        let behind = self.newest_sequence - sequence;
        if behind >= WINDOW_BITS || self.accepted & (1 << behind) != 0 {
            return false;
        }
        self.accepted |= 1 << behind;
        true
    }
}
