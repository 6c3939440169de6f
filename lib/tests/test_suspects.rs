//! Requests that crash engines are suspected, run alone, convicted and then refused by all hosts.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use http_body_util::BodyExt;
use parsleywall::edges::engine::Endpoint;
use parsleywall::host::EntryHost;
use parsleywall::http::client::HttpClient;
use parsleywall::ids::UpstreamId;
use parsleywall::suspects::Fingerprint;
use parsleywall::suspects::SuspectTable;
use parsleywall::suspects::SuspectUpdate;
use parsleywall::suspects::SuspectVerdict;
use parsleywall_standins::edges::PlatformPlan;
use parsleywall_standins::edges::PlatformStandins;
use parsleywall_standins::engine::CRASH_MARKER;
use parsleywall_standins::engine::EngineProfile;
use parsleywall_standins::engine::expected_answer;
use parsleywall_standins::fleet::host_settings;
use parsleywall_standins::fleet::start_host;
use parsleywall_standins::fleet::wait_until_ready;
use parsleywall_standins::terms::MEMBER_KEY;
use parsleywall_standins::terms::demo_terms;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

const INNOCENT_TOKENS: u64 = 60;
const INNOCENTS: usize = 12;
/// Callers that send rounds of innocent requests back to back while the poison request is sent.
const STEADY_CALLERS: u32 = 3;
const STEADY_ROUNDS: u32 = 7;
const MAX_POLLS: u32 = 200;
const POLL: Duration = Duration::from_millis(50);

struct SuspectFleet {
    platform: PlatformStandins,
    hosts: Vec<EntryHost>,
    client: HttpClient,
}

impl SuspectFleet {
    async fn start(hosts: usize) -> Self {
        let plan = PlatformPlan {
            engines: 4,
            profile: EngineProfile {
                restart: Duration::from_millis(600),
                report_lag: Duration::from_millis(50),
                ..EngineProfile::default()
            },
            ..PlatformPlan::default()
        };
        let platform = PlatformStandins::start(&plan).await.unwrap();
        platform.accept_terms(demo_terms()).await.unwrap();
        let mut fleet = Self {
            platform,
            hosts: Vec::new(),
            // Hosts close connections that are idle for 10 s, sooner than a pool would.
            client: HttpClient::unpooled(),
        };
        for _ in 0..hosts {
            fleet.add_host().await;
        }
        fleet
    }

    async fn add_host(&mut self) {
        let seeds: Vec<SocketAddr> = self.hosts.iter().map(EntryHost::peer_address).collect();
        let raw = host_settings(&self.platform, self.hosts.len(), "local", &seeds);
        let host = start_host(&raw).await.unwrap();
        wait_until_ready(host.address(), MEMBER_KEY).await.unwrap();
        self.hosts.push(host);
    }

    async fn post(&self, host: usize, body: &Value) -> (StatusCode, Value) {
        let request = http::Request::builder()
            .method(http::Method::POST)
            .uri(format!(
                "http://{}/v1/completions",
                self.hosts[host].address()
            ))
            .header("authorization", format!("Bearer {MEMBER_KEY}"))
            .header("content-type", "application/json")
            .body(http_body_util::Full::new(bytes::Bytes::from(
                body.to_string(),
            )))
            .unwrap();
        let response = self.client.send(request).await.unwrap();
        let status = response.status();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        (status, serde_json::from_slice(&body).unwrap())
    }

    async fn post_innocents(&self) -> Vec<(StatusCode, Value)> {
        let bodies: Vec<Value> = (0..INNOCENTS).map(innocent_request).collect();
        let calls = bodies
            .iter()
            .enumerate()
            .map(|(number, body)| self.post(number % self.hosts.len(), body));
        join_all(calls).await
    }

    fn crashes(&self) -> u64 {
        let engines = self.platform.engines.iter();
        engines
            .map(|engine| engine.crashes.load(Ordering::Relaxed))
            .sum()
    }
}

fn innocent_request(number: usize) -> Value {
    json!({
        "model": "demo",
        "prompt": format!("platform {number}"),
        "max_tokens": INNOCENT_TOKENS,
    })
}

fn poison_request() -> Value {
    json!({ "model": "demo", "prompt": format!("deck {CRASH_MARKER}"), "max_tokens": 8 })
}

fn check_innocents(answers: &[(StatusCode, Value)]) {
    for (number, (status, answer)) in answers.iter().enumerate() {
        assert_eq!(*status, StatusCode::OK, "{number}: {answer}");
        let expected = expected_answer(
            &innocent_request(number),
            Endpoint::Completions,
            INNOCENT_TOKENS,
        );
        assert_eq!(answer["choices"][0]["text"], expected);
    }
}

#[tokio::test]
async fn test_suspects_poison_is_convicted_after_two_crashes() {
    let mut fleet = SuspectFleet::start(2).await;
    let body = poison_request();
    let (answers, (status, refusal)) = tokio::join!(fleet.post_innocents(), async {
        tokio::time::sleep(POLL).await;
        fleet.post(0, &body).await
    });
    check_innocents(&answers);
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY, "{refusal}");
    assert_eq!(refusal["error"]["code"], "convicted");
    assert_eq!(refusal["error"]["executed"], "unknown");
    assert_eq!(fleet.crashes(), 2);
    for host in [1, 0, 1] {
        let (status, refusal) = fleet.post(host, &body).await;
        assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
        assert_eq!(refusal["error"]["executed"], "no");
    }
    // A host that starts later reads the conviction from the key-value service.
    fleet.add_host().await;
    let (status, _) = fleet.post(2, &body).await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(fleet.crashes(), 2);
    check_innocents(&fleet.post_innocents().await);
}

#[tokio::test]
async fn test_suspects_dead_worker_convicts_nobody() {
    let fleet = SuspectFleet::start(2).await;
    let (answers, ()) = tokio::join!(fleet.post_innocents(), async {
        for _ in 0..MAX_POLLS {
            tokio::time::sleep(POLL / 10).await;
            if fleet.platform.engines[0].load_now().running > 0 {
                fleet.platform.engines[0].crash();
                return;
            }
        }
        panic!("no work came to the engine");
    });
    check_innocents(&answers);
    assert_eq!(fleet.crashes(), 1);
    // A conviction would refuse the same requests now.
    check_innocents(&fleet.post_innocents().await);
}

fn fingerprint(prompt: &str) -> Fingerprint {
    let body = json!({ "model": "demo", "prompt": prompt });
    Fingerprint::new(Endpoint::Completions, &body)
}

fn suspected(prompt: &str, upstream: &str) -> SuspectUpdate {
    SuspectUpdate::Suspected {
        fingerprint: fingerprint(prompt),
        upstream: UpstreamId::new(upstream),
        sent_ago: Duration::ZERO,
    }
}

#[test]
fn test_suspects_fingerprint_ignores_delivery_only() {
    let plain = json!({ "model": "demo", "prompt": "deck", "max_tokens": 8 });
    let mut streamed = plain.clone();
    streamed["stream"] = json!(true);
    streamed["user"] = json!("another");
    let digest = |body: &Value| Fingerprint::new(Endpoint::Completions, body);
    assert_eq!(digest(&plain), digest(&streamed));
    let mut other = plain.clone();
    other["prompt"] = json!("dec");
    assert_ne!(digest(&plain), digest(&other));
    assert_eq!(
        Fingerprint::from_hex(&digest(&plain).to_hex()),
        Some(digest(&plain))
    );
}

#[test]
fn test_suspects_table_verdicts() {
    let now = Instant::now();
    let mut table = SuspectTable::new();
    let deck = fingerprint("deck");
    assert_eq!(table.verdict(deck, now), SuspectVerdict::Free);
    assert!(table.apply(&suspected("deck", "engine-0"), now));
    assert_eq!(table.verdict(deck, now), SuspectVerdict::Alone);
    let held = SuspectUpdate::Held {
        fingerprint: deck,
        upstream: UpstreamId::new("engine-1"),
        sent_ago: Duration::ZERO,
    };
    table.apply(&held, now);
    assert_eq!(table.verdict(deck, now), SuspectVerdict::Held);
    let later = now + Duration::from_secs(700);
    assert_eq!(table.verdict(deck, later), SuspectVerdict::Free);
    table.apply(&SuspectUpdate::Convicted { fingerprint: deck }, now);
    assert_eq!(table.verdict(deck, later), SuspectVerdict::Convicted);
    // A late update about a crash does not undo a conviction.
    assert!(!table.apply(&suspected("deck", "engine-0"), later));
    assert_eq!(table.verdict(deck, later), SuspectVerdict::Convicted);
}

#[test]
fn test_suspects_table_cleared_after_a_whole_run() {
    let now = Instant::now();
    let mut table = SuspectTable::new();
    table.apply(&suspected("deck", "engine-0"), now);
    let fingerprint = fingerprint("deck");
    assert!(table.apply(&SuspectUpdate::Cleared { fingerprint }, now));
    assert_eq!(table.verdict(fingerprint, now), SuspectVerdict::Free);
}

#[test]
fn test_suspects_table_other_suspect_on_the_upstream() {
    let now = Instant::now();
    let engine = UpstreamId::new("engine-0");
    let broke = now + Duration::from_millis(500);
    let mut table = SuspectTable::new();
    table.apply(&suspected("deck", "engine-0"), now);
    let deck = fingerprint("deck");
    assert!(!table.had_other_suspects(deck, &engine, now, broke));
    table.apply(&suspected("rail", "engine-0"), now);
    assert!(table.had_other_suspects(deck, &engine, now, broke));
    // Breaks before the start of a run do not count against it.
    let later = now + Duration::from_millis(1);
    assert!(!table.had_other_suspects(deck, &engine, later, broke));
    // Another held request counts, even though both were meant to run alone.
    let held = SuspectUpdate::Held {
        fingerprint: fingerprint("rail"),
        upstream: engine.clone(),
        sent_ago: Duration::ZERO,
    };
    table.apply(&held, later);
    assert!(table.had_other_suspects(deck, &engine, later, broke));
}

#[test]
fn test_suspects_table_other_suspect_sent_after_the_crash() {
    let started = Instant::now();
    let engine = UpstreamId::new("engine-0");
    let broke = started + Duration::from_millis(100);
    let mut table = SuspectTable::new();
    table.apply(&suspected("deck", "engine-0"), broke);
    let deck = fingerprint("deck");
    // This request was sent when the upstream was already down, and broke at once.
    table.apply(&suspected("rail", "engine-0"), broke + 3 * POLL);
    assert!(!table.had_other_suspects(deck, &engine, started, broke));
    // This update arrives late, after a probe timed out, but the run began before the crash.
    let long = SuspectUpdate::Suspected {
        fingerprint: fingerprint("beam"),
        upstream: engine.clone(),
        sent_ago: 4 * POLL,
    };
    table.apply(&long, broke + 3 * POLL);
    assert!(table.had_other_suspects(deck, &engine, started, broke));
}

#[tokio::test]
async fn test_suspects_poison_among_steady_requests_is_convicted() {
    let fleet = SuspectFleet::start(3).await;
    let body = poison_request();
    let fleet = &fleet;
    // Each round waits for the previous one, so that the load adapts to the speed of the machine.
    let steady = (0..STEADY_CALLERS).map(|caller| async move {
        tokio::time::sleep(caller * 2 * POLL).await;
        let mut answers = Vec::new();
        for _ in 0..STEADY_ROUNDS {
            answers.push(fleet.post_innocents().await);
        }
        answers
    });
    let (answers, (status, refusal)) = tokio::join!(join_all(steady), async {
        tokio::time::sleep(4 * POLL).await;
        fleet.post(0, &body).await
    });
    for round in answers.iter().flatten() {
        check_innocents(round);
    }
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY, "{refusal}");
    assert_eq!(fleet.crashes(), 2);
}
