//! Edits of the terms: proposals of operators, and the changes between two documents.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::ids::ModelName;
use crate::ids::Revision;
use crate::ids::TemplateName;
use crate::ids::WorkspaceName;
use crate::terms::document::ModelTerms;
use crate::terms::document::Template;
use crate::terms::document::TermsDocument;
use crate::terms::document::ValidationError;
use crate::terms::document::Workspace;

/// Longest text of a value, in characters, when a difference is displayed; longer ones are cut.
const MAX_VALUE_CHARS: usize = 80;

/// Change of one object of the document, with its whole new content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TermsChange {
    /// The set of digests of the operators' keys.
    Operators(BTreeSet<String>),
    /// A model; `None` if it was removed.
    Model(ModelName, Option<ModelTerms>),
    /// A template; `None` if it was removed.
    Template(TemplateName, Option<Template>),
    /// A workspace; `None` if it was removed.
    Workspace(WorkspaceName, Option<Workspace>),
}

impl TermsChange {
    /// Applies the change to `document`, without validation.
    pub fn apply(&self, document: &mut TermsDocument) {
        match self {
            Self::Operators(digests) => document.operator_digests = digests.clone(),
            Self::Model(name, terms) => set_or_remove(&mut document.models, name, terms),
            Self::Template(name, template) => {
                set_or_remove(&mut document.templates, name, template)
            }
            Self::Workspace(name, workspace) => {
                set_or_remove(&mut document.workspaces, name, workspace)
            }
        }
    }

    /// Path of the changed object, such as `workspaces.desk`.
    pub fn path(&self) -> String {
        match self {
            Self::Operators(_) => "operator_digests".to_owned(),
            Self::Model(name, _) => format!("models.{name}"),
            Self::Template(name, _) => format!("templates.{name}"),
            Self::Workspace(name, _) => format!("workspaces.{name}"),
        }
    }
}

fn set_or_remove<K: Ord + Clone, V: Clone>(
    objects: &mut BTreeMap<K, V>,
    name: &K,
    value: &Option<V>,
) {
    match value {
        Some(value) => objects.insert(name.clone(), value.clone()),
        None => objects.remove(name),
    };
}

/// Changes of whole objects that turn `old` into `new`.
pub fn changed_objects(old: &TermsDocument, new: &TermsDocument) -> Vec<TermsChange> {
    let mut changes = Vec::new();
    if old.operator_digests != new.operator_digests {
        changes.push(TermsChange::Operators(new.operator_digests.clone()));
    }
    collect_changes(&old.models, &new.models, TermsChange::Model, &mut changes);
    collect_changes(
        &old.templates,
        &new.templates,
        TermsChange::Template,
        &mut changes,
    );
    collect_changes(
        &old.workspaces,
        &new.workspaces,
        TermsChange::Workspace,
        &mut changes,
    );
    changes
}

fn collect_changes<K: Ord + Clone, V: Clone + PartialEq>(
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
    change: impl Fn(K, Option<V>) -> TermsChange,
    changes: &mut Vec<TermsChange>,
) {
    for (name, value) in new {
        if old.get(name) != Some(value) {
            changes.push(change(name.clone(), Some(value.clone())));
        }
    }
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        changes.push(change(name.clone(), None));
    }
}

/// A field that differs between two documents.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TermsDifference {
    /// Path of the field, such as `workspaces.desk.share`.
    pub path: String,
    /// Value in the older document; `None` if the field did not exist.
    pub before: Option<Value>,
    /// Value in the newer document; `None` if the field was removed.
    pub after: Option<Value>,
}

impl std::fmt::Display for TermsDifference {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let text = |value: &Option<Value>| match value {
            None => "nothing".to_owned(),
            Some(value) => value.to_string().chars().take(MAX_VALUE_CHARS).collect(),
        };
        let (before, after) = (text(&self.before), text(&self.after));
        write!(f, "{}: {before} -> {after}", self.path)
    }
}

/// All fields that differ, sorted by path.
pub fn differences(old: &TermsDocument, new: &TermsDocument) -> Vec<TermsDifference> {
    let value = |document: &TermsDocument| {
        serde_json::to_value(document).expect("documents serialize to JSON")
    };
    let mut found = Vec::new();
    collect_differences("", Some(&value(old)), Some(&value(new)), &mut found);
    found
}

fn collect_differences(
    path: &str,
    old: Option<&Value>,
    new: Option<&Value>,
    found: &mut Vec<TermsDifference>,
) {
    if old == new {
        return;
    }
    let (Some(Value::Object(before)), Some(Value::Object(after))) = (old, new) else {
        found.push(TermsDifference {
            path: path.to_owned(),
            before: old.cloned(),
            after: new.cloned(),
        });
        return;
    };
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    for name in names {
        let field_path = match path {
            "" => name.clone(),
            path => format!("{path}.{name}"),
        };
        collect_differences(&field_path, before.get(name), after.get(name), found);
    }
}

/// Edit of a single template or workspace.
#[derive(Clone, Debug, PartialEq)]
pub enum ObjectEdit {
    /// Creates or replaces the object.
    Put(Value),
    /// Replaces the given fields of the object; `null` removes one.
    Patch(Value),
    /// Removes the object.
    Delete,
}

/// Change that an operator proposes.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposedChange {
    /// Replaces the whole document.
    Whole(Box<TermsDocument>),
    /// Edits one template.
    Template(TemplateName, ObjectEdit),
    /// Edits one workspace.
    Workspace(WorkspaceName, ObjectEdit),
    /// Returns to the document of an earlier revision.
    Rollback(Revision),
}

/// Edit that an operator proposes, to be committed.
#[derive(Clone, Debug, PartialEq)]
pub struct TermsProposal {
    /// Identifier that the operator's tool chooses; a repeated edit is recognised by it.
    pub edit: String,
    /// Author of the edit, for the history.
    pub author: String,
    /// Revision that must be the accepted one at the commit; `None` applies the edit to any.
    pub expected: Option<Revision>,
    /// Proposed change.
    pub change: ProposedChange,
}

impl ObjectEdit {
    /// Applies the edit to the object `name` of `objects`. Fails if the value does not parse, or if
    /// the object to patch or delete does not exist.
    pub(crate) fn apply<K, V>(
        &self,
        kind: &str,
        name: &K,
        objects: &mut BTreeMap<K, V>,
    ) -> Result<(), ValidationError>
    where
        K: Ord + Clone + std::fmt::Display,
        V: Serialize + DeserializeOwned,
    {
        let error = |problem: String| ValidationError {
            path: format!("{kind}.{name}"),
            problem,
        };
        let not_found = || error("does not exist".to_owned());
        let parse =
            |value: Value| serde_json::from_value(value).map_err(|err| error(err.to_string()));
        match self {
            Self::Put(value) => {
                objects.insert(name.clone(), parse(value.clone())?);
            }
            Self::Patch(patch) => {
                let current = objects.get(name).ok_or_else(not_found)?;
                let mut value = serde_json::to_value(current).expect("objects serialize to JSON");
                apply_merge_patch(&mut value, patch);
                objects.insert(name.clone(), parse(value)?);
            }
            Self::Delete => {
                objects.remove(name).ok_or_else(not_found)?;
            }
        }
        Ok(())
    }
}

/// Merges `patch` into `target` as a JSON merge patch (RFC 7396).
fn apply_merge_patch(target: &mut Value, patch: &Value) {
    let (Value::Object(fields), Value::Object(patches)) = (&mut *target, patch) else {
        *target = patch.clone();
        return;
    };
    for (name, patch) in patches {
        match patch {
            Value::Null => {
                fields.remove(name);
            }
            patch => apply_merge_patch(fields.entry(name.as_str()).or_insert(Value::Null), patch),
        }
    }
}
