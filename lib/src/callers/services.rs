//! Proxying of requests to plain HTTP services.

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Uri;
use http::header;
use http::header::HeaderName;
use http_body_util::BodyExt;
use http_body_util::Full;

use crate::callers::claims::is_marked_idempotent;
use crate::callers::router::CallerApi;
use crate::callers::router::CallerRequest;
use crate::counters::CounterEvent;
use crate::counters::RefusalReason;
use crate::counters::RetryReason;
use crate::http::client::ClientError;
use crate::http::reply::Reply;
use crate::ids::ServiceName;
use crate::refusal::Refusal;
use crate::upstreams::Upstream;

/// Headers that are not forwarded because they concern one connection only (RFC 9110, section
/// 7.6.1).
const HOP_BY_HOP_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::HOST,
];

impl CallerApi {
    /// Forwards a request to an upstream that runs the service `name` and returns its response.
    ///
    /// Tries the next upstream if no byte was sent, and after a broken connection only if the
    /// request is idempotent.
    pub(crate) async fn call_service(
        &self,
        request: CallerRequest,
        name: &str,
    ) -> Result<Reply, Refusal> {
        let name = ServiceName::new(name);
        let candidates = self.upstreams.all().into_iter();
        let (running_service, others): (Vec<Upstream>, Vec<Upstream>) = candidates
            .map(|(_, upstream)| upstream)
            .partition(|upstream| upstream.serves_service(&name));
        if running_service.is_empty() && !others.is_empty() {
            let message = format!("service {name:?} does not exist");
            return Err(Refusal::new(RefusalReason::NotFound, message));
        }
        let targets: Vec<Upstream> = running_service
            .into_iter()
            .filter(Upstream::takes_work)
            .collect();
        if targets.is_empty() {
            let message = format!("no upstream runs service {name:?}");
            return Err(Refusal::new(RefusalReason::NoUpstream, message));
        }
        let method = request.parts.method.clone();
        let is_retryable = method.is_idempotent() && is_marked_idempotent(&request.parts.headers);
        let path = service_path(&request.parts.uri, &name);
        let headers = request.parts.headers.clone();
        let body = self.bodies.read(request.body).await?;
        let mut cause = String::new();
        for target in &targets {
            self.counters.event(CounterEvent::Dispatched);
            let call = service_request(target, &method, &path, &headers, body.clone())?;
            match self.client.send(call).await {
                Ok(response) => {
                    let response =
                        response.map(|body| body.map_err(std::io::Error::other).boxed_unsync());
                    return Ok(strip_hop_by_hop_headers(response));
                }
                Err(ClientError::NotSent(err)) => {
                    self.counters.retry(RetryReason::ConnectFailed);
                    cause = err;
                }
                Err(ClientError::Broken(err)) if is_retryable => {
                    self.counters.retry(RetryReason::ConnectionBroken);
                    cause = err;
                }
                Err(ClientError::Broken(err)) => {
                    let message = format!("{} failed: {err}", target.id);
                    let refusal = Refusal::new(RefusalReason::UpstreamFailed, message);
                    return Err(refusal.with_unknown_execution());
                }
            }
        }
        let refusal = Refusal::new(RefusalReason::UpstreamFailed, cause);
        match is_retryable {
            true => Err(refusal.with_unknown_execution()),
            false => Err(refusal),
        }
    }
}

fn service_path(uri: &Uri, name: &ServiceName) -> String {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let prefix = format!("/services/{name}");
    let rest = path.strip_prefix(&prefix).unwrap_or(path);
    match rest.starts_with('/') {
        true => rest.to_owned(),
        false => format!("/{rest}"),
    }
}

fn service_request(
    target: &Upstream,
    method: &Method,
    path: &str,
    headers: &http::HeaderMap,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, Refusal> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", target.address))
        .body(Full::new(body))
        .map_err(|err| Refusal::new(RefusalReason::BadRequest, err.to_string()))?;
    let forwarded = headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(name))
        .filter(|(name, _)| **name != header::AUTHORIZATION && **name != header::CONTENT_LENGTH);
    for (name, value) in forwarded {
        request.headers_mut().append(name, value.clone());
    }
    Ok(request)
}

fn strip_hop_by_hop_headers(mut reply: Reply) -> Reply {
    for name in &HOP_BY_HOP_HEADERS {
        reply.headers_mut().remove(name);
    }
    reply
}
