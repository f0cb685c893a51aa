//! Sections of the state dump.

use serde_json::Value;

use crate::Kernel;

/// Section of the state dump.
///
/// Each part of a node registers its sections with `inventory::submit!`.
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
    /// Renders the section as JSON.
    pub render: fn(&Kernel) -> Value,
}

inventory::collect!(DumpSection);

/// Returns all sections that are linked into this process, in no particular order.
pub fn dump_sections() -> impl Iterator<Item = &'static DumpSection> {
    inventory::iter::<DumpSection>.into_iter()
}
