//! Runs one command, prints its results and determines the exit code.

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

use crate::admin_client;
use crate::arguments;
use crate::commit;
use crate::explain;
use crate::keys;
use crate::plan;
use crate::settings;
use crate::show;

/// The interval at which `timeline --follow` polls for new events.
const FOLLOW_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// The result of a command, which sets the exit code of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command failed, or some process sent no usable response; no record was changed.
    Failed,
    /// The arguments, the settings or the records are invalid; no record was changed.
    Invalid,
    /// Another operator changed a record at the same time; records before it may have been written.
    Conflict,
    /// It is not known whether all changes took effect, or only some of them did.
    Unknown,
}

impl Exit {
    /// Returns the exit code of the process, as listed in `waxwing --help`.
    pub const fn code(self) -> i32 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Invalid => 2,
            Self::Conflict => 3,
            Self::Unknown => 4,
        }
    }
}

/// Runs one command and prints its results.
///
/// # Errors
///
/// Returns an error if the command failed and changed no record.
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
            return Ok(Exit::Invalid);
        }
    };
    let address = settings.platform_address.ok_or_eyre("platform_address is missing")?;
    let platform = http::Platform::new(address).await;
    match arguments.command {
        arguments::Command::Check(files) => Ok(check(&files.files)),
        arguments::Command::Explain(explain) => explain_request(&explain),
        arguments::Command::Apply(files) => apply(&platform, &files, json).await,
        arguments::Command::Withdraw(records) => withdraw(&platform, &records.records, json).await,
        arguments::Command::Get(get) => show_records(&platform, &get, json).await,
        arguments::Command::Key(key) => change_key(&platform, key, json).await,
        arguments::Command::Drain(drain) => change_drain(&platform, &drain, json).await,
        arguments::Command::Status => show_status(&settings, json).await,
        arguments::Command::Timeline(timeline) => show_timeline(&settings, &timeline, json).await,
    }
}

fn read_files(files: &[path::PathBuf]) -> Result<Vec<document::Document>, Vec<String>> {
    let mut documents = Vec::new();
    let mut errors = Vec::new();
    for file in files {
        let name = file.display().to_string();
        match fs::read_to_string(file) {
            Err(error) => errors.push(format!("{name}: {error}")),
            Ok(text) => match document::read(&name, &text) {
                Ok(read) => documents.extend(read),
                Err(invalid) => errors.extend(invalid.iter().map(ToString::to_string)),
            },
        }
    }
    if errors.is_empty() { Ok(documents) } else { Err(errors) }
}

fn check(files: &[path::PathBuf]) -> Exit {
    let planned = read_files(files)
        .map_err(plan::Errors)
        .and_then(|documents| plan::write(&plan::StoredRecords::default(), &documents));
    match planned {
        Ok(changes) => {
            println!("{} records are valid", changes.len());
            Exit::Done
        }
        Err(errors) => {
            eprint!("{errors}");
            Exit::Invalid
        }
    }
}

async fn read_stored(platform: &http::Platform) -> eyre::Result<plan::StoredRecords> {
    let listing = platform.list(store::RECORDS_PREFIX).await;
    Ok(plan::StoredRecords::from_listing(&listing.wrap_err("failed to read the stored records")?))
}

async fn apply(
    platform: &http::Platform,
    arguments: &arguments::Apply,
    json: bool,
) -> eyre::Result<Exit> {
    let documents = match read_files(&arguments.files) {
        Ok(documents) => documents,
        Err(errors) => {
            eprint!("{}", plan::Errors(errors));
            return Ok(Exit::Invalid);
        }
    };
    let planned = plan::write(&read_stored(platform).await?, &documents);
    match planned {
        Ok(changes) if arguments.dry_run => {
            print!("{}", show::plan(&changes));
            Ok(Exit::Done)
        }
        planned => write_planned(platform, planned, json).await,
    }
}

async fn write_planned(
    platform: &http::Platform,
    planned: plan::Result<Vec<plan::Change>>,
    json: bool,
) -> eyre::Result<Exit> {
    let changes = match planned {
        Ok(changes) => changes,
        Err(errors) => {
            eprint!("{errors}");
            return Ok(Exit::Invalid);
        }
    };
    let operation = id::OperationId(rand::rng().next_u64());
    let outcomes = commit::write_all(platform, &changes, operation).await;
    match json {
        true => println!("{}", serde_json::to_string_pretty(&outcomes)?),
        false => print!("{}", show::outcomes(&outcomes)),
    }
    let remaining = changes.len() - outcomes.len();
    if remaining > 0 {
        eprintln!("{remaining} more records were not written; run the command again to write them");
    }
    Ok(exit_of(&outcomes))
}

fn exit_of(outcomes: &[commit::Outcome]) -> Exit {
    let last = outcomes.last().map(|outcome| &outcome.result);
    match last {
        None | Some(commit::WriteResult::Same | commit::WriteResult::Accepted { .. }) => Exit::Done,
        Some(commit::WriteResult::Conflict { .. }) => Exit::Conflict,
        Some(commit::WriteResult::Unknown { .. }) => Exit::Unknown,
        Some(commit::WriteResult::NotWritten { .. }) if outcomes.len() > 1 => Exit::Unknown,
        Some(commit::WriteResult::NotWritten { .. }) => Exit::Failed,
    }
}

async fn withdraw(
    platform: &http::Platform,
    ids: &[record::RecordId],
    json: bool,
) -> eyre::Result<Exit> {
    let planned = plan::withdraw(&read_stored(platform).await?, ids);
    write_planned(platform, planned, json).await
}

async fn show_records(
    platform: &http::Platform,
    get: &arguments::Get,
    json: bool,
) -> eyre::Result<Exit> {
    let stored = read_stored(platform).await?;
    let is_selected = |record: &&plan::StoredRecord| match &get.what {
        None => true,
        Some(what) => record.id.to_string() == *what || record.id.kind.to_string() == *what,
    };
    let records: Vec<&plan::StoredRecord> = stored.records().iter().filter(is_selected).collect();
    match json {
        true => {
            let values: Vec<&serde_json::Value> = records.iter().map(|r| &r.value).collect();
            println!("{}", serde_json::to_string_pretty(&values)?);
        }
        false => print!("{}", show::records(&records)),
    }
    let is_found = get.what.is_none() || !records.is_empty();
    Ok(if is_found { Exit::Done } else { Exit::Failed })
}

/// Plans to write one record that a command generated.
fn plan_value(
    stored: &plan::StoredRecords,
    value: serde_json::Value,
) -> plan::Result<Vec<plan::Change>> {
    let versioned =
        schema::read(value.clone()).map_err(|error| plan::Errors(vec![error.to_string()]))?;
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
            let stored = read_stored(platform).await?;
            let issued = keys::issue(&name, &organisation);
            if stored.record(&issued.id).is_some() {
                eprintln!("{} already exists; withdraw it first or use another name", issued.id);
                return Ok(Exit::Invalid);
            }
            let exit = write_planned(platform, plan_value(&stored, issued.value), json).await?;
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
    let planned = plan_value(&read_stored(platform).await?, value);
    write_planned(platform, planned, json).await
}

fn report_failures(failures: &[admin_client::Failure]) {
    for admin_client::Failure { address, message } in failures {
        eprintln!("no usable response from {address}: {message}");
    }
}

async fn show_status(settings: &settings::Settings, json: bool) -> eyre::Result<Exit> {
    let (mut machines, failures) = admin_client::status(&settings.admin_addresses).await;
    machines.sort_by(|a, b| a.entry_vm.vm.cmp(&b.entry_vm.vm));
    match json {
        true => println!("{}", serde_json::to_string_pretty(&machines)?),
        false => print!("{}", show::status(&machines)),
    }
    report_failures(&failures);
    Ok(if failures.is_empty() { Exit::Done } else { Exit::Failed })
}

async fn show_timeline(
    settings: &settings::Settings,
    timeline: &arguments::Timeline,
    json: bool,
) -> eyre::Result<Exit> {
    let filter = merge::Filter {
        request: timeline.request.clone(),
        organisation: timeline.organisation.clone(),
        vm: timeline.vm.clone(),
    };
    let start_cursor = |address: &net::SocketAddr| admin_client::Cursor {
        address: *address,
        after: stamp::Stamp::default(),
    };
    let mut cursors: Vec<admin_client::Cursor> =
        settings.admin_addresses.iter().map(start_cursor).collect();
    loop {
        let (events_by_process, failures) = admin_client::events(&mut cursors).await;
        let events = merge::merge(events_by_process, &filter);
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
                eprintln!("no process has a matching event; each keeps only its most recent ones");
            }
            report_failures(&failures);
            return Ok(if failures.is_empty() { Exit::Done } else { Exit::Failed });
        }
        ntex_time::sleep(FOLLOW_INTERVAL).await;
    }
}

/// Prints how the logs say that a request ended.
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
    found.sort_by(|a, b| a.ended_at.cmp(&b.ended_at));
    if found.is_empty() {
        return Err(explain::Error::NotFound { request: request.to_owned() }.into());
    }
    found.iter().for_each(|explanation| println!("{explanation}"));
    Ok(Exit::Done)
}
