//! Plug-ins that register themselves.

use serde_json::Value;

use crate::Kernel;

/// A section of the state dump. Each part of a node registers its own.
///
/// # Example
///
/// ```
/// use celeryshore_kernel::DumpSection;
///
/// let mut names: Vec<_> = celeryshore_kernel::dump_sections().map(|s| s.name).collect();
/// names.sort_unstable();
/// names.dedup();
/// assert_eq!(names.len(), celeryshore_kernel::dump_sections().count());
/// # let _: Option<DumpSection> = None;
/// ```
#[derive(Clone, Copy, Debug)]
pub struct DumpSection {
    /// Name of the section, unique in a process.
    pub name: &'static str,
    /// Renders the section.
    pub render: fn(&Kernel) -> Value,
}

inventory::collect!(DumpSection);

/// Returns all sections that are linked into this process, in no fixed order.
pub fn dump_sections() -> impl Iterator<Item = &'static DumpSection> {
    inventory::iter::<DumpSection>.into_iter()
}
