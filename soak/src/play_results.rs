//! Plays in which the store answers late, and jobs change owners under readers at all fronts.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use parsleywall::edges::kv::Expect;
use parsleywall::edges::kv::KvStore;
use parsleywall_standins::kv::LateAnswers;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::content;
use crate::history::Records;
use crate::job_reads::JobReads;
use crate::overlap;
use crate::owner_watch::OwnerWatch;
use crate::play::Play;
use crate::play::PlayKind;
use crate::play::PlayReport;
use crate::play::STREAMS;
use crate::play_overlaps::OverlapReport;

/// Part of the keys under which results of jobs are written.
pub const SEGMENT_KEYS: &str = "/seg/";
const JOBS: usize = 3;
const ITEMS_OF_JOB: usize = 24;
const ITEM_S: u64 = 4;
/// Number and length of the items of jobs whose results fill several segments.
const MANY_ITEMS_OF_JOB: usize = 40;
const SHORT_ITEM_S: u64 = 1;
/// Longest time for which the faults go on; they end when all jobs are closed.
const FAULT_TIME: Duration = Duration::from_secs(20);
/// Time after the faults within which all jobs are closed, and are listed whole at all fronts.
const END_TIME: Duration = Duration::from_secs(40);
/// Times between two deletions of owner keys; each run has one of these.
const DELETION_GAPS_MS: [std::ops::Range<u64>; 3] = [40..250, 200..1_500, 500..3_000];
/// Time between two restarts or standstills of fronts, and the longest time that one stands still.
const RESTART_GAP_MS: std::ops::Range<u64> = 800..4_000;
const FREEZE_MS: std::ops::Range<u64> = 100..2_500;
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Name of the file with the owners of jobs, their runs beside one another and what readers saw.
const RECORD_FILE: &str = "record.jsonl";

/// How late the store answers.
struct Lateness {
    /// Part of the keys of the calls that are answered late; all are if it is empty.
    part: &'static str,
    most: Duration,
}

impl PlayKind {
    /// Whether the play is about results of jobs while the store answers late.
    pub(crate) fn judges_results(self) -> bool {
        self.lateness().is_some()
    }

    fn lateness(self) -> Option<Lateness> {
        let (part, most_ms) = match self {
            Self::LateAnswers | Self::LateAnswersRestarts => ("", 2_500),
            Self::LateAnswersShort => ("", 150),
            Self::LateAnswersMedium => ("", 700),
            Self::LateSegments | Self::LateSegmentsRestarts => (SEGMENT_KEYS, 2_500),
            _ => return None,
        };
        let most = Duration::from_millis(most_ms);
        Some(Lateness { part, most })
    }

    /// Number of requests that each worker of the play executes at the same time.
    pub(crate) fn slots(self) -> u64 {
        match self {
            Self::LateSegments | Self::LateSegmentsRestarts => 5,
            _ if self.judges_results() => 16,
            _ => 2 * STREAMS as u64,
        }
    }

    fn restarts_fronts(self) -> bool {
        matches!(self, Self::LateAnswersRestarts | Self::LateSegmentsRestarts)
    }

    /// Number of items of a job, and the seconds that each takes.
    fn job_size(self) -> (usize, u64) {
        match self {
            Self::LateSegments | Self::LateSegmentsRestarts => (MANY_ITEMS_OF_JOB, SHORT_ITEM_S),
            _ => (ITEMS_OF_JOB, ITEM_S),
        }
    }
}

impl Play {
    /// Deletes owner keys of jobs while the store answers late, and reads the jobs at all fronts.
    pub(crate) async fn play_late_answers(&mut self) -> std::io::Result<PlayReport> {
        let kind = self.config.kind;
        let seed = self.config.run;
        let owners = OwnerWatch::start(self.fleet.kv.clone());
        let mut jobs = self.jobs();
        let (items, seconds) = kind.job_size();
        jobs.submit(JOBS, items, seconds).await?;
        let reads = jobs
            .jobs
            .into_iter()
            .map(|job| JobReads::new(job, self.fleet.fronts.len()));
        let reads = Arc::new(Mutex::new(reads.collect::<Vec<JobReads>>()));
        let readers = JobReads::spawn_readers(&reads, &self.fleet, &self.history, seed);

        if let Some(late) = kind.lateness() {
            let late = LateAnswers::new(late.part, late.most, seed);
            self.set_late_answers(Some(late));
        }
        let faults_end = CancellationToken::new();
        let began = Instant::now();
        let faults = async {
            tokio::join!(
                faults_end.run_until_cancelled(self.delete_owners(seed)),
                self.restart_fronts(seed, &faults_end),
            )
        };
        let end = async {
            while began.elapsed() < FAULT_TIME && !self.are_closed(&reads) {
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
            faults_end.cancel();
        };
        let ((_, restarted), ()) = tokio::join!(faults, end);
        restarted?;
        self.set_late_answers(None);
        let deadline = Instant::now() + END_TIME;
        while Instant::now() < deadline && !self.are_read(&reads) {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        drop(readers);

        let now = self.history.now();
        let mut reads = reads.lock().expect("reads lock");
        reads
            .iter_mut()
            .for_each(|read| read.conclude(&self.fleet.kv, now));
        let records = self.history.records();
        let mut report = OverlapReport {
            owner_changes: owners.changes(),
            done: reads.iter().map(JobReads::done).sum(),
            not_found: reads.iter().map(|read| read.not_found).sum(),
            broken_results: reads.iter().flat_map(|read| read.broken.clone()).collect(),
            ..OverlapReport::default()
        };
        report.again = reads.iter().map(|read| read.run_again(&records)).sum();
        self.write_record(&records, &owners, &report)?;
        Ok(PlayReport {
            overlap: report,
            ..PlayReport::default()
        })
    }

    fn set_late_answers(&self, late: Option<LateAnswers>) {
        *self
            .fleet
            .kv
            .faults
            .late_answers
            .lock()
            .expect("late answers lock") = late;
    }

    /// Whether all jobs are closed in the store.
    fn are_closed(&self, reads: &Mutex<Vec<JobReads>>) -> bool {
        let now = self.history.now();
        let mut reads = reads.lock().expect("reads lock");
        let kv = &self.fleet.kv;
        let mut is_any_open = false;
        for read in reads.iter_mut() {
            is_any_open |= read.note_open(kv, Duration::ZERO, now);
        }
        !is_any_open
    }

    /// Whether all jobs are closed in the store, and were read as complete at each front since then.
    fn are_read(&self, reads: &Mutex<Vec<JobReads>>) -> bool {
        self.are_closed(reads)
            && reads
                .lock()
                .expect("reads lock")
                .iter()
                .all(JobReads::is_read)
    }

    /// Deletes the owner keys of jobs, now of one and now of all.
    async fn delete_owners(&self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(17) + 1);
        let gaps_ms = &DELETION_GAPS_MS[seed as usize % DELETION_GAPS_MS.len()];
        loop {
            let gap = rng.random_range(gaps_ms.clone());
            tokio::time::sleep(Duration::from_millis(gap)).await;
            let one = rng.random_range(0..=JOBS);
            for number in (0..JOBS).filter(|number| one == JOBS || *number == one) {
                let key = format!("open/lot-{number}/owner");
                let _ = self.fleet.kv.delete(&key, Expect::Any).await;
            }
        }
    }

    /// Kills, stops or suspends a front now and then until `end`, if the play does so.
    async fn restart_fronts(&self, seed: u64, end: &CancellationToken) -> std::io::Result<()> {
        if !self.config.kind.restarts_fronts() {
            return Ok(());
        }
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(19) + 2);
        loop {
            let gap = Duration::from_millis(rng.random_range(RESTART_GAP_MS));
            if end
                .run_until_cancelled(tokio::time::sleep(gap))
                .await
                .is_none()
            {
                return Ok(());
            }
            let front = rng.random_range(0..self.fleet.fronts.len());
            let freeze = Duration::from_millis(rng.random_range(FREEZE_MS));
            let mut process = self.fleet.fronts[front].lock().await;
            match rng.random_range(0..3) {
                0 => process.kill_and_restart().await?,
                1 => process.stop_and_restart().await?,
                _ => {
                    let from = self.history.now();
                    process.pause(freeze).await;
                    self.record_excuse("front_paused", from);
                }
            }
        }
    }

    /// Writes what a trace needs beside the logs of the fronts, with their times.
    fn write_record(
        &self,
        records: &Records,
        owners: &OwnerWatch,
        report: &OverlapReport,
    ) -> std::io::Result<()> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now_ms = now.map_or(0, |now| now.as_millis() as u64);
        let began_ms = now_ms - self.history.now().as_millis() as u64;
        let at = |time: Duration| began_ms + time.as_millis() as u64;
        let mut lines: Vec<(u64, String)> = Vec::new();
        for change in owners.log() {
            let at = now_ms - change.at.elapsed().as_millis() as u64;
            let line = json!({
                "t": at, "store": change.key, "version": change.version, "owner": change.owner,
            });
            lines.push((at, line.to_string()));
        }
        let items = records.executions.iter();
        for run in items.filter(|run| run.id.starts_with(content::ITEM_PREFIX)) {
            let line = json!({
                "t": at(run.began_at), "run": run.id, "worker": run.worker, "after": run.resume_after,
                "until": run.ended_at.map(at),
            });
            lines.push((at(run.began_at), line.to_string()));
        }
        for pair in overlap::pairs(&records.executions) {
            let line = json!({
                "t": at(pair.later.began_at), "beside": pair.request,
                "for_ms": pair.beside(self.history.now()).as_millis() as u64,
                "earlier": at(pair.earlier.began_at), "excused": pair.is_excused(&records.faults),
            });
            lines.push((at(pair.later.began_at), line.to_string()));
        }
        lines.sort();
        let mut text: Vec<String> = lines.into_iter().map(|(_, line)| line).collect();
        text.extend(
            report
                .broken_results
                .iter()
                .map(|line| json!({ "broken": line }).to_string()),
        );
        std::fs::write(
            self.config.fleet.out.join(RECORD_FILE),
            text.join("\n") + "\n",
        )
    }
}
