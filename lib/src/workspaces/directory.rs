//! Which workspace holds a caller's key.

use std::fmt;
use std::sync::Arc;

use http::HeaderMap;
use serde::Deserialize;
use serde::Serialize;

use crate::api_key::KeyDigest;
use crate::api_key::KeyFault;
use crate::api_key::bearer_key;
use crate::api_key::is_key;
use crate::collections::HashMap;
use crate::ids::WorkspaceName;

/// Requests that a workspace may send to all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestAllowance {
    /// Requests a second; positive and finite.
    pub per_second: f64,
    /// Requests beyond them at once; not negative, and finite.
    pub burst: f64,
}

/// A workspace as the configuration describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name, unique in the configuration.
    pub name: WorkspaceName,
    /// Priority of its requests, which goes before that of their routes; zero is the highest.
    /// `None` if the configuration names none.
    pub priority: Option<u32>,
    /// Limit on its requests; `None` without one.
    pub allowance: Option<RequestAllowance>,
}

impl Workspace {
    /// A workspace without a priority and a limit of its own.
    pub fn new(name: WorkspaceName) -> Self {
        Self {
            name,
            priority: None,
            allowance: None,
        }
    }
}

/// A workspace with the keys of its callers.
#[derive(Clone)]
pub struct WorkspaceKeys {
    /// The workspace.
    pub workspace: Workspace,
    /// Keys of its callers, in clear.
    pub keys: Vec<String>,
}

/// Why a list of workspaces can't be used. Names no key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryError {
    /// The name is empty or has control characters, so that no header can hold it.
    MalformedName(WorkspaceName),
    /// Two workspaces have this name.
    RepeatedName(WorkspaceName),
    /// Both workspaces hold the same key.
    SharedKey(WorkspaceName, WorkspaceName),
    /// The workspace has a key that no request can bring.
    MalformedKey(WorkspaceName),
    /// The workspace has a limit that is no number of requests.
    InvalidAllowance(WorkspaceName),
}

impl fmt::Display for DirectoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MalformedName(name) => write!(f, "workspace {:?}: malformed name", name.as_str()),
            Self::RepeatedName(name) => write!(f, "workspace {name}: named twice"),
            Self::SharedKey(one, other) => write!(f, "workspaces {one} and {other}: share a key"),
            Self::MalformedKey(name) => write!(f, "workspace {name}: malformed key"),
            Self::InvalidAllowance(name) => write!(f, "workspace {name}: invalid request limit"),
        }
    }
}

impl std::error::Error for DirectoryError {}

/// Who sent a request, as far as its headers prove it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub enum CallerIdentity {
    /// The configuration has no workspaces. Headers about callers have no meaning and are passed on.
    #[default]
    Unchecked,
    /// The route is public and the request brings no key of a workspace.
    Anonymous,
    /// The key of a caller of this workspace came with the request.
    Member(Arc<Workspace>),
}

impl CallerIdentity {
    /// Workspace of the caller; `None` without one.
    pub fn workspace(&self) -> Option<&Arc<Workspace>> {
        match self {
            Self::Member(workspace) => Some(workspace),
            Self::Unchecked | Self::Anonymous => None,
        }
    }

    /// Name of the caller's workspace; `None` without one.
    pub fn workspace_name(&self) -> Option<&WorkspaceName> {
        self.workspace().map(|workspace| &workspace.name)
    }
}

/// Key of a workspace within its [`WorkspaceDirectory`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct DirectoryIndex(u32);

/// All workspaces of one version of the configuration, by the keys of their callers.
///
/// Guarantees that a key leads to at most one workspace. Holds digests, not keys.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceDirectory {
    workspaces: Vec<Arc<Workspace>>,
    by_key: HashMap<KeyDigest, DirectoryIndex>,
    by_name: HashMap<WorkspaceName, DirectoryIndex>,
}

impl WorkspaceDirectory {
    /// Creates a directory of `listed`. Fails if a key or a limit is malformed, a name stands twice, or
    /// two workspaces hold the same key.
    pub fn new(listed: Vec<WorkspaceKeys>) -> Result<Self, DirectoryError> {
        let mut directory = Self::default();
        for WorkspaceKeys { workspace, keys } in listed {
            directory.add(workspace, &keys)?;
        }
        Ok(directory)
    }

    fn add(&mut self, workspace: Workspace, keys: &[String]) -> Result<(), DirectoryError> {
        let name = workspace.name.clone();
        if name.as_str().trim().is_empty() || name.as_str().chars().any(char::is_control) {
            return Err(DirectoryError::MalformedName(name));
        }
        if !workspace.allowance.is_none_or(is_valid) {
            return Err(DirectoryError::InvalidAllowance(name));
        }
        let index = DirectoryIndex(self.workspaces.len() as u32);
        if self.by_name.insert(name.clone(), index).is_some() {
            return Err(DirectoryError::RepeatedName(name));
        }
        self.workspaces.push(Arc::new(workspace));
        for key in keys {
            if !is_key(key) {
                return Err(DirectoryError::MalformedKey(name));
            }
            let holder = *self.by_key.entry(KeyDigest::of(key)).or_insert(index);
            if holder != index {
                let other = self.workspace(holder).name.clone();
                return Err(DirectoryError::SharedKey(other, name));
            }
        }
        Ok(())
    }

    fn workspace(&self, index: DirectoryIndex) -> &Arc<Workspace> {
        &self.workspaces[index.0 as usize]
    }

    /// Number of workspaces.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Whether there are no workspaces, so that every key is unknown.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    /// All workspaces, in the order of the configuration.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.workspaces.iter()
    }

    /// The workspace called `name`; `None` if there is none.
    pub fn named(&self, name: &WorkspaceName) -> Option<&Arc<Workspace>> {
        let index = self.by_name.get(name)?;
        Some(self.workspace(*index))
    }

    /// The workspace whose caller sent a request with `headers`. The error says why there is none.
    ///
    /// Keys are looked up by their digest, so that the time of a look-up reveals nothing about them.
    pub fn identify(&self, headers: &HeaderMap) -> Result<&Arc<Workspace>, KeyFault> {
        let digest = KeyDigest::of(bearer_key(headers)?);
        let index = self.by_key.get(&digest).ok_or(KeyFault::Unknown)?;
        Ok(self.workspace(*index))
    }
}

fn is_valid(allowance: RequestAllowance) -> bool {
    let RequestAllowance { per_second, burst } = allowance;
    per_second.is_finite() && per_second > 0.0 && burst.is_finite() && burst >= 0.0
}
