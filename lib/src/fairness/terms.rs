//! What the configuration says of the shares of workspaces: their priorities and weights.

use crate::collections::HashMap;
use crate::fairness::flows::FlowKey;
use crate::fairness::flows::WorkspaceTag;
use crate::ids::ServiceName;
use crate::workspaces::Workspace;
use crate::workspaces::WorkspaceDirectory;

/// Priority class of a flow; the lesser goes first. The priority of the workspace goes before that of
/// the route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FlowClass {
    /// Priority of the workspace, or of the route where the workspace has none.
    pub workspace: u32,
    /// Priority of the route.
    pub route: u8,
}

impl FlowClass {
    /// The class that goes after all others.
    pub const LAST: Self = Self {
        workspace: u32::MAX,
        route: u8::MAX,
    };
}

#[derive(Clone, Copy, Debug)]
struct WorkspaceTerms {
    priority: Option<u32>,
    /// Limit in requests a second; `None` without one.
    per_second: Option<f64>,
}

impl WorkspaceTerms {
    fn new(workspace: &Workspace) -> Self {
        Self {
            priority: workspace.priority,
            per_second: workspace.allowance.map(|allowance| allowance.per_second),
        }
    }
}

/// Priorities and weights of the workspaces of one version of the configuration.
///
/// The weight of a workspace is its limit in requests a second. One without a limit weighs as much as
/// the others on the mean, and without any limit all weigh the same.
#[derive(Clone, Debug, Default)]
pub struct ShareTerms {
    by_tag: HashMap<WorkspaceTag, WorkspaceTerms>,
    mean_weight: f64,
}

impl ShareTerms {
    /// The terms of all workspaces of `directory`, and of callers without one.
    pub fn new(directory: &WorkspaceDirectory) -> Self {
        let listed = directory.workspaces().map(|workspace| {
            let tag = WorkspaceTag::new(Some(&workspace.name));
            (tag, WorkspaceTerms::new(workspace))
        });
        let anonymous = WorkspaceTerms {
            priority: None,
            per_second: None,
        };
        let by_tag: HashMap<WorkspaceTag, WorkspaceTerms> = listed
            .chain([(WorkspaceTag::new(None), anonymous)])
            .collect();
        let limits: Vec<f64> = by_tag
            .values()
            .filter_map(|terms| terms.per_second)
            .collect();
        let mean_weight = match limits.len() {
            0 => 1.0,
            count => limits.iter().sum::<f64>() / count as f64,
        };
        Self {
            by_tag,
            mean_weight,
        }
    }

    /// Class and weight of a flow; `None` if it is not one of `service` and a known workspace.
    pub fn class_and_weight(
        &self,
        key: FlowKey,
        service: &ServiceName,
    ) -> Option<(FlowClass, f64)> {
        let terms = self.by_tag.get(&key.tag.workspace(service))?;
        let class = FlowClass {
            workspace: terms.priority.unwrap_or(u32::from(key.route_priority)),
            route: key.route_priority,
        };
        Some((class, terms.per_second.unwrap_or(self.mean_weight)))
    }
}
