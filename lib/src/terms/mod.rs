//! Terms: the configuration of the operators, with its templates, workspaces and models. Edits are
//! committed to the key-value service as numbered revisions, and every host follows the newest one.

mod document;
mod edit;
mod follower;
mod keeper;
mod store;
mod view;

pub use document::Allowance;
pub use document::ModelTerms;
pub use document::Template;
pub use document::TermsDocument;
pub use document::ValidationError;
pub use document::Workspace;
pub use edit::ObjectEdit;
pub use edit::ProposedChange;
pub use edit::TermsChange;
pub use edit::TermsDifference;
pub use edit::TermsProposal;
pub use edit::changed_objects;
pub use edit::differences;
pub(crate) use follower::TermsFollower;
pub use keeper::ActiveTerms;
pub use keeper::TermsCall;
pub use keeper::TermsError;
pub use keeper::TermsStep;
pub use keeper::TermsUpdate;
pub use store::EditSummary;
pub use store::TERMS_KEY;
pub use store::stored_size;
pub use view::Principal;
pub use view::TermsView;
pub use view::WorkspaceTerms;
pub use view::digest_key;
