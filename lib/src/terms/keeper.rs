//! The terms in force on this host, and commits of edits to the key-value service.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use log::info;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::clock::unix_millis;
use crate::counters::CounterEvent;
use crate::counters::CounterSet;
use crate::counters::RetryReason;
use crate::decisions::DecisionKind;
use crate::decisions::DecisionRing;
use crate::edges::kv::KvError;
use crate::edges::kv::KvStore;
use crate::ids::Revision;
use crate::ids::random_id;
use crate::peers::PeerMessage;
use crate::terms::document::TermsDocument;
use crate::terms::document::ValidationError;
use crate::terms::edit::ProposedChange;
use crate::terms::edit::TermsChange;
use crate::terms::edit::TermsDifference;
use crate::terms::edit::TermsProposal;
use crate::terms::edit::changed_objects;
use crate::terms::edit::differences;
use crate::terms::store::AcceptedTerms;
use crate::terms::store::BaseTerms;
use crate::terms::store::EditSummary;
use crate::terms::store::TermsStore;
use crate::terms::view::TermsView;

const COMMIT_ATTEMPTS: u32 = 12;
const MIN_COMMIT_PAUSE: Duration = Duration::from_millis(10);
const MAX_COMMIT_PAUSE: Duration = Duration::from_millis(150);
/// Newest steps that are kept, so that peers get changes instead of the whole document.
const MAX_STEPS: usize = 64;
/// A step that changes more objects than this is not kept; peers get the whole document instead.
const MAX_STEP_OBJECTS: usize = 256;
/// Most differences listed in [`TermsError::Conflict`].
const MAX_CONFLICT_DIFFERENCES: usize = 20;

/// Why an edit was not accepted, or the terms could not be read.
#[derive(Clone, Debug, PartialEq)]
pub enum TermsError {
    /// The edit, or the document that it results in, is invalid; lists every validation error.
    Invalid(Vec<ValidationError>),
    /// The accepted revision is not the one that the edit expected, as another edit came first.
    Conflict {
        /// Revision that is accepted now.
        current: Revision,
        /// Author of the newest accepted edit; empty if there is none.
        author: String,
        /// Differences between the expected and the current revision. Truncated if there are many,
        /// and empty if the history does not reach the expected revision.
        differences: Vec<TermsDifference>,
    },
    /// The history does not reach this revision.
    UnknownRevision(Revision),
    /// The key-value service is unavailable, or its content cannot be decoded. No edit was made.
    Unavailable(String),
    /// A write was not confirmed, so the edit may have been accepted. Reading the terms, or sending
    /// the same edit again, shows the outcome.
    Unknown(String),
    /// The stored terms have this format version, which this release does not support.
    Format(u32),
}

/// Changes between two revisions that were in force on a host one directly after the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TermsStep {
    /// Revision that the changes apply to.
    pub from: Revision,
    /// Revision that the changes result in.
    pub to: Revision,
    /// Changed objects, with their new content.
    pub changes: Vec<TermsChange>,
}

/// Reply to a [`TermsCall`]: what the caller needs to reach the revision in force on this host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TermsUpdate {
    /// The caller has the same revision or a newer one.
    Nothing,
    /// Consecutive steps from the caller's revision to that of this host.
    Steps(Vec<TermsStep>),
    /// The whole document with its revision, if the steps are not kept any more.
    Whole(Revision, TermsDocument),
}

/// The terms in force on this host. Adopts only newer revisions, and commits edits.
pub struct ActiveTerms {
    store: TermsStore,
    counters: Arc<CounterSet>,
    decisions: Arc<DecisionRing>,
    bootstrap_operator: Option<String>,
    view: watch::Sender<Arc<TermsView>>,
    /// Newest steps, oldest first. The lock also serialises adoptions, so that the revision in
    /// force never goes back.
    steps: Mutex<VecDeque<TermsStep>>,
}

impl ActiveTerms {
    /// Returns an instance at revision 0 with an empty document.
    pub fn new(
        store: Arc<dyn KvStore>,
        counters: Arc<CounterSet>,
        decisions: Arc<DecisionRing>,
    ) -> Self {
        let (view, _) = watch::channel(Arc::new(TermsView::default()));
        Self {
            store: TermsStore::new(store),
            counters,
            decisions,
            bootstrap_operator: None,
            view,
            steps: Mutex::new(VecDeque::new()),
        }
    }

    /// Accepts the operator key with the SHA-256 `digest` as long as the terms name no operator, so
    /// that an operator can make the first edit.
    pub fn with_bootstrap_operator(mut self, digest: Option<String>) -> Self {
        self.bootstrap_operator = digest;
        let view = self.resolve(Revision(0), Arc::default());
        self.view.send_replace(Arc::new(view));
        self
    }

    /// The terms in force.
    pub fn view(&self) -> Arc<TermsView> {
        self.view.borrow().clone()
    }

    /// Subscribes to the terms in force; a slow receiver sees only the newest revision.
    pub fn subscribe(&self) -> watch::Receiver<Arc<TermsView>> {
        self.view.subscribe()
    }

    pub(crate) fn store(&self) -> &TermsStore {
        &self.store
    }

    pub(crate) fn base_terms(&self) -> BaseTerms {
        let view = self.view();
        BaseTerms {
            revision: view.revision,
            document: view.document.clone(),
        }
    }

    /// Puts `document` in force if `revision` is newer than the current one, and returns whether it
    /// was. An older revision is counted as stale.
    pub fn adopt(&self, revision: Revision, document: Arc<TermsDocument>) -> bool {
        let mut steps = self.steps.lock().expect("terms steps lock");
        let current = self.view();
        if revision <= current.revision {
            if revision < current.revision {
                self.counters.event(CounterEvent::TermsStale);
            }
            return false;
        }
        let changes = changed_objects(&current.document, &document);
        let paths: Vec<String> = changes.iter().map(TermsChange::path).collect();
        if changes.len() > MAX_STEP_OBJECTS {
            steps.clear();
        } else {
            steps.push_back(TermsStep {
                from: current.revision,
                to: revision,
                changes,
            });
        }
        if steps.len() > MAX_STEPS {
            steps.pop_front();
        }
        self.view
            .send_replace(Arc::new(self.resolve(revision, document)));
        drop(steps);
        self.record_adoption(revision, &paths);
        true
    }

    fn record_adoption(&self, revision: Revision, paths: &[String]) {
        const MAX_SUBJECTS: usize = 8;
        self.counters.event(CounterEvent::TermsAdopted);
        info!("revision {revision} of the terms is in force");
        let names = paths.iter().take(MAX_SUBJECTS);
        let names = names.map(|path| path.split_once('.').map_or(path.as_str(), |(_, name)| name));
        let subjects: Vec<&str> = ["terms"].into_iter().chain(names).collect();
        let detail = format!("revision {revision} in force; {} objects", paths.len());
        self.decisions
            .record(DecisionKind::Terms, &subjects, detail);
    }

    /// The update for a peer that has the revision `known` in force.
    pub fn update_since(&self, known: Revision) -> TermsUpdate {
        let steps = self.steps.lock().expect("terms steps lock");
        let view = self.view();
        if known >= view.revision {
            return TermsUpdate::Nothing;
        }
        match steps.iter().position(|step| step.from == known) {
            Some(index) => TermsUpdate::Steps(steps.iter().skip(index).cloned().collect()),
            None => TermsUpdate::Whole(view.revision, (*view.document).clone()),
        }
    }

    /// Applies an update from a peer; returns whether a newer revision came into force.
    pub fn adopt_update(&self, update: TermsUpdate) -> bool {
        match update {
            TermsUpdate::Nothing => false,
            TermsUpdate::Whole(revision, document) => self.adopt(revision, Arc::new(document)),
            TermsUpdate::Steps(steps) => {
                let base = self.base_terms();
                let mut document = (*base.document).clone();
                let mut revision = base.revision;
                for step in steps {
                    // Skips steps that this host has adopted since the request, and all steps if
                    // one is missing.
                    if step.from != revision {
                        continue;
                    }
                    for change in &step.changes {
                        change.apply(&mut document);
                    }
                    revision = step.to;
                }
                revision > base.revision && self.adopt(revision, Arc::new(document))
            }
        }
    }

    /// Replaces the whole document, if `expected` is still the accepted revision; `None` replaces
    /// any revision. Errors are those of [`ActiveTerms::commit`].
    pub async fn replace(
        &self,
        expected: Option<Revision>,
        document: TermsDocument,
        author: &str,
    ) -> Result<Revision, TermsError> {
        self.commit(&TermsProposal {
            edit: random_id("edit"),
            author: author.to_owned(),
            expected,
            change: ProposedChange::Whole(Box::new(document)),
        })
        .await
    }

    /// Commits an edit and puts it in force on this host. Returns the accepted revision.
    ///
    /// A repeated edit is recognised by its identifier and returns the revision that it made
    /// before, as long as it is one of the newest edits. An edit without effect makes no revision
    /// and returns the current one.
    pub async fn commit(&self, proposal: &TermsProposal) -> Result<Revision, TermsError> {
        let mut write_attempted = false;
        for attempt in 0..COMMIT_ATTEMPTS {
            if attempt > 0 {
                let pause = rand::random_range(MIN_COMMIT_PAUSE..MAX_COMMIT_PAUSE);
                tokio::time::sleep(pause).await;
            }
            let accepted = match self.store.read(&self.base_terms()).await {
                Ok(accepted) => accepted,
                Err(TermsError::Unavailable(_)) if attempt + 1 < COMMIT_ATTEMPTS => {
                    self.counters.retry(RetryReason::StoreFailed);
                    continue;
                }
                Err(TermsError::Unavailable(cause)) if write_attempted => {
                    return Err(TermsError::Unknown(cause));
                }
                Err(err) => return Err(err),
            };
            if let Some(revision) = accepted.revision_of_edit(&proposal.edit) {
                self.adopt(accepted.revision, accepted.document);
                return Ok(revision);
            }
            self.check_expected(proposal, &accepted).await?;
            let document = self.apply_change(&proposal.change, &accepted).await?;
            let changes = changed_objects(&accepted.document, &document);
            if changes.is_empty() {
                self.adopt(accepted.revision, accepted.document);
                return Ok(accepted.revision);
            }
            write_attempted = true;
            let summary = summary(proposal);
            let written = self.store.write(&accepted, &document, changes, summary);
            match written.await {
                Ok(revision) => {
                    self.adopt(revision, document);
                    return Ok(revision);
                }
                Err(KvError::Conflict { .. }) => self.counters.retry(RetryReason::StoreConflict),
                Err(KvError::Unavailable(_) | KvError::Unknown(_)) => {
                    self.counters.retry(RetryReason::StoreFailed);
                }
                Err(err) => return Err(TermsError::Unavailable(err.to_string())),
            }
        }
        Err(TermsError::Unknown(
            "the write was not confirmed".to_owned(),
        ))
    }

    /// Summaries of the newest accepted edits, oldest first.
    pub async fn history(&self) -> Result<Vec<EditSummary>, TermsError> {
        let accepted = self.store.read(&self.base_terms()).await?;
        Ok(accepted
            .head
            .map(|(head, _)| head.recent)
            .unwrap_or_default())
    }

    /// The document of an accepted revision; [`TermsError::UnknownRevision`] if the history does
    /// not reach it.
    pub async fn document_at(&self, revision: Revision) -> Result<Arc<TermsDocument>, TermsError> {
        let view = self.view();
        if view.revision == revision {
            return Ok(view.document.clone());
        }
        let accepted = self.store.read(&self.base_terms()).await?;
        let document = self.store.document_at(revision, &accepted).await?;
        document.ok_or(TermsError::UnknownRevision(revision))
    }

    async fn check_expected(
        &self,
        proposal: &TermsProposal,
        accepted: &AcceptedTerms,
    ) -> Result<(), TermsError> {
        let Some(expected) = proposal.expected else {
            return Ok(());
        };
        if expected == accepted.revision {
            return Ok(());
        }
        let before = self.store.document_at(expected, accepted).await;
        let mut found = match before {
            Ok(Some(before)) => differences(&before, &accepted.document),
            _ => Vec::new(),
        };
        found.truncate(MAX_CONFLICT_DIFFERENCES);
        let newest = accepted.newest();
        Err(TermsError::Conflict {
            current: accepted.revision,
            author: newest.map_or_else(String::new, |edit| edit.author.clone()),
            differences: found,
        })
    }

    /// Applies `change` to the accepted document and validates the result as a whole.
    async fn apply_change(
        &self,
        change: &ProposedChange,
        accepted: &AcceptedTerms,
    ) -> Result<Arc<TermsDocument>, TermsError> {
        let mut document = (*accepted.document).clone();
        let error = |error: ValidationError| TermsError::Invalid(vec![error]);
        match change {
            ProposedChange::Whole(whole) => document = (**whole).clone(),
            ProposedChange::Template(name, edit) => edit
                .apply("templates", name, &mut document.templates)
                .map_err(error)?,
            ProposedChange::Workspace(name, edit) => edit
                .apply("workspaces", name, &mut document.workspaces)
                .map_err(error)?,
            ProposedChange::Rollback(revision) => {
                let earlier = self.store.document_at(*revision, accepted).await?;
                let earlier = earlier.ok_or(TermsError::UnknownRevision(*revision))?;
                document = (*earlier).clone();
            }
        }
        let errors = document.validation_errors();
        match errors.is_empty() {
            true => Ok(Arc::new(document)),
            false => Err(TermsError::Invalid(errors)),
        }
    }

    fn resolve(&self, revision: Revision, document: Arc<TermsDocument>) -> TermsView {
        let names_operators = !document.operator_digests.is_empty();
        let view = TermsView::new(revision, document);
        match &self.bootstrap_operator {
            Some(digest) if !names_operators => view.with_operator(digest),
            _ => view,
        }
    }
}

/// Summary of an edit; its revision, paths and object count are set when it is written.
fn summary(proposal: &TermsProposal) -> EditSummary {
    EditSummary {
        revision: Revision(0),
        edit: proposal.edit.clone(),
        author: proposal.author.clone(),
        at_ms: unix_millis(),
        paths: Vec::new(),
        objects: 0,
    }
}

/// Peer call for the terms, if those of the callee are newer than the caller's.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TermsCall {
    /// Revision in force at the caller.
    pub known: Revision,
}

impl PeerMessage for TermsCall {
    const NAME: &'static str = "terms";

    type Reply = TermsUpdate;
}
