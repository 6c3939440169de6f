//! Stand-in of a worker of the co-operative's platform, served over HTTP.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;

use crate::server::StandinReply;
use crate::server::StandinServer;
use crate::server::read_body;

/// Start time of a worker's process, in milliseconds since the Unix epoch.
const START_MS: u64 = 1000;

/// How a worker handles the requests that it gets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerBehaviour {
    /// Answers with a stream of events.
    #[default]
    Streams,
    /// Answers with the request's body.
    Echoes,
    /// Rejects requests with 503, as it has no free slot.
    Sheds,
    /// Rejects requests with 421, as if they were meant for another worker.
    IsAnother,
    /// Answers with a stream of events, but with the identifier of another request.
    AnswersAnother,
    /// Answers with a stream of events, but without its signature.
    LeavesOutSeal,
    /// Answers with a stream of events, and announces that it is leaving.
    Leaves,
    /// Rejects requests with 503, and announces that it is leaving.
    LeavesFull,
    /// Rejects requests with 422, as they can never succeed.
    Rejects,
}

/// A request as the worker received it.
#[derive(Clone, Debug)]
pub struct WorkerRequest {
    /// Method and request target, separated by a space.
    pub line: String,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Body of the request; empty if it could not be read.
    pub body: Bytes,
}

/// A worker with a settable behaviour, which records its requests.
pub struct PlatformWorker {
    id: String,
    events: u64,
    behaviour: Mutex<WorkerBehaviour>,
    limits: Mutex<Vec<String>>,
    requests: Mutex<Vec<WorkerRequest>>,
}

impl PlatformWorker {
    /// Returns worker `id`, whose streams have `events` events.
    pub fn new(id: &str, events: u64) -> Arc<Self> {
        Arc::new(Self {
            id: id.to_owned(),
            events,
            behaviour: Mutex::default(),
            limits: Mutex::default(),
            requests: Mutex::default(),
        })
    }

    /// Serves the worker over HTTP on a free loopback port.
    pub async fn serve(self: &Arc<Self>) -> std::io::Result<StandinServer> {
        let worker = self.clone();
        StandinServer::start(move |request| {
            let worker = worker.clone();
            async move { Some(worker.answer(request).await) }
        })
        .await
    }

    /// Sets how the worker handles requests from now on.
    pub fn set(&self, behaviour: WorkerBehaviour) {
        *self.behaviour.lock().expect("behaviour lock") = behaviour;
    }

    /// Sets the values of the headers by which the worker names its limit from now on.
    pub fn set_limits(&self, values: &[&str]) {
        let values = values.iter().map(|value| (*value).to_owned());
        *self.limits.lock().expect("limits lock") = values.collect();
    }

    /// Returns all requests so far, reports excepted, in the order of arrival.
    pub fn requests(&self) -> Vec<WorkerRequest> {
        self.requests.lock().expect("requests lock").clone()
    }

    /// Data of the events of a complete answer, joined by line feeds.
    pub fn text(&self) -> String {
        let lines: Vec<String> = (1..=self.events).map(|id| format!("piece {id}")).collect();
        lines.join("\n")
    }

    fn report(&self) -> StandinReply {
        let text = format!("{{\"stage\":\"hybrid\",\"busy\":false,\"born\":{START_MS}}}");
        Response::new(Full::new(Bytes::from(text)).boxed_unsync())
    }

    async fn answer(&self, request: Request<Incoming>) -> StandinReply {
        if request.uri().path() == "/report" {
            return self.report();
        }
        let line = format!("{} {}", request.method(), request.uri());
        let headers = request.headers().clone();
        let body = read_body(request).await;
        let received = WorkerRequest {
            line,
            headers: headers.clone(),
            body: body.clone(),
        };
        self.requests.lock().expect("requests lock").push(received);
        let behaviour = *self.behaviour.lock().expect("behaviour lock");
        let mut reply = match behaviour {
            WorkerBehaviour::Streams
            | WorkerBehaviour::Leaves
            | WorkerBehaviour::AnswersAnother
            | WorkerBehaviour::LeavesOutSeal => self.stream(&headers),
            WorkerBehaviour::Echoes => Response::new(Full::new(body).boxed_unsync()),
            WorkerBehaviour::Sheds | WorkerBehaviour::LeavesFull => {
                empty(StatusCode::SERVICE_UNAVAILABLE)
            }
            WorkerBehaviour::IsAnother => empty(StatusCode::MISDIRECTED_REQUEST),
            WorkerBehaviour::Rejects => empty(StatusCode::UNPROCESSABLE_ENTITY),
        };
        let answered = reply.headers_mut();
        if let Some(id) = headers.get("attempt-id") {
            answered.insert("attempt-id", id.clone());
        }
        for value in self.limits.lock().expect("limits lock").iter() {
            let value = http::HeaderValue::from_str(value).expect("limits are ASCII");
            answered.append("server-limit", value);
        }
        if let WorkerBehaviour::Leaves | WorkerBehaviour::LeavesFull = behaviour {
            answered.insert("server-leaving", http::HeaderValue::from_static("1"));
        }
        match behaviour {
            WorkerBehaviour::Sheds | WorkerBehaviour::LeavesFull => {
                answered.insert("not-executed", http::HeaderValue::from_static("1"));
            }
            WorkerBehaviour::LeavesOutSeal | WorkerBehaviour::IsAnother => {}
            WorkerBehaviour::AnswersAnother => {
                answered.insert("attempt-id", http::HeaderValue::from_static("another"));
                answered.insert("response-seal", seal(&self.id));
            }
            _ => {
                answered.insert("response-seal", seal(&self.id));
            }
        }
        reply
    }

    fn stream(&self, headers: &HeaderMap) -> StandinReply {
        let after = headers.get("last-event-id").and_then(|id| id.to_str().ok());
        let first = after.and_then(|id| id.parse::<u64>().ok()).unwrap_or(0) + 1;
        let events = stream::iter(first..=self.events).then(|id| async move {
            tokio::time::sleep(Duration::from_millis(1)).await;
            let event = format!("id: {id}\ndata: piece {id}\n\n");
            Ok(Frame::data(Bytes::from(event)))
        });
        let mut reply = Response::new(StreamBody::new(events).boxed_unsync());
        let kind = http::HeaderValue::from_static("text/event-stream");
        reply.headers_mut().insert(http::header::CONTENT_TYPE, kind);
        reply
    }
}

fn empty(status: StatusCode) -> StandinReply {
    let mut reply = Response::new(Full::new(Bytes::new()).boxed_unsync());
    *reply.status_mut() = status;
    reply
}

fn seal(id: &str) -> http::HeaderValue {
    http::HeaderValue::from_str(&format!("seal-of-{id}")).expect("identifiers are ASCII")
}
