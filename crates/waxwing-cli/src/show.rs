//! Formats results as text for a terminal.

use waxwing_keeper::keeper;
use waxwing_record::document;

use crate::commit;
use crate::plan;

/// Formats a table with left-aligned columns under the titles in `head`.
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let widths: Vec<usize> = (0..head.len())
        .map(|column| {
            let cells = rows.iter().filter_map(|row| row.get(column)).map(String::len);
            cells.chain([head[column].len()]).max().unwrap_or(0)
        })
        .collect();
    let mut text = String::new();
    let head: Vec<String> = head.iter().map(ToString::to_string).collect();
    for row in std::iter::once(&head).chain(rows) {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        let line: Vec<String> = cells.collect();
        text.push_str(line.join("  ").trim_end());
        text.push('\n');
    }
    text
}

/// Formats planned changes as a diff: `+` added, `~` changed, `-` withdrawn, `=` unchanged.
pub fn plan(changes: &[plan::Change]) -> String {
    let mut text = String::new();
    for change in changes {
        match (&change.value, &change.difference) {
            (None, _) => text.push_str(&format!("- {}\n", change.id)),
            (_, document::Difference::Added(id)) => text.push_str(&format!("+ {id}\n")),
            (_, document::Difference::Unchanged(id)) => text.push_str(&format!("= {id}\n")),
            (_, document::Difference::Changed(id, fields)) => {
                text.push_str(&format!("~ {id}\n"));
                for field in fields {
                    let document::FieldChange { field, old, new } = field;
                    text.push_str(&format!("    {field}: {old} -> {new}\n"));
                }
            }
        }
    }
    text
}

/// Formats the results of changes as a table.
pub fn outcomes(outcomes: &[commit::Outcome]) -> String {
    let row = |outcome: &commit::Outcome| {
        let result = match &outcome.result {
            commit::WriteResult::Same => "as wanted already".to_owned(),
            commit::WriteResult::Accepted { revision } => {
                format!("accepted at revision {revision}")
            }
            commit::WriteResult::Conflict { expected, current } => format!(
                "conflict: changed by another operator (revision {expected} expected, {current} \
                 found); look at it with `waxwing get` and apply again"
            ),
            commit::WriteResult::NotWritten { why } => format!("not written: {why}"),
            commit::WriteResult::Unknown { why } => format!("unknown: {why}"),
        };
        vec![outcome.record.to_string(), result]
    };
    table(&["RECORD", "RESULT"], &outcomes.iter().map(row).collect::<Vec<_>>())
}

/// Formats stored records as a table.
pub fn records(records: &[&plan::StoredRecord]) -> String {
    let row = |record: &&plan::StoredRecord| {
        vec![record.id.to_string(), record.revision.to_string(), fields(&record.value)]
    };
    table(&["RECORD", "REVISION", "FIELDS"], &records.iter().map(row).collect::<Vec<_>>())
}

fn fields(value: &serde_json::Value) -> String {
    let Some(fields) = value.as_object() else {
        return value.to_string();
    };
    let displayed = fields.iter().filter(|(name, _)| !matches!(name.as_str(), "kind" | "name"));
    let pairs: Vec<String> = displayed.map(|(name, value)| format!("{name}={value}")).collect();
    pairs.join(" ")
}

/// Formats the share of each service's traffic that is sent to other regions, in thousandths.
fn shares(status: &keeper::Status) -> String {
    let shown: Vec<String> = status
        .shares
        .iter()
        .map(|share| format!("{}:{}", share.service, share.away_permille))
        .collect();
    if shown.is_empty() { "-".to_owned() } else { shown.join(" ") }
}

/// Formats the state of all machines as a table.
///
/// HOLDS counts the organisations whose base part of the rate limit the machine holds, and
/// UNCONFIRMED those whose seats it may not use before it has read the seat records again. SHIFTS
/// lists the traffic that it sends to other regions.
pub fn status(machines: &[keeper::Status]) -> String {
    let row = |status: &keeper::Status| {
        let seats: Vec<String> =
            status.seats.iter().map(|at| format!("{}:{}", at.failure_domain, at.seats)).collect();
        let unconfirmed = status.accounts.iter().filter(|account| account.is_unconfirmed).count();
        vec![
            status.entry_vm.vm.to_string(),
            status.entry_vm.failure_domain.to_string(),
            format!("{:?}", status.entry_vm.phase).to_lowercase(),
            status.revision.to_string(),
            if status.store_answers { "answers" } else { "lost" }.to_owned(),
            status.reachable.len().to_string(),
            if seats.is_empty() { "-".to_owned() } else { seats.join(" ") },
            status.accounts.iter().filter(|account| account.base.is_some()).count().to_string(),
            unconfirmed.to_string(),
            shares(status),
            status.drained.len().to_string(),
        ]
    };
    let head = [
        "VM",
        "DOMAIN",
        "PHASE",
        "REVISION",
        "STORE",
        "PEERS",
        "SEATS",
        "HOLDS",
        "UNCONFIRMED",
        "SHIFTS",
        "DRAINS",
    ];
    table(&head, &machines.iter().map(row).collect::<Vec<_>>())
}
