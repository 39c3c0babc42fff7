//! Differences between two sheets.

use std::collections::BTreeMap;
use std::fmt;

use crate::column::Column;
use crate::column::Kind;
use crate::sheet::Sheet;

/// `Difference` describes one entry that a sheet adds, removes or changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Kind of the entry.
    pub kind: Kind,
    /// Name of the entry.
    pub name: String,
    /// How the entry changes.
    pub change: Change,
}

/// `Change` is the change of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The entry is added.
    Added,
    /// The entry is removed.
    Removed,
    /// The changed cells: the column, the old and the new value.
    Changed(Vec<(Column, String, String)>),
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: ", self.kind.name(), self.name)?;
        match &self.change {
            Change::Added => write!(f, "added"),
            Change::Removed => write!(f, "removed"),
            Change::Changed(cells) => {
                let cells = cells.iter().map(|(column, old, new)| {
                    let old = if old.is_empty() { "nothing" } else { old };
                    let new = if new.is_empty() { "nothing" } else { new };
                    format!("{} from {old} to {new}", column.name())
                });
                write!(f, "{}", cells.collect::<Vec<_>>().join(", "))
            }
        }
    }
}

/// The cells of each entry, by kind and name.
type Entries = BTreeMap<(Kind, String), BTreeMap<Column, String>>;

/// Returns the differences from `before` to `after`, ordered by kind and name.
pub fn differences(before: &Sheet, after: &Sheet) -> Vec<Difference> {
    let (before, after) = (entries(before), entries(after));
    let mut keys: Vec<_> = before.keys().chain(after.keys()).collect();
    keys.sort_unstable();
    keys.dedup();
    let changed = keys.into_iter().filter_map(|key| {
        let change = match (before.get(key), after.get(key)) {
            (None, _) => Change::Added,
            (_, None) => Change::Removed,
            (Some(old), Some(new)) if old == new => return None,
            (Some(old), Some(new)) => Change::Changed(changed_cells(old, new)),
        };
        let (kind, name) = key.clone();
        Some(Difference { kind, name, change })
    });
    changed.collect()
}

fn changed_cells(
    old: &BTreeMap<Column, String>,
    new: &BTreeMap<Column, String>,
) -> Vec<(Column, String, String)> {
    let cell =
        |cells: &BTreeMap<Column, String>, column| cells.get(&column).cloned().unwrap_or_default();
    let all = Column::ALL.iter();
    let cells = all.map(|&column| (column, cell(old, column), cell(new, column)));
    cells.filter(|(_, old, new)| old != new).collect()
}

fn entries(sheet: &Sheet) -> Entries {
    let mut entries = Entries::new();
    let mut add = |kind, name: &String, cells: Vec<_>| {
        entries.insert((kind, name.clone()), cells.into_iter().collect());
    };
    for entry in &sheet.pipelines {
        add(Kind::Pipeline, &entry.name, entry.cells());
    }
    for entry in &sheet.ranks {
        add(Kind::Rank, &entry.name, entry.cells());
    }
    for entry in &sheet.organisations {
        add(Kind::Organisation, &entry.name, entry.cells());
    }
    for entry in &sheet.backend_servers {
        add(Kind::BackendServer, &entry.name, entry.cells());
    }
    entries
}
