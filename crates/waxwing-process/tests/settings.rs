//! Parsing and validation of settings: all errors are reported at once.

use std::path;

use expect_test::expect;
use serde::Deserialize;
use waxwing_process::settings;
use waxwing_units::id;
use waxwing_units::time as units_time;

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Example {
    vm: Option<id::VmId>,
    wait_ms: units_time::Millis,
    workers: usize,
}

impl settings::Settings for Example {
    fn validate(&self, errors: &mut settings::FieldErrors) {
        errors.require(self.vm.is_some(), "vm", "is missing; write this machine's name");
        errors.require(self.workers > 0, "workers", "must be 1 at least");
    }
}

fn read(text: &str) -> String {
    match settings::parse::<Example>(path::Path::new("example.yaml"), text) {
        Ok(read) => format!("{:?} {:?} {}", read.vm, read.wait_ms, read.workers),
        Err(error) => error.to_string(),
    }
}

#[test]
fn all_errors_are_listed_at_once() {
    expect![[r#"
        example.yaml: 3 invalid setting(s):
          vm: a name is made of a-z, 0-9 and '-', and starts with a letter or digit; found 'L'
          wait_ms: invalid type: string "soon", expected u64
          wokers: unknown field `wokers`, expected one of `vm`, `wait_ms`, `workers`"#]]
    .assert_eq(&read("vm: Lautoka\nwait_ms: soon\nwokers: 3\n"));
    expect![[r#"
        example.yaml: 2 invalid setting(s):
          vm: is missing; write this machine's name
          workers: must be 1 at least"#]]
    .assert_eq(&read("wait_ms: 5\n"));
    expect![[
        r#"example.yaml: invalid type: string "just text", expected a YAML mapping; settings are a mapping of fields to values"#
    ]]
    .assert_eq(&read("just text"));
}

#[test]
fn valid_settings_are_accepted() {
    assert_eq!(read("vm: a\nworkers: 2\n"), "Some(VmId(a)) Millis(0) 2");
}

#[test]
fn the_error_of_a_missing_file_names_the_file() {
    let missing = settings::load::<Example>(path::Path::new("/nowhere/example.yaml"));
    let error = missing.expect_err("no such file").to_string();
    assert!(error.contains("/nowhere/example.yaml") && error.contains("--settings"), "{error}");
}
