//! Tests of schema versions, error messages, validation and snapshots of records.

use expect_test::expect;
use serde_json::json;
use waxwing_contract::contract;
use waxwing_record::document;
use waxwing_record::record;
use waxwing_record::schema;
use waxwing_record::snapshot;
use waxwing_record::validation;
use waxwing_units::id;

const EXAMPLE: &str = include_str!("../../../../examples/cooperative/records.yaml");

fn errors(text: &str) -> String {
    match document::read("records.yaml", text) {
        Ok(_) => "none".to_owned(),
        Err(errors) => errors.iter().map(|error| format!("{error}\n")).collect(),
    }
}

#[test]
fn each_error_names_the_file_the_record_the_field_and_what_to_write() {
    let text = "\
kind: organisation
schema_version: 1
name: kiln
rate: 50
burst: 5 tokens
home: lautoka
---
kind: organisation
schema_version: 3
name: kiln
---
kind: service
schema_version: 1
name: Ledger
---
kind: service
schema_version: 1
name: ledger
deadlin: 5s
---
kind: router
schema_version: 1
name: a
---
kind: drain
schema_version: 1
name: rack
";
    expect![[r#"
        records.yaml: document 1: organisation/kiln: rate: invalid type: integer `50`, expected a string
        records.yaml: document 2: organisation/kiln: schema_version 3 of organisation records is not known; this release reads 1 to 2
        records.yaml: document 3: service/Ledger: a name is made of a-z, 0-9 and '-', and starts with a letter or digit; found 'L'; every record has kind, schema_version and name
        records.yaml: document 4: service/ledger: deadlin: unknown field `deadlin`, expected one of `access`, `body_max`, `deadline`, `shift_cap_permille`, `key_staleness_max`
        records.yaml: document 5: router/a: "router" is not a record kind; write region, service, organisation, key, backend-server, drain or client-blocks; every record has kind, schema_version and name
        records.yaml: document 6: drain/rack: a drain must name exactly one of backend_server, entry_vm and failure_domain
    "#]]
    .assert_eq(&errors(text));
}

#[test]
fn old_and_new_schema_versions_are_both_read() {
    let old = json!({"kind": "organisation", "schema_version": 1, "name": "kiln",
        "rate": "50/s", "burst": "50 tokens", "home": "lautoka"});
    let mut new = old.clone();
    new["schema_version"] = json!(2);
    let record_of = |value| schema::read(value).expect("a record").record;
    assert_eq!(record_of(old), record_of(new.clone()), "the same contract in both versions");
    new["floors"] = json!(["nausori", "labasa"]);
    new["floor_permille"] = json!(100);
    let record::Record::Organisation(organisation) = record_of(new) else {
        panic!("not an organisation");
    };
    let contract = organisation.contract(id::Revision(7));
    assert_eq!(contract.floor_domains().len(), 2);
    assert!(matches!(contract.spread, contract::Spread::Floors { .. }));
}

fn stored(text: &str) -> Vec<snapshot::StoredValue> {
    let documents = document::read("records.yaml", text).expect("records");
    documents
        .into_iter()
        .map(|document| snapshot::StoredValue {
            path: document.versioned.id.to_string(),
            revision: id::Revision(3),
            value: document.value,
        })
        .collect()
}

#[test]
fn all_errors_of_a_set_are_reported_at_once() {
    assert_eq!(
        validation::errors(&snapshot::Snapshot::read(id::Revision(3), &stored(EXAMPLE))),
        []
    );
    let broken = EXAMPLE
        .replace("home: lautoka", "home: suva")
        .replace("floor_permille: 250", "floor_permille: 950")
        .replace("service: ledger", "service: evidence")
        .replace("slots: 3", "slots: 0");
    let snapshot = snapshot::Snapshot::read(id::Revision(3), &stored(&broken));
    let errors: String =
        validation::errors(&snapshot).iter().map(|error| format!("{error}\n")).collect();
    expect![[r#"
        organisation/kiln: home suva is in no region record
        organisation/kiln: the floors sum up to 950 thousandths; choose floor_permille so that the sum is between 1 and 900
        backend-server/ledger-1: there is no service evidence
        backend-server/ledger-1: slots is 0; write how many requests it runs at the same time
        backend-server/ledger-2: there is no service evidence
        backend-server/ledger-2: slots is 0; write how many requests it runs at the same time
    "#]]
    .assert_eq(&errors);
}

#[test]
fn an_unreadable_value_leaves_the_other_records_in_force() {
    let mut entries = stored(EXAMPLE);
    let before = snapshot::Snapshot::read(id::Revision(3), &entries);
    entries.push(snapshot::StoredValue {
        path: "service/later".to_owned(),
        revision: id::Revision(4),
        value: json!({"kind": "service", "schema_version": 9, "name": "later"}),
    });
    let after = snapshot::Snapshot::read(id::Revision(4), &entries);
    assert_eq!(after.services, before.services);
    assert_eq!(after.organisations, before.organisations);
    assert_eq!(after.unreadable.len(), 1);
    assert_eq!(after.unreadable[0].path, "service/later");
}

#[test]
fn the_spread_of_a_contract_can_not_be_changed() {
    let floors = |permille| contract::Spread::Floors {
        failure_domains: vec!["nausori".parse().expect("a valid name")],
        floor_permille: permille,
    };
    let organisation = |spread| record::Organisation {
        organisation: "kiln".parse().expect("a valid name"),
        rate_per_second: "50/s".parse().expect("a rate"),
        burst_tokens: "50 tokens".parse().expect("tokens"),
        home: "lautoka".parse().expect("a valid name"),
        spread,
    };
    let old = organisation(floors(100));
    assert!(validation::replacement_errors(&old, &organisation(floors(100))).is_empty());
    assert_eq!(validation::replacement_errors(&old, &organisation(floors(200))).len(), 1);
    assert_eq!(
        validation::replacement_errors(&old, &organisation(contract::Spread::Whole)).len(),
        1
    );
}

#[test]
fn parts_of_two_revisions_never_sum_to_more_than_the_larger_contract() {
    let domains: Vec<id::FailureDomainId> =
        (0..5).map(|n| format!("d-{n}").parse().expect("a valid name")).collect();
    let contract = |rate_milli: u64, burst: u64| contract::Contract {
        organisation: "kiln".parse().expect("a valid name"),
        revision: id::Revision(1),
        whole: contract::RateLimit {
            rate_per_second: waxwing_units::rate::TokenRate::from_milli_per_second(rate_milli),
            burst_tokens: waxwing_units::rate::Tokens(burst).nano(),
        },
        home: "home".parse().expect("a valid name"),
        spread: contract::Spread::Floors { failure_domains: domains.clone(), floor_permille: 83 },
    };
    let sizes = [(1, 1), (7, 2), (999, 9), (1_000, 10), (1_001, 11), (333_333, 1_000_000)];
    for (old, new) in sizes.iter().flat_map(|a| sizes.iter().map(move |b| (*a, *b))) {
        let (old, new) = (contract(old.0, old.1), contract(new.0, new.1));
        let floors = domains.iter().filter_map(|domain| new.floor(domain));
        let sum = floors.fold(old.base(), contract::RateLimit::plus);
        let rate_max = old.whole.rate_per_second.max(new.whole.rate_per_second);
        let burst_max = old.whole.burst_tokens.max(new.whole.burst_tokens);
        assert!(sum.rate_per_second <= rate_max && sum.burst_tokens <= burst_max);
    }
}
