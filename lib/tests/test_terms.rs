//! Tests of edits of the terms by several hosts over one key-value store with injected faults.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use parsleywall::counters::CounterSet;
use parsleywall::decisions::DecisionRing;
use parsleywall::ids::HostId;
use parsleywall::ids::Revision;
use parsleywall::ids::TemplateName;
use parsleywall::ids::WorkspaceName;
use parsleywall::terms::ActiveTerms;
use parsleywall::terms::ObjectEdit;
use parsleywall::terms::ProposedChange;
use parsleywall::terms::TermsDocument;
use parsleywall::terms::TermsError;
use parsleywall::terms::TermsProposal;
use parsleywall::terms::TermsUpdate;
use parsleywall::terms::digest_key;
use parsleywall::terms::stored_size;
use parsleywall_standins::kv::KvMemory;
use parsleywall_standins::terms::demo_terms;
use parsleywall_standins::terms::demo_workspace;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use serde_json::json;

fn active_terms(kv: &Arc<KvMemory>) -> ActiveTerms {
    let decisions = Arc::new(DecisionRing::new(HostId::new("test")));
    ActiveTerms::new(kv.clone(), Arc::new(CounterSet::new()), decisions)
}

fn proposal(edit: &str, change: ProposedChange) -> TermsProposal {
    TermsProposal {
        edit: edit.to_owned(),
        author: format!("author-of-{edit}"),
        expected: None,
        change,
    }
}

fn share_edit(edit: &str, share: f64) -> TermsProposal {
    let patch = ObjectEdit::Patch(json!({ "share": share }));
    let change = ProposedChange::Workspace(WorkspaceName::new("dev"), patch);
    proposal(edit, change)
}

async fn with_demo_terms(kv: &Arc<KvMemory>) -> ActiveTerms {
    let active_terms = active_terms(kv);
    active_terms
        .replace(None, demo_terms(), "setup")
        .await
        .unwrap();
    active_terms
}

fn share_of(active_terms: &ActiveTerms) -> Option<f64> {
    let view = active_terms.view();
    view.document.workspaces[&WorkspaceName::new("dev")].share
}

#[tokio::test(start_paused = true)]
async fn test_terms_template_edit_applies_to_workspaces() {
    let kv = KvMemory::new();
    let active_terms = with_demo_terms(&kv).await;
    for number in 0..3 {
        let workspace = demo_workspace(TemplateName::new("standard"), &format!("key-{number}"));
        let mut value = serde_json::to_value(workspace).unwrap();
        value["share"] = json!(0.1);
        let name = WorkspaceName::new(format!("more-{number}"));
        let change = ProposedChange::Workspace(name, ObjectEdit::Put(value));
        let edit = format!("put-{number}");
        active_terms.commit(&proposal(&edit, change)).await.unwrap();
    }
    let patch = ObjectEdit::Patch(json!({ "online": { "tokens_per_second": 7.0 } }));
    let change = ProposedChange::Template(TemplateName::new("standard"), patch);
    active_terms
        .commit(&proposal("template", change))
        .await
        .unwrap();
    let view = active_terms.view();
    assert_eq!(view.workspaces().count(), 4);
    assert!(
        view.workspaces()
            .all(|terms| terms.online.tokens_per_second == 7.0)
    );
}

#[tokio::test(start_paused = true)]
async fn test_terms_all_validation_errors() {
    let active_terms = with_demo_terms(&KvMemory::new()).await;
    let mut document = demo_terms();
    let template = document.templates.values_mut().next().unwrap();
    template.share = 1.5;
    template.online.burst_tokens = -1.0;
    document.operator_digests.insert("short".to_owned());
    let err = active_terms.replace(None, document, "x").await.unwrap_err();
    let TermsError::Invalid(errors) = err else {
        panic!("{err:?}");
    };
    assert!(errors.len() >= 4, "{errors:?}");
}

#[tokio::test(start_paused = true)]
async fn test_terms_conflict_names_author() {
    let kv = KvMemory::new();
    let first = with_demo_terms(&kv).await;
    let second = active_terms(&kv);
    first.commit(&share_edit("winner", 0.25)).await.unwrap();
    let mut late = share_edit("loser", 0.75);
    late.expected = Some(Revision(1));
    let err = second.commit(&late).await.unwrap_err();
    let TermsError::Conflict {
        current,
        author,
        differences,
    } = err
    else {
        panic!("{err:?}");
    };
    assert_eq!(
        (current, author.as_str()),
        (Revision(2), "author-of-winner")
    );
    assert_eq!(
        differences[0].to_string(),
        "workspaces.dev.share: nothing -> 0.25"
    );
    assert_eq!(share_of(&first), Some(0.25));
}

#[tokio::test(start_paused = true)]
async fn test_terms_repeated_edit_recognised_after_later_edits() {
    let kv = KvMemory::new();
    let first = with_demo_terms(&kv).await;
    kv.faults.lose_answers.store(1, Ordering::Relaxed);
    assert_eq!(
        first.commit(&share_edit("lost", 0.2)).await,
        Ok(Revision(2))
    );
    let second = active_terms(&kv);
    for number in 0..100 {
        let edit = format!("later-{number}");
        second
            .commit(&share_edit(&edit, 0.3 + f64::from(number) / 1000.0))
            .await
            .unwrap();
    }
    // The caller that got no answer repeats its edit at another host.
    assert_eq!(
        second.commit(&share_edit("lost", 0.2)).await,
        Ok(Revision(2))
    );
    assert_eq!(share_of(&second), Some(0.399));
}

#[tokio::test(start_paused = true)]
async fn test_terms_outage_rejects_edit() {
    let kv = KvMemory::new();
    let active_terms = with_demo_terms(&kv).await;
    kv.faults.down.store(true, Ordering::Relaxed);
    let outcome = active_terms.commit(&share_edit("down", 0.2)).await;
    assert!(
        matches!(outcome, Err(TermsError::Unavailable(_))),
        "{outcome:?}"
    );
    kv.faults.down.store(false, Ordering::Relaxed);
    assert_eq!(
        active_terms.commit(&share_edit("up", 0.3)).await,
        Ok(Revision(2))
    );
}

#[tokio::test(start_paused = true)]
async fn test_terms_history_and_rollback() {
    let kv = KvMemory::new();
    let first = with_demo_terms(&kv).await;
    // Enough edits for several snapshots to be written.
    for number in 0..400_u32 {
        let edit = format!("edit-{number}");
        first
            .commit(&share_edit(&edit, f64::from(number) / 1000.0))
            .await
            .unwrap();
    }
    let fresh = active_terms(&kv);
    for revision in [2, 77, 250, 400] {
        let document = fresh.document_at(Revision(revision)).await.unwrap();
        let workspace = &document.workspaces[&WorkspaceName::new("dev")];
        assert_eq!(workspace.share, Some((revision - 2) as f64 / 1000.0));
    }
    let change = ProposedChange::Rollback(Revision(77));
    let rolled = fresh.commit(&proposal("rollback", change)).await;
    assert_eq!(rolled, Ok(Revision(402)));
    assert_eq!(share_of(&fresh), Some(0.075));
    let history = fresh.history().await.unwrap();
    let newest = history.last().unwrap();
    assert_eq!(newest.author, "author-of-rollback");
    assert_eq!(newest.paths, ["workspaces.dev"]);
    let unknown = fresh.document_at(Revision(9_999)).await;
    assert_eq!(unknown, Err(TermsError::UnknownRevision(Revision(9_999))));
}

#[tokio::test(start_paused = true)]
async fn test_terms_peer_update_steps() {
    let kv = KvMemory::new();
    let first = with_demo_terms(&kv).await;
    let second = active_terms(&kv);
    second.adopt_update(first.update_since(Revision(0)));
    assert_eq!(second.view().revision, Revision(1));
    for number in 0..5_u32 {
        first
            .commit(&share_edit(
                &format!("edit-{number}"),
                f64::from(number) / 10.0,
            ))
            .await
            .unwrap();
    }
    let update = first.update_since(second.view().revision);
    assert!(
        matches!(&update, TermsUpdate::Steps(steps) if steps.len() == 5),
        "{update:?}"
    );
    assert!(second.adopt_update(update.clone()));
    assert_eq!(second.view().document, first.view().document);
    // A repeated or outdated update changes nothing.
    assert!(!second.adopt_update(update));
    assert!(!second.adopt_update(TermsUpdate::Whole(Revision(3), demo_terms())));
    assert_eq!(second.view().revision, Revision(6));
}

fn large_terms(workspaces: usize) -> TermsDocument {
    let mut document = demo_terms();
    document.workspaces.clear();
    for number in 0..workspaces {
        let mut workspace = demo_workspace(TemplateName::new("standard"), &format!("key-{number}"));
        workspace
            .key_digests
            .insert(digest_key(&format!("second-{number}")));
        workspace.share = Some(0.9 / workspaces as f64);
        let name = WorkspaceName::new(format!("member-{number}-workspace"));
        document.workspaces.insert(name, workspace);
    }
    document
}

#[tokio::test(start_paused = true)]
async fn test_terms_large_document() {
    let (bytes, parts) = stored_size(&large_terms(2_500));
    assert!(bytes < 1024 * 1024, "{bytes} bytes");
    assert_eq!(parts, 1);
    // A larger document is split into parts, and edits still apply to it.
    let kv = KvMemory::new();
    let first = active_terms(&kv);
    let document = large_terms(10_000);
    first
        .replace(None, document.clone(), "setup")
        .await
        .unwrap();
    let patch = ObjectEdit::Patch(json!({ "share": 0.0 }));
    let name = WorkspaceName::new("member-17-workspace");
    let change = ProposedChange::Workspace(name.clone(), patch);
    first.commit(&proposal("one", change)).await.unwrap();
    let second = active_terms(&kv);
    second
        .commit(&proposal("one", ProposedChange::Rollback(Revision(1))))
        .await
        .unwrap();
    let view = second.view();
    assert_eq!(view.document.workspaces.len(), 10_000);
    assert_eq!(view.document.workspaces[&name].share, Some(0.0));
}

const MODEL_HOSTS: usize = 4;

#[derive(Clone, Debug)]
enum TermsAction {
    /// The host commits an edit; the value determines the share that it sets.
    Edit(usize, u32),
    /// The last edit is repeated at the given host.
    Resend(usize),
    /// The answers of this many writes to the store are lost.
    LoseAnswers(u64),
    Outage(bool),
    /// The first host pulls an update from the second one and adopts it.
    PullUpdate(usize, usize),
    /// The host gets an update again that some host got earlier.
    ApplyOldUpdate(usize),
    Restart(usize),
}

/// Reference state: the number of edits made so far.
#[derive(Clone, Debug, Default)]
struct TermsModel {
    edits: u32,
}

impl ReferenceStateMachine for TermsModel {
    type State = Self;
    type Transition = TermsAction;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<TermsAction> {
        let host = 0..MODEL_HOSTS;
        prop_oneof![
            6 => (host.clone(), 0..1_000_u32).prop_map(|(host, share)| TermsAction::Edit(host, share)),
            2 => host.clone().prop_map(TermsAction::Resend),
            2 => (1..3_u64).prop_map(TermsAction::LoseAnswers),
            1 => any::<bool>().prop_map(TermsAction::Outage),
            4 => (host.clone(), host.clone()).prop_map(|(to, from)| TermsAction::PullUpdate(to, from)),
            2 => host.clone().prop_map(TermsAction::ApplyOldUpdate),
            1 => host.prop_map(TermsAction::Restart),
        ]
        .boxed()
    }

    fn apply(mut state: Self, action: &TermsAction) -> Self {
        state.edits += u32::from(matches!(action, TermsAction::Edit(..)));
        state
    }
}

struct TermsUnderTest {
    kv: Arc<KvMemory>,
    hosts: Vec<ActiveTerms>,
    /// Revisions in force on each host after each action since its restart.
    adopted_revisions: Vec<Vec<Revision>>,
    /// Shares that accepted edits have set, by the revision that the edit returned.
    accepted_shares: BTreeMap<Revision, f64>,
    last_proposal: Option<TermsProposal>,
    last_revision: Option<Revision>,
    kept_updates: Vec<TermsUpdate>,
    edits: u32,
    runtime: tokio::runtime::Runtime,
}

struct TermsTest;

impl StateMachineTest for TermsTest {
    type SystemUnderTest = TermsUnderTest;
    type Reference = TermsModel;

    fn init_test(_: &TermsModel) -> TermsUnderTest {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .unwrap();
        let kv = KvMemory::new();
        let first = runtime.block_on(with_demo_terms(&kv));
        let mut hosts = vec![first];
        hosts.resize_with(MODEL_HOSTS, || active_terms(&kv));
        TermsUnderTest {
            kv,
            hosts,
            adopted_revisions: vec![Vec::new(); MODEL_HOSTS],
            accepted_shares: BTreeMap::new(),
            last_proposal: None,
            last_revision: None,
            kept_updates: Vec::new(),
            edits: 0,
            runtime,
        }
    }

    fn apply(mut test: TermsUnderTest, _: &TermsModel, action: TermsAction) -> TermsUnderTest {
        match action {
            TermsAction::Edit(host, value) => {
                test.edits += 1;
                // Each edit sets a different share, as an edit without effect makes no revision.
                let expected_share = f64::from(value) / 2_000.0 + f64::from(test.edits) / 1e7;
                let proposal = share_edit(&format!("edit-{}", test.edits), expected_share);
                let outcome = test.runtime.block_on(test.hosts[host].commit(&proposal));
                if let Ok(revision) = outcome {
                    let other = test.accepted_shares.insert(revision, expected_share);
                    assert_eq!(other, None, "two edits made revision {revision}");
                }
                test.last_proposal = Some(proposal);
                test.last_revision = outcome.ok();
            }
            TermsAction::Resend(host) => {
                let Some(proposal) = &test.last_proposal else {
                    return test;
                };
                let outcome = test.runtime.block_on(test.hosts[host].commit(proposal));
                if let (Ok(again), Some(first)) = (&outcome, test.last_revision) {
                    assert_eq!(*again, first, "an edit was made twice");
                }
                test.last_revision = test.last_revision.or(outcome.ok());
            }
            TermsAction::LoseAnswers(count) => {
                test.kv.faults.lose_answers.store(count, Ordering::Relaxed);
            }
            TermsAction::Outage(down) => test.kv.faults.down.store(down, Ordering::Relaxed),
            TermsAction::PullUpdate(to, from) => {
                let known = test.hosts[to].view().revision;
                let update = test.hosts[from].update_since(known);
                test.kept_updates.push(update.clone());
                test.hosts[to].adopt_update(update);
            }
            TermsAction::ApplyOldUpdate(to) => {
                if let Some(update) = test.kept_updates.first().cloned() {
                    test.hosts[to].adopt_update(update);
                }
            }
            TermsAction::Restart(host) => {
                test.hosts[host] = active_terms(&test.kv);
                test.adopted_revisions[host].clear();
            }
        }
        for (active_terms, adopted_revisions) in test.hosts.iter().zip(&mut test.adopted_revisions)
        {
            adopted_revisions.push(active_terms.view().revision);
        }
        test
    }

    fn check_invariants(test: &TermsUnderTest, _: &TermsModel) {
        for adopted_revisions in &test.adopted_revisions {
            assert!(
                adopted_revisions.is_sorted(),
                "the revision in force went back: {adopted_revisions:?}"
            );
        }
        for active_terms in &test.hosts {
            let view = active_terms.view();
            if let Some(expected_share) = test.accepted_shares.get(&view.revision) {
                assert_eq!(
                    share_of(active_terms),
                    Some(*expected_share),
                    "{}",
                    view.revision
                );
            }
        }
    }

    /// Every accepted edit is in the history at its revision.
    fn teardown(test: TermsUnderTest) {
        test.kv.faults.down.store(false, Ordering::Relaxed);
        test.kv.faults.lose_answers.store(0, Ordering::Relaxed);
        let reader = active_terms(&test.kv);
        for (revision, expected_share) in &test.accepted_shares {
            let document = test
                .runtime
                .block_on(reader.document_at(*revision))
                .unwrap();
            let workspace = &document.workspaces[&WorkspaceName::new("dev")];
            assert_eq!(
                workspace.share,
                Some(*expected_share),
                "edit of revision {revision} was lost"
            );
        }
    }
}

#[test]
fn test_terms_state_machine() {
    let config = Config {
        cases: 96,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[4; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(
            &TermsModel::sequential_strategy(1..40),
            |(initial, actions, seen)| {
                TermsTest::test_sequential(Config::default(), initial, actions, seen);
                Ok(())
            },
        )
        .unwrap();
}
