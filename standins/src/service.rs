//! Stand-in of a plain service that counts the executions of each request.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Request;
use http::StatusCode;
use hyper::body::Incoming;
use serde_json::json;

use crate::server::StandinReply;
use crate::server::StandinServer;
use crate::server::json_reply;
use crate::server::read_body;

/// A plain service that echoes method, path and body of each request.
#[derive(Debug, Default)]
pub struct ServiceMemory {
    /// Delay before every answer in milliseconds.
    pub delay_ms: AtomicU64,
    /// Number of coming requests whose answer is lost after their execution.
    pub lose_answers: AtomicU64,
    runs: Mutex<BTreeMap<String, u64>>,
}

impl ServiceMemory {
    /// Returns a service without delay and faults.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Returns the number of executions by request body.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.runs.lock().expect("run counts lock").clone()
    }

    fn count_run(&self, body: &str) {
        let mut runs = self.runs.lock().expect("run counts lock");
        *runs.entry(body.to_owned()).or_default() += 1;
    }

    async fn answer(&self, request: Request<Incoming>) -> Option<StandinReply> {
        let method = request.method().to_string();
        let path = request.uri().to_string();
        let body = String::from_utf8_lossy(&read_body(request).await).into_owned();
        self.count_run(&body);
        let delay = self.delay_ms.load(Ordering::Relaxed);
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        let lost = self
            .lose_answers
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                left.checked_sub(1)
            });
        if lost.is_ok() {
            return None;
        }
        let answer = json!({ "method": method, "path": path, "body": body });
        Some(json_reply(StatusCode::OK, &answer))
    }
}

/// Serves `service` over HTTP on a free loopback port.
pub async fn serve_service(service: Arc<ServiceMemory>) -> std::io::Result<StandinServer> {
    StandinServer::start(move |request| {
        let service = service.clone();
        async move { service.answer(request).await }
    })
    .await
}
