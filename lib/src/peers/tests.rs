//! Tests of the proofs that peers give each other, with clocks that differ.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_tungstenite::accept_hdr_async;
use tokio_tungstenite::client_async;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::handshake::server::ErrorResponse;
use tokio_tungstenite::tungstenite::handshake::server::Request;
use tokio_tungstenite::tungstenite::handshake::server::Response;
use tokio_util::sync::CancellationToken;

use crate::clock::TimeOfDay;
use crate::clock::unix_millis;
use crate::counters::CounterEvent;
use crate::counters::CounterSet;
use crate::ids::HostId;
use crate::peers::PeerClient;
use crate::peers::PeerError;
use crate::peers::PeerHandlers;
use crate::peers::PeerMessage;
use crate::peers::PeerServer;
use crate::peers::auth;
use crate::peers::auth::ProofVerdict;

const SECRET: &str = "fleet-secret";
const KEY: &str = "dGhlIHNhbXBsZSBub25jZQ==";
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const DAY_MS: u64 = 24 * 3600 * 1000;

#[derive(Serialize, Deserialize)]
struct EchoCall(u64);

impl PeerMessage for EchoCall {
    const NAME: &'static str = "echo";

    type Reply = u64;
}

fn ahead_by_400_s() -> u64 {
    unix_millis() + 400_000
}

fn behind_by_400_s() -> u64 {
    unix_millis() - 400_000
}

fn ahead_by_days() -> u64 {
    unix_millis() + 30 * DAY_MS
}

fn behind_by_days() -> u64 {
    unix_millis() - 30 * DAY_MS
}

/// A clock that was never set.
fn at_the_epoch() -> u64 {
    0
}

/// Runs a server of the current release at any port, and returns its address and its counters.
async fn serve(time_of_day: TimeOfDay) -> (SocketAddr, Arc<CounterSet>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let counters = serve_at(listener, time_of_day, CancellationToken::new());
    (address, counters)
}

fn serve_at(
    listener: TcpListener,
    time_of_day: TimeOfDay,
    stop: CancellationToken,
) -> Arc<CounterSet> {
    let counters = Arc::new(CounterSet::default());
    let server = PeerServer::new(listener, SECRET.to_owned(), counters.clone())
        .with_time_of_day(time_of_day);
    let handlers = PeerHandlers::new().with(|_, EchoCall(number)| async move { number });
    tokio::spawn(server.run(stop, handlers));
    counters
}

fn client(secret: &str, time_of_day: TimeOfDay) -> PeerClient {
    PeerClient::with_time_of_day(HostId::new("host-a"), secret.to_owned(), time_of_day)
}

/// Stops a server of which `client` has a connection, and binds its address again.
async fn bind_again(
    client: &PeerClient,
    address: SocketAddr,
    stop: CancellationToken,
) -> TcpListener {
    stop.cancel();
    while echo(client, address).await.is_ok() {}
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

async fn echo(client: &PeerClient, address: SocketAddr) -> Result<u64, PeerError> {
    client.call(address, EchoCall(7), CALL_TIMEOUT).await
}

/// Refuses all connections with 401 and, if `told` makes one of the websocket key, a header that tells a
/// time. Records the proofs.
async fn refuse(
    listener: TcpListener,
    proofs: Arc<Mutex<Vec<(String, String)>>>,
    told: fn(&str) -> Option<String>,
) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        #[allow(clippy::result_large_err)] // The callback's signature is tungstenite's.
        let check = |request: &Request, _: Response| -> Result<Response, ErrorResponse> {
            let header = |name| request.headers()[name].to_str().unwrap().to_owned();
            let (key, proof) = (header("sec-websocket-key"), header(auth::PROOF_HEADER));
            let mut refusal = ErrorResponse::new(None);
            *refusal.status_mut() = http::StatusCode::UNAUTHORIZED;
            if let Some(told) = told(&key) {
                let told = told.parse().unwrap();
                refusal.headers_mut().insert(auth::TIME_HEADER, told);
            }
            proofs.lock().unwrap().push((key, proof));
            Err(refusal)
        };
        assert!(accept_hdr_async(stream, check).await.is_err());
    }
}

/// Guards against hosts that can call nobody and be called by nobody as their clock is wrong (issue 44).
#[tokio::test]
async fn test_hosts_call_each_other_whatever_their_clocks_tell() {
    let clocks: [TimeOfDay; 6] = [
        unix_millis,
        ahead_by_400_s,
        behind_by_400_s,
        ahead_by_days,
        behind_by_days,
        at_the_epoch,
    ];
    for (server, server_clock) in clocks.iter().enumerate() {
        for (caller, client_clock) in clocks.iter().enumerate() {
            let (address, counters) = serve(*server_clock).await;
            let client = client(SECRET, *client_clock);
            assert_eq!(echo(&client, address).await, Ok(7), "{caller} to {server}");
            let refused = counters.event_count(CounterEvent::PeerClockDiffers);
            assert_eq!(refused, u64::from(caller != server), "{caller} to {server}");
        }
    }
}

/// Once a peer has told its time, later connections to it are made at the first attempt.
#[tokio::test]
async fn test_time_that_a_peer_told_is_remembered() {
    let stop = CancellationToken::new();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let counters = serve_at(listener, ahead_by_days, stop.clone());
    let client = client(SECRET, unix_millis);
    assert_eq!(echo(&client, address).await, Ok(7));
    assert_eq!(counters.event_count(CounterEvent::PeerClockDiffers), 1);
    let listener = bind_again(&client, address, stop).await;
    let counters = serve_at(listener, ahead_by_days, CancellationToken::new());
    assert_eq!(echo(&client, address).await, Ok(7));
    assert_eq!(counters.event_count(CounterEvent::PeerClockDiffers), 0);
}

#[tokio::test]
async fn test_wrong_secret_is_refused_and_told_no_time() {
    let (address, counters) = serve(ahead_by_400_s).await;
    let client = client("another-secret", unix_millis);
    let refused = echo(&client, address).await;
    assert!(matches!(refused, Err(PeerError::NotSent(_))), "{refused:?}");
    assert_eq!(counters.event_count(CounterEvent::PeerClockDiffers), 0);
    let mut request = format!("ws://{address}/peer")
        .into_client_request()
        .unwrap();
    let proof = auth::prove("another-secret", KEY, unix_millis() / 1000);
    let headers = request.headers_mut();
    headers.insert(auth::PROOF_HEADER, proof.parse().unwrap());
    headers.insert("sec-websocket-key", KEY.parse().unwrap());
    let stream = TcpStream::connect(address).await.unwrap();
    let Err(tokio_tungstenite::tungstenite::Error::Http(response)) =
        client_async(request, stream).await
    else {
        panic!("not refused by HTTP");
    };
    assert_eq!(response.status(), http::StatusCode::UNAUTHORIZED);
    assert!(!response.headers().contains_key(auth::TIME_HEADER));
}

/// A proof that was recorded holds for 120 s by the verifier's clock, whatever its maker's clock tells.
#[tokio::test]
async fn test_replayed_proof_is_refused_by_the_verifiers_clock() {
    let made_at = unix_millis() / 1000 - 400;
    let proof = auth::prove(SECRET, KEY, made_at);
    let verdict = |now| auth::verify(SECRET, KEY, &proof, now);
    assert_eq!(verdict(made_at + 120), ProofVerdict::Valid);
    assert_eq!(verdict(made_at - 120), ProofVerdict::Valid);
    assert_eq!(verdict(made_at + 121), ProofVerdict::OtherTime);
    assert_eq!(verdict(made_at - 121), ProofVerdict::OtherTime);
    let other_key = auth::verify(SECRET, "b3RoZXI=", &proof, made_at);
    assert_eq!(other_key, ProofVerdict::Invalid);

    for (clock, is_accepted) in [
        (unix_millis as TimeOfDay, false),
        (ahead_by_days, false),
        (behind_by_400_s, true),
    ] {
        let (address, _) = serve(clock).await;
        let mut request = format!("ws://{address}/peer")
            .into_client_request()
            .unwrap();
        let headers = request.headers_mut();
        headers.insert(auth::PROOF_HEADER, proof.parse().unwrap());
        headers.insert("sec-websocket-key", KEY.parse().unwrap());
        let stream = TcpStream::connect(address).await.unwrap();
        let opened = client_async(request, stream).await;
        assert_eq!(opened.is_ok(), is_accepted);
    }
}

/// Who doesn't know the secret can't have a client make proofs for times to come, which would hold then.
#[tokio::test]
async fn test_time_that_a_liar_tells_is_not_believed() {
    let liars: [fn(&str) -> Option<String>; 4] = [
        |_| Some(format!("{}.00", unix_millis() / 1000 + 4000)),
        |_| Some((unix_millis() / 1000 + 4000).to_string()),
        |key| Some(auth::tell_time("guess", key, unix_millis() / 1000 + 4000)),
        // What a host told another client, or the same one before.
        |_| Some(auth::tell_time(SECRET, KEY, unix_millis() / 1000 + 4000)),
    ];
    for told in liars {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let proofs = Arc::new(Mutex::new(Vec::new()));
        tokio::spawn(refuse(listener, proofs.clone(), told));
        let client = client(SECRET, unix_millis);
        for _ in 0..2 {
            assert!(echo(&client, address).await.is_err());
        }
        for (key, proof) in proofs.lock().unwrap().iter() {
            let verdict = auth::verify(SECRET, key, proof, unix_millis() / 1000);
            assert_eq!(verdict, ProofVerdict::Valid, "{proof} is for now");
        }
    }
    // A proof is no telling of a time, nor the reverse.
    let proof = auth::prove(SECRET, KEY, 1_700_000_000);
    assert_eq!(auth::told_time(SECRET, KEY, &proof), None);
    let told = auth::tell_time(SECRET, KEY, 1_700_000_000);
    let verdict = auth::verify(SECRET, KEY, &told, 1_700_000_000);
    assert_eq!(verdict, ProofVerdict::Invalid);
}

/// A host of the earlier release tells no time. One that takes the place of a host whose clock was wrong
/// is called by this host's own time again.
#[tokio::test]
async fn test_peer_that_tells_no_time_is_called_by_the_own_clock() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let proofs = Arc::new(Mutex::new(Vec::new()));
    tokio::spawn(refuse(listener, proofs.clone(), |_| None));
    let client = client(SECRET, unix_millis);
    let refused = echo(&client, address).await;
    assert!(matches!(refused, Err(PeerError::NotSent(_))), "{refused:?}");
    assert_eq!(proofs.lock().unwrap().len(), 1, "no second attempt");

    let stop = CancellationToken::new();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    serve_at(listener, ahead_by_400_s, stop.clone());
    assert_eq!(echo(&client, address).await, Ok(7));
    let listener = bind_again(&client, address, stop).await;
    tokio::spawn(refuse(listener, proofs.clone(), |_| None));
    assert!(echo(&client, address).await.is_err());
    let proofs = proofs.lock().unwrap();
    let now = unix_millis() / 1000;
    let verdicts = proofs
        .iter()
        .map(|(key, proof)| auth::verify(SECRET, key, proof, now));
    let expected = [
        ProofVerdict::Valid,
        ProofVerdict::OtherTime,
        ProofVerdict::Valid,
    ];
    assert_eq!(verdicts.collect::<Vec<_>>(), expected);
}

/// Hosts of the earlier release make and verify proofs of this form.
#[test]
fn test_proofs_are_those_of_the_earlier_release() {
    let earlier = "1700000000.1445807c39419faf90903b4efbba196a8b3e7eb8f5322fa464bcf9fb0cb4bc06";
    assert_eq!(auth::prove(SECRET, KEY, 1_700_000_000), earlier);
    let verdict = auth::verify(SECRET, KEY, earlier, 1_700_000_060);
    assert_eq!(verdict, ProofVerdict::Valid);
}
