//! Readers of jobs at all fronts at once, and what they must never see.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use parsleywall_standins::kv::KvMemory;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use tokio::task::JoinSet;

use crate::fleet::SoakFleet;
use crate::history::Records;
use crate::history::SoakHistory;
use crate::jobs::ItemResult;
use crate::jobs::JobRecord;
use crate::play_clients;

const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a job may be open after a reader has got all its results.
pub const FULL_AND_OPEN_TIME: Duration = Duration::from_secs(10);

/// Time from the first read of a position until all fronts list it (`settleMs`).
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// One page of a job's results at one front.
#[derive(Clone, Debug)]
pub struct ReadPage {
    /// Number of the front.
    pub front: usize,
    /// Position of the first result.
    pub after: usize,
    /// The results.
    pub results: Vec<ItemResult>,
    /// When the page was asked for.
    pub sent: Duration,
}

impl ReadPage {
    /// Returns the page from position `after` on that `front` answered with `body`.
    pub fn from_body(front: usize, after: usize, body: &[u8], sent: Duration) -> Self {
        let page: Value = serde_json::from_slice(body).unwrap_or_default();
        let rows = page["results"].as_array().cloned().unwrap_or_default();
        Self {
            front,
            after,
            results: rows.iter().map(ItemResult::from_row).collect(),
            sent,
        }
    }
}

/// A job as its readers at all fronts saw it.
#[derive(Clone, Debug)]
pub struct JobReads {
    /// The job, with the results that any reader saw first at each position.
    pub job: JobRecord,
    /// Front that first listed each position, and when that was read.
    first_reads: Vec<(usize, Duration)>,
    /// When each front was last asked for a page that it answered with the job's last result.
    read_whole: Vec<Option<Duration>>,
    /// When the job was first seen closed in the store.
    closed_at: Option<Duration>,
    is_full_and_open: bool,
    /// Reads that were answered with 404.
    pub not_found: usize,
    /// Rules that were broken, one line each.
    pub broken: Vec<String>,
}

impl JobReads {
    /// Returns the record of a job that was accepted, at a fleet of `fronts`.
    pub fn new(job: JobRecord, fronts: usize) -> Self {
        Self {
            job,
            first_reads: Vec::new(),
            read_whole: vec![None; fronts],
            closed_at: None,
            is_full_and_open: false,
            not_found: 0,
            broken: Vec::new(),
        }
    }

    /// Notes a page that was read by `now`.
    pub fn note_page(&mut self, page: ReadPage, now: Duration) {
        let (front, end) = (page.front, page.after + page.results.len());
        let first_read = self.first_reads.get(page.after);
        let is_settled = first_read.is_some_and(|(_, at)| page.sent > *at + SETTLE_TIME);
        if page.results.is_empty() && is_settled {
            self.note_broken(format!(
                "LOST: {} at {}: was read, and front {front} lists nothing from there",
                self.job.id, page.after
            ));
        }
        for (offset, result) in page.results.into_iter().enumerate() {
            let position = page.after + offset;
            let first = self.first_reads.get(position).copied();
            for (rule, detail) in self.job.note_result(position, result) {
                let seen = first.map(|(first, _)| format!(", first listed by front {first}"));
                let seen = seen.unwrap_or_default();
                self.broken
                    .push(format!("{rule}: front {front}{seen}: {detail}"));
            }
            self.first_reads
                .resize(self.job.results.len(), (front, now));
        }
        if end >= self.job.items.len() && self.job.is_complete() {
            self.read_whole[front] = Some(page.sent);
        }
        if self.job.is_complete() && self.job.completed_at.is_none() {
            self.job.completed_at = Some(now);
        }
    }

    /// Notes whether the job is open in `kv`, which may keep it open until some time after `calm_since`;
    /// returns whether it is.
    pub fn note_open(&mut self, kv: &KvMemory, calm_since: Duration, now: Duration) -> bool {
        let is_open = kv.value(&format!("open/{}", self.job.id)).is_some();
        self.note_state(is_open, calm_since, now);
        is_open
    }

    /// Notes whether the job is open in the store, as [`JobReads::note_open`] does.
    pub fn note_state(&mut self, is_open: bool, calm_since: Duration, now: Duration) {
        match is_open {
            false => self.closed_at = self.closed_at.or(Some(now)),
            true => self.closed_at = None,
        }
        let full_since = self
            .job
            .completed_at
            .filter(|_| is_open && !self.is_full_and_open);
        let full_since = full_since.map(|since| since.max(calm_since));
        if full_since.is_some_and(|since| now > since + FULL_AND_OPEN_TIME) {
            self.is_full_and_open = true;
            let id = &self.job.id;
            self.note_broken(format!(
                "OPEN: {id} has all its results and is open at {now:.1?}"
            ));
        }
    }

    /// Notes a broken rule, once for all reads that show the same.
    fn note_broken(&mut self, line: String) {
        if !self.broken.contains(&line) {
            self.broken.push(line);
        }
    }

    /// Whether each front has listed the job to its end since it was closed.
    pub fn is_read(&self) -> bool {
        let is_after = |read: &Option<Duration>| {
            read.zip(self.closed_at)
                .is_some_and(|(read, closed)| read > closed)
        };
        self.read_whole.iter().all(is_after)
    }

    /// Notes what is missing at the end of a run.
    pub fn conclude(&mut self, kv: &KvMemory, now: Duration) {
        let is_open = self.note_open(kv, Duration::ZERO, now);
        self.conclude_state(is_open);
    }

    /// As [`JobReads::conclude`], of a job that is open in the store or isn't.
    pub fn conclude_state(&mut self, is_open: bool) {
        let id = &self.job.id;
        if !self.job.is_complete() {
            let (listed, items) = (self.job.distinct_results(), self.job.items.len());
            self.note_broken(format!(
                "LOST: {id} lists {listed} of {items} items, open: {is_open}"
            ));
        } else if is_open {
            self.note_broken(format!("OPEN: {id} is open at the end"));
        } else if !self.is_read() {
            let read = &self.read_whole;
            self.note_broken(format!(
                "LOST: {id} is not listed to its end at each front: {read:?}"
            ));
        }
    }

    /// Number of items that are listed as done.
    pub fn done(&self) -> usize {
        let results = self.job.results.iter();
        results.filter(|result| result.state == "done").count()
    }

    /// Number of items that began to run after the job had been read as complete.
    pub fn run_again(&self, records: &Records) -> usize {
        self.job.run_again(records)
    }

    /// Starts a reader of all jobs at each front, which reads from any position until the set is dropped.
    pub fn spawn_readers(
        reads: &Arc<Mutex<Vec<Self>>>,
        fleet: &Arc<SoakFleet>,
        history: &SoakHistory,
        seed: u64,
    ) -> JoinSet<()> {
        let mut readers = JoinSet::new();
        for front in 0..fleet.fronts.len() {
            let reader = JobReader {
                reads: reads.clone(),
                fleet: fleet.clone(),
                history: history.clone(),
                front,
                rng: StdRng::seed_from_u64(seed.wrapping_mul(23) + front as u64),
            };
            readers.spawn(reader.run());
        }
        readers
    }
}

/// Reader of all jobs at one front.
struct JobReader {
    reads: Arc<Mutex<Vec<JobReads>>>,
    fleet: Arc<SoakFleet>,
    history: SoakHistory,
    front: usize,
    rng: StdRng,
}

impl JobReader {
    async fn run(mut self) {
        let count = self.lock().len();
        loop {
            for number in 0..count {
                self.read(number).await;
            }
            tokio::time::sleep(READ_INTERVAL).await;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<JobReads>> {
        self.reads.lock().expect("reads lock")
    }

    /// Reads the job of a number from its beginning, from the end of what is known, or from between.
    async fn read(&mut self, number: usize) {
        let (id, known) = {
            let reads = self.lock();
            let job = &reads[number].job;
            (job.id.clone(), job.results.len())
        };
        let after = match self.rng.random_range(0..3) {
            0 => 0,
            1 => known,
            _ => self.rng.random_range(0..=known),
        };
        let path = format!("/lots/{id}?after={after}");
        let sent = self.history.now();
        let call = play_clients::call(
            &self.fleet,
            self.front,
            Method::GET,
            &path,
            &id,
            String::new(),
        );
        let answer = call.await;
        let now = self.history.now();
        let mut reads = self.lock();
        match answer {
            Some((StatusCode::OK, body)) => {
                let page = ReadPage::from_body(self.front, after, &body, sent);
                reads[number].note_page(page, now);
            }
            Some((StatusCode::NOT_FOUND, _)) => reads[number].not_found += 1,
            _ => {}
        }
    }
}
