//! Tests that results of jobs keep their positions, and that jobs close, on a key-value service that
//! answers late.
//!
//! `PLAY_SEEDS` sets the number of seeds of each kind of play, `PLAY_FIRST_SEED` the first one. With
//! `PLAY_LOGS` set, the hosts' logs are printed.

mod job_fleet;
mod job_plays;
mod opaque;

use std::time::Duration;

use job_plays::JobPlay;
use parsleywall_standins::slow_kv::SlowCalls;

/// Number of seeds of each kind of play unless `PLAY_SEEDS` says otherwise.
const DEFAULT_SEEDS: u64 = 6;
/// Number of items of the job, for which one host of the fleet needs several segments.
const ITEMS: usize = 40;
const SEGMENTS: &str = "/seg/";
/// Gap between events with which an item runs for a second.
const SHORT_GAP: Duration = Duration::from_millis(20);
/// Gap between events with which an item runs for 10 s.
const LONG_GAP: Duration = Duration::from_millis(200);

fn number_from_env(name: &str, default: u64) -> u64 {
    let named = std::env::var(name).ok();
    named.map_or(default, |named| named.parse().expect("a number"))
}

fn play_all(hosts: usize, calls: SlowCalls, deletes_owner: bool) {
    play_seeds(JobPlay {
        hosts,
        items: ITEMS,
        gap: SHORT_GAP,
        calls,
        deletes_owner,
    });
}

fn play_seeds(play: JobPlay) {
    let mut broken = Vec::new();
    let first = number_from_env("PLAY_FIRST_SEED", 1);
    let played = number_from_env("PLAY_SEEDS", DEFAULT_SEEDS);
    for seed in first..first + played {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .unwrap();
        let findings = runtime.block_on(play.run(seed));
        if !findings.is_empty() {
            println!("{play:?}, seed {seed}: {findings:?}");
            broken.push(seed);
        }
    }
    assert!(
        broken.is_empty(),
        "{} of {played} broken: {broken:?}",
        broken.len()
    );
}

#[test]
fn test_plays_late_segment_answers_at_one_host() {
    let answers = SlowCalls::AnswersOf(SEGMENTS, Duration::from_millis(2_500));
    play_all(1, answers, true);
}

#[test]
fn test_plays_late_segment_answers_at_three_hosts() {
    let answers = SlowCalls::AnswersOf(SEGMENTS, Duration::from_millis(2_500));
    play_all(3, answers, true);
}

#[test]
fn test_plays_segment_answers_within_a_second() {
    let answers = SlowCalls::AnswersOf(SEGMENTS, Duration::from_millis(1_000));
    play_all(3, answers, true);
}

#[test]
fn test_plays_slow_calls() {
    for most_ms in [60, 300, 1_000] {
        for hosts in [1, 3] {
            let calls = SlowCalls::All(Duration::from_millis(most_ms));
            play_all(hosts, calls, true);
            play_all(hosts, calls, false);
        }
    }
}

#[test]
fn test_plays_faulty_commits() {
    for hosts in [1, 3] {
        play_all(hosts, SlowCalls::FaultyCommits, true);
        play_all(hosts, SlowCalls::FaultyCommits, false);
    }
}

#[test]
fn test_plays_long_items_of_which_no_two_runs_overlap() {
    for most_ms in [75, 350] {
        play_seeds(JobPlay {
            hosts: 3,
            items: ITEMS,
            gap: LONG_GAP,
            calls: SlowCalls::All(Duration::from_millis(most_ms)),
            deletes_owner: true,
        });
    }
}
