//! Plays requests that arrive while a host shuts down.

mod opaque;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use opaque::new_relay;
use opaque::read_stream;
use opaque::request;
use opaque::route;
use parsleywall::ids::WorkspaceName;
use parsleywall::relay::RelayAnswer;
use parsleywall::relay::RelayRefusal;
use parsleywall::relay::RequestRelay;
use parsleywall::relay::StopGate;
use parsleywall::routes::Route;
use parsleywall::routes::RouteKind;
use parsleywall::workspaces::CallerIdentity;
use parsleywall::workspaces::Workspace;
use parsleywall::workspaces::WorkspaceDirectory;
use parsleywall::workspaces::WorkspaceKeys;
use parsleywall_standins::opaque::OpaqueUpstreams;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::JoinSet;
use tokio::time::Instant;

const UNRESUMABLE: RouteKind = RouteKind::Stream { resumable: false };
/// Time from the beginning of the shutdown to its end.
const STOP_TIME: Duration = Duration::from_secs(7);
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(100);

/// What became of one request, by the second of the shutdown at which it arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Served,
    /// Refused at once, and never sent to an upstream.
    Refused,
    /// Not complete at the end of the shutdown.
    CutOff,
}

/// A route whose streams have `events` events, 100 ms apart, and a time-out of `timeout`.
fn slow_route(timeout: Duration) -> Route {
    Route {
        timeout,
        ..route(UNRESUMABLE, 1)
    }
}

async fn play_request(relay: RequestRelay, id: String, route: Route, cut_off: Instant) -> Outcome {
    let began = Instant::now();
    match relay.relay(request(&id, route)).await {
        RelayAnswer::Refused { reason, .. } => {
            assert_eq!(reason, RelayRefusal::ShuttingDown);
            assert_eq!(began.elapsed(), Duration::ZERO, "{id} is refused late");
            Outcome::Refused
        }
        answer => match tokio::time::timeout_at(cut_off, read_stream(answer)).await {
            Ok((_, true)) => Outcome::Served,
            Ok((_, false)) | Err(_) => Outcome::CutOff,
        },
    }
}

/// Plays a shutdown with a request each 100 ms, after the host has served `before` such requests. Returns
/// the outcomes by the time of arrival.
async fn play_shutdown(events: u64, timeout: Duration, before: usize) -> Vec<Outcome> {
    let gap = Duration::from_millis(100);
    let transport = OpaqueUpstreams::new(events, gap, gap);
    let names: Vec<String> = (0..20).map(|number| format!("u{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let relay = new_relay("host-a", transport.clone(), &names);
    for number in 0..before {
        let id = format!("b{number}");
        let answer = relay.relay(request(&id, slow_route(timeout))).await;
        assert!(read_stream(answer).await.1);
    }
    let began = Instant::now();
    let cut_off = began + STOP_TIME;
    relay.stop_gate().begin(cut_off);
    let mut requests = JoinSet::new();
    let mut arrivals = 0;
    while Instant::now() < cut_off {
        let (relay, route) = (relay.clone(), slow_route(timeout));
        let id = format!("s{arrivals:02}");
        requests.spawn(async move {
            let outcome = play_request(relay, id.clone(), route, cut_off).await;
            (id, outcome)
        });
        arrivals += 1;
        tokio::time::sleep(ARRIVAL_INTERVAL).await;
    }
    let mut outcomes = requests.join_all().await;
    outcomes.sort_by(|one, other| one.0.cmp(&other.0));
    for (id, outcome) in &outcomes {
        let was_sent = transport.attempts().iter().any(|sent| sent.request == *id);
        assert_eq!(was_sent, *outcome != Outcome::Refused, "{id}");
    }
    outcomes.into_iter().map(|(_, outcome)| outcome).collect()
}

fn count(outcomes: &[Outcome], wanted: Outcome) -> usize {
    outcomes
        .iter()
        .filter(|outcome| **outcome == wanted)
        .count()
}

/// Guards against requests that are taken late in a planned stop and cut off at its end. Streams of 4.5 s
/// are served if they arrive in the first two seconds, and refused at once later.
#[tokio::test(start_paused = true)]
async fn test_stop_cuts_off_no_long_stream() {
    let outcomes = play_shutdown(45, Duration::from_secs(9), 3).await;
    assert_eq!(count(&outcomes, Outcome::CutOff), 0);
    let served = count(&outcomes, Outcome::Served);
    assert!(served >= 20, "{served}");
    assert!(
        outcomes[..served]
            .iter()
            .all(|outcome| *outcome == Outcome::Served)
    );
}

/// Short requests are served until shortly before the end, whatever the time-out of their route.
#[tokio::test(start_paused = true)]
async fn test_stop_refuses_hardly_any_short_stream() {
    let outcomes = play_shutdown(8, Duration::from_secs(9), 3).await;
    assert_eq!(count(&outcomes, Outcome::CutOff), 0);
    assert!(count(&outcomes, Outcome::Refused) <= 12, "{outcomes:?}");
}

/// Without any experience, a request counts as one that takes all of its time.
#[tokio::test(start_paused = true)]
async fn test_stop_of_a_new_host_assumes_the_longest_time() {
    let outcomes = play_shutdown(8, Duration::from_secs(9), 0).await;
    assert_eq!(count(&outcomes, Outcome::Refused), outcomes.len());
    let outcomes = play_shutdown(8, Duration::from_secs(2), 0).await;
    assert_eq!(count(&outcomes, Outcome::CutOff), 0);
    assert!(count(&outcomes, Outcome::Served) >= 45, "{outcomes:?}");
}

/// A single long request is not forgotten soon, and not remembered for ever.
#[tokio::test(start_paused = true)]
async fn test_gate_remembers_the_longest_time_for_a_while() {
    let gate = Arc::new(StopGate::default());
    let (long, short) = (Duration::from_secs(5), Duration::from_secs(1));
    let left = Duration::from_secs(60);
    gate.record("route", long);
    let now = Instant::now();
    assert!(gate.admits("route", left, now), "no shutdown has begun");
    gate.begin(now + Duration::from_secs(3));
    assert!(!gate.admits("route", left, now));
    assert!(gate.admits("route", short, now), "its time is up before");
    assert!(!gate.admits("other", left, now));
    for _ in 0..20 {
        gate.record("route", short);
    }
    assert!(!gate.admits("route", left, now));
    for _ in 0..100 {
        gate.record("route", short);
    }
    assert!(gate.admits("route", left, now));
}

/// Streams of 0.2 s, of which one in `long_one_in` takes 4.6 s; nobody but the upstream knows which.
#[derive(Clone, Copy, Debug)]
struct StreamMix {
    kind: RouteKind,
    long_one_in: u32,
    /// Time for which the host has served them when it is told to stop.
    history: Duration,
}

impl StreamMix {
    const INTERVAL: Duration = Duration::from_millis(40);
    const TIMEOUT: Duration = Duration::from_secs(5);

    /// Plays the shutdown of a host that gets such a stream each 40 ms until its end. Returns the outcomes of
    /// those that arrived during the shutdown, by the time of arrival.
    async fn play(self, seed: u64) -> Vec<Outcome> {
        let mut rng = StdRng::seed_from_u64(seed);
        let gap = Duration::from_millis(20);
        let transport = OpaqueUpstreams::new(10, gap, gap);
        let long = Bytes::from_static(b"long");
        transport.set_gap(&long, Duration::from_millis(509));
        let names: Vec<String> = (0..20).map(|number| format!("u{number}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let relay = new_relay("host-a", transport, &names);
        let stops = Instant::now() + self.history;
        let cut_off = stops + STOP_TIME;
        let mut requests = JoinSet::new();
        let mut arrivals = 0;
        while Instant::now() < cut_off {
            if Instant::now() >= stops {
                relay.stop_gate().begin(cut_off);
            }
            let id = format!("s{arrivals:04}");
            let mut sent = request(&id, self.route());
            if rng.random_ratio(1, self.long_one_in) {
                sent.body = long.clone();
            }
            let (relay, is_late) = (relay.clone(), Instant::now() >= stops);
            requests.spawn(async move {
                let outcome = match relay.relay(sent).await {
                    RelayAnswer::Refused { .. } => Outcome::Refused,
                    answer => match tokio::time::timeout_at(cut_off, read_stream(answer)).await {
                        Ok((_, true)) => Outcome::Served,
                        Ok((_, false)) | Err(_) => Outcome::CutOff,
                    },
                };
                (id, is_late.then_some(outcome))
            });
            arrivals += 1;
            tokio::time::sleep(Self::INTERVAL).await;
        }
        let mut outcomes = requests.join_all().await;
        outcomes.sort_by(|one, other| one.0.cmp(&other.0));
        outcomes
            .into_iter()
            .filter_map(|(_, outcome)| outcome)
            .collect()
    }

    fn route(self) -> Route {
        Route {
            timeout: Self::TIMEOUT,
            ..route(self.kind, 1)
        }
    }
}

/// Guards against rare long streams that a planned stop takes late and cuts off, as many short ones of their
/// route have let them be forgotten: review/9. What arrives early in the stop is served.
#[tokio::test(start_paused = true)]
async fn test_stop_cuts_off_no_rare_long_stream() {
    for (long_one_in, history_s) in [(10, 1), (40, 10), (200, 60)] {
        for seed in 0..3 {
            let mix = StreamMix {
                kind: UNRESUMABLE,
                long_one_in,
                history: Duration::from_secs(history_s),
            };
            let outcomes = mix.play(seed).await;
            let cut_off = count(&outcomes, Outcome::CutOff);
            assert_eq!(cut_off, 0, "{mix:?}, seed {seed}");
            let early = count(&outcomes[..44], Outcome::Served);
            assert_eq!(early, 44, "{mix:?}, seed {seed}");
        }
    }
}

/// Guards against a request that waits for room while a planned stop begins, and is then sent too late or cut
/// off while it waits.
#[tokio::test(start_paused = true)]
async fn test_stop_refuses_a_request_that_waits_for_room() {
    let gap = Duration::from_millis(100);
    let transport = OpaqueUpstreams::new(30, gap, gap);
    let relay = new_relay("host-a", transport.clone(), &["u0"]);
    let workspace = Workspace::new(WorkspaceName::new("workspace"));
    let keys = WorkspaceKeys {
        workspace: workspace.clone(),
        keys: vec!["key".to_owned()],
    };
    relay.set_workspaces(Some(&WorkspaceDirectory::new(vec![keys]).unwrap()));
    let caller = CallerIdentity::Member(Arc::new(workspace));
    let mut answers = JoinSet::new();
    for number in 0..2 * opaque::SLOTS {
        let mut sent = request(
            &format!("s{number}"),
            slow_route(Duration::from_millis(3_500)),
        );
        sent.caller = caller.clone();
        let relay = relay.clone();
        answers.spawn(async move { (sent.id.to_string(), relay.relay(sent).await) });
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    tokio::time::sleep(gap * 3).await;
    let sent = transport.attempts();
    let is_sent = |id: &str| sent.iter().any(|attempt| attempt.request == id);
    let began = Instant::now();
    relay.stop_gate().begin(began + Duration::from_secs(1));
    let mut refused = 0;
    // Keep their slots.
    let mut streams = Vec::new();
    while let Some(answer) = answers.join_next().await {
        let (id, answer) = answer.unwrap();
        let RelayAnswer::Refused { reason, .. } = answer else {
            assert!(is_sent(&id), "{id} is sent too late");
            streams.push(answer);
            continue;
        };
        assert_eq!(reason, RelayRefusal::ShuttingDown);
        assert!(began.elapsed() < gap, "{id} is refused late");
        refused += 1;
    }
    assert!(refused > 0, "no request has waited");
    assert_eq!(transport.attempts().len(), sent.len());
}
