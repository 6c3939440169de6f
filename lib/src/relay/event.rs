//! Splits a `text/event-stream` body into server-sent events.

use bytes::Bytes;
use bytes::BytesMut;

/// One complete server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event's bytes as received, including the empty line that ends it.
    pub raw: Bytes,
    /// Decimal number in the event's last numeric `id` field; `None` if there is no such field.
    pub id: Option<u64>,
}

impl StreamEvent {
    /// Whether the event has an id or data; false for comments that only keep the stream alive.
    pub fn carries_data(&self) -> bool {
        self.id.is_some() || lines(&self.raw).any(|line| field(line, b"data").is_some())
    }

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

/// Buffers received bytes and splits off complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Length of the buffer's prefix that is known to contain no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes, which may end anywhere within an event.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event; `None` until more bytes are pushed.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let raw = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = last_numeric_id(&raw);
        Some(StreamEvent { raw, id })
    }

    /// Number of buffered bytes that [`Self::next_event`] has not returned.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffer holds an unfinished event; white space alone does not count.
    pub fn has_partial_event(&self) -> bool {
        self.buffer.iter().any(|byte| !byte.is_ascii_whitespace())
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

/// Value of a `name: value` line without one leading space; `None` for other field names.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// Number in the last `id` field of an event that is a decimal number.
fn last_numeric_id(raw: &[u8]) -> Option<u64> {
    let values = lines(raw).filter_map(|line| field(line, b"id"));
    let numbers = values.filter_map(|text| std::str::from_utf8(text).ok()?.trim().parse().ok());
    numbers.last()
}
