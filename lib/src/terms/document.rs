//! The terms document that operators edit, and its validation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ModelName;
use crate::ids::TemplateName;
use crate::ids::WorkspaceName;

/// Rounding error that is allowed in the sum of all shares.
const SHARE_TOLERANCE: f64 = 1e-9;
const DIGEST_HEX_DIGITS: usize = 64;

/// Token rate limit of a workspace; prompt and generated tokens count alike.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Allowance {
    /// Sustained rate over the whole fleet, in tokens per second.
    pub tokens_per_second: f64,
    /// Capacity of the token bucket: tokens that may be used at once after an idle period.
    pub burst_tokens: f64,
}

/// Default parameters of the workspaces that name this template.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Share of the fleet's capacity that each workspace gets, from 0 to 1.
    pub share: f64,
    /// Token rate limit for online requests.
    pub online: Allowance,
    /// Token rate limit for batch items.
    pub batch: Allowance,
    /// Models that the workspace may use.
    pub models: BTreeSet<ModelName>,
    /// Adapters that the workspace may use; requests name them like models.
    #[serde(default)]
    pub adapters: BTreeSet<ModelName>,
}

/// A workspace: the keys of its member, and parameters that override those of its template.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Template whose parameters apply where the workspace sets none.
    pub template: TemplateName,
    /// SHA-256 digests of the member's keys, in lower-case hexadecimal.
    pub key_digests: BTreeSet<String>,
    /// Overrides the template's share.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// Overrides the template's token rate limit for online requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub online: Option<Allowance>,
    /// Overrides the template's token rate limit for batch items.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub batch: Option<Allowance>,
    /// Overrides the template's set of models.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub models: Option<BTreeSet<ModelName>>,
    /// Overrides the template's set of adapters.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapters: Option<BTreeSet<ModelName>>,
}

/// Terms of a model or an adapter.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelTerms {
    /// Version of the weights that upstreams should load; empty accepts whichever is loaded.
    #[serde(default)]
    pub version: String,
    /// Base model of an adapter; `None` for a model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<ModelName>,
    /// Minimum number of upstreams that should have the model loaded.
    #[serde(default)]
    pub min_replicas: u32,
}

/// The whole configuration of the operators, as one document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TermsDocument {
    /// SHA-256 digests of the operators' keys, in lower-case hexadecimal.
    #[serde(default)]
    pub operator_digests: BTreeSet<String>,
    /// Models and adapters of the fleet.
    #[serde(default)]
    pub models: BTreeMap<ModelName, ModelTerms>,
    /// Templates by name.
    #[serde(default)]
    pub templates: BTreeMap<TemplateName, Template>,
    /// Workspaces by name.
    #[serde(default)]
    pub workspaces: BTreeMap<WorkspaceName, Workspace>,
}

/// Error in a document or an edit, because of which it is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValidationError {
    /// Path of the invalid field, such as `workspaces.desk.share`.
    pub path: String,
    /// Description of the error.
    pub problem: String,
}

impl TermsDocument {
    /// Validates the document and returns every error; an empty list means that it can be accepted.
    pub fn validation_errors(&self) -> Vec<ValidationError> {
        let mut errors = ValidationErrors::default();
        self.check_digests(&mut errors);
        self.check_templates(&mut errors);
        self.check_workspaces(&mut errors);
        self.check_shares(&mut errors);
        errors.0
    }

    fn check_digests(&self, errors: &mut ValidationErrors) {
        for digest in &self.operator_digests {
            errors.check_digest("operator_digests", digest);
        }
        let mut owners = BTreeMap::new();
        for (name, workspace) in &self.workspaces {
            for digest in &workspace.key_digests {
                let path = format!("workspaces.{name}.key_digests");
                errors.check_digest(&path, digest);
                if let Some(owner) = owners.insert(digest, name) {
                    errors.add(path, format!("a key is also one of workspace {owner:?}"));
                }
            }
        }
    }

    fn check_templates(&self, errors: &mut ValidationErrors) {
        for (name, template) in &self.templates {
            let path = format!("templates.{name}");
            errors.check_share(&path, template.share);
            errors.check_allowance(&format!("{path}.online"), template.online);
            errors.check_allowance(&format!("{path}.batch"), template.batch);
            self.check_models(errors, &format!("{path}.models"), &template.models);
            self.check_models(errors, &format!("{path}.adapters"), &template.adapters);
        }
    }

    fn check_workspaces(&self, errors: &mut ValidationErrors) {
        for (name, workspace) in &self.workspaces {
            let path = format!("workspaces.{name}");
            if !self.templates.contains_key(&workspace.template) {
                let problem = format!("template {:?} does not exist", workspace.template);
                errors.add(format!("{path}.template"), problem);
            }
            if let Some(share) = workspace.share {
                errors.check_share(&path, share);
            }
            if let Some(allowance) = workspace.online {
                errors.check_allowance(&format!("{path}.online"), allowance);
            }
            if let Some(allowance) = workspace.batch {
                errors.check_allowance(&format!("{path}.batch"), allowance);
            }
            for models in [&workspace.models, &workspace.adapters]
                .into_iter()
                .flatten()
            {
                self.check_models(errors, &format!("{path}.models"), models);
            }
        }
    }

    fn check_models(
        &self,
        errors: &mut ValidationErrors,
        path: &str,
        models: &BTreeSet<ModelName>,
    ) {
        for model in models {
            if !self.models.contains_key(model) {
                errors.add(path, format!("model {model:?} does not exist"));
            }
        }
    }

    fn check_shares(&self, errors: &mut ValidationErrors) {
        let total: f64 = self
            .workspaces
            .values()
            .filter_map(|workspace| {
                let template = self.templates.get(&workspace.template)?;
                Some(workspace.share.unwrap_or(template.share))
            })
            .sum();
        if total > 1.0 + SHARE_TOLERANCE {
            let problem = format!("the shares add up to {total}, which is more than 1");
            errors.add("workspaces", problem);
        }
    }
}

#[derive(Default)]
struct ValidationErrors(Vec<ValidationError>);

impl ValidationErrors {
    fn add(&mut self, path: impl Into<String>, problem: impl Into<String>) {
        self.0.push(ValidationError {
            path: path.into(),
            problem: problem.into(),
        });
    }

    fn check_share(&mut self, path: &str, share: f64) {
        if !(0.0..=1.0).contains(&share) {
            self.add(
                format!("{path}.share"),
                format!("{share} is not between 0 and 1"),
            );
        }
    }

    fn check_allowance(&mut self, path: &str, allowance: Allowance) {
        let limits = [
            ("tokens_per_second", allowance.tokens_per_second),
            ("burst_tokens", allowance.burst_tokens),
        ];
        for (field, value) in limits {
            if !value.is_finite() || value < 0.0 {
                self.add(
                    format!("{path}.{field}"),
                    format!("{value} is not a finite number of at least 0"),
                );
            }
        }
    }

    fn check_digest(&mut self, path: &str, digest: &str) {
        let lower_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if digest.len() != DIGEST_HEX_DIGITS || !digest.bytes().all(lower_hex) {
            let problem = format!("{digest:?} is not a SHA-256 digest in lower-case hexadecimal");
            self.add(path, problem);
        }
    }
}
