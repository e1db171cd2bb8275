//! A workspace of the folded configuration and its key in the arena.

use compact_str::CompactString;
use cranelift_entity::entity_impl;

/// Workspace of the configuration.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkspaceId(u32);
entity_impl!(WorkspaceId, "workspace");

/// One workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceEntry {
    /// Name of the workspace.
    pub name: CompactString,
    /// Offset of the record that last changed it, plus one.
    pub revision: u64,
}
