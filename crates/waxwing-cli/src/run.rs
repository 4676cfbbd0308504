//! Runs one command.

use std::fs;
use std::io;
use std::net;
use std::path;
use std::time;

use eyre::OptionExt;
use eyre::WrapErr;
use ntex::time as ntex_time;
use rand::RngCore;
use waxwing_platform::http;
use waxwing_platform::store;
use waxwing_platform::store::Store;
use waxwing_process::settings as process_settings;
use waxwing_record::document;
use waxwing_record::record;
use waxwing_record::schema;
use waxwing_timeline::merge;
use waxwing_timeline::stamp;
use waxwing_units::id;

use crate::arguments;
use crate::commit;
use crate::explain;
use crate::fleet;
use crate::keys;
use crate::plan;
use crate::settings;
use crate::show;

/// How often the time line is asked for new events while it is followed.
const FOLLOW_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Everything was done.
    Done,
    /// It failed and nothing was changed.
    Failed,
    /// Arguments, settings or records are wrong.
    Wrong,
    /// Another operator changed a record at the same time.
    Conflict,
    /// It is not known whether all changes took effect.
    Unknown,
}

impl Exit {
    /// Returns the exit code of the process.
    pub const fn code(self) -> i32 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Wrong => 2,
            Self::Conflict => 3,
            Self::Unknown => 4,
        }
    }
}

/// Runs one command and prints what it has to say.
///
/// # Errors
///
/// Returns an error where the command failed and changed nothing.
pub async fn run(arguments: arguments::Arguments) -> eyre::Result<Exit> {
    let json = arguments.json;
    if let arguments::Command::Check(files) = &arguments.command {
        return Ok(check(&files.files));
    }
    if let arguments::Command::Explain(explain) = &arguments.command {
        return explain_request(explain);
    }
    let settings = match process_settings::load::<settings::Settings>(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return Ok(Exit::Wrong);
        }
    };
    let address = settings.platform_address.ok_or_eyre("platform_address is missing")?;
    let platform = http::Platform::new(address).await;
    match arguments.command {
        arguments::Command::Check(files) => Ok(check(&files.files)),
        arguments::Command::Explain(explain) => explain_request(&explain),
        arguments::Command::Apply(apply) => write_files(&platform, &apply, json).await,
        arguments::Command::Withdraw(records) => withdraw(&platform, &records.records, json).await,
        arguments::Command::Get(get) => show_records(&platform, &get, json).await,
        arguments::Command::Key(key) => change_key(&platform, key, json).await,
        arguments::Command::Drain(drain) => change_drain(&platform, &drain, json).await,
        arguments::Command::Status => status(&settings, json).await,
        arguments::Command::Timeline(timeline) => follow(&settings, &timeline, json).await,
    }
}

fn read_files(files: &[path::PathBuf]) -> Result<Vec<document::Document>, Vec<String>> {
    let mut documents = Vec::new();
    let mut faults = Vec::new();
    for file in files {
        let name = file.display().to_string();
        match fs::read_to_string(file) {
            Err(error) => faults.push(format!("{name}: {error}")),
            Ok(text) => match document::read(&name, &text) {
                Ok(read) => documents.extend(read),
                Err(found) => faults.extend(found.iter().map(ToString::to_string)),
            },
        }
    }
    if faults.is_empty() { Ok(documents) } else { Err(faults) }
}

fn check(files: &[path::PathBuf]) -> Exit {
    let planned = read_files(files)
        .map_err(plan::Faults)
        .and_then(|documents| plan::write(&plan::Stored::default(), &documents));
    match planned {
        Ok(changes) => {
            println!("{} records are right", changes.len());
            Exit::Done
        }
        Err(faults) => {
            eprint!("{faults}");
            Exit::Wrong
        }
    }
}

async fn stored(platform: &http::Platform) -> eyre::Result<plan::Stored> {
    let listing = platform.list(store::RECORDS_PREFIX).await;
    Ok(plan::Stored::read(&listing.wrap_err("the stored records can't be read")?))
}

async fn write_files(
    platform: &http::Platform,
    apply: &arguments::Apply,
    json: bool,
) -> eyre::Result<Exit> {
    let documents = match read_files(&apply.files) {
        Ok(documents) => documents,
        Err(faults) => {
            eprint!("{}", plan::Faults(faults));
            return Ok(Exit::Wrong);
        }
    };
    let planned = plan::write(&stored(platform).await?, &documents);
    match planned {
        Ok(changes) if apply.dry_run => {
            print!("{}", show::plan(&changes));
            Ok(Exit::Done)
        }
        planned => carry_out(platform, planned, json).await,
    }
}

async fn carry_out(
    platform: &http::Platform,
    planned: plan::Result<Vec<plan::Change>>,
    json: bool,
) -> eyre::Result<Exit> {
    let changes = match planned {
        Ok(changes) => changes,
        Err(faults) => {
            eprint!("{faults}");
            return Ok(Exit::Wrong);
        }
    };
    let operation = id::OperationId(rand::rng().next_u64());
    let outcomes = commit::write_all(platform, &changes, operation).await;
    match json {
        true => println!("{}", serde_json::to_string_pretty(&outcomes)?),
        false => print!("{}", show::outcomes(&outcomes)),
    }
    let left = changes.len() - outcomes.len();
    if left > 0 {
        eprintln!("{left} more records were not written; apply again to go on");
    }
    Ok(exit_of(&outcomes))
}

fn exit_of(outcomes: &[commit::Outcome]) -> Exit {
    let last = outcomes.last().map(|outcome| &outcome.result);
    match last {
        None | Some(commit::Result::Same | commit::Result::Accepted { .. }) => Exit::Done,
        Some(commit::Result::Conflict { .. }) => Exit::Conflict,
        Some(commit::Result::Unknown { .. }) => Exit::Unknown,
        Some(commit::Result::NotWritten { .. }) if outcomes.len() > 1 => Exit::Unknown,
        Some(commit::Result::NotWritten { .. }) => Exit::Failed,
    }
}

async fn withdraw(
    platform: &http::Platform,
    ids: &[record::RecordId],
    json: bool,
) -> eyre::Result<Exit> {
    let planned = plan::withdraw(&stored(platform).await?, ids);
    carry_out(platform, planned, json).await
}

async fn show_records(
    platform: &http::Platform,
    get: &arguments::Get,
    json: bool,
) -> eyre::Result<Exit> {
    let stored = stored(platform).await?;
    let is_wanted = |record: &&plan::StoredRecord| match &get.what {
        None => true,
        Some(what) => record.id.to_string() == *what || record.id.kind.to_string() == *what,
    };
    let records: Vec<&plan::StoredRecord> = stored.records().iter().filter(is_wanted).collect();
    match json {
        true => {
            let values: Vec<&serde_json::Value> = records.iter().map(|r| &r.value).collect();
            println!("{}", serde_json::to_string_pretty(&values)?);
        }
        false => print!("{}", show::records(&records)),
    }
    let found = get.what.is_none() || !records.is_empty();
    Ok(if found { Exit::Done } else { Exit::Failed })
}

/// Plans to write one record that was made here.
fn plan_value(stored: &plan::Stored, value: serde_json::Value) -> plan::Result<Vec<plan::Change>> {
    let versioned =
        schema::read(value.clone()).map_err(|error| plan::Faults(vec![error.to_string()]))?;
    plan::write(stored, &[document::Document { value, versioned }])
}

async fn change_key(
    platform: &http::Platform,
    key: arguments::Key,
    json: bool,
) -> eyre::Result<Exit> {
    match key {
        arguments::Key::Withdraw { name } => {
            let id = record::RecordId { kind: record::Kind::Key, name };
            withdraw(platform, &[id], json).await
        }
        arguments::Key::Issue { name, organisation } => {
            let stored = stored(platform).await?;
            let issued = keys::issue(&name, &organisation);
            if stored.record(&issued.id).is_some() {
                eprintln!("{} is there already; withdraw it first or use another name", issued.id);
                return Ok(Exit::Wrong);
            }
            let exit = carry_out(platform, plan_value(&stored, issued.value), json).await?;
            if matches!(exit, Exit::Done | Exit::Unknown) {
                match json {
                    true => println!("{}", serde_json::json!({ "key": issued.key })),
                    false => println!("{}", issued.key),
                }
            }
            Ok(exit)
        }
    }
}

async fn change_drain(
    platform: &http::Platform,
    drain: &arguments::Drain,
    json: bool,
) -> eyre::Result<Exit> {
    if drain.target.end {
        let id = record::RecordId { kind: record::Kind::Drain, name: drain.name.clone() };
        return withdraw(platform, &[id], json).await;
    }
    let mut value = serde_json::json!({
        "kind": record::Kind::Drain,
        "schema_version": 1,
        "name": drain.name,
    });
    if let Some(server) = &drain.target.backend_server {
        value["backend_server"] = serde_json::to_value(server)?;
    }
    if let Some(vm) = &drain.target.entry_vm {
        value["entry_vm"] = serde_json::to_value(vm)?;
    }
    if let Some(domain) = &drain.target.failure_domain {
        value["failure_domain"] = serde_json::to_value(domain)?;
    }
    let planned = plan_value(&stored(platform).await?, value);
    carry_out(platform, planned, json).await
}

fn report_silent(silent: &[fleet::Silent]) {
    for fleet::Silent { address, why } in silent {
        eprintln!("{address} did not answer: {why}");
    }
}

async fn status(settings: &settings::Settings, json: bool) -> eyre::Result<Exit> {
    let (mut machines, silent) = fleet::status(&settings.admin_addresses).await;
    machines.sort_by(|a, b| a.entry_vm.vm.cmp(&b.entry_vm.vm));
    match json {
        true => println!("{}", serde_json::to_string_pretty(&machines)?),
        false => print!("{}", show::status(&machines)),
    }
    report_silent(&silent);
    Ok(if silent.is_empty() { Exit::Done } else { Exit::Failed })
}

async fn follow(
    settings: &settings::Settings,
    timeline: &arguments::Timeline,
    json: bool,
) -> eyre::Result<Exit> {
    let filter = merge::Filter {
        request: timeline.request.clone(),
        organisation: timeline.organisation.clone(),
        vm: timeline.vm.clone(),
    };
    let start = |address: &net::SocketAddr| fleet::Source {
        address: *address,
        after: stamp::Stamp::default(),
    };
    let mut sources: Vec<fleet::Source> = settings.admin_addresses.iter().map(start).collect();
    loop {
        let (parts, silent) = fleet::events(&mut sources).await;
        let events = merge::merge(parts, &filter);
        match json {
            true => {
                for event in &events {
                    println!("{}", serde_json::to_string(event)?);
                }
            }
            false => print!("{}", merge::Lines(&events)),
        }
        if !timeline.follow {
            if events.is_empty() {
                eprintln!("no process remembers such an event");
            }
            report_silent(&silent);
            return Ok(if silent.is_empty() { Exit::Done } else { Exit::Failed });
        }
        ntex_time::sleep(FOLLOW_INTERVAL).await;
    }
}

/// Prints what logs tell of a request.
fn explain_request(arguments: &arguments::Explain) -> eyre::Result<Exit> {
    let request = arguments.request.as_str();
    let mut found = Vec::new();
    if arguments.logs.is_empty() {
        found.extend(explain::search(io::stdin().lock(), request)?);
    }
    for path in &arguments.logs {
        let log = fs::File::open(path).wrap_err_with(|| path.display().to_string())?;
        found.extend(explain::search(io::BufReader::new(log), request)?);
    }
    found.sort_by(|a, b| a.at.cmp(&b.at));
    if found.is_empty() {
        return Err(explain::Error::NotFound { request: request.to_owned() }.into());
    }
    found.iter().for_each(|explanation| println!("{explanation}"));
    Ok(Exit::Done)
}
