//! Runs one case of the second review: `drill CASE PROGRAM RECORD`, with `TROUBLE=0` for the same
//! without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

mod client;
mod evacuated_zone;
mod gone_clients;
mod http;
mod json;
mod manifest;
mod record;
mod restarted_upstream;
mod restored_store;
mod store;
mod upstream;
mod vm;

use std::env;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What a case has to work with.
pub struct Bench {
    pub program: PathBuf,
    pub folder: PathBuf,
    pub record: record::Record,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

/// Whether the rule held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

pub type CaseResult = Result<Verdict, Box<dyn std::error::Error>>;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, program, record_path] = arguments.as_slice() else {
        eprintln!("drill CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let result = run(case, Path::new(program), Path::new(record_path));
    match result {
        Ok(Verdict::Held) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, program: &Path, record_path: &Path) -> CaseResult {
    let folder = env::temp_dir().join(format!("waxwing-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let bench = Bench {
        program: program.canonicalize()?,
        folder: folder.clone(),
        record: record::Record::create(record_path)?,
        has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let result = match case {
        "evacuated-zone" => evacuated_zone::run(&bench),
        "gone-clients" => gone_clients::run(&bench),
        "restored-store" => restored_store::run(&bench),
        "restarted-upstream" => restarted_upstream::run(&bench),
        _ => Err(format!("no case {case}").into()),
    };
    if env::var("KEEP").is_err() {
        std::fs::remove_dir_all(&folder).ok();
    } else {
        println!("kept {}", folder.display());
    }
    result
}
