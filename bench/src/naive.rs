//! The naive baseline: first in first out, engines in turn, a fixed number of items
//! at once, a key-value call per item, no preemption.
//!
//! Its online half is [`NaiveRelay`], or callers that send to the engines in turn
//! ([`crate::hosts::BenchFleet::engine_picker`]), which spares it the hop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use parsleywall::edges::engine::Endpoint;
use parsleywall::edges::engine::GenerateCall;
use parsleywall::edges::engine::GenerateEvent;
use parsleywall::edges::engine::HttpEngine;
use parsleywall::edges::engine::ModelEngine;
use parsleywall::edges::kv::Expect;
use parsleywall::edges::kv::KvStore;
use parsleywall::http::client::HttpClient;
use parsleywall::ids::RequestId;
use parsleywall_standins::kv::KvMemory;
use parsleywall_standins::server::StandinReply;
use parsleywall_standins::server::StandinServer;
use serde_json::Value;

/// A bare relay: each request goes to the next engine, and the answer's bytes come back.
pub struct NaiveRelay {
    server: StandinServer,
}

impl NaiveRelay {
    /// Starts a relay before `engines` on a free loopback port.
    pub async fn start(engines: Vec<SocketAddr>) -> Result<Self, String> {
        let client = HttpClient::new();
        let turns = Arc::new(AtomicU64::new(0));
        let server = StandinServer::start(move |request| {
            let turn = turns.fetch_add(1, Ordering::Relaxed) as usize;
            relay(client.clone(), engines[turn % engines.len()], request)
        });
        let server = server.await.map_err(|err| err.to_string())?;
        Ok(Self { server })
    }

    /// Address of the relay.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

async fn relay(
    client: HttpClient,
    engine: SocketAddr,
    request: Request<Incoming>,
) -> Option<StandinReply> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let call = Request::builder()
        .method(parts.method)
        .uri(format!("http://{engine}{}", parts.uri.path()))
        .header("content-type", "application/json")
        .body(Full::new(body))
        .ok()?;
    let (parts, body) = client.send(call).await.ok()?.into_parts();
    let data = body.into_data_stream();
    let frames = data.filter_map(|bytes| async { bytes.ok().map(Frame::data).map(Ok) });
    Some(Response::from_parts(
        parts,
        StreamBody::new(frames).boxed_unsync(),
    ))
}

/// Runs items on engines without any care.
pub struct NaiveDispatcher {
    engines: Vec<SocketAddr>,
    kv: Option<Arc<KvMemory>>,
    concurrency: usize,
    tokens: AtomicU64,
    items: AtomicU64,
    kv_calls: AtomicU64,
}

impl NaiveDispatcher {
    /// Returns a dispatcher that keeps `per_engine` items at each of `engines`. Without `kv` it
    /// stores nothing, which measures the engines' own limit.
    pub fn new(
        engines: Vec<SocketAddr>,
        kv: Option<Arc<KvMemory>>,
        per_engine: usize,
    ) -> Arc<Self> {
        Arc::new(Self {
            concurrency: per_engine * engines.len(),
            engines,
            kv,
            tokens: AtomicU64::new(0),
            items: AtomicU64::new(0),
            kv_calls: AtomicU64::new(0),
        })
    }

    /// Tokens generated so far.
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }

    /// Items completed so far.
    pub fn items(&self) -> u64 {
        self.items.load(Ordering::Relaxed)
    }

    /// Key-value calls made so far.
    pub fn kv_calls(&self) -> u64 {
        self.kv_calls.load(Ordering::Relaxed)
    }

    /// Runs `items` in order to their end.
    pub async fn run(&self, items: &[Value]) {
        let engine = HttpEngine::new(HttpClient::new());
        stream::iter(items.iter().enumerate())
            .for_each_concurrent(self.concurrency, |(number, item)| {
                self.run_item(&engine, number, item)
            })
            .await;
    }

    /// Completed items and generated tokens a second between `from` and `to` after now, while
    /// `items` run.
    pub async fn rates(&self, items: &[Value], from: Duration, to: Duration) -> (f64, f64) {
        let measured = async {
            tokio::time::sleep(from).await;
            let before = (self.items(), self.tokens());
            tokio::time::sleep(to - from).await;
            let seconds = (to - from).as_secs_f64();
            (
                (self.items() - before.0) as f64 / seconds,
                (self.tokens() - before.1) as f64 / seconds,
            )
        };
        tokio::pin!(measured);
        tokio::select! {
            rates = &mut measured => rates,
            () = self.run(items) => measured.await,
        }
    }

    async fn run_item(&self, engine: &HttpEngine, number: usize, item: &Value) {
        let call = GenerateCall {
            request: RequestId::random(),
            endpoint: Endpoint::Chat,
            body: item["body"].clone(),
            resume: None,
            fresh_connection: false,
        };
        let address = self.engines[number % self.engines.len()];
        let Ok(mut events) = engine.generate(address, &call).await else {
            return;
        };
        let mut text = String::new();
        while let Some(Ok(GenerateEvent::Chunk(chunk))) = events.next().await {
            if let Some(token) = chunk["choices"][0]["delta"]["content"].as_str() {
                text.push_str(token);
                self.tokens.fetch_add(1, Ordering::Relaxed);
            }
        }
        if let Some(kv) = &self.kv {
            let key = format!("naive/{}", call.request);
            self.kv_calls.fetch_add(1, Ordering::Relaxed);
            let _ = kv.put(&key, Bytes::from(text), Expect::Any, None).await;
        }
        self.items.fetch_add(1, Ordering::Relaxed);
    }
}
