//! Storage of the accepted terms in the key-value service.
//!
//! One small head record, which is replaced by compare-and-swap, determines the accepted revision.
//! It holds the edits since the last snapshot. A snapshot is the whole compressed document; it is
//! written under a key of its own before the head refers to it, split into parts of limited size.
//! Each snapshot refers to its predecessor and holds the edits between the two: this chain is the
//! history.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::edges::kv::Expect;
use crate::edges::kv::KvEntry;
use crate::edges::kv::KvError;
use crate::edges::kv::KvStore;
use crate::edges::kv::KvVersion;
use crate::ids::Revision;
use crate::terms::document::TermsDocument;
use crate::terms::edit::TermsChange;
use crate::terms::keeper::TermsError;

/// Key of the head record in the key-value service.
pub const TERMS_KEY: &str = "terms/current";

const SNAPSHOT_PREFIX: &str = "terms/snapshots/";
/// Format version of the head record and of snapshots.
const FORMAT_VERSION: u32 = 2;
/// Encoded size of the head's edits above which a new snapshot is written and the edits are
/// cleared.
const MAX_EDIT_BYTES: usize = 16 * 1024;
/// Newest edits whose summaries stay in the head; a repeated edit is recognised only among these.
const MAX_RECENT_EDITS: usize = 128;
const MAX_PART_BYTES: usize = 900 * 1024;
/// Number of snapshots that the history spans; older ones are removed.
const MAX_SNAPSHOTS: usize = 16;
const MAX_PATHS: usize = 8;

/// Author, time and changed paths of an accepted edit, without its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditSummary {
    /// Revision that the edit made.
    pub revision: Revision,
    /// Identifier that the editor chose, by which a repeated edit is recognised.
    pub edit: String,
    /// Author of the edit.
    pub author: String,
    /// Time of the commit in milliseconds since the Unix epoch, by the committing host's clock.
    pub at_ms: u64,
    /// Paths of the changed objects; only the first few if there are many.
    pub paths: Vec<String>,
    /// Number of changed objects, which may exceed the number of `paths`.
    pub objects: usize,
}

/// An accepted edit with the new content of each changed object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StoredEdit {
    revision: Revision,
    changes: Vec<TermsChange>,
}

/// Reference to a stored snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SnapshotRef {
    revision: Revision,
    key: String,
    parts: usize,
}

/// Stored content of a snapshot.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct TermsSnapshot {
    format: u32,
    document: TermsDocument,
    /// Edits after `previous`, up to and including the one before this snapshot.
    edits: Vec<StoredEdit>,
    previous: Option<SnapshotRef>,
}

/// Head record, which determines the accepted revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TermsHead {
    format: u32,
    pub(crate) revision: Revision,
    snapshot: SnapshotRef,
    /// Edits since the snapshot, oldest first.
    edits: Vec<StoredEdit>,
    /// Summaries of the newest edits, oldest first.
    pub(crate) recent: Vec<EditSummary>,
}

/// The accepted terms, as read from the key-value service.
pub(crate) struct AcceptedTerms {
    /// Head record with its version for the next compare-and-swap; `None` before the first edit.
    pub(crate) head: Option<(TermsHead, KvVersion)>,
    pub(crate) revision: Revision,
    pub(crate) document: Arc<TermsDocument>,
}

impl AcceptedTerms {
    /// Revision that the edit with the identifier `edit` made; `None` if it is not among the
    /// newest.
    pub(crate) fn revision_of_edit(&self, edit: &str) -> Option<Revision> {
        let (head, _) = self.head.as_ref()?;
        let known = head.recent.iter().find(|recent| recent.edit == edit);
        known.map(|recent| recent.revision)
    }

    /// Summary of the newest edit; `None` before the first.
    pub(crate) fn newest(&self) -> Option<&EditSummary> {
        let (head, _) = self.head.as_ref()?;
        head.recent.last()
    }
}

/// Revision and document that the caller already has; newer edits are applied to it.
#[derive(Clone)]
pub(crate) struct BaseTerms {
    pub(crate) revision: Revision,
    pub(crate) document: Arc<TermsDocument>,
}

/// Reads and writes the accepted terms in the key-value service.
#[derive(Clone)]
pub(crate) struct TermsStore {
    store: Arc<dyn KvStore>,
}

impl TermsStore {
    pub(crate) fn new(store: Arc<dyn KvStore>) -> Self {
        Self { store }
    }

    pub(crate) fn kv(&self) -> &dyn KvStore {
        self.store.as_ref()
    }

    /// Reads the accepted terms. Reads no snapshot if `base` is recent enough for the head's edits.
    pub(crate) async fn read(&self, base: &BaseTerms) -> Result<AcceptedTerms, TermsError> {
        match self.store.get(TERMS_KEY).await.map_err(kv_error)? {
            Some(entry) => self.resolve_head(&entry, base).await,
            None => Ok(AcceptedTerms {
                head: None,
                revision: Revision(0),
                document: Arc::default(),
            }),
        }
    }

    /// Resolves a head record to the accepted document: applies its edits to `base`, or to the
    /// snapshot if `base` is older than that.
    pub(crate) async fn resolve_head(
        &self,
        entry: &KvEntry,
        base: &BaseTerms,
    ) -> Result<AcceptedTerms, TermsError> {
        let head = decode_head(&entry.value)?;
        let base_is_usable =
            base.revision >= head.snapshot.revision && base.revision <= head.revision;
        let (from, document) = match base_is_usable {
            true => (base.revision, base.document.clone()),
            false => {
                let snapshot = self.snapshot(&head.snapshot).await?;
                (head.snapshot.revision, Arc::new(snapshot.document))
            }
        };
        let document = replay(document, from, head.revision, &head.edits);
        Ok(AcceptedTerms {
            revision: head.revision,
            document,
            head: Some((head, entry.version)),
        })
    }

    /// Writes `document` as the revision after `accepted` and returns that revision; fails with
    /// [`KvError::Conflict`] if another edit was accepted meanwhile.
    pub(crate) async fn write(
        &self,
        accepted: &AcceptedTerms,
        document: &TermsDocument,
        changes: Vec<TermsChange>,
        mut summary: EditSummary,
    ) -> Result<Revision, KvError> {
        let revision = Revision(accepted.revision.0 + 1);
        summary.revision = revision;
        summary.objects = changes.len();
        summary.paths = changes
            .iter()
            .take(MAX_PATHS)
            .map(TermsChange::path)
            .collect();
        let edit = summary.edit.clone();
        let head = accepted.head.as_ref().map(|(head, _)| head);
        let mut recent = head.map(|head| head.recent.clone()).unwrap_or_default();
        recent.push(summary);
        let excess = recent.len().saturating_sub(MAX_RECENT_EDITS);
        recent.drain(..excess);
        let stored = StoredEdit { revision, changes };
        let appended = head.map(|head| {
            let edits = head.edits.iter().cloned().chain([stored]).collect();
            TermsHead {
                revision,
                edits,
                recent: recent.clone(),
                ..head.clone()
            }
        });
        let next = match appended.filter(|head| encoded_size(&head.edits) <= MAX_EDIT_BYTES) {
            Some(head) => head,
            None => {
                let snapshot = self.write_snapshot(head, revision, &edit, document).await?;
                TermsHead {
                    format: FORMAT_VERSION,
                    revision,
                    snapshot,
                    edits: Vec::new(),
                    recent,
                }
            }
        };
        let expect = match &accepted.head {
            Some((_, version)) => Expect::Version(*version),
            None => Expect::Absent,
        };
        let value = serde_json::to_vec(&next).expect("heads serialize to JSON");
        let written = self.store.put(TERMS_KEY, Bytes::from(value), expect, None);
        written.await?;
        if next.edits.is_empty() {
            // A failure is ignored, as removal runs again after the next snapshot.
            let _ = self.remove_old_snapshots(&next.snapshot).await;
        }
        Ok(revision)
    }

    /// The document of the given revision; `None` if the history does not reach it.
    pub(crate) async fn document_at(
        &self,
        revision: Revision,
        accepted: &AcceptedTerms,
    ) -> Result<Option<Arc<TermsDocument>>, TermsError> {
        let Some((head, _)) = &accepted.head else {
            return Ok(None);
        };
        if revision > head.revision {
            return Ok(None);
        }
        let mut next_reference = Some(head.snapshot.clone());
        let mut edits = head.edits.clone();
        for _ in 0..MAX_SNAPSHOTS {
            let Some(reference) = next_reference else {
                return Ok(None);
            };
            let snapshot = self.snapshot(&reference).await?;
            if reference.revision <= revision {
                let document = Arc::new(snapshot.document);
                return Ok(Some(replay(document, reference.revision, revision, &edits)));
            }
            next_reference = snapshot.previous;
            edits = snapshot.edits;
        }
        Ok(None)
    }

    async fn snapshot(&self, reference: &SnapshotRef) -> Result<TermsSnapshot, TermsError> {
        let mut compressed = Vec::new();
        for part in 0..reference.parts {
            let key = part_key(&reference.key, part);
            let entry = self.store.get(&key).await.map_err(kv_error)?;
            let entry = entry.ok_or_else(|| {
                TermsError::Unavailable(format!("snapshot {:?} is gone", reference.key))
            })?;
            compressed.extend_from_slice(&entry.value);
        }
        let malformed =
            |cause: String| TermsError::Unavailable(format!("a snapshot is malformed: {cause}"));
        let json = lz4_flex::decompress_size_prepended(&compressed)
            .map_err(|err| malformed(err.to_string()))?;
        let snapshot: TermsSnapshot =
            serde_json::from_slice(&json).map_err(|err| malformed(err.to_string()))?;
        match snapshot.format {
            FORMAT_VERSION => Ok(snapshot),
            format => Err(TermsError::Format(format)),
        }
    }

    async fn write_snapshot(
        &self,
        head: Option<&TermsHead>,
        revision: Revision,
        edit: &str,
        document: &TermsDocument,
    ) -> Result<SnapshotRef, KvError> {
        let snapshot = TermsSnapshot {
            format: FORMAT_VERSION,
            document: document.clone(),
            edits: head.map(|head| head.edits.clone()).unwrap_or_default(),
            previous: head.map(|head| head.snapshot.clone()),
        };
        let compressed = compress(&snapshot);
        let digest = xxhash_rust::xxh3::xxh3_64(edit.as_bytes());
        let key = format!("{SNAPSHOT_PREFIX}{:020}-{digest:016x}", revision.0);
        let parts: Vec<&[u8]> = compressed.chunks(MAX_PART_BYTES).collect();
        for (number, part) in parts.iter().enumerate() {
            let value = Bytes::copy_from_slice(part);
            // The key has the revision and a digest of the edit's identifier, so that only this
            // edit writes it, and always with the same content: overwriting is safe.
            self.store
                .put(&part_key(&key, number), value, Expect::Any, None)
                .await?;
        }
        Ok(SnapshotRef {
            revision,
            key,
            parts: parts.len(),
        })
    }

    /// Removes snapshots older than the history, and those of writers whose compare-and-swap
    /// failed. Each call removes only a few.
    async fn remove_old_snapshots(&self, newest: &SnapshotRef) -> Result<(), TermsError> {
        // Kept small, as a page also holds the values, of up to `MAX_PART_BYTES` each.
        const SNAPSHOTS_PER_PAGE: usize = 4;
        let mut oldest = newest.clone();
        for _ in 1..MAX_SNAPSHOTS {
            match self.snapshot(&oldest).await?.previous {
                Some(previous) => oldest = previous,
                None => return Ok(()),
            }
        }
        let page = self
            .store
            .list(SNAPSHOT_PREFIX, None, SNAPSHOTS_PER_PAGE)
            .await;
        for entry in page.map_err(kv_error)?.entries {
            if entry.key < oldest.key {
                let deleted = self.store.delete(&entry.key, Expect::Any).await;
                deleted.map_err(kv_error)?;
            }
        }
        Ok(())
    }
}

/// Compressed size in bytes of a document's snapshot, and the number of parts it is stored in.
pub fn stored_size(document: &TermsDocument) -> (usize, usize) {
    let compressed = compress(&TermsSnapshot {
        format: FORMAT_VERSION,
        document: document.clone(),
        edits: Vec::new(),
        previous: None,
    });
    (compressed.len(), compressed.len().div_ceil(MAX_PART_BYTES))
}

fn compress(snapshot: &TermsSnapshot) -> Vec<u8> {
    let json = serde_json::to_vec(snapshot).expect("snapshots serialize to JSON");
    lz4_flex::compress_prepend_size(&json)
}

fn part_key(key: &str, part: usize) -> String {
    format!("{key}/{part:04}")
}

fn encoded_size(edits: &[StoredEdit]) -> usize {
    serde_json::to_vec(edits).map_or(usize::MAX, |json| json.len())
}

/// Applies the edits after revision `from`, up to and including `to`, to `document`.
fn replay(
    document: Arc<TermsDocument>,
    from: Revision,
    to: Revision,
    edits: &[StoredEdit],
) -> Arc<TermsDocument> {
    let mut document = document;
    for edit in edits {
        if edit.revision <= from || edit.revision > to {
            continue;
        }
        let edited = Arc::make_mut(&mut document);
        for change in &edit.changes {
            change.apply(edited);
        }
    }
    document
}

pub(crate) fn decode_head(value: &[u8]) -> Result<TermsHead, TermsError> {
    #[derive(Deserialize)]
    struct FormatOnly {
        format: u32,
    }
    let malformed = |err: serde_json::Error| {
        TermsError::Unavailable(format!("the stored terms are malformed: {err}"))
    };
    let format: FormatOnly = serde_json::from_slice(value).map_err(malformed)?;
    match format.format {
        FORMAT_VERSION => serde_json::from_slice(value).map_err(malformed),
        format => Err(TermsError::Format(format)),
    }
}

pub(crate) fn kv_error(err: KvError) -> TermsError {
    TermsError::Unavailable(err.to_string())
}
