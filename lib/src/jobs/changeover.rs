//! Changes of a job's owner: the host that claims a job has the owner before stop its items first.
//!
//! An owner whose lease lapsed may be alive and at work. The claim fences its writes, but not the
//! items that it runs at upstreams.

use std::time::Duration;

use tokio::time::Instant;

use crate::edges::kv::Freshness;
use crate::edges::kv::KvVersion;
use crate::events::LogEvent;
use crate::jobs::keeper::JobKeeper;
use crate::jobs::message::GivenUpJob;
use crate::jobs::message::JobCall;
use crate::jobs::message::JobReply;
use crate::jobs::message::KnownOwner;
use crate::jobs::running::StopReason;
use crate::jobs::store::JobClaim;
use crate::jobs::store::JobOwner;
use crate::peers::PeerError;
use crate::registry::HostEntry;

/// Longest wait for the owner before to give a job up; longer than it waits for its items.
const GIVE_UP_TIMEOUT: Duration = Duration::from_millis(400);

/// Most owners that one claim asks to give a job up.
const MAX_ASKED_OWNERS: usize = 4;
/// Longest wait for stopped items to return their partial output.
const STOP_TIMEOUT: Duration = Duration::from_millis(200);
/// Polling interval of that wait.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Why a host claims a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum ClaimReason {
    /// This host stored the job.
    Submitted,
    /// The owner key lapsed with the lease of the owner, or was deleted.
    Lapsed,
    /// The owner is an earlier process of this host.
    SameName,
    /// The owner released the job and offered it.
    HandedOver,
    /// This process is still at work on the job, or stored it before.
    OwnAgain,
}

/// Way in which a job comes to this host.
#[derive(Debug)]
pub(super) struct Takeover {
    pub(super) reason: ClaimReason,
    /// Owner before, as far as this host knows.
    pub(super) previous: Option<JobOwner>,
    /// What the owner before handed over of its own accord.
    pub(super) handed_over: GivenUpJob,
}

impl Takeover {
    /// A job that this host stores as its first owner.
    pub(super) fn submitted() -> Self {
        Self {
            reason: ClaimReason::Submitted,
            previous: None,
            handed_over: GivenUpJob::default(),
        }
    }
}

/// What the owner before did about a job that was claimed.
#[derive(Debug, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum PreviousOwner {
    /// There was none, it is not known, or it has ended.
    Absent,
    /// It handed the job over of its own accord, or has stopped it now.
    Stopped(GivenUpJob),
    /// It does not have the job.
    NotOwner,
    /// It has the job by a later claim, or knows of one, so that this host does not have it any more.
    ClaimedLater,
    /// No connection to it could be opened.
    NotReached,
    /// It may be at work on the job: it did not answer in time, or does not know the call, as a host of an
    /// earlier release.
    Unanswered,
}

impl PreviousOwner {
    /// The outcome for several owners that were asked one after the other: what one of them handed over,
    /// and otherwise the one that leaves the most doubt.
    fn and(self, later: Self) -> Self {
        match (self, later) {
            (Self::Stopped(mut one), Self::Stopped(other)) => {
                one.extend(other);
                Self::Stopped(one)
            }
            (Self::Unanswered, _) | (_, Self::Unanswered) => Self::Unanswered,
            (one @ Self::Stopped(_), _) => one,
            (one @ Self::NotReached, Self::NotOwner) => one,
            (_, later) => later,
        }
    }
}

impl JobKeeper {
    /// Has the owner before stop the items of a job that this host has claimed, and waits until it has.
    ///
    /// A host may have claimed the job and lost it again between the owner that this host has seen and this
    /// one, or after this one, while the answer to the claim was on its way. The host that is asked tells of
    /// it, and the other one is asked in turn.
    pub(super) async fn displace(
        &self,
        job: &str,
        claim: &JobClaim,
        takeover: &Takeover,
    ) -> PreviousOwner {
        let own = &self.shared.identity;
        let is_asked = |owner: &&JobOwner| *owner != own && owner.peers != own.peers;
        let mut next = match takeover.reason {
            ClaimReason::HandedOver => None,
            _ => takeover.previous.as_ref().filter(is_asked).cloned(),
        };
        let mut asked: Vec<JobOwner> = Vec::new();
        let mut outcome = PreviousOwner::Absent;
        while let Some(owner) = next.take().filter(|_| asked.len() < MAX_ASKED_OWNERS) {
            let (answer, known) = self.ask_to_give_up(job, claim, &owner).await;
            asked.push(owner);
            outcome = outcome.and(answer);
            if let Some((known, version)) = known {
                self.see_owner(job, &known, version);
                if version > claim.version() {
                    return PreviousOwner::ClaimedLater;
                }
                next = Some(known).filter(|known| is_asked(&known) && !asked.contains(known));
            }
        }
        outcome
    }

    /// Asks one host to stop the items of a job that this host has claimed. Also returns the other owner
    /// that it tells of.
    async fn ask_to_give_up(
        &self,
        job: &str,
        claim: &JobClaim,
        owner: &JobOwner,
    ) -> (PreviousOwner, Option<(JobOwner, KvVersion)>) {
        let Some(entry) = owner.entry().or_else(|| self.listed_entry(owner)) else {
            return (PreviousOwner::Absent, None);
        };
        let own = &self.shared.identity;
        let call = JobCall::GiveUp {
            job: job.to_owned(),
            owner_version: claim.version().0,
            host: own.host.clone(),
            incarnation: own.incarnation,
        };
        let answer = match self.shared.peers.call(&entry, call, GIVE_UP_TIMEOUT).await {
            Ok(JobReply::GivenUp(given_up)) => PreviousOwner::Stopped(given_up),
            Ok(JobReply::NotOwner) => PreviousOwner::NotOwner,
            Ok(JobReply::OwnedBy(known)) => {
                let version = KvVersion(known.version);
                return (PreviousOwner::NotOwner, Some((known.into(), version)));
            }
            Err(PeerError::Refused(_) | PeerError::NotSent(_)) => PreviousOwner::NotReached,
            Ok(_) | Err(PeerError::NoReply(_)) => PreviousOwner::Unanswered,
        };
        (answer, None)
    }

    /// The registered entry of an owner's process; `None` if it is not or no longer registered.
    pub(super) fn listed_entry(&self, owner: &JobOwner) -> Option<HostEntry> {
        let registry = &self.shared.registry;
        let entry = registry.with_list(|list| list.get(&owner.host).cloned());
        entry.filter(|entry| entry.incarnation == owner.incarnation)
    }

    /// Records the owner of a job at a version of its owner key, by an up-to-date read or a message.
    pub(super) fn see_owner(&self, job: &str, owner: &JobOwner, version: KvVersion) {
        self.see_owner_of(job, owner, version, Freshness::Current);
    }

    /// Records the owner of a job at a version of its owner key, and logs a job whose owner changes again
    /// and again.
    pub(super) fn see_owner_of(
        &self,
        job: &str,
        owner: &JobOwner,
        version: KvVersion,
        freshness: Freshness,
    ) {
        if let Some(unsettled) = self.shared.owners.see(job, owner, version, freshness) {
            let owners = unsettled.owners.iter();
            let names = owners.map(|owner| format!("{}/{}", owner.host, owner.incarnation));
            self.shared.log.write(LogEvent::JobUnsettled {
                job: job.to_owned(),
                changes: unsettled.changes,
                owners: names.collect(),
            });
        }
    }

    /// Logs the claim of a job, and how the owner before was displaced.
    pub(super) fn log_claimed(
        &self,
        job: &str,
        claim: &JobClaim,
        takeover: &Takeover,
        outcome: &PreviousOwner,
    ) {
        let previous = takeover.previous.as_ref();
        let reason: &str = takeover.reason.into();
        let outcome: &str = outcome.into();
        self.shared.log.write(LogEvent::JobClaimed {
            job: job.to_owned(),
            version: claim.version().0,
            reason: reason.to_owned(),
            from: previous.map(|owner| owner.host.clone()),
            from_incarnation: previous.map(|owner| owner.incarnation),
            previous: outcome.to_owned(),
        });
    }

    /// Answers a host that has claimed a job with the owner key at `version`: stops the job's items if
    /// the claim of this host is an earlier one, and returns what they have got so far. Tells of another owner
    /// if this host does not have the job, or by a later claim.
    pub(super) async fn give_up(&self, job: &str, version: KvVersion, to: JobOwner) -> JobReply {
        let known = self.known_owner(job, &to);
        let not_owner = |known: Option<_>| known.map_or(JobReply::NotOwner, JobReply::OwnedBy);
        // Also keeps a claim that is being loaded from beginning the job's items.
        self.see_owner(job, &to, version);
        if !self.with_table(|table| table.hold_claimed_before(job, version)) {
            return not_owner(known);
        }
        let items = self.with_table(|table| table.running_items(job));
        self.shared.running.stop_job(job, StopReason::GivenUp);
        self.wait_for_stopped_items(Some(job)).await;
        if !self.is_claim_before(job, version) {
            return not_owner(self.known_owner(job, &to));
        }
        let given_up = self.with_table(|table| GivenUpJob {
            results: table.uncommitted_results(job),
            ..table.handed_over(job)
        });
        self.shared.log.write(LogEvent::JobGivenUp {
            job: job.to_owned(),
            to: to.host,
            to_incarnation: to.incarnation,
            version: version.0,
            reason: "claimed".to_owned(),
            items,
        });
        self.drop_job(job, "claimed_elsewhere");
        JobReply::GivenUp(given_up)
    }

    /// The latest owner of `job` that this host knows: itself while it has the job, and otherwise the last
    /// one that it has seen. `None` if that is `caller`.
    fn known_owner(&self, job: &str, caller: &JobOwner) -> Option<KnownOwner> {
        let claim = self.with_table(|table| table.claim(job));
        let own = claim.map(|claim| (self.shared.identity.clone(), claim.version()));
        let (owner, version) = own.or_else(|| self.shared.owners.latest(job))?;
        let is_caller = owner.host == caller.host && owner.incarnation == caller.incarnation;
        (!is_caller).then(|| owner.known_at(version))
    }

    fn is_claim_before(&self, job: &str, version: KvVersion) -> bool {
        let claim = self.with_table(|table| table.claim(job));
        claim.is_some_and(|claim| claim.version() < version)
    }

    /// Waits up to `STOP_TIMEOUT` until the stopped items, of one job or of all, have returned what they
    /// have got.
    pub(super) async fn wait_for_stopped_items(&self, job: Option<&str>) {
        let until = Instant::now() + STOP_TIMEOUT;
        let running = || match job {
            Some(job) => self.with_table(|table| table.running_items(job).len()),
            None => self.with_table(|table| table.running_item_count()),
        };
        while running() > 0 && Instant::now() < until {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }
}
