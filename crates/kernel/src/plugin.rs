//! Plug-ins that register themselves.

use serde_json::Value;

use crate::Kernel;

/// A section of the state dump. Each part of a node registers its own.
///
/// # Example
///
/// ```
/// use celeryshore_kernel::Section;
///
/// let mut names: Vec<_> = celeryshore_kernel::sections().map(|s| s.name).collect();
/// names.sort_unstable();
/// names.dedup();
/// assert_eq!(names.len(), celeryshore_kernel::sections().count());
/// # let _: Option<Section> = None;
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Section {
    /// Name of the section, unique in a process.
    pub name: &'static str,
    /// Renders the section.
    pub render: fn(&Kernel) -> Value,
}

inventory::collect!(Section);

/// Returns all sections that are linked into this process, in no fixed order.
pub fn sections() -> impl Iterator<Item = &'static Section> {
    inventory::iter::<Section>.into_iter()
}
