//! Workspaces in the configuration.

use compact_str::CompactString;
use cranelift_entity::entity_impl;

/// Arena key of a workspace, valid on this host only.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkspaceId(u32);
entity_impl!(WorkspaceId, "workspace");

/// Workspace in the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceEntry {
    /// Name of the workspace.
    pub name: CompactString,
    /// Offset of the log record that last changed the workspace, plus one.
    pub revision: u64,
}
