//! Short runs of the soak with fixed seeds, among them seeds that once found a fault.

use std::path::PathBuf;
use std::time::Duration;

use soak::fleet::FleetConfig;
use soak::plan::FaultKind;
use soak::plan::FaultPlan;
use soak::plan::FaultScope;
use soak::run::SoakConfig;
use soak::run::run_soak;
use soak::workers::WorkerConfig;

const FRONTS: usize = 5;
const WORKERS: usize = 6;

fn config(seed: u64, seconds: u64) -> SoakConfig {
    SoakConfig {
        seed,
        time: Duration::from_secs(seconds),
        callers: 8,
        fleet: FleetConfig {
            fronts: FRONTS,
            workers: WorkerConfig {
                desk: WORKERS,
                ..WorkerConfig::default()
            },
            clock_shifts_ms: Vec::new(),
            binary: PathBuf::from(env!("CARGO_BIN_EXE_soak")),
            out: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}")),
            network: [99, seed as u8],
        },
    }
}

async fn play(seed: u64, seconds: u64) {
    let verdict = run_soak(&config(seed, seconds)).await.unwrap();
    assert!(verdict.jobs > 0, "no batch job was accepted");
    let served = verdict.outcomes.get("served").copied();
    assert!(served > Some(100), "{:?}", verdict.outcomes);
    assert_eq!(verdict.violations, Vec::<String>::new());
}

#[test]
fn test_soak_plan_is_determined_by_seed() {
    let time = Duration::from_secs(60);
    let draw = |seed| FaultPlan::new(seed, time, FRONTS, WORKERS);
    assert_eq!(draw(4), draw(4));
    assert_ne!(draw(4), draw(5));
    assert!(draw(6).faults.iter().all(|fault| fault.kind.is_planned()));
    assert!(draw(8).faults.iter().any(|fault| !fault.kind.is_planned()));
    let hidden = draw(7).faults;
    assert!(hidden.iter().any(|fault| fault.kind.hides_changes()));
    let is_drawn = |kind: FaultKind| kind.is_planned() || kind.hides_changes();
    assert!(hidden.iter().all(|fault| is_drawn(fault.kind)));
}

#[test]
fn test_soak_fault_scope() {
    assert_eq!(FaultScope::One.fronts(4, 5), [4]);
    assert_eq!(FaultScope::Half.fronts(4, 5), [4, 0, 1]);
    assert_eq!(FaultScope::All.fronts(4, 5), [4, 0, 1, 2, 3]);
}

#[tokio::test(flavor = "multi_thread")]
async fn test_soak_mixed_faults() {
    play(2, 8).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_soak_planned_maintenance() {
    play(3, 8).await;
}

/// Guards against a front that ejects all upstreams while it is suspended, and never probes them
/// again after it resumes.
#[tokio::test(flavor = "multi_thread")]
async fn test_soak_suspended_front() {
    play(5, 20).await;
}
