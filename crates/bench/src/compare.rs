//! Two runs as ratios.

use comfy_table::Table;
use serde_json::Value;

use crate::Figures;

/// Why two runs can't be compared.
#[derive(Debug, thiserror::Error)]
pub enum CompareError {
    /// A run's figures are not in the form that `--json` writes.
    #[error("a run is not in the form that --json writes: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The runs have no policy in common.
    #[error("the runs have no workload, policy and seed in common")]
    NothingShared,
}

/// A table of the figures of `after` divided by those of `before`, for each workload, policy and
/// seed that both hold.
pub fn compare(before: &str, after: &str) -> Result<String, CompareError> {
    let before: Vec<Figures> = serde_json::from_str(before)?;
    let after: Vec<Figures> = serde_json::from_str(after)?;
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(["run", "figure", "before", "after", "ratio"]);
    for new in &after {
        let same = |old: &&Figures| {
            (&old.workload, &old.policy, old.seed) == (&new.workload, &new.policy, new.seed)
        };
        let Some(old) = before.iter().find(same) else { continue };
        let run = format!("{} {} {}", new.workload, new.policy, new.seed);
        add_rows(&mut table, &run, "", &serde_json::to_value(old)?, &serde_json::to_value(new)?);
    }
    if table.is_empty() { Err(CompareError::NothingShared) } else { Ok(table.to_string()) }
}

fn add_rows(table: &mut Table, run: &str, path: &str, old: &Value, new: &Value) {
    let Some(fields) = old.as_object() else { return };
    for (field, old) in fields {
        let path = if path.is_empty() { field.clone() } else { format!("{path}.{field}") };
        let new = &new[field];
        add_rows(table, run, &path, old, new);
        if let (Some(a), Some(b)) = (old.as_f64(), new.as_f64()) {
            let ratio = if a == 0.0 { "-".to_owned() } else { format!("{:.3}", b / a) };
            table.add_row([run.to_owned(), path, format!("{a:.3}"), format!("{b:.3}"), ratio]);
        }
    }
}
