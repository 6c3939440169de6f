//! Non-idempotent requests run once per idempotency key, on any host, under faults of the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use http::Method;
use http::StatusCode;
use http_body_util::BodyExt;
use parsleywall::counters::CounterSet;
use parsleywall::host::EntryHost;
use parsleywall::http::client::HttpClient;
use parsleywall::idempotency::ClaimDependencies;
use parsleywall::idempotency::ClaimId;
use parsleywall::idempotency::ClaimKeeper;
use parsleywall::idempotency::ClaimKey;
use parsleywall::idempotency::ClaimOutcome;
use parsleywall::idempotency::ClaimReply;
use parsleywall::idempotency::ClaimRequest;
use parsleywall::idempotency::HeldClaim;
use parsleywall::idempotency::RecordedResponse;
use parsleywall::ids::DataCentre;
use parsleywall::ids::HostId;
use parsleywall::ids::Revision;
use parsleywall::ids::WorkspaceName;
use parsleywall::membership::HostState;
use parsleywall::membership::Membership;
use parsleywall::membership::PeerHost;
use parsleywall::peers::PeerClient;
use parsleywall::refusal::Executed;
use parsleywall::refusal::Refusal;
use parsleywall_standins::edges::PlatformPlan;
use parsleywall_standins::edges::PlatformStandins;
use parsleywall_standins::fleet::host_settings;
use parsleywall_standins::fleet::start_host;
use parsleywall_standins::fleet::wait_until_ready;
use parsleywall_standins::kv::KvMemory;
use parsleywall_standins::terms::MEMBER_KEY;
use parsleywall_standins::terms::demo_terms;
use serde_json::Value;

/// Returns a keeper whose membership has no other host, so that it writes every log itself. Two of
/// them are two concurrent writers of the same logs.
fn keeper(number: usize, kv: &Arc<KvMemory>) -> Arc<ClaimKeeper> {
    let host = HostId::new(format!("host-{number}"));
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let own = PeerHost {
        id: host.clone(),
        incarnation: 1,
        data_centre: DataCentre::new("local"),
        caller_address: address,
        peer_address: address,
        state: HostState::Live,
        revision: Revision(0),
        has_disk: false,
    };
    ClaimKeeper::new(ClaimDependencies {
        host: host.clone(),
        membership: Arc::new(Membership::new(own)),
        peers: PeerClient::new(host, "idempotency-secret".to_owned()),
        kv: kv.clone(),
        counters: Arc::new(CounterSet::new()),
    })
}

async fn claim(keeper: &Arc<ClaimKeeper>, key: &str) -> Result<ClaimOutcome, Refusal> {
    keeper.claim(&WorkspaceName::new("desk"), key).await
}

async fn granted(keeper: &Arc<ClaimKeeper>, key: &str) -> HeldClaim {
    match claim(keeper, key).await {
        Ok(ClaimOutcome::Granted(claim)) => claim,
        other => panic!("{key} was not granted: {other:?}"),
    }
}

fn answer(text: &str) -> RecordedResponse {
    RecordedResponse {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: text.as_bytes().to_vec(),
    }
}

#[tokio::test(start_paused = true)]
async fn test_idempotency_two_writers_grant_each_key_once() {
    // Two hosts, or two processes of one.
    let others = [0, 1].into_iter().cycle();
    for (lost, other) in [0, 0, 1, 1, 3, 3, 7, 7, 12, 12].into_iter().zip(others) {
        let kv = KvMemory::new();
        let keepers = [keeper(0, &kv), keeper(other, &kv)];
        kv.faults.delay_ms.store(5, Ordering::Relaxed);
        kv.faults.lose_answers.store(lost, Ordering::Relaxed);
        let keys: Vec<String> = (0..200).map(|number| format!("order-{number}")).collect();
        let claims = keys
            .iter()
            .flat_map(|key| keepers.iter().map(move |keeper| claim(keeper, key)));
        let outcomes = join_all(claims).await;
        for (number, pair) in outcomes.chunks(2).enumerate() {
            let grants = pair
                .iter()
                .filter(|outcome| matches!(outcome, Ok(ClaimOutcome::Granted(_))));
            assert_eq!(
                grants.count(),
                1,
                "order-{number} with {lost} lost: {pair:?}"
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn test_idempotency_resend_gets_recorded_answer_on_another_host() {
    let kv = KvMemory::new();
    let keepers = [keeper(0, &kv), keeper(1, &kv)];
    let held = granted(&keepers[0], "order").await;
    let refusal = claim(&keepers[1], "order").await.unwrap_err();
    assert_eq!(refusal.executed, Executed::Unknown);
    held.finish(answer("12 bolts")).await;
    // The other host may refuse from its state for up to a second after its last sync.
    tokio::time::sleep(Duration::from_secs(2)).await;
    for keeper in &keepers {
        match claim(keeper, "order").await {
            Ok(ClaimOutcome::Finished(recorded)) => assert_eq!(recorded, answer("12 bolts")),
            other => panic!("no recorded answer: {other:?}"),
        }
    }
}

#[tokio::test(start_paused = true)]
async fn test_idempotency_released_claim_can_be_claimed_again() {
    let kv = KvMemory::new();
    let keepers = [keeper(0, &kv), keeper(1, &kv)];
    granted(&keepers[0], "order").await.release().await;
    let held = granted(&keepers[1], "order").await;
    drop(held);
    let refusal = claim(&keepers[0], "order").await.unwrap_err();
    assert_eq!(refusal.executed, Executed::Unknown);
}

#[tokio::test(start_paused = true)]
async fn test_idempotency_nothing_runs_during_a_store_outage() {
    let kv = KvMemory::new();
    let keeper = keeper(0, &kv);
    kv.faults.down.store(true, Ordering::Relaxed);
    let refusal = claim(&keeper, "order").await.unwrap_err();
    assert_eq!(refusal.executed, Executed::No);
    kv.faults.down.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let held = granted(&keeper, "order").await;
    drop(held);
}

#[tokio::test(start_paused = true)]
async fn test_idempotency_claims_are_written_in_groups() {
    let kv = KvMemory::new();
    let keeper = keeper(0, &kv);
    let keys: Vec<String> = (0..4000).map(|number| format!("order-{number}")).collect();
    let outcomes = join_all(keys.iter().map(|key| claim(&keeper, key))).await;
    let grants = outcomes
        .iter()
        .filter(|outcome| matches!(outcome, Ok(ClaimOutcome::Granted(_))));
    assert_eq!(grants.count(), 4000);
    // At most two segments and one lease for each of the 16 logs.
    let writes = kv.calls.writes.load(Ordering::Relaxed);
    assert!(writes <= 16 * 3, "{writes} writes for 4000 claims");
}

#[tokio::test(start_paused = true)]
async fn test_idempotency_logs_start_over_after_retention() {
    let kv = KvMemory::new();
    let keepers = [keeper(0, &kv), keeper(1, &kv)];
    for _ in 0..3 {
        let held = granted(&keepers[0], "order").await;
        drop(held);
        assert!(claim(&keepers[1], "order").await.is_err());
        tokio::time::sleep(Duration::from_secs(20 * 60)).await;
    }
    let (one, other) = tokio::join!(claim(&keepers[0], "order"), claim(&keepers[1], "order"));
    assert!(one.is_ok() != other.is_ok(), "{one:?} and {other:?}");
}

/// A call to the host that writes the log may be served after its caller has given it up, and has given the
/// claim back through another host.
#[tokio::test(start_paused = true)]
async fn test_idempotency_claim_that_comes_after_its_release_holds_nothing() {
    let kv = KvMemory::new();
    let keepers = [keeper(0, &kv), keeper(1, &kv)];
    let claim_key = ClaimKey::new(&WorkspaceName::new("desk"), "order");
    let claim = ClaimId(7);
    let late = ClaimRequest::Claim { claim_key, claim };
    let release = ClaimRequest::Release { claim_key, claim };
    assert_eq!(keepers[1].serve(release).await, ClaimReply::Recorded);
    assert_ne!(keepers[0].serve(late.clone()).await, ClaimReply::Granted);

    let held = granted(&keepers[0], "order").await;
    held.release().await;
    assert_ne!(keepers[1].serve(late).await, ClaimReply::Granted);
    let held = granted(&keepers[1], "order").await;
    drop(held);
}

/// A log starts over when all its segments have expired. A host whose view of it is from before must not go
/// on where the former log ended, beside the new one.
#[tokio::test(start_paused = true)]
async fn test_idempotency_log_that_started_over_is_not_continued() {
    let kv = KvMemory::new();
    let keepers = [keeper(0, &kv), keeper(1, &kv)];
    let held = granted(&keepers[0], "order").await;
    held.finish(answer("12 bolts")).await;
    // Read shortly before the segments expire.
    tokio::time::sleep(Duration::from_secs(14 * 60)).await;
    let recorded = claim(&keepers[0], "order").await;
    assert!(matches!(recorded, Ok(ClaimOutcome::Finished(_))));
    tokio::time::sleep(Duration::from_secs(2 * 60 + 5)).await;

    let mut doubled = Vec::new();
    for number in 0..64 {
        let key = format!("order-{number}");
        let held = granted(&keepers[1], &key).await;
        if claim(&keepers[0], &key).await.is_ok() {
            doubled.push(key);
        }
        drop(held);
    }
    assert_eq!(doubled, [""; 0]);
}

struct ServiceFleet {
    platform: PlatformStandins,
    hosts: Vec<EntryHost>,
    client: HttpClient,
}

impl ServiceFleet {
    async fn start() -> Self {
        let platform = PlatformStandins::start(&PlatformPlan::default())
            .await
            .unwrap();
        platform.accept_terms(demo_terms()).await.unwrap();
        let mut hosts: Vec<EntryHost> = Vec::new();
        for number in 0..2 {
            let seeds: Vec<SocketAddr> = hosts.iter().map(EntryHost::peer_address).collect();
            let raw = host_settings(&platform, number, "local", &seeds);
            let host = start_host(&raw).await.unwrap();
            wait_until_ready(host.address(), MEMBER_KEY).await.unwrap();
            hosts.push(host);
        }
        Self {
            platform,
            hosts,
            client: HttpClient::new(),
        }
    }

    async fn send(&self, host: usize, path: &str, key: &str, body: &str) -> (StatusCode, Value) {
        let request = http::Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.hosts[host].address()))
            .header("authorization", format!("Bearer {MEMBER_KEY}"))
            .header("content-type", "application/json")
            .header("idempotency-key", key)
            .header("x-idempotent", "false")
            .body(http_body_util::Full::new(bytes::Bytes::from(
                body.to_owned(),
            )))
            .unwrap();
        let response = self.client.send(request).await.unwrap();
        let status = response.status();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        (status, serde_json::from_slice(&body).unwrap())
    }

    fn runs(&self, body: &str) -> u64 {
        let runs = self.platform.service.runs();
        runs.get(body).copied().unwrap_or_default()
    }
}

#[tokio::test]
async fn test_idempotency_service_call_runs_once_on_two_hosts() {
    let fleet = ServiceFleet::start().await;
    let (status, first) = fleet
        .send(0, "/services/echo/order", "k1", "\"timber\"")
        .await;
    assert_eq!(status, StatusCode::OK);
    for host in [1, 0] {
        let (status, again) = fleet
            .send(host, "/services/echo/order", "k1", "\"timber\"")
            .await;
        assert_eq!((status, again), (StatusCode::OK, first.clone()));
    }
    assert_eq!(fleet.runs("\"timber\""), 1);
}

#[tokio::test]
async fn test_idempotency_resend_beside_a_running_call_is_refused() {
    let fleet = ServiceFleet::start().await;
    fleet
        .platform
        .service
        .delay_ms
        .store(1500, Ordering::Relaxed);
    let path = "/services/echo/order";
    let ((status, _), (second, refusal)) =
        tokio::join!(fleet.send(0, path, "k2", "\"bolts\""), async {
            tokio::time::sleep(Duration::from_millis(700)).await;
            fleet.send(1, path, "k2", "\"bolts\"").await
        });
    assert_eq!(status, StatusCode::OK);
    assert_eq!(second, StatusCode::CONFLICT);
    assert_eq!(refusal["error"]["executed"], "unknown");
    assert_eq!(fleet.runs("\"bolts\""), 1);
}

#[tokio::test]
async fn test_idempotency_lost_answer_stays_unknown() {
    let fleet = ServiceFleet::start().await;
    fleet
        .platform
        .service
        .lose_answers
        .store(1, Ordering::Relaxed);
    let path = "/services/echo/order";
    let (status, refusal) = fleet.send(0, path, "k3", "\"nails\"").await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert_eq!(refusal["error"]["executed"], "unknown");
    let (status, again) = fleet.send(1, path, "k3", "\"nails\"").await;
    assert_eq!((status, again), (StatusCode::BAD_GATEWAY, refusal));
    assert_eq!(fleet.runs("\"nails\""), 1);
}

#[tokio::test]
async fn test_idempotency_answer_of_a_model_is_recorded() {
    let fleet = ServiceFleet::start().await;
    let body = r#"{"model":"demo","prompt":"fold","max_tokens":4}"#;
    let (status, first) = fleet.send(0, "/v1/completions", "k4", body).await;
    assert_eq!(status, StatusCode::OK);
    let (status, again) = fleet.send(1, "/v1/completions", "k4", body).await;
    assert_eq!((status, again), (StatusCode::OK, first));
}
