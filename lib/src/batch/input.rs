//! Checks input files line by line and splits them into compressed segments.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;
use sha2::Digest;
use sha2::Sha256;

use crate::batch::ledger::SegmentRef;
use crate::batch::object::LineFault;
use crate::collections::HashSet;

/// Largest compressed segment or pack in bytes; below the key-value service's limit for values.
pub(crate) const MAX_VALUE_BYTES: usize = 960 * 1024;
/// Largest uncompressed segment in bytes; only a segment of a single line may be larger.
const MAX_SEGMENT_BYTES: usize = 2 * 1024 * 1024;
/// Most items of one segment.
const MAX_SEGMENT_ITEMS: u64 = 4096;
/// Longest line in bytes, uncompressed. Below [`MAX_VALUE_BYTES`], as compression can add a little.
const MAX_LINE_BYTES: usize = 900 * 1024;
/// Most items of one file.
const MAX_ITEMS: u64 = 100_000;
/// Most faults that are recorded for one file, and most paths.
const MAX_FAULTS: usize = 100;

/// One line of an input file: the request of one item.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct BatchItem {
    /// Caller's name of the item; unique within the file.
    pub(crate) custom_id: String,
    /// HTTP method; only `POST` is valid.
    #[serde(default = "post")]
    method: String,
    /// Path of the endpoint, which must be that of the job; absent for the job's endpoint.
    pub(crate) url: Option<String>,
    /// Request body.
    pub(crate) body: Value,
}

fn post() -> String {
    "POST".to_owned()
}

/// A segment of the input before it is stored.
#[derive(Clone, Debug)]
pub(crate) struct InputSegment {
    /// Number of items and uncompressed size.
    pub(crate) segment: SegmentRef,
    /// Compressed lines.
    pub(crate) value: Bytes,
}

/// A checked input file.
#[derive(Clone, Debug)]
pub(crate) struct CheckedInput {
    /// SHA-256 digest of the content in hexadecimal.
    pub(crate) digest: String,
    /// Segments in line order.
    pub(crate) segments: Vec<InputSegment>,
    /// Faults of the content.
    pub(crate) faults: Vec<LineFault>,
    /// First line of each path that items call.
    pub(crate) urls: BTreeMap<String, u64>,
}

/// Checks all lines of `content` and splits it into segments. Faulty lines are kept, so that the
/// file can be read back unchanged.
pub(crate) fn check_input(content: &[u8]) -> CheckedInput {
    let mut checker = LineChecker::default();
    let mut builder = SegmentBuilder::default();
    for (number, line) in content.split_inclusive(|byte| *byte == b'\n').enumerate() {
        let is_item = !line.trim_ascii().is_empty();
        if is_item {
            checker.check_line(number as u64 + 1, line);
        }
        builder.add(line, is_item);
    }
    if checker.items > MAX_ITEMS {
        let message = format!(
            "the file holds {} items, more than {MAX_ITEMS}",
            checker.items
        );
        checker.add_fault(None, "too_many_items", message);
    }
    CheckedInput {
        digest: hex::encode(Sha256::digest(content)),
        segments: builder.finish(),
        faults: checker.faults,
        urls: checker.urls,
    }
}

/// Lines of a segment that hold items, in order.
pub(crate) fn item_lines(content: &[u8]) -> impl Iterator<Item = &[u8]> {
    content
        .split(|byte| *byte == b'\n')
        .map(<[u8]>::trim_ascii)
        .filter(|line| !line.is_empty())
}

/// Compresses a segment or pack.
pub(crate) fn compress(content: &[u8]) -> Bytes {
    Bytes::from(lz4_flex::compress_prepend_size(content))
}

/// Decompresses a segment or pack; fails with a description of the damage.
pub(crate) fn decompress(value: &[u8]) -> Result<Vec<u8>, String> {
    lz4_flex::decompress_size_prepended(value).map_err(|err| err.to_string())
}

#[derive(Default)]
struct LineChecker {
    items: u64,
    custom_ids: HashSet<String>,
    faults: Vec<LineFault>,
    urls: BTreeMap<String, u64>,
}

impl LineChecker {
    fn check_line(&mut self, line: u64, text: &[u8]) {
        self.items += 1;
        if text.len() > MAX_LINE_BYTES {
            let message = format!("the line is longer than {MAX_LINE_BYTES} bytes");
            return self.add_fault(Some(line), "line_too_long", message);
        }
        let item: BatchItem = match serde_json::from_slice(text) {
            Ok(item) => item,
            Err(err) => return self.add_fault(Some(line), "invalid_json_line", err.to_string()),
        };
        if !item.body.is_object() {
            let message = "\"body\" is not a JSON object".to_owned();
            self.add_fault(Some(line), "invalid_body", message);
        }
        if item.method != "POST" {
            let message = format!("method {:?} is not POST", item.method);
            self.add_fault(Some(line), "invalid_method", message);
        }
        if let Some(url) = item.url
            && self.urls.len() < MAX_FAULTS
        {
            self.urls.entry(url).or_insert(line);
        }
        if !self.custom_ids.insert(item.custom_id.clone()) {
            let message = format!(
                "custom_id {:?} is already used on an earlier line",
                item.custom_id
            );
            self.add_fault(Some(line), "duplicate_custom_id", message);
        }
    }

    fn add_fault(&mut self, line: Option<u64>, code: &str, message: String) {
        if self.faults.len() < MAX_FAULTS {
            let code = code.to_owned();
            self.faults.push(LineFault {
                line,
                code,
                message,
            });
        }
    }
}

#[derive(Default)]
struct SegmentBuilder {
    lines: Vec<u8>,
    line_ends: Vec<(usize, bool)>,
    items: u64,
    segments: Vec<InputSegment>,
}

impl SegmentBuilder {
    fn add(&mut self, line: &[u8], is_item: bool) {
        let full =
            self.lines.len() + line.len() > MAX_SEGMENT_BYTES || self.items >= MAX_SEGMENT_ITEMS;
        if full && !self.lines.is_empty() {
            self.flush();
        }
        self.lines.extend_from_slice(line);
        self.line_ends.push((self.lines.len(), is_item));
        self.items += u64::from(is_item);
    }

    fn flush(&mut self) {
        let lines = std::mem::take(&mut self.lines);
        let line_ends = std::mem::take(&mut self.line_ends);
        self.items = 0;
        self.push_segments(&lines, 0, &line_ends);
    }

    /// Appends a segment of the lines that end at `line_ends`, which starts at `start`. Halves the
    /// lines until each segment is at most [`MAX_VALUE_BYTES`] after compression.
    fn push_segments(&mut self, lines: &[u8], start: usize, line_ends: &[(usize, bool)]) {
        let Some((end, _)) = line_ends.last() else {
            return;
        };
        let content = &lines[start..*end];
        let value = compress(content);
        if value.len() > MAX_VALUE_BYTES && line_ends.len() > 1 {
            let (left, right) = line_ends.split_at(line_ends.len() / 2);
            self.push_segments(lines, start, left);
            self.push_segments(lines, left[left.len() - 1].0, right);
            return;
        }
        let segment = SegmentRef {
            items: line_ends.iter().filter(|end| end.1).count() as u64,
            bytes: content.len() as u64,
        };
        self.segments.push(InputSegment { segment, value });
    }

    fn finish(mut self) -> Vec<InputSegment> {
        self.flush();
        self.segments
    }
}
