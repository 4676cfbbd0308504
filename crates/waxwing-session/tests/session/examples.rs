//! The example settings and records in the repository are valid.

use std::path;
use std::process;

use waxwing_session::deployment;

fn example(name: &str) -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/cooperative").join(name)
}

fn exit_code(binary: &str, arguments: &[&str], file: &path::Path) -> Option<i32> {
    let output = process::Command::new(deployment::binary_path(binary))
        .args(arguments)
        .arg(file)
        .output()
        .expect("the binary can be started; build all binaries first");
    output.status.code()
}

#[test]
fn each_process_accepts_its_example_settings() {
    for vm in ["lautoka-1", "nausori-1"] {
        for process in ["keeper", "lookup", "entry"] {
            let binary = format!("waxwing-{process}");
            let file = example(&format!("{vm}/{process}.yaml"));
            let code = exit_code(&binary, &["--check", "--settings"], &file);
            assert_eq!(code, Some(0), "{}", file.display());
        }
    }
    assert_eq!(exit_code("waxwing", &["check"], &example("records.yaml")), Some(0));
}

#[test]
fn a_process_rejects_the_settings_of_another() {
    let file = example("lautoka-1/keeper.yaml");
    assert_eq!(exit_code("waxwing-entry", &["--check", "--settings"], &file), Some(2));
    assert_eq!(exit_code("waxwing", &["check"], &file), Some(2));
}
