//! What crashes say about one subject: which of them count, and whether something else explains them.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::ids::UpstreamIncarnation;
use crate::suspects::conviction::Conviction;
use crate::suspects::crash::CrashSubject;
use crate::suspects::crash::CrashedRun;
use crate::suspects::judgement::BURST_WINDOW;
use crate::suspects::judgement::CrashExposure;
use crate::suspects::judgement::RATE_WINDOW;
use crate::suspects::recent::RecentSubjects;

/// Time within which crashes of several upstreams count as one, as those of a rack that loses power.
const SAME_CAUSE_TIME: Duration = Duration::from_millis(25);

/// Crash of an upstream as this host knows it, with the runs that all hosts report.
#[derive(Debug)]
pub(crate) struct CrashRecord {
    pub(crate) upstream: UpstreamIncarnation,
    pub(crate) at: Instant,
    /// When it may have been at the earliest, if the message that told of it may have waited here.
    pub(crate) earliest: Instant,
    pub(crate) runs: Vec<CrashedRun>,
    /// Whether all that is known of the crash has been judged.
    pub(crate) is_judged: bool,
}

impl CrashRecord {
    pub(crate) fn subjects(&self) -> impl Iterator<Item = CrashSubject> {
        self.runs.iter().flat_map(CrashedRun::subjects)
    }

    /// Runs with `subject`.
    fn runs_with(&self, subject: CrashSubject) -> impl Iterator<Item = &CrashedRun> {
        self.runs.iter().filter(move |run| run.has(subject))
    }

    /// Whether a run with `subject` was there.
    pub(crate) fn has(&self, subject: CrashSubject) -> bool {
        self.runs_with(subject).next().is_some()
    }

    /// Whether `other` was there in a run without `subject`.
    fn has_apart(&self, other: CrashSubject, subject: CrashSubject) -> bool {
        self.runs_with(other).any(|run| !run.has(subject))
    }

    /// Whether `earlier` precedes `later` in the prompt of each run with `later`.
    fn always_precedes(&self, earlier: CrashSubject, later: CrashSubject) -> bool {
        let position = |run: &CrashedRun, subject| run.subjects().position(|own| own == subject);
        self.runs_with(later).all(|run| {
            let earlier = position(run, earlier);
            earlier.is_some() && earlier < position(run, later)
        })
    }
}

/// All that a host knows for and against subjects.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashEvidence<'a> {
    /// Known crashes, in the order in which the host learned of them.
    pub(crate) crashes: &'a VecDeque<CrashRecord>,
    /// When requests with a subject last got a part of an answer.
    pub(crate) sound: &'a RecentSubjects,
    /// Subjects that are convicted already.
    pub(crate) convictions: &'a HashMap<CrashSubject, Conviction>,
    /// Mean time from the dispatch of a request to the first part of its answer.
    pub(crate) first_answer_time: Duration,
}

impl<'a> CrashEvidence<'a> {
    /// Crashes with `subject` since it was last sound, but for those that a conviction of another
    /// subject explains; by time.
    pub(crate) fn crashes_under(&self, subject: CrashSubject) -> Vec<&'a CrashRecord> {
        let sound_at = self.sound.last_seen(subject);
        let crashes = self.crashes.iter();
        let mut under: Vec<&CrashRecord> = crashes
            .filter(|crash| sound_at.is_none_or(|at| crash.at > at))
            .filter(|crash| crash.has(subject) && !self.is_explained(crash, subject))
            .collect();
        under.sort_by_key(|crash| crash.at);
        under
    }

    /// Whether the crash is the work of a convicted subject other than `but`. A request that was
    /// convicted for a part of its prompt speaks for the part's guilt, not against it.
    fn is_explained(&self, crash: &CrashRecord, but: CrashSubject) -> bool {
        let is_other = |subject: &CrashSubject| match subject {
            CrashSubject::Request(_) => crash.has_apart(*subject, but),
            CrashSubject::Part(_) => *subject != but,
        };
        !self.convictions.is_empty()
            && crash
                .subjects()
                .any(|subject| self.convictions.contains_key(&subject) && is_other(&subject))
    }

    /// Whether something else was at all of the crashes too, so that either may be the cause.
    ///
    /// The narrower of two explanations holds: a request rather than the parts that nothing else
    /// brought, and of two parts that come together the later one. What was sound after the first
    /// crash is no rival, and what was ever sound is none for what never was.
    pub(crate) fn has_rival(&self, subject: CrashSubject, under: &[&CrashRecord]) -> bool {
        let Some(first) = under.first() else {
            return false;
        };
        let was_sound = self.sound.last_seen(subject).is_some();
        first.subjects().any(|other| {
            let is_narrower = match (subject, other) {
                (CrashSubject::Request(_), _) => {
                    !under.iter().all(|crash| crash.has_apart(other, subject))
                }
                (CrashSubject::Part(_), CrashSubject::Part(_)) => under
                    .iter()
                    .all(|crash| crash.always_precedes(other, subject)),
                (CrashSubject::Part(_), CrashSubject::Request(_)) => false,
            };
            let sound_at = self.sound.last_seen(other);
            let is_cleared = sound_at > Some(first.at) || (sound_at.is_some() && !was_sound);
            let was_at_all = under.iter().all(|crash| crash.has(other));
            other != subject && was_at_all && !is_narrower && !is_cleared
        })
    }

    /// The crash as evidence against `subject`, a run of which had waited there for `waited`.
    fn exposure(
        &self,
        subject: CrashSubject,
        crash: &CrashRecord,
        waited: Duration,
    ) -> CrashExposure {
        let others = self
            .crashes
            .iter()
            .filter(|other| !other.has(subject) && !self.is_explained(other, subject));
        let mut exposure = CrashExposure {
            risk_time: waited.max(self.first_answer_time),
            others: 0,
            others_near: 0,
        };
        for other in others {
            let is_before = other.at <= crash.at && crash.at - other.at <= RATE_WINDOW;
            let distance = match is_before {
                true => crash.at - other.at,
                false => other.at.saturating_duration_since(crash.at),
            };
            let is_near = distance <= BURST_WINDOW / 2;
            exposure.others += usize::from(is_before);
            exposure.others_near += usize::from(is_near && (is_before || other.at > crash.at));
        }
        exposure
    }

    /// The crashes `under` as evidence against `subject`, but for those at the same moment as another;
    /// for a part of a prompt only one of each request, as the copies of a request prove nothing about
    /// a part of it.
    pub(crate) fn exposures(
        &self,
        subject: CrashSubject,
        under: &[&CrashRecord],
    ) -> Vec<CrashExposure> {
        let mut requests = Vec::new();
        let mut exposures = Vec::new();
        let mut last_at: Option<Instant> = None;
        for crash in under {
            if last_at.is_some_and(|at| crash.at - at < SAME_CAUSE_TIME) {
                continue;
            }
            let mut runs = crash.runs_with(subject);
            let is_new = |run: &&CrashedRun| match subject {
                CrashSubject::Request(_) => true,
                CrashSubject::Part(_) => !requests.contains(&run.request),
            };
            if let Some(run) = runs.find(is_new) {
                last_at = Some(crash.at);
                requests.push(run.request);
                exposures.push(self.exposure(subject, crash, run.waited()));
            }
        }
        exposures
    }
}
