//! `placement`: models follow demand, and a controller that was paused past its lease has no
//! effect, with engines that refuse old fencing numbers and with engines that ignore them.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use parsleywall::edges::kv::KvStore;
use parsleywall::http::client::HttpClient;
use parsleywall::ids::DataCentre;
use parsleywall::ids::ModelName;
use parsleywall::terms::ModelTerms;
use parsleywall_standins::engine::TakenOrder;
use parsleywall_standins::kv::KvMemory;
use parsleywall_standins::terms::DEMO_MODEL;
use serde_json::json;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::checker::Promise;
use crate::checker::Violation;
use crate::hosts::BenchFleet;
use crate::hosts::FleetPlan;
use crate::options::BenchOptions;
use crate::profiles::DESK_KEY;
use crate::report::Bound;
use crate::report::Report;

const DATA_CENTRE: &str = "north";
const SECOND_MODEL: &str = "large";
const HOSTS: usize = 3;
const ENGINES: usize = 6;
const LOAD_TIME: Duration = Duration::from_secs(1);
const WEIGHT_BYTES: u64 = 1_000_000_000;
/// The shortage hold, a load for each moved engine, and a round for each.
const SHIFT_TIME: Duration = Duration::from_secs(42);
const SETTLED_TIME: Duration = Duration::from_secs(4);
/// Longer than a shard's lease.
const PAUSE_TIME: Duration = Duration::from_secs(16);
const AFTER_PAUSE: Duration = Duration::from_secs(5);
const CALL_PAUSE: Duration = Duration::from_millis(40);
const HOLDER_POLL: Duration = Duration::from_millis(20);
const FIRST_ANSWER_LIMIT_S: f64 = 15.0;

/// What one fleet showed.
struct ShiftResult {
    first_answer_s: f64,
    moved_engines: f64,
    settled_moves: f64,
    moves_per_hour: f64,
    stale: Vec<String>,
    holders: f64,
}

pub(super) async fn run(options: &BenchOptions) -> Result<Report, String> {
    let mut report = Report::new("placement", options.seed);
    let (fencing, ignoring) =
        tokio::try_join!(shift_demand(options, true), shift_demand(options, false))?;
    let both = [&fencing, &ignoring];
    let largest =
        |figure: fn(&ShiftResult) -> f64| both.map(figure).into_iter().fold(0.0, f64::max);
    let stale: Vec<String> = both
        .iter()
        .flat_map(|result| result.stale.clone())
        .collect();
    report.add(
        "stale_orders_in_effect",
        stale.len() as f64,
        Bound::AtMost(0.0),
    );
    let rate_bound = 3600.0 / LOAD_TIME.as_secs_f64();
    report.add(
        "moves_per_hour",
        largest(|result| result.moves_per_hour),
        Bound::AtMost(rate_bound),
    );
    let settled = largest(|result| result.settled_moves);
    report.add("moves_when_settled", settled, Bound::AtMost(0.0));
    report.add(
        "new_model_first_answer_s",
        largest(|result| result.first_answer_s),
        Bound::AtMost(FIRST_ANSWER_LIMIT_S),
    );
    let moved = fencing.moved_engines.min(ignoring.moved_engines);
    report.add("engines_moved", moved, Bound::AtLeast((ENGINES / 2) as f64));
    let holders = fencing.holders.min(ignoring.holders);
    report.add("controllers_seen", holders, Bound::AtLeast(2.0));
    report.violations = stale
        .into_iter()
        .map(|detail| Violation {
            promise: Promise::OrdersFenced,
            detail,
            events: Vec::new(),
        })
        .collect();
    Ok(report)
}

async fn shift_demand(options: &BenchOptions, fences: bool) -> Result<ShiftResult, String> {
    let fleet = start_fleet(options, fences).await?;
    let watch = HolderWatch::start(fleet.platform.kv.clone());
    let stop = CancellationToken::new();
    let start = Instant::now();
    let first_answer = Arc::new(Mutex::new(None));
    let addresses = fleet.addresses();
    for model in [DEMO_MODEL, SECOND_MODEL] {
        let first = first_answer.clone();
        let loads = send_load(addresses.clone(), model, stop.clone(), first);
        tokio::spawn(loads);
    }
    tokio::time::sleep(SHIFT_TIME).await;
    let moves_before = orders(&fleet).len();
    tokio::time::sleep(SETTLED_TIME).await;
    let settled_moves = orders(&fleet).len() - moves_before;
    let moved = moved_engines(&fleet);
    let paused = watch.holder().ok_or("no controller holds the shard")?;
    let paused = fleet.hosts.iter().find(|host| host.name == paused);
    let paused = paused.ok_or("the holder is not one of the hosts")?;
    paused.pause();
    // An engine forgets its model while the controller is away, and once more when it is back.
    forget_model(&fleet, 0);
    tokio::time::sleep(PAUSE_TIME).await;
    forget_model(&fleet, 1);
    paused.resume();
    tokio::time::sleep(AFTER_PAUSE).await;
    stop.cancel();
    let taken = orders(&fleet);
    let hours = start.elapsed().as_secs_f64() / 3600.0;
    let first = first_answer.lock().expect("first answer lock");
    let first = first.map_or(f64::INFINITY, |at: Instant| (at - start).as_secs_f64());
    Ok(ShiftResult {
        first_answer_s: first,
        moved_engines: moved as f64,
        settled_moves: settled_moves as f64,
        moves_per_hour: taken.len() as f64 / hours,
        stale: watch.stale_orders(&taken),
        holders: watch.changes().len() as f64,
    })
}

async fn start_fleet(options: &BenchOptions, fences: bool) -> Result<BenchFleet, String> {
    let mut plan = FleetPlan::new(options).with_size(HOSTS, ENGINES);
    let second = ModelName::new(SECOND_MODEL);
    plan.platform.data_centres = vec![DataCentre::new(DATA_CENTRE)];
    plan.platform.models.push(second.clone());
    plan.platform.weight_bytes = WEIGHT_BYTES;
    plan.platform.profile.fences = fences;
    plan.platform.profile.model_slots = 1;
    plan.platform.profile.load_time = LOAD_TIME;
    plan.terms
        .models
        .insert(second.clone(), ModelTerms::default());
    for template in plan.terms.templates.values_mut() {
        template.models.insert(second.clone());
    }
    let fence_setting = ("PARSLEYWALL_UPSTREAMS_FENCE".to_owned(), fences.to_string());
    plan.environment.push(fence_setting);
    plan.out = plan.out.join(format!("fences-{fences}"));
    let fleet = BenchFleet::start(plan).await?;
    for engine in &fleet.platform.engines {
        engine.set_models(vec![(ModelName::new(DEMO_MODEL), String::new())]);
    }
    Ok(fleet)
}

fn orders(fleet: &BenchFleet) -> Vec<TakenOrder> {
    let engines = fleet.platform.engines.iter();
    engines.flat_map(|engine| engine.orders()).collect()
}

fn moved_engines(fleet: &BenchFleet) -> usize {
    let second = ModelName::new(SECOND_MODEL);
    let engines = fleet.platform.engines.iter();
    engines
        .filter(|engine| engine.load_now().models.contains(&second))
        .count()
}

fn forget_model(fleet: &BenchFleet, number: usize) {
    fleet.platform.engines[number].set_models(Vec::new());
}

/// Calls `model` on one host after the other until `stop`.
async fn send_load(
    addresses: Vec<std::net::SocketAddr>,
    model: &'static str,
    stop: CancellationToken,
    first_answer: Arc<Mutex<Option<Instant>>>,
) {
    let client = HttpClient::new();
    for number in 0_usize.. {
        tokio::select! {
            () = tokio::time::sleep(CALL_PAUSE) => {}
            () = stop.cancelled() => return,
        }
        let address = addresses[number % addresses.len()];
        let client = client.clone();
        let first_answer = first_answer.clone();
        tokio::spawn(async move {
            let answered = call_once(&client, address, model, number).await;
            if answered && model == SECOND_MODEL {
                let mut first = first_answer.lock().expect("first answer lock");
                first.get_or_insert_with(Instant::now);
            }
        });
    }
}

async fn call_once(
    client: &HttpClient,
    address: std::net::SocketAddr,
    model: &str,
    number: usize,
) -> bool {
    let body = json!({ "model": model, "prompt": format!("{model} {number}"), "max_tokens": 8 });
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}/v1/completions"))
        .header("authorization", format!("Bearer {DESK_KEY}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("valid request");
    let Ok(response) = client.send(request).await else {
        return false;
    };
    let status = response.status();
    let complete = response.into_body().collect().await.is_ok();
    complete && status == StatusCode::OK
}

/// Records who held the shard from when, as the key-value service shows it.
struct HolderWatch {
    changes: Arc<Mutex<Vec<HolderChange>>>,
    stop: CancellationToken,
}

#[derive(Clone, Debug)]
struct HolderChange {
    seen: Instant,
    fence: u64,
    host: String,
}

impl HolderWatch {
    fn start(kv: Arc<KvMemory>) -> Self {
        let changes = Arc::new(Mutex::new(Vec::new()));
        let stop = CancellationToken::new();
        tokio::spawn(watch_holder(kv, changes.clone(), stop.clone()));
        Self { changes, stop }
    }

    fn changes(&self) -> Vec<HolderChange> {
        self.changes.lock().expect("holder changes lock").clone()
    }

    fn holder(&self) -> Option<String> {
        self.changes().last().map(|change| change.host.clone())
    }

    /// Orders that were taken although a later controller already held the shard.
    fn stale_orders(&self, taken: &[TakenOrder]) -> Vec<String> {
        let changes = self.changes();
        let is_stale = |taken: &&TakenOrder| {
            let mut changes = changes.iter();
            changes.any(|change| change.fence > taken.order.fence && change.seen < taken.at)
        };
        let stale = taken.iter().filter(is_stale);
        stale
            .map(|taken| format!("an order with fence {} was taken", taken.order.fence))
            .collect()
    }
}

impl Drop for HolderWatch {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn watch_holder(
    kv: Arc<KvMemory>,
    changes: Arc<Mutex<Vec<HolderChange>>>,
    stop: CancellationToken,
) {
    let key = format!("placement/shards/{DATA_CENTRE}");
    while !stop.is_cancelled() {
        if let Ok(Some(entry)) = kv.get(&key).await {
            let claim = String::from_utf8_lossy(&entry.value).into_owned();
            let host = claim.split(' ').next().unwrap_or_default().to_owned();
            let fence = entry.version.0;
            let seen = Instant::now();
            let mut changes = changes.lock().expect("holder changes lock");
            if changes.last().is_none_or(|last| last.fence != fence) {
                changes.push(HolderChange { seen, fence, host });
            }
        }
        tokio::time::sleep(HOLDER_POLL).await;
    }
}
