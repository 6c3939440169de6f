//! Ends of jobs: stores the end, and has the process that runs the job's items stop them.
//!
//! Which process that is may have changed since this host last saw an owner, as during a hand-over. The write of
//! an end depends on the owner key, so that it names the owner that it displaces, and no other process can
//! claim the job after it.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;

use crate::edges::kv::KvError;
use crate::edges::kv::KvVersion;
use crate::jobs::keeper::JobKeeper;
use crate::jobs::keeper::STORE_RETRY_DELAY;
use crate::jobs::message::JobCall;
use crate::jobs::message::JobReply;
use crate::jobs::message::KnownOwner;
use crate::jobs::running::StopReason;
use crate::jobs::store::JobOwner;
use crate::jobs::store::OpenJob;
use crate::registry::HostEntry;

/// Most owners that are asked to end a job before this host stores the end.
const MAX_ASKED_OWNERS: usize = 3;
/// Attempts to store the end of a job, the first one included.
const MAX_STORE_ATTEMPTS: usize = 4;
/// Timeout of a call that asks a job's owner to end it.
const END_CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Attempts to notify a displaced owner of the end of the job.
const MAX_END_NOTICES: usize = 8;
/// Longest wait for that owner's confirmation before the caller is answered.
const NOTICE_WAIT: Duration = Duration::from_millis(300);
/// Delay between those attempts.
const END_NOTICE_DELAY: Duration = Duration::from_millis(300);

/// Result of ending a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOutcome {
    /// The end is stored; an owner that does not know of it yet can commit nothing more.
    Ended,
    /// No job with this identifier is stored.
    NoSuchJob,
    /// The end may not be stored, so the job may still run.
    Unknown,
}

/// Outcome of an up-to-date read of a job's `open` and owner keys; without a job if it is not open.
type OpenJobRead = Result<Option<OpenJob>, KvError>;

/// Result of attempts to store the end of a job.
struct StoredEnd {
    outcome: EndOutcome,
    /// Version at which the job is closed, if that is known.
    version: Option<KvVersion>,
    /// The owners that the writes depended on, of which the last one was displaced if the end is stored.
    displaced: Vec<JobOwner>,
}

impl JobKeeper {
    /// Ends `job` permanently: its results change no more, and its owner sends no more of its items
    /// to an upstream. The owner is asked first, as it also stops the running items; if none confirms, the
    /// end is stored from here and the owner that this displaces is notified.
    pub async fn end(&self, job: &str) -> EndOutcome {
        if self.with_table(|table| table.owns(job)) {
            return self.end_owned(job).await;
        }
        let mut asked = Vec::new();
        if self
            .ask_owners_to_end(self.cached_owner(job), job, &mut asked)
            .await
        {
            return EndOutcome::Ended;
        }
        let read = self.shared.store.open_job(job).await;
        if let Ok(Some(OpenJob {
            owner: Some((owner, version)),
            ..
        })) = &read
        {
            self.see_owner(job, owner, *version);
            let entry = owner.entry().or_else(|| self.cached_owner(job));
            let entry = entry.filter(|_| *owner != self.shared.identity);
            if self.ask_owners_to_end(entry, job, &mut asked).await {
                return EndOutcome::Ended;
            }
        }
        self.store_end(job, Some(read)).await
    }

    /// Asks `first` to end a job, and then the owners that those which are asked tell of. Returns whether one
    /// confirmed. Skips the addresses in `asked`, and adds those that were asked.
    async fn ask_owners_to_end(
        &self,
        first: Option<HostEntry>,
        job: &str,
        asked: &mut Vec<SocketAddr>,
    ) -> bool {
        let mut next = first;
        while let Some(host) = next.take()
            && !asked.contains(&host.peers)
            && asked.len() < MAX_ASKED_OWNERS
        {
            asked.push(host.peers);
            match self.request_end(&host, job, None).await {
                Some(JobReply::Ended) => return true,
                Some(JobReply::OwnedBy(known)) => next = JobOwner::from(known).entry(),
                _ => {}
            }
        }
        false
    }

    /// Asks another host to end a job, or notifies it of the end that is stored at `version`; `None` without a
    /// reply.
    async fn request_end(
        &self,
        host: &HostEntry,
        job: &str,
        version: Option<KvVersion>,
    ) -> Option<JobReply> {
        let call = JobCall::End {
            job: job.to_owned(),
            closed_version: version.map(|version| version.0),
        };
        let reply = self.shared.peers.call(host, call, END_CALL_TIMEOUT).await;
        reply.ok()
    }

    /// Answers a host that asks to end a job, or has stored its end at `closed_version`.
    pub(super) async fn answer_end(&self, job: &str, closed_version: Option<u64>) -> JobReply {
        if let Some(version) = closed_version {
            self.apply_end(job, KvVersion(version));
            return JobReply::Ended;
        }
        if !self.with_table(|table| table.owns(job)) {
            let known = self.last_owner(job);
            return known.map_or(JobReply::NotOwner, JobReply::OwnedBy);
        }
        match self.end_owned(job).await {
            EndOutcome::Ended => JobReply::Ended,
            EndOutcome::NoSuchJob | EndOutcome::Unknown => JobReply::Unsure,
        }
    }

    /// Stops the items of a job whose end another host has stored at `version`, unless this host has claimed the
    /// job later.
    fn apply_end(&self, job: &str, version: KvVersion) {
        // Also keeps a claim that is being loaded from beginning the job's items.
        self.shared.owners.record_closed(job, version);
        let claim = self.with_table(|table| table.claim(job));
        if claim.is_some_and(|claim| claim.version() < version) {
            self.drop_job(job, "ended");
        }
    }

    /// The last seen owner of `job`, for a host that takes this one for it; `None` if that is this process.
    fn last_owner(&self, job: &str) -> Option<KnownOwner> {
        let owner = self.shared.owners.last(job)?;
        let version = self.shared.owners.version(job).unwrap_or_default();
        (owner != self.shared.identity).then(|| owner.known_at(version))
    }

    /// Ends a job that this host owns.
    pub(super) async fn end_owned(&self, job: &str) -> EndOutcome {
        // Items stop before the end is stored: if the answer to the write is lost, the end may
        // hold all the same, and nothing may be sent to an upstream after it.
        self.with_table(|table| table.mark_ending(job));
        self.shared.running.stop_job(job, StopReason::JobDropped);
        let claim = self.with_table(|table| table.claim(job));
        let claimed = claim.map(|claim| {
            let owner = claim.owner_version;
            Ok(Some(OpenJob {
                id: job.to_owned(),
                version: claim.open_version,
                owner: owner.map(|version| (self.shared.identity.clone(), version)),
            }))
        });
        let outcome = self.store_end(job, claimed).await;
        match outcome {
            EndOutcome::Ended | EndOutcome::NoSuchJob => self.drop_job(job, "ended"),
            EndOutcome::Unknown => {}
        }
        outcome
    }

    /// Stores the end of a job, of which `known` is the outcome of a read if there was one, and notifies the
    /// owner that this displaces: in the background if it does not confirm soon.
    ///
    /// Waits for it, as this process may be killed right after the caller has its answer.
    async fn store_end(&self, job: &str, known: Option<OpenJobRead>) -> EndOutcome {
        let stored = self.try_to_store_end(job, known).await;
        if let Some(version) = stored.version {
            self.shared.owners.record_closed(job, version);
        }
        let displaced = stored.displaced.into_iter();
        let displaced = displaced.filter(|owner| *owner != self.shared.identity);
        let notices = displaced.map(|owner| {
            let (keeper, job) = (self.clone(), job.to_owned());
            tokio::spawn(async move { keeper.notify_end(&owner, &job, stored.version).await })
        });
        let notices: Vec<_> = notices.collect();
        let _ = tokio::time::timeout(NOTICE_WAIT, join_all(notices)).await;
        stored.outcome
    }

    async fn try_to_store_end(&self, job: &str, mut known: Option<OpenJobRead>) -> StoredEnd {
        let store = &self.shared.store;
        let mut end = StoredEnd {
            outcome: EndOutcome::Unknown,
            version: None,
            displaced: Vec::new(),
        };
        for attempt in 0..MAX_STORE_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(STORE_RETRY_DELAY).await;
            }
            let read = match known.take() {
                Some(known) => known,
                None => store.open_job(job).await,
            };
            let Ok(open) = read else {
                continue;
            };
            if open.is_none() {
                match store.load(job).await {
                    // An attempt of this host to store the job may still take effect.
                    Ok(None) if self.shared.attempts.has_open(job) => return end,
                    Ok(None) => {
                        end.outcome = EndOutcome::NoSuchJob;
                        return end;
                    }
                    Ok(Some(stored)) if stored.is_ended => {
                        end.outcome = EndOutcome::Ended;
                        end.version = Some(stored.revision);
                        // The host that stored the end may have ended before it notified the owner.
                        end.displaced.extend(stored.displaced);
                        return end;
                    }
                    Ok(Some(_)) => {}
                    Err(_) => continue,
                }
            }
            let owner = open.as_ref().and_then(|open| open.owner.as_ref());
            end.displaced.extend(owner.map(|(owner, _)| owner.clone()));
            // After an error the next read tells: the job was claimed or closed since it was read, or the end may
            // be stored all the same.
            if let Ok(version) = store.end(job, open.as_ref()).await {
                end.outcome = EndOutcome::Ended;
                end.version = Some(version);
                return end;
            }
        }
        end
    }

    /// Notifies a displaced owner of the end of its job until it confirms, at most `MAX_END_NOTICES` times.
    /// Without a `version`, the end may not be stored, and the owner is asked to end the job.
    async fn notify_end(&self, owner: &JobOwner, job: &str, version: Option<KvVersion>) {
        let Some(host) = owner.entry().or_else(|| self.listed_entry(owner)) else {
            return;
        };
        for _ in 0..MAX_END_NOTICES {
            if let Some(JobReply::Ended) = self.request_end(&host, job, version).await {
                return;
            }
            tokio::time::sleep(END_NOTICE_DELAY).await;
        }
    }
}
