//! Decides which bytes of an upstream's body are events of a request's `text/event-stream`.
//!
//! An upstream may also send comments, repeat events, or be faulty and send bytes that are no
//! events. Nothing of these reaches a caller or the output of a batch item.

use bytes::Bytes;
use bytes::BytesMut;

/// Bytes that a stream may send without an event that goes on. A stream that sends more counts as
/// broken, so that an event that never ends can't fill the memory.
pub const MAX_STALLED_BYTES: usize = 256 * 1024;

/// One complete server-sent event with an identifier and data.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event's bytes as received, including the empty line that ends it.
    pub raw: Bytes,
    /// Number in the event's `id` field.
    pub id: u64,
}

impl StreamEvent {
    /// Values of all `data` fields, joined by line feeds.
    pub fn data(&self) -> Vec<u8> {
        let mut data = Vec::new();
        let fields = lines(&self.raw).filter_map(|line| field(line, b"data"));
        for (number, text) in fields.enumerate() {
            if number > 0 {
                data.push(b'\n');
            }
            data.extend_from_slice(text);
        }
        data
    }
}

/// Why a body does not go on as a stream of events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// Bytes that are neither an event nor comments.
    Malformed,
    /// An event that does not follow the last one.
    Gap {
        /// Identifier of the last event; `None` if there was none.
        last: Option<u64>,
        /// Identifier of the event that came instead of the next one.
        found: u64,
    },
    /// More than [`MAX_STALLED_BYTES`] without an event that goes on.
    Stalled,
    /// The body ended within an event.
    Truncated,
}

impl std::fmt::Display for StreamFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Malformed => f.write_str("the stream holds bytes that are no event"),
            Self::Gap {
                last: Some(last),
                found,
            } => write!(f, "event {found} after {last}"),
            Self::Gap { last: None, found } => write!(f, "the stream begins with event {found}"),
            Self::Stalled => f.write_str("too many bytes without an event that goes on"),
            Self::Truncated => f.write_str("the stream ended within an event"),
        }
    }
}

/// Extracts the events of one body, which begins or goes on with a request's stream.
///
/// The events that it returns have consecutive identifiers, from 0 or 1 in a stream that begins,
/// whatever the body holds. Comments and repeated events are left out. After a fault, nothing that
/// the body holds counts.
#[derive(Debug, Default)]
pub struct EventReader {
    splitter: BlockSplitter,
    last_id: Option<u64>,
    /// Bytes received since the last event that went on.
    stalled_bytes: usize,
    has_failed: bool,
}

impl EventReader {
    /// Returns a reader of a body that goes on after the event `last_id`; `None` if the body begins
    /// the stream.
    pub fn resuming_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Appends received bytes, which may end anywhere within an event.
    pub fn push(&mut self, bytes: &[u8]) {
        self.stalled_bytes += bytes.len();
        self.splitter.push(bytes);
    }

    /// The next event of the stream; `None` until more bytes are pushed.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, StreamFault> {
        let next = self.find_next();
        self.has_failed |= next.is_err();
        next
    }

    fn find_next(&mut self) -> Result<Option<StreamEvent>, StreamFault> {
        while let Some(raw) = self.splitter.next_block() {
            let event = match parse_block(raw) {
                StreamBlock::Event(event) => event,
                StreamBlock::Comment => continue,
                StreamBlock::Malformed => return Err(StreamFault::Malformed),
            };
            match self.last_id {
                Some(last) if event.id <= last => {}
                last if event.id > last.unwrap_or(0).saturating_add(1) => {
                    let found = event.id;
                    return Err(StreamFault::Gap { last, found });
                }
                _ => {
                    self.last_id = Some(event.id);
                    self.stalled_bytes = self.splitter.pending();
                    return Ok(Some(event));
                }
            }
        }
        match self.stalled_bytes > MAX_STALLED_BYTES {
            true => Err(StreamFault::Stalled),
            false => Ok(None),
        }
    }

    /// Checks that the body, which has ended, does not end within an event.
    pub fn finish(&mut self) -> Result<(), StreamFault> {
        match self.splitter.pending() {
            0 => Ok(()),
            _ => {
                self.has_failed = true;
                Err(StreamFault::Truncated)
            }
        }
    }

    /// Whether the body held something else than events of the stream and comments.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Whether the last event may have been cut off and completed by bytes that are no event: it is
    /// followed by such bytes, or by ones that are not complete.
    pub fn is_last_event_doubtful(&self) -> bool {
        self.has_failed || self.splitter.pending() > 0
    }
}

enum StreamBlock {
    Event(StreamEvent),
    /// Comments alone, which keep a stream alive.
    Comment,
    Malformed,
}

/// Interprets the lines up to an empty one. An event has one numeric identifier, data, and nothing
/// but fields and comments. An empty block is malformed: it may be what is left of an event.
fn parse_block(raw: Bytes) -> StreamBlock {
    let mut id = None;
    let mut has_fields = false;
    let mut has_data = false;
    if lines(&raw).next().is_none_or(<[u8]>::is_empty) {
        return StreamBlock::Malformed;
    }
    for line in lines(&raw) {
        if line.is_empty() || line.starts_with(b":") {
            continue;
        }
        if !is_field(line) {
            return StreamBlock::Malformed;
        }
        has_fields = true;
        has_data |= field(line, b"data").is_some();
        if let Some(value) = field(line, b"id") {
            let number = numeric_id(value);
            if number.is_none() || id.is_some() {
                return StreamBlock::Malformed;
            }
            id = number;
        }
    }
    match (id, has_data) {
        _ if !has_fields => StreamBlock::Comment,
        (Some(id), true) => StreamBlock::Event(StreamEvent { raw, id }),
        _ => StreamBlock::Malformed,
    }
}

/// Buffers received bytes and splits off blocks of lines that end with an empty line.
#[derive(Debug, Default)]
struct BlockSplitter {
    buffer: BytesMut,
    /// Length of the buffer's prefix that is known to contain no end of a block.
    searched: usize,
}

impl BlockSplitter {
    fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete block; `None` until more bytes are pushed.
    fn next_block(&mut self) -> Option<Bytes> {
        let end = self.find_end()?;
        self.searched = 0;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Number of buffered bytes that [`Self::next_block`] has not returned.
    fn pending(&self) -> usize {
        self.buffer.len()
    }

    fn find_end(&mut self) -> Option<usize> {
        let mut at = self.searched;
        while let Some(offset) = self.buffer[at..].iter().position(|byte| *byte == b'\n') {
            let after = at + offset + 1;
            match &self.buffer[after..] {
                [b'\n', ..] => return Some(after + 1),
                [b'\r', b'\n', ..] => return Some(after + 2),
                [] | [b'\r'] => {
                    self.searched = at + offset;
                    return None;
                }
                _ => at = after,
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

fn lines(raw: &[u8]) -> impl Iterator<Item = &[u8]> {
    raw.split(|byte| *byte == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// Whether a line has the form `name: value`, with a name of letters, digits and `-`.
fn is_field(line: &[u8]) -> bool {
    let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
    let is_name = |byte: &u8| byte.is_ascii_alphanumeric() || *byte == b'-';
    !name.is_empty() && name.len() < line.len() && name.iter().all(is_name)
}

/// Value of a `name: value` line without one leading space; `None` for other field names.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

fn numeric_id(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
