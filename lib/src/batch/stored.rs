//! Stored formats of files, packs and markers, with their versions.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::batch::input::compress;
use crate::batch::input::decompress;
use crate::batch::ledger::JOB_FORMAT;
use crate::batch::ledger::JobRecord;
use crate::batch::ledger::SegmentRef;
use crate::batch::object::BatchError;
use crate::batch::object::FileObject;
use crate::batch::object::LineFault;
use crate::ids::WorkspaceName;

/// Version of the stored file format.
pub(crate) const FILE_FORMAT: u32 = 2;
/// Version of the stored pack format.
pub(crate) const PACK_FORMAT: u32 = 1;
/// Version of the stored marker format.
pub(crate) const MARKER_FORMAT: u32 = 1;

/// Stored record of an uploaded file. The content of a large file is stored apart, one value per
/// segment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct FileRecord {
    pub(crate) format: u32,
    pub(crate) file: FileObject,
    /// SHA-256 digest of the content in hexadecimal.
    pub(crate) digest: String,
    /// Segments of the content in line order.
    pub(crate) segments: Vec<SegmentRef>,
    /// Compressed content of a small file, which has a single segment.
    pub(crate) inline: Option<Bytes>,
    /// Faults of the content, which fail every job that uses the file.
    pub(crate) faults: Vec<LineFault>,
    /// First line of each path that items call.
    pub(crate) urls: BTreeMap<String, u64>,
}

/// Result of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Number of the item in the input, from 0.
    pub item: u64,
    /// Whether the item ended with an error.
    pub failed: bool,
    /// Line of the output or error file, without its line feed.
    pub line: String,
}

/// Stored pack of results.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ResultPack {
    pub(crate) format: u32,
    pub(crate) results: Vec<ItemResult>,
}

/// Marker of a job that may be open, by which hosts find jobs that they know nothing of. Written
/// before the job's record and deleted after its end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct OpenMarker {
    pub(crate) format: u32,
    pub(crate) workspace: WorkspaceName,
    /// Time of day by the clock of the host that wrote it, which hosts of the earlier release believe.
    pub(crate) created_ms: u64,
}

/// Marker of an upload in progress, by which the sweep finds the segments of an unfinished one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct UploadMarker {
    pub(crate) format: u32,
    pub(crate) workspace: WorkspaceName,
    pub(crate) segments: u32,
    /// Time of day by the clock of the host that wrote it, which hosts of the earlier release believe.
    pub(crate) created_ms: u64,
}

#[derive(Deserialize)]
struct FormatProbe {
    format: u32,
}

/// Encodes a stored object as CBOR.
pub(crate) fn encode(object: &impl Serialize) -> Bytes {
    let mut bytes = Vec::new();
    ciborium::into_writer(object, &mut bytes).expect("stored objects serialize to CBOR");
    Bytes::from(bytes)
}

/// Decodes a stored object from CBOR. Fails with [`BatchError::Format`] unless its format is
/// exactly `format`.
pub(crate) fn decode<T: DeserializeOwned>(value: &[u8], format: u32) -> Result<T, BatchError> {
    let probe: FormatProbe = ciborium::from_reader(value).map_err(malformed)?;
    if probe.format != format {
        return Err(BatchError::Format(probe.format));
    }
    ciborium::from_reader(value).map_err(malformed)
}

/// Decodes a job's record.
pub(crate) fn decode_job(value: &[u8]) -> Result<JobRecord, BatchError> {
    decode(value, JOB_FORMAT)
}

/// Encodes and compresses a pack.
pub(crate) fn encode_pack(results: Vec<ItemResult>) -> Bytes {
    let pack = ResultPack {
        format: PACK_FORMAT,
        results,
    };
    compress(&encode(&pack))
}

/// Decompresses and decodes a pack.
pub(crate) fn decode_pack(value: &[u8]) -> Result<Vec<ItemResult>, BatchError> {
    let content = decompress(value).map_err(BatchError::Damaged)?;
    let pack: ResultPack = decode(&content, PACK_FORMAT)?;
    Ok(pack.results)
}

fn malformed(err: ciborium::de::Error<std::io::Error>) -> BatchError {
    BatchError::Damaged(err.to_string())
}
