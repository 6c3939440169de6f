//! Plain-text tables for terminals.

use comfy_table::ContentArrangement;
use comfy_table::Table;
use comfy_table::presets::NOTHING;

/// Maximum width of a table in terminal columns; longer cells wrap.
const MAX_WIDTH: u16 = 100;

/// Returns a table without rows and with the given column titles.
pub(crate) fn new_table(titles: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(NOTHING)
        .set_content_arrangement(ContentArrangement::Dynamic)
        .set_width(MAX_WIDTH)
        .set_header(titles);
    table
}

/// Formats `table` as text without trailing spaces.
pub(crate) fn render(table: &Table) -> String {
    let text = table.to_string();
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    lines.join("\n")
}
