//! Minimal terms for tests and the embedded mode.

use parsleywall::ids::ModelName;
use parsleywall::ids::TemplateName;
use parsleywall::ids::WorkspaceName;
use parsleywall::terms::Allowance;
use parsleywall::terms::ModelTerms;
use parsleywall::terms::Template;
use parsleywall::terms::TermsDocument;
use parsleywall::terms::Workspace;
use parsleywall::terms::digest_key;

/// API key of the one workspace in the demo terms.
pub const MEMBER_KEY: &str = "dev-key";
/// API key of the operator in the demo terms.
pub const OPERATOR_KEY: &str = "dev-operator";
/// Name of the one model in the demo terms.
pub const DEMO_MODEL: &str = "demo";
/// Name of the one workspace in the demo terms.
pub const DEMO_WORKSPACE: &str = "dev";

const DEMO_ALLOWANCE: Allowance = Allowance {
    tokens_per_second: 100_000.0,
    burst_tokens: 1_000_000.0,
};

/// Returns terms with one model, one template and one workspace.
pub fn demo_terms() -> TermsDocument {
    let model = ModelName::new(DEMO_MODEL);
    let name = TemplateName::new("standard");
    let template = Template {
        share: 0.5,
        online: DEMO_ALLOWANCE,
        batch: DEMO_ALLOWANCE,
        models: [model.clone()].into(),
        adapters: [].into(),
    };
    TermsDocument {
        operator_digests: [digest_key(OPERATOR_KEY)].into(),
        models: [(model, ModelTerms::default())].into(),
        templates: [(name.clone(), template)].into(),
        workspaces: [(
            WorkspaceName::new(DEMO_WORKSPACE),
            demo_workspace(name, MEMBER_KEY),
        )]
        .into(),
    }
}

/// Returns a workspace of `template` with the API key `key` and no parameter overridden.
pub fn demo_workspace(template: TemplateName, key: &str) -> Workspace {
    Workspace {
        template,
        key_digests: [digest_key(key)].into(),
        share: None,
        online: None,
        batch: None,
        models: None,
        adapters: None,
    }
}
