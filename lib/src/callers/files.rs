//! Upload and download of the input and output files of batch jobs.

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use multer::Constraints;
use multer::Multipart;
use multer::SizeLimit;

use crate::callers::router::CallerApi;
use crate::callers::router::CallerRequest;
use crate::counters::RefusalReason;
use crate::http::body::BodyError;
use crate::http::reply::Reply;
use crate::http::reply::full_body;
use crate::http::reply::json_reply;
use crate::ids::FileId;
use crate::refusal::Refusal;

/// Fields of the multipart form of an upload.
#[derive(Default)]
struct UploadForm {
    purpose: Option<String>,
    file: Option<(String, Bytes)>,
}

impl CallerApi {
    /// Stores an uploaded file, whose purpose must be `batch`, and returns its metadata.
    pub(crate) async fn upload_file(&self, request: CallerRequest) -> Result<Reply, Refusal> {
        let content_type = request.parts.headers.get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let boundary = multer::parse_boundary(content_type.unwrap_or_default()).map_err(|err| {
            let message = format!("the content type is not multipart/form-data: {err}");
            Refusal::new(RefusalReason::ContentType, message)
        })?;
        let limit = self.bodies.limit() as u64;
        let constraints =
            Constraints::new().size_limit(SizeLimit::new().whole_stream(limit).per_field(limit));
        let parts = self.bodies.parts(request.body);
        let form = Multipart::with_constraints(parts, boundary, constraints);
        let form = read_form(form).await.map_err(form_refusal)?;
        if form.purpose.as_deref() != Some("batch") {
            let message = "the field \"purpose\" must be \"batch\"";
            return Err(Refusal::new(RefusalReason::BadRequest, message));
        }
        let Some((filename, content)) = form.file else {
            let message = "the field \"file\" is missing";
            return Err(Refusal::new(RefusalReason::BadRequest, message));
        };
        let workspace = &request.terms.name;
        let file = self
            .batch
            .create_file(workspace, &filename, &content)
            .await?;
        Ok(json_reply(StatusCode::OK, &file.body()))
    }

    /// Returns the metadata of a file.
    pub(crate) async fn file(&self, request: &CallerRequest, id: &str) -> Result<Reply, Refusal> {
        let file = self
            .batch
            .file(&request.terms.name, &FileId::new(id))
            .await?;
        Ok(json_reply(StatusCode::OK, &file.body()))
    }

    /// Returns the content of a file.
    pub(crate) async fn file_content(
        &self,
        request: &CallerRequest,
        id: &str,
    ) -> Result<Reply, Refusal> {
        let id = FileId::new(id);
        let content = self.batch.file_content(&request.terms.name, &id).await?;
        let mut reply = Response::new(full_body(content));
        let content_type = HeaderValue::from_static("application/octet-stream");
        reply
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
        Ok(reply)
    }
}

async fn read_form(mut form: Multipart<'_>) -> Result<UploadForm, multer::Error> {
    let mut upload = UploadForm::default();
    while let Some(field) = form.next_field().await? {
        match field.name().unwrap_or_default() {
            "purpose" => upload.purpose = Some(field.text().await?),
            "file" => {
                let filename = field.file_name().unwrap_or("input.jsonl").to_owned();
                upload.file = Some((filename, field.bytes().await?));
            }
            _ => drop(field.bytes().await?),
        }
    }
    Ok(upload)
}

fn form_refusal(err: multer::Error) -> Refusal {
    let body_error = match &err {
        multer::Error::StreamReadFailed(cause) => cause.downcast_ref::<BodyError>(),
        _ => None,
    };
    if let Some(body_error) = body_error {
        return body_error.clone().into();
    }
    let reason = match err {
        multer::Error::StreamSizeExceeded { .. } | multer::Error::FieldSizeExceeded { .. } => {
            RefusalReason::TooLarge
        }
        _ => RefusalReason::BadRequest,
    };
    Refusal::new(reason, format!("the upload could not be read: {err}"))
}
