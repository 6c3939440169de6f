//! Authentication of gossip datagrams with HMAC-SHA256 and the shared secret, and replay
//! protection.
//!
//! A sealed datagram is the tag followed by a CBOR envelope. The envelope names the receiver's
//! address, the time of sending, and a sequence number that is unique within one process start of
//! the sender.
//!
//! A datagram holds for a while around its time. Clocks of hosts may differ by any amount: a datagram
//! for another time also holds if it repeats the number of a datagram that this process has sent a short
//! while ago, as only a host that has just received that one can do. From then on the receiver knows by
//! how much the sender's clock is ahead.

use std::collections::VecDeque;
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
/// Largest difference between a datagram's time and the receiver's clock, and time for which the number
/// of a sent datagram proves that one which repeats it is new.
const MAX_PACKET_AGE: Duration = Duration::from_secs(120);
/// Time for which an unused replay window is kept. It exceeds twice `MAX_PACKET_AGE`, the longest
/// time for which a datagram stays valid: dropping a window earlier would allow replays.
const WINDOW_RETENTION: Duration = Duration::from_secs(300);
/// Replay windows, one per process start of a sender, above which unused ones are dropped.
const MAX_WINDOWS: usize = 16_384;
const WINDOW_BITS: u64 = 128;
/// Senders with other clocks whose last datagram is remembered; all are forgotten beyond that.
const MAX_ECHOES: usize = 16_384;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SealError {
    /// The authentication tag does not match the content and the secret.
    Forged,
    /// The datagram is too short for a tag, or its content cannot be decoded.
    Malformed,
    /// The envelope names another receiver's address.
    Misdirected,
    /// The time of sending is too far from the present one as far as the receiver knows the sender's
    /// clock, and nothing proves that the datagram is new. An answer lets the sender prove that.
    Expired,
    /// The sequence number was accepted before, or is too old for the replay window.
    Replayed,
}

/// A datagram of the receiver that the sender has received.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct SealEcho {
    #[serde(rename = "b")]
    boot: u64,
    #[serde(rename = "n")]
    sequence: u64,
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
    /// Only towards receivers whose clocks differ; hosts of the earlier release send none.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    echo: Option<SealEcho>,
}

/// Seals and opens gossip datagrams of this host during one process start.
pub struct PacketSealer {
    secret: String,
    own: SocketAddr,
    boot: u64,
    sequence: u64,
    windows: HashMap<u64, ReplayWindow>,
    /// First sequence number of each second in which datagrams were sent lately.
    sent: VecDeque<(u64, u64)>,
    /// Last datagrams of senders whose clocks differ, which datagrams to them repeat.
    echoes: HashMap<SocketAddr, SealEcho>,
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
            sent: VecDeque::new(),
            echoes: HashMap::default(),
        }
    }

    /// Encodes `packet` and authenticates it for the receiver `to`. `unix_seconds` is the current
    /// time.
    pub fn seal(&mut self, packet: GossipPacket, to: SocketAddr, unix_seconds: u64) -> Vec<u8> {
        self.sequence += 1;
        if self.sent.back().is_none_or(|(_, at)| *at != unix_seconds) {
            self.sent.push_back((self.sequence, unix_seconds));
        }
        self.forget_sent(unix_seconds);
        let envelope = SealEnvelope {
            boot: self.boot,
            sequence: self.sequence,
            sent_at: unix_seconds,
            to,
            packet,
            echo: self.echoes.get(&to).copied(),
        };
        let mut datagram = vec![0; TAG_BYTES];
        ciborium::into_writer(&envelope, &mut datagram).expect("datagrams serialize to CBOR");
        let tag = self.tag(&datagram[TAG_BYTES..]).finalize().into_bytes();
        datagram[..TAG_BYTES].copy_from_slice(&tag);
        datagram
    }

    /// Verifies and decodes a datagram that came from `source`. Each datagram is accepted only once.
    pub fn open(
        &mut self,
        datagram: &[u8],
        source: SocketAddr,
        unix_seconds: u64,
    ) -> Result<GossipPacket, SealError> {
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
        let window = self.windows.get(&envelope.boot);
        let known_lead = window.map_or(0, |window| window.clock_lead);
        let lead = envelope.sent_at.wrapping_sub(unix_seconds) as i64;
        let is_in_time = is_near(lead, known_lead);
        if !is_in_time || !is_near(lead, 0) {
            self.note_echo(source, &envelope);
        }
        if !is_in_time && !self.is_recent_echo(&envelope, unix_seconds) {
            return Err(SealError::Expired);
        }
        let window = self.window(envelope.boot, unix_seconds);
        if !window.accept(&envelope) {
            return Err(SealError::Replayed);
        }
        if !is_in_time {
            window.clock_lead = lead;
        }
        Ok(envelope.packet)
    }

    fn note_echo(&mut self, source: SocketAddr, envelope: &SealEnvelope) {
        if self.echoes.len() >= MAX_ECHOES && !self.echoes.contains_key(&source) {
            self.echoes.clear();
        }
        let echo = SealEcho {
            boot: envelope.boot,
            sequence: envelope.sequence,
        };
        self.echoes.insert(source, echo);
    }

    /// Whether a datagram repeats the number of one that this process has sent lately.
    fn is_recent_echo(&mut self, envelope: &SealEnvelope, unix_seconds: u64) -> bool {
        self.forget_sent(unix_seconds);
        let oldest = self.sent.front().map(|(sequence, _)| *sequence);
        let (Some(echo), Some(oldest)) = (envelope.echo, oldest) else {
            return false;
        };
        echo.boot == self.boot && (oldest..=self.sequence).contains(&echo.sequence)
    }

    fn forget_sent(&mut self, unix_seconds: u64) {
        let is_old = |at: u64| unix_seconds.abs_diff(at) > MAX_PACKET_AGE.as_secs();
        while self.sent.front().is_some_and(|(_, at)| is_old(*at)) {
            self.sent.pop_front();
        }
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

/// Whether a datagram that is `lead` seconds ahead is new, of a sender whose clock is ahead by `known`.
fn is_near(lead: i64, known: i64) -> bool {
    lead.abs_diff(known) <= MAX_PACKET_AGE.as_secs()
}

/// Sequence numbers accepted from one process start of one sender, as a sliding window.
#[derive(Default)]
struct ReplayWindow {
    last_used_at: u64,
    /// By how many seconds the sender's clock is ahead, as far as that is proven.
    clock_lead: i64,
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
