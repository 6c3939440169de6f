//! Committed results of jobs, in pages and as generated files.

use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::TryStreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream;

use crate::batch::ledger::JobRecord;
use crate::batch::ledger::PackRef;
use crate::batch::ledger::ResultKind;
use crate::batch::ledger::parse_result_file_id;
use crate::batch::object::BatchError;
use crate::batch::object::FileObject;
use crate::batch::object::FilePurpose;
use crate::batch::service::BatchService;
use crate::batch::stored::ItemResult;
use crate::ids::FileId;
use crate::ids::JobId;
use crate::ids::WorkspaceName;

/// Packs of one generated file that are read concurrently.
const MAX_CONCURRENT_PACK_READS: usize = 4;
/// Most results of one page.
const MAX_PAGE_RESULTS: usize = 1000;

/// One page of committed results, in the order of their commits.
#[derive(Clone, Debug)]
pub struct CommittedResults {
    /// Results of this page.
    pub results: Vec<ItemResult>,
    /// Number of results before the next page; the `after` of the next request.
    pub cursor: u64,
    /// Whether results after this page are committed already.
    pub more: bool,
}

impl BatchService {
    /// Reads up to `limit` committed results, without the first `after` ones. Committed results and
    /// their order never change, so a cursor stays valid.
    pub async fn results(
        &self,
        workspace: &WorkspaceName,
        id: &JobId,
        after: u64,
        limit: usize,
    ) -> Result<CommittedResults, BatchError> {
        let limit = limit.clamp(1, MAX_PAGE_RESULTS);
        let record = self.job_record(workspace, id).await?;
        let mut results = Vec::new();
        let mut passed = 0;
        for pack in &record.packs {
            let items = u64::from(pack.items);
            if passed + items > after && results.len() < limit {
                let skip = after.saturating_sub(passed) as usize;
                let content = self.pack(id, pack).await?;
                let room = limit - results.len();
                results.extend(content.into_iter().skip(skip).take(room));
            }
            passed += items;
        }
        let cursor = after + results.len() as u64;
        Ok(CommittedResults {
            more: cursor < passed,
            cursor,
            results,
        })
    }

    /// Describes the generated file `id`; `None` if `id` is that of an uploaded file.
    pub(crate) async fn result_file(
        &self,
        workspace: &WorkspaceName,
        id: &FileId,
    ) -> Result<Option<FileObject>, BatchError> {
        let Some((record, kind)) = self.result_job(workspace, id).await? else {
            return Ok(None);
        };
        Ok(Some(FileObject {
            id: id.clone(),
            workspace: workspace.clone(),
            filename: format!("{}_{kind}.jsonl", record.id),
            purpose: FilePurpose::BatchOutput,
            bytes: match kind {
                ResultKind::Output => record.output_bytes,
                ResultKind::Errors => record.error_bytes,
            },
            created_at: record.ended_ms.unwrap_or(record.created_ms) / 1000,
        }))
    }

    /// Reads the content of the generated file `id`, one line per item in input order; `None` if
    /// `id` is that of an uploaded file.
    pub(crate) async fn result_content(
        &self,
        workspace: &WorkspaceName,
        id: &FileId,
    ) -> Result<Option<Vec<u8>>, BatchError> {
        let Some((record, kind)) = self.result_job(workspace, id).await? else {
            return Ok(None);
        };
        let reads: Vec<BoxFuture<'_, Result<Vec<ItemResult>, BatchError>>> = record
            .packs
            .iter()
            .map(|pack| self.pack(&record.id, pack).boxed())
            .collect();
        let packs: Vec<Vec<ItemResult>> = stream::iter(reads)
            .buffered(MAX_CONCURRENT_PACK_READS)
            .try_collect()
            .await?;
        let mut results: Vec<ItemResult> = packs
            .into_iter()
            .flatten()
            .filter(|result| result.failed == (kind == ResultKind::Errors))
            .collect();
        results.sort_by_key(|result| result.item);
        let mut content = Vec::new();
        for result in results {
            content.extend_from_slice(result.line.as_bytes());
            content.push(b'\n');
        }
        Ok(Some(content))
    }

    async fn result_job(
        &self,
        workspace: &WorkspaceName,
        id: &FileId,
    ) -> Result<Option<(JobRecord, ResultKind)>, BatchError> {
        let Some((job, kind)) = parse_result_file_id(id) else {
            return Ok(None);
        };
        let record = self.job_record(workspace, &job).await?;
        let object = record.object();
        let file = match kind {
            ResultKind::Output => object.output_file_id,
            ResultKind::Errors => object.error_file_id,
        };
        match file.as_ref() == Some(id) {
            true => Ok(Some((record, kind))),
            false => Err(BatchError::NotFound(format!("file {id:?}"))),
        }
    }

    async fn pack(&self, job: &JobId, pack: &PackRef) -> Result<Vec<ItemResult>, BatchError> {
        self.store().pack(job, pack).await
    }
}
