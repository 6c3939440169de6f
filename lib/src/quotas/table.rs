//! Decides which requests of workspaces with a limit a host admits, and which requests of other hosts.

use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::quotas::account::PendingQuestion;
use crate::quotas::account::QuotaAccount;
use crate::quotas::account::ReplySource;
use crate::quotas::authority::AuthorityRank;
use crate::quotas::authority::QuotaAuthority;
use crate::quotas::fleet::FleetView;
use crate::quotas::fleet::HostKey;
use crate::quotas::fleet::QuotaFleet;
use crate::quotas::message::QuotaAsk;
use crate::quotas::message::QuotaReply;
use crate::quotas::message::WorkspaceTag;
use crate::workspaces::RequestAllowance;

/// Time within which a host replies.
const REPLY_TIME: Duration = Duration::from_millis(40);
/// Time after which a reply doesn't count any more.
const LATE_REPLY_TIME: Duration = Duration::from_millis(500);
/// Shortest interval between two searches for grants that have expired.
const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// Why a workspace may not send a request now.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaRefusal {
    /// Time after which the caller may come back.
    pub retry_after: Duration,
    /// Requests that were left when an authority last replied, and the age of the reply; `None` without
    /// one.
    pub known: Option<(f64, Duration)>,
    /// The host that replied; `None` if this host used its own share.
    pub authority: Option<String>,
}

/// What becomes of a request of a workspace with a limit.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaVerdict {
    /// It may be sent, and is counted.
    Admitted,
    /// It may not.
    Refused(QuotaRefusal),
    /// Another host is asked; [`QuotaTable::resume`] decides when it has replied, or at this time.
    Waiting(Instant),
}

/// Numbers of questions to other hosts since the last call, by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaCounts {
    /// Workspaces that were asked about.
    pub asked: u64,
    /// Questions for waiting requests without a reply in time.
    pub unanswered: u64,
    /// Questions to hosts that do not pace the workspace.
    pub denied: u64,
    /// Requests that were admitted from this host's own share.
    pub local: u64,
}

#[derive(Debug)]
struct SentQuestion {
    authority: HostKey,
    at: Instant,
    /// Workspaces in the order of the entries, with the number of requests that are owed.
    entries: Vec<(WorkspaceTag, u32)>,
}

/// Limits of workspaces at one host: those of its own callers, and those that it paces for all.
#[derive(Debug)]
pub struct QuotaTable {
    process: u32,
    sequence: u32,
    fleet: QuotaFleet,
    authority: QuotaAuthority,
    accounts: HashMap<WorkspaceTag, QuotaAccount>,
    /// Accounts to tell authorities of.
    queue: Vec<WorkspaceTag>,
    /// Whether a request waits for a question in the queue.
    is_urgent: bool,
    sent: HashMap<u32, SentQuestion>,
    counts: QuotaCounts,
    started_at: Instant,
    stepped_at: Instant,
}

impl QuotaTable {
    /// Creates the table of `host`, whose process starts now and has the random number `process`.
    pub fn new(host: &str, process: u32, now: Instant) -> Self {
        Self {
            process,
            sequence: 0,
            fleet: QuotaFleet::new(host),
            authority: QuotaAuthority::new(now),
            accounts: HashMap::default(),
            queue: Vec::new(),
            is_urgent: false,
            sent: HashMap::default(),
            counts: QuotaCounts::default(),
            started_at: now,
            stepped_at: now,
        }
    }

    /// Replaces the hosts that this one sees.
    pub fn set_fleet(&mut self, view: FleetView) {
        self.fleet.set_view(view);
    }

    /// Whether this host has anything to do with limits of workspaces.
    pub fn is_active(&self) -> bool {
        !self.accounts.is_empty() || self.authority.len() > 0
    }

    /// Decides on a request that arrives, of the workspace `tag` with the limit `allowance` by the
    /// configuration `version`. One that waits has to be ended by [`Self::resume`] or [`Self::abandon`].
    pub fn admit(
        &mut self,
        tag: WorkspaceTag,
        allowance: RequestAllowance,
        version: u64,
        now: Instant,
    ) -> QuotaVerdict {
        let account = self
            .accounts
            .entry(tag)
            .or_insert_with(|| QuotaAccount::new(allowance, version, now));
        account.note_request(allowance, version, now);
        account.waiting += 1;
        self.resume(tag, now)
    }

    /// Decides on a request that waits.
    pub fn resume(&mut self, tag: WorkspaceTag, now: Instant) -> QuotaVerdict {
        let verdict = self.decide(tag, now);
        if !matches!(verdict, QuotaVerdict::Waiting(_)) {
            self.abandon(tag);
        }
        verdict
    }

    /// Ends a request that waits and whose caller has left.
    pub fn abandon(&mut self, tag: WorkspaceTag) {
        if let Some(account) = self.accounts.get_mut(&tag) {
            account.waiting = account.waiting.saturating_sub(1);
        }
    }

    /// Returns a request that was admitted and has not run.
    pub fn give_back(&mut self, tag: WorkspaceTag) {
        if let Some(account) = self.accounts.get_mut(&tag) {
            account.return_admitted();
            self.enqueue(tag);
        }
    }

    fn decide(&mut self, tag: WorkspaceTag, now: Instant) -> QuotaVerdict {
        loop {
            let Some(account) = self.accounts.get_mut(&tag) else {
                return QuotaVerdict::Admitted;
            };
            if account.take_granted(now) {
                if account.is_renewal_due(now) {
                    self.enqueue(tag);
                }
                return QuotaVerdict::Admitted;
            }
            if let Some(pause) = account.pause(now) {
                return self.refuse(tag, pause, now);
            }
            if account.is_local(now) {
                return self.admit_local(tag, now);
            }
            let skipped = match account.pending {
                Some(pending) if now < pending.at + REPLY_TIME => {
                    return QuotaVerdict::Waiting(pending.at + REPLY_TIME);
                }
                Some(pending) => {
                    self.counts.unanswered += 1;
                    self.fleet.note_miss(pending.authority, now);
                    if account.has_asked_heir {
                        account.set_local(now);
                        continue;
                    }
                    account.has_asked_heir = true;
                    Some(pending.authority)
                }
                None => None,
            };
            let Some(authority) = self.fleet.authority(tag, skipped, now) else {
                account.set_local(now);
                continue;
            };
            let pending = PendingQuestion { authority, at: now };
            account.pending = Some(pending);
            if authority == self.fleet.own() {
                self.ask_own(tag, now);
                continue;
            }
            self.enqueue(tag);
            self.is_urgent = true;
            return QuotaVerdict::Waiting(now + REPLY_TIME);
        }
    }

    fn refuse(&mut self, tag: WorkspaceTag, pause: Duration, now: Instant) -> QuotaVerdict {
        let account = self.accounts.get_mut(&tag).expect("decided on");
        let authority = account.told_by.filter(|_| !account.is_local(now));
        QuotaVerdict::Refused(QuotaRefusal {
            retry_after: account.retry_after(pause, now),
            known: account.known(now),
            authority: authority.map(|key| self.fleet.name(key).to_owned()),
        })
    }

    fn admit_local(&mut self, tag: WorkspaceTag, now: Instant) -> QuotaVerdict {
        let account = self.accounts.get_mut(&tag).expect("decided on");
        match account.take_local(self.fleet.hosts(), self.started_at, now) {
            Ok(()) => {
                self.counts.local += 1;
                self.enqueue(tag);
                QuotaVerdict::Admitted
            }
            Err(wait) => self.refuse(tag, wait, now),
        }
    }

    /// Asks this host itself about a workspace that it paces.
    fn ask_own(&mut self, tag: WorkspaceTag, now: Instant) {
        let account = self.accounts.get_mut(&tag).expect("decided on");
        let own = self.fleet.own();
        let rank = rank(&mut self.fleet, tag);
        let (entry, owed) = account.take_entry(tag, now);
        let (process, share) = (self.process, self.fleet.share());
        let grant = self.authority.answer(process, &entry, rank, share, now);
        if grant.is_none() {
            account.restore_owed(owed);
        }
        let source = source(&mut self.fleet, own, tag, now);
        account.apply(grant, source, now, now);
    }

    fn enqueue(&mut self, tag: WorkspaceTag) {
        if let Some(account) = self.accounts.get_mut(&tag)
            && !account.is_queued
        {
            account.is_queued = true;
            self.queue.push(tag);
        }
    }

    /// Whether a request waits for a question that is to be sent.
    pub fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// Takes the questions to send, with the hosts that they are for.
    pub fn take_asks(&mut self, now: Instant) -> Vec<(String, QuotaAsk)> {
        self.step(now);
        self.is_urgent = false;
        let mut by_host: Vec<(HostKey, QuotaAsk, SentQuestion)> = Vec::new();
        for tag in std::mem::take(&mut self.queue) {
            let Some(account) = self.accounts.get_mut(&tag) else {
                continue;
            };
            account.is_queued = false;
            let pending = account.pending.map(|pending| pending.authority);
            let first = self.fleet.authority(tag, None, now);
            let Some(authority) = pending.or(first) else {
                continue;
            };
            if authority == self.fleet.own() {
                self.ask_own(tag, now);
                continue;
            }
            let (entry, owed) = account.take_entry(tag, now);
            self.counts.asked += 1;
            let index = match by_host.iter().position(|(key, ..)| *key == authority) {
                Some(index) => index,
                None => {
                    by_host.push(self.new_question(authority, now));
                    by_host.len() - 1
                }
            };
            by_host[index].1.entries.push(entry);
            by_host[index].2.entries.push((tag, owed));
        }
        let mut asks = Vec::with_capacity(by_host.len());
        for (key, ask, question) in by_host {
            self.sent.insert(ask.sequence, question);
            asks.push((self.fleet.name(key).to_owned(), ask));
        }
        asks
    }

    fn new_question(
        &mut self,
        authority: HostKey,
        now: Instant,
    ) -> (HostKey, QuotaAsk, SentQuestion) {
        self.sequence = self.sequence.wrapping_add(1);
        let ask = QuotaAsk {
            process: self.process,
            sequence: self.sequence,
            entries: Vec::new(),
        };
        let question = SentQuestion {
            authority,
            at: now,
            entries: Vec::new(),
        };
        (authority, ask, question)
    }

    /// Returns expired grants, puts back what was told without a reply, and forgets idle workspaces.
    fn step(&mut self, now: Instant) {
        if now - self.stepped_at < STEP_INTERVAL {
            return;
        }
        self.stepped_at = now;
        let is_late = |question: &SentQuestion| now - question.at >= LATE_REPLY_TIME;
        for (_, question) in self.sent.extract_if(|_, question| is_late(question)) {
            for (tag, owed) in question.entries {
                if let Some(account) = self.accounts.get_mut(&tag) {
                    account.restore_owed(owed);
                }
            }
        }
        self.accounts.retain(|tag, account| {
            account.return_expired(now);
            if account.has_news() && !account.is_queued {
                account.is_queued = true;
                self.queue.push(*tag);
            }
            !account.is_idle(now)
        });
    }

    /// Answers another host's question; `None` if it has come before, or a later one has.
    pub fn answer(&mut self, ask: &QuotaAsk, now: Instant) -> Option<QuotaReply> {
        if !self.authority.accept(ask.process, ask.sequence, now) {
            return None;
        }
        let share = self.fleet.share();
        let grants = ask.entries.iter().map(|entry| {
            let rank = rank(&mut self.fleet, entry.0);
            self.authority.answer(ask.process, entry, rank, share, now)
        });
        Some(QuotaReply {
            sequence: ask.sequence,
            grants: grants.collect(),
        })
    }

    /// Applies the reply to a question. Returns whether requests may wait for it.
    pub fn apply_reply(&mut self, reply: &QuotaReply, now: Instant) -> bool {
        let Some(question) = self.sent.remove(&reply.sequence) else {
            return false;
        };
        self.fleet.note_reply(question.authority);
        let mut has_waiting = false;
        for ((tag, owed), grant) in question.entries.iter().zip(&reply.grants) {
            let Some(account) = self.accounts.get_mut(tag) else {
                continue;
            };
            if grant.is_none() {
                self.counts.denied += 1;
                account.restore_owed(*owed);
            }
            let source = source(&mut self.fleet, question.authority, *tag, now);
            account.apply(*grant, source, question.at, now);
            has_waiting |= account.waiting > 0;
        }
        has_waiting
    }

    /// Takes the counts since the last call.
    pub fn take_counts(&mut self) -> QuotaCounts {
        std::mem::take(&mut self.counts)
    }

    /// Number of weights of hosts that were computed to draw authorities.
    pub fn weighed(&self) -> u64 {
        self.fleet.weighed()
    }
}

/// Rank of this host among those that may pace the workspace `tag`.
fn rank(fleet: &mut QuotaFleet, tag: WorkspaceTag) -> AuthorityRank {
    match fleet.is_first(fleet.own(), tag) {
        true => AuthorityRank::First,
        false => AuthorityRank::Later,
    }
}

fn source(fleet: &mut QuotaFleet, host: HostKey, tag: WorkspaceTag, now: Instant) -> ReplySource {
    ReplySource {
        host,
        is_first: fleet.is_first(host, tag),
        is_next: fleet.authority(tag, None, now) == Some(host),
    }
}
