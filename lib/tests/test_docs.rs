//! The operators' pages must list exactly the counters and settings of the program.

use std::collections::BTreeSet;

use parsleywall::counters::CounterSet;
use parsleywall::settings::SettingName;
use strum::IntoEnumIterator;

/// Returns the backquoted names that start with `prefix` in the first column of the tables of
/// `page`.
fn row_names(page: &str, prefix: &str) -> BTreeSet<String> {
    let start = format!("| `{prefix}");
    page.lines()
        .filter(|line| line.starts_with(&start))
        .filter_map(|line| line.split('`').nth(1))
        .map(ToOwned::to_owned)
        .collect()
}

#[test]
fn test_docs_counters() {
    let page = include_str!("../../docs/operate/counters.md");
    let known: BTreeSet<String> = CounterSet::new().snapshot().into_keys().collect();
    let listed: BTreeSet<String> = ["refusal.", "retry.", "event."]
        .iter()
        .flat_map(|prefix| row_names(page, prefix))
        .collect();
    assert_eq!(listed, known);
}

#[test]
fn test_docs_settings() {
    let page = include_str!("../../docs/operate/settings.md");
    let known: BTreeSet<String> = SettingName::iter()
        .map(|name| format!("--{name}"))
        .collect();
    assert_eq!(row_names(page, "--"), known);
    for name in SettingName::iter() {
        assert!(
            page.contains(&format!("`{}`", name.env())),
            "{}",
            name.env()
        );
        assert!(page.contains(name.allowed()), "{name}: {}", name.allowed());
    }
}
