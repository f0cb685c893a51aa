//! Output as JSON or as a table.

use std::io::Write;

use serde::Serialize;
use tabled::Table;
use tabled::Tabled;
use tabled::settings::Style;

use crate::Category;
use crate::Error;
use crate::Result;

/// Writes a value as indented JSON.
pub(crate) fn json(out: &mut dyn Write, value: &impl Serialize) -> Result<()> {
    let text = serde_json::to_string_pretty(value);
    let text = text
        .map_err(|err| Error::new(Category::Output, "cannot serialize to JSON").with_source(err))?;
    writeln!(out, "{text}")?;
    Ok(())
}

/// Writes rows as a table without borders or trailing spaces.
pub(crate) fn table<T: Tabled>(out: &mut dyn Write, rows: &[T]) -> Result<()> {
    let mut table = Table::new(rows);
    table.with(Style::blank());
    for line in table.to_string().lines() {
        writeln!(out, "{}", line.trim_end())?;
    }
    Ok(())
}
