//! Command line of the soak: runs one or more seeds and reports violated guarantees.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use soak::fleet::CLOCK_VARIABLE;
use soak::fleet::FleetConfig;
use soak::play::PlayConfig;
use soak::play::PlayKind;
use soak::play::run_play;
use soak::run::SoakConfig;
use soak::run::run_soak;
use soak::workers::WorkerConfig;

/// Injects random faults into real processes of the product. The exit status is 0 if no guarantee
/// was violated.
#[derive(FromArgs)]
struct SoakArgs {
    /// first seed; default: 1
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds, run one after the other; default: 1
    #[argh(option, default = "1")]
    seeds: u64,
    /// seconds for which faults begin; default: 25
    #[argh(option, default = "25")]
    seconds: u64,
    /// number of front processes, at most 200; default: 5
    #[argh(option, default = "5")]
    fronts: usize,
    /// number of workers; default: 6
    #[argh(option, default = "6")]
    workers: usize,
    /// number of clients; default: 12
    #[argh(option, default = "12")]
    callers: usize,
    /// folder for settings files and logs; default: target/soak
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    out: PathBuf,
    /// binary of an earlier build, from which the fronts are replaced one by one by this build
    #[argh(option)]
    earlier: Option<PathBuf>,
    /// give the manifest tenants, whose keys clients bring
    #[argh(switch)]
    tenants: bool,
    #[argh(subcommand)]
    command: Option<SoakCommand>,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum SoakCommand {
    Play(PlayArgs),
}

/// Plays one fault at set times, and prints a line of JSON for each run. The exit status is 0 if no
/// rule was broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "play")]
struct PlayArgs {
    /// name of the play, such as silent-config
    #[argh(positional)]
    kind: PlayKind,
    /// binary that is run with the arguments `platform front`; default: this one
    #[argh(option)]
    program: Option<PathBuf>,
    /// number of front processes; default: 3
    #[argh(option, default = "3")]
    fronts: usize,
    /// number of fronts whose connections to the store are harmed; default: all
    #[argh(option)]
    harmed: Option<usize>,
    /// number of runs, one after the other; default: 1
    #[argh(option, default = "1")]
    times: u64,
}

fn main() -> ExitCode {
    // The processes under test run this binary too, so that they are of the same build.
    if std::env::args().nth(1).as_deref() == Some("platform") {
        shift_clock();
        return parsleywall_cli::run_from_env();
    }
    let args: SoakArgs = argh::from_env();
    if args.fronts == 0 || args.fronts > 200 || args.workers == 0 || args.callers == 0 {
        eprintln!("error: 1 to 200 fronts, and at least one worker and caller");
        return ExitCode::FAILURE;
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("error: the runtime could not start: {err}");
            return ExitCode::FAILURE;
        }
    };
    let failed = match &args.command {
        Some(SoakCommand::Play(play)) => runtime.block_on(run_plays(&args, play)),
        None => runtime.block_on(run_seeds(&args)),
    };
    match failed {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Shifts the time of day of this process as the environment says.
fn shift_clock() {
    let shift = std::env::var(CLOCK_VARIABLE).unwrap_or_default();
    if let Ok(shift_ms) = shift.parse() {
        parsleywall::clock::shift_time_of_day(shift_ms);
    }
}

/// Runs a play several times; returns how many of the runs broke a rule.
async fn run_plays(args: &SoakArgs, play: &PlayArgs) -> std::io::Result<u64> {
    let mut broken = 0;
    for run in 1..=play.times {
        let config = PlayConfig {
            kind: play.kind,
            harmed: play.harmed.unwrap_or(play.fronts).min(play.fronts),
            run,
            fleet: FleetConfig {
                fronts: play.fronts,
                workers: WorkerConfig::default(),
                clock_shifts_ms: Vec::new(),
                has_worker_links: false,
                binary: match &play.program {
                    Some(program) => program.clone(),
                    None => std::env::current_exe()?,
                },
                out: args
                    .out
                    .join(format!("{}-{}-{run}", play.kind, std::process::id())),
                // Soaks that run at the same time have other process numbers, and the processes of the
                // run before may not have ended yet.
                network: [
                    (200 + std::process::id() / 200 % 25 * 2) as u8 + (run % 2) as u8,
                    (std::process::id() % 200) as u8,
                ],
            },
        };
        let report = run_play(&config).await?;
        broken += u64::from(report.is_broken());
        println!("{}", report.to_json(&config));
    }
    Ok(broken)
}

/// Runs all seeds one after the other; returns how many of them violated a guarantee.
async fn run_seeds(args: &SoakArgs) -> std::io::Result<u64> {
    let mut failed = 0;
    for seed in args.seed..args.seed + args.seeds {
        let config = SoakConfig {
            seed,
            time: Duration::from_secs(args.seconds),
            callers: args.callers,
            replaced_by: match &args.earlier {
                Some(_) => Some(std::env::current_exe()?),
                None => None,
            },
            fleet: FleetConfig {
                fronts: args.fronts,
                workers: WorkerConfig {
                    desk: args.workers,
                    has_tenants: args.tenants,
                    ..WorkerConfig::default()
                },
                clock_shifts_ms: Vec::new(),
                has_worker_links: false,
                binary: match &args.earlier {
                    Some(earlier) => earlier.clone(),
                    None => std::env::current_exe()?,
                },
                out: args.out.join(format!("seed-{seed}")),
                network: [100 + (std::process::id() % 100) as u8, (seed % 250) as u8],
            },
        };
        let verdict = run_soak(&config).await?;
        failed += u64::from(!verdict.violations.is_empty());
        println!(
            "seed {seed}: {} broken, {} jobs, calls {:?}, faults {:?}",
            verdict.violations.len(),
            verdict.jobs,
            verdict.outcomes,
            verdict.faults
        );
        for line in verdict.violations.iter().take(20) {
            println!("  {line}");
        }
    }
    println!("{} seeds, {failed} with a broken promise", args.seeds);
    Ok(failed)
}
