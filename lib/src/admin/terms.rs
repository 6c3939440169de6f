//! Operators' calls that read and edit the terms.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use crate::admin::AdminApi;
use crate::callers::read_json;
use crate::counters::RefusalReason;
use crate::http::reply::Reply;
use crate::http::reply::json_reply;
use crate::ids::Revision;
use crate::ids::TemplateName;
use crate::ids::WorkspaceName;
use crate::ids::random_id;
use crate::refusal::Refusal;
use crate::terms::ObjectEdit;
use crate::terms::ProposedChange;
use crate::terms::TermsError;
use crate::terms::TermsProposal;

/// Header with the identifier of an edit, by which a resent edit is recognised and applied once.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const AUTHOR_HEADER: &str = "x-author";
const MAX_EDIT_ID_BYTES: usize = 128;
const MAX_REVISION_WAIT: Duration = Duration::from_secs(60);
const REVISION_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Body of a rollback.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RollbackBody {
    /// Revision to return to.
    to: Revision,
}

impl AdminApi {
    /// Handles calls on the whole document of terms and on single templates and workspaces.
    pub(super) async fn route_terms(
        &self,
        segments: &[&str],
        request: Request<Incoming>,
    ) -> Result<Reply, Refusal> {
        match (request.method(), segments) {
            (&Method::GET, ["terms"]) => self.terms_at(request.uri().query()).await,
            (&Method::GET, ["terms", "history"]) => {
                let history = self.terms.history().await?;
                Ok(json_reply(StatusCode::OK, &history))
            }
            (&Method::GET, ["terms", "in-force"]) => self.in_force(request.uri().query()).await,
            (&Method::PUT, ["terms"]) => self.edit(request, whole_document).await,
            (&Method::POST, ["terms", "rollback"]) => self.edit(request, rollback).await,
            (&Method::PUT | &Method::PATCH | &Method::DELETE, ["templates", name]) => {
                let name = TemplateName::new(name);
                self.edit_object(request, |edit| ProposedChange::Template(name, edit))
                    .await
            }
            (&Method::PUT | &Method::PATCH | &Method::DELETE, ["workspaces", name]) => {
                let name = WorkspaceName::new(name);
                self.edit_object(request, |edit| ProposedChange::Workspace(name, edit))
                    .await
            }
            (method, segments) => {
                let allow = match segments {
                    ["terms"] => Some("GET, PUT"),
                    ["terms", "history" | "in-force"] => Some("GET"),
                    ["terms", "rollback"] => Some("POST"),
                    ["templates" | "workspaces", _] => Some("PUT, PATCH, DELETE"),
                    _ => None,
                };
                let path = request.uri().path();
                Err(Refusal::unmatched_path(method, path, allow))
            }
        }
    }

    async fn terms_at(&self, query: Option<&str>) -> Result<Reply, Refusal> {
        let view = self.terms.view();
        match query_number(query, "revision")? {
            None => Ok(with_etag(
                json_reply(StatusCode::OK, &*view.document),
                view.revision,
            )),
            Some(revision) => {
                let revision = Revision(revision);
                let document = self.terms.document_at(revision).await?;
                Ok(with_etag(json_reply(StatusCode::OK, &*document), revision))
            }
        }
    }

    /// Waits until a revision is in force on every live host, for `?wait=` seconds at most. Returns
    /// the hosts on which it is not.
    async fn in_force(&self, query: Option<&str>) -> Result<Reply, Refusal> {
        let revision = query_number(query, "revision")?.unwrap_or(self.terms.view().revision.0);
        let revision = Revision(revision);
        let wait =
            Duration::from_secs(query_number(query, "wait")?.unwrap_or(0)).min(MAX_REVISION_WAIT);
        let deadline = Instant::now() + wait;
        loop {
            let view = self.membership.view();
            let behind: Vec<_> = view
                .hosts
                .iter()
                .filter(|host| host.revision < revision)
                .map(|host| json!({ "host": host.id, "revision": host.revision }))
                .collect();
            if behind.is_empty() || Instant::now() >= deadline {
                let body = json!({
                    "revision": revision,
                    "hosts": view.hosts.len(),
                    "behind": behind,
                });
                return Ok(json_reply(StatusCode::OK, &body));
            }
            self.membership.request_revisions(revision);
            tokio::time::sleep(REVISION_POLL_INTERVAL).await;
        }
    }

    async fn edit(
        &self,
        request: Request<Incoming>,
        change: fn(Value) -> Result<ProposedChange, Refusal>,
    ) -> Result<Reply, Refusal> {
        let (parts, body) = request.into_parts();
        let value: Value = read_json(&parts.headers, body, &self.bodies).await?;
        self.commit(&parts.headers, change(value)?).await
    }

    async fn edit_object(
        &self,
        request: Request<Incoming>,
        change: impl FnOnce(ObjectEdit) -> ProposedChange,
    ) -> Result<Reply, Refusal> {
        let (parts, body) = request.into_parts();
        let edit = match parts.method {
            Method::DELETE => ObjectEdit::Delete,
            Method::PATCH => {
                ObjectEdit::Patch(read_json(&parts.headers, body, &self.bodies).await?)
            }
            _ => ObjectEdit::Put(read_json(&parts.headers, body, &self.bodies).await?),
        };
        self.commit(&parts.headers, change(edit)).await
    }

    async fn commit(&self, headers: &HeaderMap, change: ProposedChange) -> Result<Reply, Refusal> {
        let author = header_text(headers, AUTHOR_HEADER).unwrap_or("operator");
        let edit = header_text(headers, IDEMPOTENCY_KEY_HEADER)
            .filter(|edit| !edit.is_empty() && edit.len() <= MAX_EDIT_ID_BYTES);
        let proposal = TermsProposal {
            edit: edit.map_or_else(|| random_id("edit"), ToOwned::to_owned),
            author: author.to_owned(),
            expected: if_match(headers)?,
            change,
        };
        let revision = self.terms.commit(&proposal).await?;
        let body = json!({ "revision": revision, "edit": proposal.edit });
        Ok(with_etag(json_reply(StatusCode::OK, &body), revision))
    }
}

fn whole_document(value: Value) -> Result<ProposedChange, Refusal> {
    let document = serde_json::from_value(value).map_err(malformed_body)?;
    Ok(ProposedChange::Whole(Box::new(document)))
}

fn rollback(value: Value) -> Result<ProposedChange, Refusal> {
    let body: RollbackBody = serde_json::from_value(value).map_err(malformed_body)?;
    Ok(ProposedChange::Rollback(body.to))
}

fn malformed_body(err: serde_json::Error) -> Refusal {
    let message = format!("the body is not the expected JSON: {err}");
    Refusal::new(RefusalReason::BadRequest, message)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn query_number(query: Option<&str>, name: &str) -> Result<Option<u64>, Refusal> {
    let pairs = url::form_urlencoded::parse(query.unwrap_or_default().as_bytes());
    let mut values = pairs.filter(|(key, _)| key == name).map(|(_, value)| value);
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let number = value.parse().map_err(|_| {
        let message = format!("{name}={value:?} is not a whole number");
        Refusal::new(RefusalReason::BadRequest, message)
    })?;
    Ok(Some(number))
}

/// Returns the revision in the `If-Match` header, or `None` without the header.
fn if_match(headers: &HeaderMap) -> Result<Option<Revision>, Refusal> {
    let Some(value) = headers.get(header::IF_MATCH) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default().trim_matches('"');
    let revision = text.parse().map_err(|_| {
        let message = format!("If-Match {text:?} is not a revision");
        Refusal::new(RefusalReason::BadRequest, message)
    })?;
    Ok(Some(Revision(revision)))
}

fn with_etag(mut reply: Reply, revision: Revision) -> Reply {
    let etag = HeaderValue::from_str(&format!("\"{revision}\"")).expect("digits are a header");
    reply.headers_mut().insert(header::ETAG, etag);
    reply
}

impl From<TermsError> for Refusal {
    fn from(err: TermsError) -> Self {
        match err {
            TermsError::Invalid(faults) => {
                let lines = faults.iter();
                let lines: Vec<_> = lines
                    .map(|fault| format!("{}: {}", fault.path, fault.problem))
                    .collect();
                Self::new(RefusalReason::BadRequest, lines.join("; "))
            }
            TermsError::Conflict {
                current,
                author,
                differences,
            } => {
                let lines: Vec<_> = differences.iter().map(ToString::to_string).collect();
                let what = match lines.is_empty() {
                    true => "the difference is not known any more".to_owned(),
                    false => lines.join("; "),
                };
                let message = format!("revision {current} by {author:?} came first: {what}");
                Self::new(RefusalReason::Conflict, message)
            }
            TermsError::UnknownRevision(revision) => Self::new(
                RefusalReason::NotFound,
                format!("revision {revision} is not in the history"),
            ),
            TermsError::Unavailable(cause) => Self::new(RefusalReason::StoreUnavailable, cause),
            TermsError::Unknown(cause) => {
                Self::new(RefusalReason::StoreUnavailable, cause).with_unknown_execution()
            }
            TermsError::Format(format) => Self::new(
                RefusalReason::StoreUnavailable,
                format!("the stored terms have the unknown format {format}"),
            ),
        }
    }
}
