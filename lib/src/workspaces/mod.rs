//! Workspaces of the members whose opaque requests a host relays: which one a caller belongs to, and
//! what it may use.

mod directory;

pub use directory::CallerIdentity;
pub use directory::DirectoryError;
pub use directory::RequestAllowance;
pub use directory::Workspace;
pub use directory::WorkspaceDirectory;
pub use directory::WorkspaceKeys;
