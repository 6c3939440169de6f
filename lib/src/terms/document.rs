//! The document that operators edit, and its checks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ModelName;
use crate::ids::TemplateName;
use crate::ids::WorkspaceName;

/// Rounding allowed when shares are added up.
const SHARE_TOLERANCE: f64 = 1e-9;
const DIGEST_HEX_DIGITS: usize = 64;

/// Tokens that a workspace may use, prompt and generated together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Allowance {
    /// Sustained rate over the whole fleet, in tokens a second.
    pub tokens_per_second: f64,
    /// Tokens that may be used at once after a pause.
    pub burst_tokens: f64,
}

/// Terms that workspaces are created from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Share of the fleet of each workspace, from 0 to 1.
    pub share: f64,
    /// Allowance for online requests.
    pub online: Allowance,
    /// Allowance for batch items.
    pub batch: Allowance,
    /// Models that may be used.
    pub models: BTreeSet<ModelName>,
    /// Adapters that may be used; requests name them like models.
    #[serde(default)]
    pub adapters: BTreeSet<ModelName>,
}

/// A workspace: a template with some of its parameters replaced.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Template that gives all parameters that are not set here.
    pub template: TemplateName,
    /// SHA-256 digests of the field's keys, in hexadecimal.
    pub key_digests: BTreeSet<String>,
    /// Replaces the template's share.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// Replaces the template's online allowance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub online: Option<Allowance>,
    /// Replaces the template's batch allowance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub batch: Option<Allowance>,
    /// Replaces the template's models.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub models: Option<BTreeSet<ModelName>>,
    /// Replaces the template's adapters.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapters: Option<BTreeSet<ModelName>>,
}

/// Terms of a model.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelTerms {
    /// Wanted version of the weights; empty means whatever is loaded.
    #[serde(default)]
    pub version: String,
    /// For an adapter, the model that it adapts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<ModelName>,
    /// Fewest upstreams that have the model loaded.
    #[serde(default)]
    pub min_replicas: u32,
}

/// The whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TermsDocument {
    /// SHA-256 digests of the operators' keys, in hexadecimal.
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

/// Something in a document that keeps it from being accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValidationError {
    /// Path of the faulty field, such as `workspaces.desk.share`.
    pub path: String,
    /// What is wrong with it.
    pub problem: String,
}

impl TermsDocument {
    /// Returns every fault of the document; an empty list means that it can be accepted.
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
