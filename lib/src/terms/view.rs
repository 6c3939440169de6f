//! The terms in force on a host, resolved for look-ups on the request path.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::api_key::KeyDigest;
use crate::collections::HashMap;
use crate::ids::ModelName;
use crate::ids::Revision;
use crate::ids::WorkClass;
use crate::ids::WorkspaceName;
use crate::terms::document::Allowance;
use crate::terms::document::TermsDocument;

/// Terms of a workspace, with the parameters of its template filled in.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceTerms {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Share of the fleet's capacity, from 0 to 1.
    pub share: f64,
    /// Token rate limit for online requests.
    pub online: Allowance,
    /// Token rate limit for batch items.
    pub batch: Allowance,
    /// Models and adapters that the workspace may use.
    pub models: BTreeSet<ModelName>,
}

/// Authenticated holder of an API key.
#[derive(Clone, Debug)]
pub enum Principal {
    /// A member, with the terms of its workspace.
    Member(Arc<WorkspaceTerms>),
    /// An operator.
    Operator,
}

impl WorkspaceTerms {
    /// Token rate limit for work of `class`.
    pub fn allowance(&self, class: WorkClass) -> Allowance {
        match class {
            WorkClass::Online => self.online,
            WorkClass::Batch => self.batch,
        }
    }
}

/// Immutable view of one revision of the terms, with workspaces resolved and indexed by key digest.
#[derive(Clone, Debug, Default)]
pub struct TermsView {
    /// Revision of the document; zero while no terms are in force.
    pub revision: Revision,
    /// Document that the view was resolved from.
    pub document: Arc<TermsDocument>,
    workspaces: HashMap<WorkspaceName, Arc<WorkspaceTerms>>,
    members: HashMap<KeyDigest, Arc<WorkspaceTerms>>,
    operators: Vec<KeyDigest>,
}

impl TermsView {
    /// Resolves `document`; workspaces whose template does not exist are left out.
    pub fn new(revision: Revision, document: Arc<TermsDocument>) -> Self {
        let mut workspaces = HashMap::default();
        let mut members = HashMap::default();
        for (name, workspace) in &document.workspaces {
            let Some(terms) = resolve(&document, name) else {
                continue;
            };
            let terms = Arc::new(terms);
            for digest in workspace
                .key_digests
                .iter()
                .filter_map(|text| KeyDigest::from_hex(text))
            {
                members.insert(digest, terms.clone());
            }
            workspaces.insert(name.clone(), terms);
        }
        let operators = document.operator_digests.iter();
        Self {
            revision,
            operators: operators
                .filter_map(|text| KeyDigest::from_hex(text))
                .collect(),
            document,
            workspaces,
            members,
        }
    }

    /// Also accepts the operator key with the hexadecimal SHA-256 `digest`; ignored if it is
    /// malformed.
    pub fn with_operator(mut self, digest: &str) -> Self {
        self.operators.extend(KeyDigest::from_hex(digest));
        self
    }

    /// Terms of the workspace `name`; `None` if it does not exist.
    pub fn workspace(&self, name: &WorkspaceName) -> Option<&Arc<WorkspaceTerms>> {
        self.workspaces.get(name)
    }

    /// Terms of all workspaces, in unspecified order.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<WorkspaceTerms>> {
        self.workspaces.values()
    }

    /// Holder of the API key `key`; `None` if the key is unknown. Keys are looked up by their
    /// digest, so that the time of a look-up reveals nothing about other keys.
    pub fn principal(&self, key: &str) -> Option<Principal> {
        let digest = KeyDigest::of(key);
        if let Some(terms) = self.members.get(&digest) {
            return Some(Principal::Member(terms.clone()));
        }
        let matches = |known: &KeyDigest| known.is_same(&digest);
        self.operators
            .iter()
            .any(matches)
            .then_some(Principal::Operator)
    }
}

/// SHA-256 digest of `key` in lower-case hexadecimal, as the terms hold it.
pub fn digest_key(key: &str) -> String {
    KeyDigest::of(key).to_hex()
}

fn resolve(document: &TermsDocument, name: &WorkspaceName) -> Option<WorkspaceTerms> {
    let workspace = document.workspaces.get(name)?;
    let template = document.templates.get(&workspace.template)?;
    let models = workspace.models.as_ref().unwrap_or(&template.models);
    let adapters = workspace.adapters.as_ref().unwrap_or(&template.adapters);
    Some(WorkspaceTerms {
        name: name.clone(),
        share: workspace.share.unwrap_or(template.share),
        online: workspace.online.unwrap_or(template.online),
        batch: workspace.batch.unwrap_or(template.batch),
        models: models.union(adapters).cloned().collect(),
    })
}
