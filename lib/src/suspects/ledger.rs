//! What one host knows of crashes of upstreams, and which requests it refuses for them. Does no I/O
//! and reads no clock.
//!
//! All hosts know of the same crashes, as each reports those that it notices to all others, and
//! each decides for itself. A host that missed reports gets the convictions of its neighbours.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::collections::HashMap;
use crate::ids::UpstreamIncarnation;
use crate::suspects::conviction::CONVICTION_TIME;
use crate::suspects::conviction::Conviction;
use crate::suspects::conviction::ConvictionNotice;
use crate::suspects::crash::CrashSubject;
use crate::suspects::crash::CrashedRun;
use crate::suspects::crash::MAX_RUNS;
use crate::suspects::crash::UpstreamCrash;
use crate::suspects::evidence::CrashEvidence;
use crate::suspects::evidence::CrashRecord;
use crate::suspects::judgement::MIN_CRASHES_IF_SOUND;
use crate::suspects::judgement::RATE_WINDOW;
use crate::suspects::judgement::exceeds_chance;
use crate::suspects::news::CrashNews;
use crate::suspects::news::NewsItem;
use crate::suspects::news::NewsQueue;
use crate::suspects::news::SoundNotice;
use crate::suspects::news::TestClaim;
use crate::suspects::recent::RecentSubjects;

/// Time after a crash in which other hosts report their runs there; it is not judged before.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Time within which reports about an upstream are about the same crash. An upstream may restart without
/// a new start time in its entry, or before the entry is known.
const SAME_CRASH_TIME: Duration = Duration::from_secs(1);
/// Time for which crashes are remembered.
const CRASH_TIME: Duration = Duration::from_secs(120);
/// Most crashes that are remembered; the oldest ones are dropped beyond that.
const MAX_CRASHES: usize = 256;
/// Most convictions; the ones with the oldest crashes are dropped beyond that.
const MAX_CONVICTIONS: usize = 1_024;
/// Most convictions in one message.
const MAX_NOTICES: usize = 128;
/// Time between the claim of a test and its begin, in which the claims of other hosts arrive.
pub(crate) const CLAIM_TIME: Duration = Duration::from_millis(200);
/// Step of the delays after which hosts that know a subject to be sound tell the others.
const DEFENCE_STEP: Duration = Duration::from_millis(1);
const MAX_DEFENCE_DELAY: Duration = Duration::from_millis(500);
/// Assumed time to the first part of an answer before any was measured.
const INITIAL_ANSWER_TIME: Duration = Duration::from_millis(100);
/// One over the weight of a new value in the mean time to the first part of an answer.
const ANSWER_TIME_WEIGHT: u32 = 16;
/// Time for which no other host tests the same conviction after a claim.
const TEST_TIME: Duration = Duration::from_secs(5);

/// How a request may run, by the crashes that are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// It may run.
    Free,
    /// It was at several crashes, the last of which is not judged before this time.
    Unsettled(Instant),
    /// It is refused, as requests with this subject crash upstreams.
    Convicted {
        /// What is convicted.
        subject: CrashSubject,
        /// Time until the conviction is tested again.
        retry_after: Duration,
    },
    /// It may run as the test of this conviction, once the test is claimed.
    Testable(CrashSubject),
}

/// Size of the fleet that crashes happen in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of upstreams of all services.
    pub upstreams: usize,
}

/// A change of what the host believes, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashDecision {
    /// Crashes convict a subject.
    Convicted {
        /// What is convicted.
        subject: CrashSubject,
        /// Number of crashes under it.
        crashes: usize,
        /// Number of crashes of other causes at the time.
        others: usize,
    },
    /// The subject is convicted on another host's word, which has the evidence.
    Learned(CrashSubject),
    /// A request with a convicted subject got a part of an answer, so that the conviction ends.
    Released(CrashSubject),
}

#[derive(Debug)]
struct ClaimRecord {
    host: String,
    until: Instant,
}

/// Crashes, convictions and tests as one host knows them.
#[derive(Debug)]
pub struct CrashLedger {
    host: String,
    fleet: FleetSize,
    crashes: VecDeque<CrashRecord>,
    /// Mean time from the dispatch of a request to the first part of its answer.
    first_answer_time: Duration,
    /// When requests with a subject last got a part of an answer.
    sound: RecentSubjects,
    /// When they did so last as far as all hosts know.
    announced: RecentSubjects,
    convictions: HashMap<CrashSubject, Conviction>,
    /// Digest of the convictions; `None` after a change.
    digest: Option<u64>,
    claims: HashMap<CrashSubject, ClaimRecord>,
    news: NewsQueue,
    decisions: Vec<CrashDecision>,
}

impl CrashLedger {
    /// Returns the ledger of `host`, which knows of no crash.
    pub fn new(host: &str) -> Self {
        Self {
            host: host.to_owned(),
            fleet: FleetSize::default(),
            first_answer_time: INITIAL_ANSWER_TIME,
            crashes: VecDeque::new(),
            sound: RecentSubjects::default(),
            announced: RecentSubjects::default(),
            convictions: HashMap::default(),
            digest: None,
            claims: HashMap::default(),
            news: NewsQueue::default(),
            decisions: Vec::new(),
        }
    }

    /// Sets the size of the fleet.
    pub fn set_fleet(&mut self, fleet: FleetSize) {
        self.fleet = fleet;
    }

    /// Whether nothing is known against any request.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.convictions.is_empty()
    }

    /// Number of convictions.
    pub fn convictions(&self) -> usize {
        self.convictions.len()
    }

    /// Decisions since the last call.
    pub fn take_decisions(&mut self) -> Vec<CrashDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns how a request with `subjects` may run at `now`.
    pub fn verdict(&mut self, subjects: &[CrashSubject], now: Instant) -> CrashVerdict {
        self.judge(now);
        let mut testable = None;
        for subject in subjects {
            let Some(conviction) = self.convictions.get(subject) else {
                continue;
            };
            let claim = self.claims.get(subject).map(|claim| claim.until);
            let refused_until = conviction.test_at().max(claim.unwrap_or(now));
            if refused_until > now {
                return CrashVerdict::Convicted {
                    subject: *subject,
                    retry_after: refused_until - now,
                };
            }
            testable = Some(*subject);
        }
        if let Some(subject) = testable {
            return CrashVerdict::Testable(subject);
        }
        match self.unsettled_until(subjects, now) {
            Some(settled_at) => CrashVerdict::Unsettled(settled_at),
            None => CrashVerdict::Free,
        }
    }

    /// When the last crash under one of `subjects` can be judged; `None` if there are not several or
    /// all are judged.
    fn unsettled_until(&self, subjects: &[CrashSubject], now: Instant) -> Option<Instant> {
        let times = subjects.iter().filter_map(|subject| {
            let under = self.evidence().crashes_under(*subject);
            let last = under.last().map(|crash| crash.at + SETTLE_TIME)?;
            (under.len() > 1).then_some(last)
        });
        times.max().filter(|at| *at > now)
    }

    /// Records that `run` broke at `now` as `upstream` crashed. Other hosts will be told.
    pub fn report_crash(&mut self, upstream: UpstreamIncarnation, run: CrashedRun, now: Instant) {
        self.add_crash(upstream, now, now, vec![run]);
        self.news.push(NewsItem::Crash(upstream), now);
    }

    /// Records that `upstream` could not be reached at `now`, which counts as a crash of unknown cause.
    pub fn report_unreachable(&mut self, upstream: UpstreamIncarnation, now: Instant) {
        let mut crashes = self.crashes.iter();
        let is_known = crashes.any(|crash| {
            crash.upstream == upstream && now.saturating_duration_since(crash.at) < RATE_WINDOW
        });
        if !is_known {
            self.add_crash(upstream, now, now, Vec::new());
        }
    }

    /// Records that a request with `subjects` got a part of an answer at `now`, for which it had waited
    /// for `waited`. Other hosts will be told of a request that was at a crash, and of any subject that
    /// was convicted or was at several crashes.
    pub fn report_sound(&mut self, subjects: &[CrashSubject], waited: Duration, now: Instant) {
        let weight = ANSWER_TIME_WEIGHT;
        self.first_answer_time = (self.first_answer_time * (weight - 1) + waited) / weight;
        for subject in subjects {
            let is_request = matches!(subject, CrashSubject::Request(_));
            let is_convicted = self.convictions.contains_key(subject);
            let was_at_crash = self.crashes.iter().any(|crash| crash.has(*subject));
            if is_convicted || (is_request && was_at_crash) {
                self.announce_sound(*subject, now);
            }
            if !is_request || is_convicted || was_at_crash {
                self.note_sound(*subject, now);
            }
            if !is_request && was_at_crash {
                self.defend(*subject, now);
            }
        }
    }

    /// Claims the test of a conviction for this host. [`Self::holds_test`] tells after
    /// 200 ms whether the host has it.
    pub fn claim_test(&mut self, subject: CrashSubject, now: Instant) {
        let host = self.host.clone();
        self.add_claim(subject, &host, now);
        self.news.push(NewsItem::Test(subject), now);
    }

    /// Whether this host may test the conviction.
    pub fn holds_test(&self, subject: CrashSubject, now: Instant) -> bool {
        let claim = self.claims.get(&subject);
        claim.is_some_and(|claim| claim.host == self.host && claim.until > now)
    }

    /// Digest of all convictions; 0 without any.
    pub fn digest(&mut self) -> u64 {
        let convictions = &self.convictions;
        *self.digest.get_or_insert_with(|| {
            let digests = convictions
                .iter()
                .map(|(subject, conviction)| conviction.digest(*subject));
            digests.fold(0, |sum, digest| sum ^ digest)
        })
    }

    /// The convictions, to be changed.
    fn convictions_mut(&mut self) -> &mut HashMap<CrashSubject, Conviction> {
        self.digest = None;
        &mut self.convictions
    }

    /// Convictions for a host that may lack some, at most 128: others than the last time if there
    /// are more, by `draw`.
    pub fn convictions_notice(&self, draw: usize, now: Instant) -> CrashNews {
        let skipped = draw % self.convictions.len().max(1);
        let all = self.convictions.iter().cycle().skip(skipped);
        let convictions = all
            .take(self.convictions.len().min(MAX_NOTICES))
            .map(|(subject, conviction)| ConvictionNotice {
                subject: *subject,
                age_ms: age_ms(conviction.last_crash, now),
                failed_tests: conviction.failed_tests,
            })
            .collect();
        CrashNews {
            convictions,
            ..CrashNews::default()
        }
    }

    /// Changes that all other hosts have to be told now; `None` without any. Also judges crashes
    /// and forgets old ones, and so has to be called regularly.
    pub fn take_news(&mut self, now: Instant) -> Option<CrashNews> {
        self.judge(now);
        self.expire(now);
        let items = self.news.take(now);
        let mut news = CrashNews::default();
        for item in &items {
            match item {
                NewsItem::Crash(upstream) => {
                    news.crashes.extend(self.crash_message(*upstream, now))
                }
                NewsItem::Sound(subject) => news.sound.extend(self.sound_notice(*subject, now)),
                NewsItem::Test(subject) => news.tests.push(TestClaim {
                    subject: *subject,
                    host: self.host.clone(),
                }),
            }
        }
        (!items.is_empty()).then_some(news)
    }

    /// Applies another host's message, which has just arrived.
    pub fn apply(&mut self, news: CrashNews, now: Instant) {
        self.apply_arrived(news, now, now);
    }

    /// Applies another host's message that arrived at `arrived` or later. It may have waited at this host,
    /// so that its ages tell times between two bounds.
    pub fn apply_arrived(&mut self, news: CrashNews, arrived: Instant, now: Instant) {
        for crash in news.crashes {
            let at = earlier(now, crash.age_ms);
            let earliest = earlier(arrived, crash.age_ms).min(at);
            self.add_crash(crash.upstream, earliest, at, crash.runs);
        }
        for notice in news.sound {
            let at = earlier(now, notice.age_ms);
            self.announced.record(notice.subject, at);
            self.note_sound(notice.subject, at);
            self.news.remove(NewsItem::Sound(notice.subject));
            self.defend(notice.subject, now);
        }
        for claim in news.tests {
            self.add_claim(claim.subject, &claim.host, now);
        }
        for notice in news.convictions {
            self.merge_conviction(notice, now);
        }
    }

    fn crash_message(&self, upstream: UpstreamIncarnation, now: Instant) -> Option<UpstreamCrash> {
        let mut crashes = self.crashes.iter();
        let crash = crashes.rfind(|crash| crash.upstream == upstream)?;
        Some(UpstreamCrash {
            upstream,
            age_ms: age_ms(crash.at, now),
            runs: crash.runs.clone(),
        })
    }

    fn sound_notice(&self, subject: CrashSubject, now: Instant) -> Option<SoundNotice> {
        let age_ms = age_ms(self.sound.last_seen(subject)?, now);
        Some(SoundNotice { subject, age_ms })
    }

    /// Adds a crash that was at `at`, or at any time from `earliest` on.
    fn add_crash(
        &mut self,
        upstream: UpstreamIncarnation,
        earliest: Instant,
        at: Instant,
        runs: Vec<CrashedRun>,
    ) {
        for subject in runs.iter().flat_map(CrashedRun::subjects) {
            if self.convictions.contains_key(&subject)
                && let Some(conviction) = self.convictions_mut().get_mut(&subject)
            {
                conviction.record_crash(at);
            }
        }
        let is_same = |crash: &&mut CrashRecord| {
            // Shortest time between the two, by what is known of their times.
            let later = crash.earliest.max(earliest);
            let apart = later.saturating_duration_since(crash.at.min(at));
            crash.upstream == upstream && apart < SAME_CRASH_TIME
        };
        let Some(crash) = self.crashes.iter_mut().find(is_same) else {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.pop_front();
            }
            let mut runs = runs;
            runs.truncate(MAX_RUNS);
            let subjects: Vec<CrashSubject> = runs.iter().flat_map(CrashedRun::subjects).collect();
            self.crashes.push_back(CrashRecord {
                upstream,
                earliest,
                at,
                runs,
                is_judged: false,
            });
            for subject in subjects {
                self.defend(subject, at);
            }
            return;
        };
        if crash.earliest < crash.at {
            crash.at = crash.at.min(at).max(crash.earliest);
        }
        for run in runs {
            let is_known = crash.runs.iter().any(|known| known.request == run.request);
            if !is_known && crash.runs.len() < MAX_RUNS {
                crash.runs.push(run);
                crash.is_judged = false;
            }
        }
    }

    fn note_sound(&mut self, subject: CrashSubject, at: Instant) {
        let before = self.sound.last_seen(subject);
        self.sound.record(subject, at);
        let conviction = self.convictions.get(&subject);
        if conviction.is_some_and(|conviction| conviction.last_crash < at) {
            self.convictions_mut().remove(&subject);
            self.claims.remove(&subject);
            self.decisions.push(CrashDecision::Released(subject));
        }
        // Without this subject, others may stand out at the crashes that it was at.
        for crash in &mut self.crashes {
            if before <= Some(crash.at) && crash.at < at && crash.has(subject) {
                crash.is_judged = false;
            }
        }
    }

    fn announce_sound(&mut self, subject: CrashSubject, now: Instant) {
        self.news.push(NewsItem::Sound(subject), now);
        self.announced.record(subject, now);
    }

    /// Tells the other hosts that `subject` is sound if it was at several crashes and was sound after
    /// the first of them, which they may not know.
    ///
    /// Many hosts may know it. They tell it in an order of their own, and the others keep silent
    /// once one has.
    fn defend(&mut self, subject: CrashSubject, now: Instant) {
        let announced_at = self.announced.last_seen(subject);
        let sound_at = self.sound.last_seen(subject);
        let is_held_against = |crash: &&CrashRecord| {
            announced_at.is_none_or(|at| crash.at > at) && crash.has(subject)
        };
        let mut against = self.crashes.iter().filter(is_held_against);
        let (Some(first), Some(_)) = (against.next(), against.next()) else {
            return;
        };
        let item = NewsItem::Sound(subject);
        if sound_at > Some(first.at) && !self.news.contains(item) {
            let hash = xxh3_64(format!("{} {subject}", self.host).as_bytes());
            let delay = DEFENCE_STEP * (hash % self.fleet.hosts.max(1) as u64) as u32;
            self.news.push(item, now + delay.min(MAX_DEFENCE_DELAY));
        }
    }

    /// Among hosts that claim the same test at the same time, the one with the lowest name has it.
    fn add_claim(&mut self, subject: CrashSubject, host: &str, now: Instant) {
        let known = self.claims.get(&subject);
        let has_priority = known.is_some_and(|claim| claim.until > now && *claim.host <= *host);
        if !has_priority && self.convictions.contains_key(&subject) {
            let claim = ClaimRecord {
                host: host.to_owned(),
                until: now + TEST_TIME,
            };
            self.claims.insert(subject, claim);
        }
    }

    fn merge_conviction(&mut self, notice: ConvictionNotice, now: Instant) {
        let other = Conviction {
            last_crash: earlier(now, notice.age_ms),
            failed_tests: notice.failed_tests,
        };
        if self.sound.last_seen(notice.subject) > Some(other.last_crash) {
            return self.news.push(NewsItem::Sound(notice.subject), now);
        }
        match self.convictions_mut().get_mut(&notice.subject) {
            Some(known) => known.merge(other),
            None => {
                self.insert_conviction(notice.subject, other);
                let decision = CrashDecision::Learned(notice.subject);
                self.decisions.push(decision);
            }
        }
    }

    fn insert_conviction(&mut self, subject: CrashSubject, conviction: Conviction) {
        if self.convictions.len() >= MAX_CONVICTIONS {
            let crashes = self.convictions.iter();
            let oldest = crashes.min_by_key(|(subject, known)| (known.last_crash, **subject));
            if let Some(oldest) = oldest.map(|(subject, _)| *subject) {
                self.convictions_mut().remove(&oldest);
            }
        }
        self.convictions_mut().insert(subject, conviction);
    }

    /// Convicts the subjects that the crashes prove guilty.
    fn judge(&mut self, now: Instant) {
        let is_due = |crash: &CrashRecord| !crash.is_judged && now >= crash.at + SETTLE_TIME;
        let due = self.crashes.iter().filter(|crash| is_due(crash));
        let mut subjects: Vec<CrashSubject> = due.flat_map(CrashRecord::subjects).collect();
        if subjects.is_empty() {
            return;
        }
        subjects.sort_unstable();
        subjects.dedup();
        for crash in &mut self.crashes {
            crash.is_judged |= now >= crash.at + SETTLE_TIME;
        }
        for subject in subjects {
            if self.convictions.contains_key(&subject) {
                continue;
            }
            if let Some((conviction, decision)) = self.judge_subject(subject, now) {
                self.insert_conviction(subject, conviction);
                self.decisions.push(decision);
            }
        }
    }

    fn evidence(&self) -> CrashEvidence<'_> {
        CrashEvidence {
            crashes: &self.crashes,
            sound: &self.sound,
            convictions: &self.convictions,
            first_answer_time: self.first_answer_time,
        }
    }

    fn judge_subject(
        &self,
        subject: CrashSubject,
        now: Instant,
    ) -> Option<(Conviction, CrashDecision)> {
        let evidence = self.evidence();
        let under = evidence.crashes_under(subject);
        let last = under.last()?;
        if now < last.at + SETTLE_TIME || evidence.has_rival(subject, &under) {
            return None;
        }
        let exposures = evidence.exposures(subject, &under);
        let was_sound = self.sound.last_seen(subject).is_some();
        if was_sound && exposures.len() < MIN_CRASHES_IF_SOUND {
            return None;
        }
        let conviction = Conviction {
            last_crash: last.at,
            failed_tests: 0,
        };
        let decision = CrashDecision::Convicted {
            subject,
            crashes: exposures.len(),
            others: exposures.last().map_or(0, |exposure| exposure.others),
        };
        exceeds_chance(&exposures, self.fleet.upstreams).then_some((conviction, decision))
    }

    fn expire(&mut self, now: Instant) {
        while let Some(crash) = self.crashes.front()
            && now.saturating_duration_since(crash.at) >= CRASH_TIME
        {
            self.crashes.pop_front();
        }
        self.claims.retain(|_, claim| claim.until > now);
        let is_old =
            |known: &Conviction| now.saturating_duration_since(known.last_crash) >= CONVICTION_TIME;
        if self.convictions.values().any(is_old) {
            self.convictions_mut().retain(|_, known| !is_old(known));
        }
    }
}

fn age_ms(at: Instant, now: Instant) -> u32 {
    let age = now.saturating_duration_since(at).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX)
}

fn earlier(now: Instant, age_ms: u32) -> Instant {
    let age = Duration::from_millis(u64::from(age_ms));
    now.checked_sub(age).unwrap_or(now)
}
