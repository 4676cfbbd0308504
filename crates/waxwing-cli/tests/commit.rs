//! The results reported for written and withdrawn records, against a store with injected faults.

use std::cell::RefCell;
use std::time;

use serde_json::json;
use waxwing_cli::commit;
use waxwing_cli::plan;
use waxwing_platform::store;
use waxwing_record::document;
use waxwing_record::record;
use waxwing_units::id;

/// The fault injected into a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The write never reaches the store.
    Unreachable,
    /// The write takes effect and its response is lost.
    LostResponse,
    /// The write takes effect, its response is lost, and another operator changes the record again.
    LostResponseThenChanged,
    /// The write does not take effect, and no response is received.
    LostWrite,
    /// Another operator changes the record before the write arrives.
    Race,
}

/// A store of one record that injects a fault into each write.
struct FakeStore {
    fault: Fault,
    entry: RefCell<Option<store::Entry>>,
}

impl FakeStore {
    fn put(&self, write: &store::Write, revision: u64) {
        *self.entry.borrow_mut() = write.value.clone().map(|value| store::Entry {
            key: write.key.clone(),
            value,
            revision: id::Revision(revision),
        });
    }

    fn put_by_another_operator(&self, key: &str, revision: u64) {
        let value = Some(json!({"operation": 999, "record": {}}));
        self.put(&store::Write { key: key.to_owned(), value, expected: id::Revision(0) }, revision);
    }
}

impl store::Store for FakeStore {
    async fn list(&self, _: &str) -> store::Result<store::Listing> {
        let entries = self.entry.borrow().iter().cloned().collect();
        Ok(store::Listing { revision: id::Revision(50), entries })
    }

    async fn write(&self, write: &store::Write) -> store::Result<store::WriteOutcome> {
        let lost = Err(store::Error::NoAnswer("injected fault".to_owned()));
        match self.fault {
            Fault::None => {
                self.put(write, 11);
                Ok(store::WriteOutcome::At(id::Revision(11)))
            }
            Fault::Unreachable => Err(store::Error::Unreachable("injected fault".to_owned())),
            Fault::LostResponse => {
                self.put(write, 11);
                lost
            }
            Fault::LostResponseThenChanged => {
                self.put(write, 11);
                self.put_by_another_operator(&write.key, 12);
                lost
            }
            Fault::LostWrite => lost,
            Fault::Race => {
                self.put_by_another_operator(&write.key, 12);
                Ok(store::WriteOutcome::Conflict { current: id::Revision(12) })
            }
        }
    }

    async fn watch(&self, _: id::Revision, _: time::Duration) -> store::Result<id::Revision> {
        Err(store::Error::Unreachable("this test watches nothing".to_owned()))
    }
}

fn change(value: Option<serde_json::Value>) -> plan::Change {
    let id: record::RecordId = "service/ledger".parse().expect("a record");
    let difference = document::Difference::Changed(id.clone(), Vec::new());
    plan::Change { id, value, expected: id::Revision(10), difference }
}

async fn outcome(fault: Fault, value: Option<serde_json::Value>) -> &'static str {
    let before = store::Entry {
        key: "records/service/ledger".to_owned(),
        value: json!({"operation": 1, "record": {}}),
        revision: id::Revision(10),
    };
    let store = FakeStore { fault, entry: RefCell::new(Some(before)) };
    let outcomes = commit::write_all(&store, &[change(value)], id::OperationId(7)).await;
    match outcomes[0].result {
        commit::WriteResult::Same => "same",
        commit::WriteResult::Accepted { .. } => "accepted",
        commit::WriteResult::Conflict { .. } => "conflict",
        commit::WriteResult::NotWritten { .. } => "not written",
        commit::WriteResult::Unknown { .. } => "unknown",
    }
}

#[ntex::test]
async fn write_result_for_each_store_fault() {
    let cases = [
        (Fault::None, "accepted", "accepted"),
        (Fault::Unreachable, "not written", "not written"),
        (Fault::LostResponse, "accepted", "unknown"),
        (Fault::LostResponseThenChanged, "unknown", "unknown"),
        (Fault::LostWrite, "unknown", "unknown"),
        (Fault::Race, "conflict", "conflict"),
    ];
    for (fault, written, withdrawn) in cases {
        assert_eq!(outcome(fault, Some(json!({}))).await, written, "{fault:?}, written");
        assert_eq!(outcome(fault, None).await, withdrawn, "{fault:?}, withdrawn");
    }
}

#[ntex::test]
async fn writing_stops_after_the_first_change_that_is_not_accepted() {
    let store = FakeStore { fault: Fault::Race, entry: RefCell::new(None) };
    let changes = [change(Some(json!({}))), change(Some(json!({})))];
    let outcomes = commit::write_all(&store, &changes, id::OperationId(7)).await;
    assert_eq!(outcomes.len(), 1);
}
