//! Runs a case of the review: `stand-ins CASE RECORD`. The exit status is 1 if the rule was broken,
//! 0 if it held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod broken_copies;
mod deployment;
mod http;
mod json;
mod link;
mod manifest;
mod pipelined_stop;
mod random;
mod record;
mod restored_start;
mod slow_download;
mod store;
mod upstream;
mod vm;

use std::env;
use std::fs;
use std::path::Path;
use std::process;

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, record_path] = arguments.as_slice() else {
        eprintln!("usage: stand-ins CASE RECORD");
        process::exit(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = env::temp_dir().join(format!("waxwing-review-{}", process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    let record = record::Record::new();
    let verdict = match case.as_str() {
        "pipelined-stop" => pipelined_stop::run(&folder, has_trouble, &record),
        "broken-copies" => broken_copies::run(&folder, has_trouble, &record),
        "slow-download" => slow_download::run(&folder, has_trouble, &record),
        "restored-start" => restored_start::run(&folder, has_trouble, &record),
        _ => deployment::Verdict::CouldNotRun,
    };
    record.announce(format!("{case}: {verdict:?}"));
    record.write(Path::new(record_path));
    if env::var("KEEP").is_err() {
        drop(fs::remove_dir_all(&folder));
    }
    process::exit(verdict.exit_code());
}
