//! The answer to a look-up.

use std::net;
use std::sync;

use ntex::web;
use opentelemetry::metrics as otel_metrics;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use waxwing_keeper_client::client;
use waxwing_process::reporter;
use waxwing_timeline::event;
use waxwing_timeline::journal;
use waxwing_units::id;
use waxwing_units::time as units_time;
use waxwing_zone::client_block;
use waxwing_zone::steer;

/// The header with the name of the request that the look-up is for.
const REQUEST_HEADER: &str = "waxwing-request";

/// Entry VMs that an answer names, at most.
const VMS_MAX: usize = 4;

/// How long a caller may use an answer.
pub const VALIDITY: units_time::Millis = units_time::Millis(3_000);

/// What all workers of the look-up process share.
pub struct Lookup {
    /// The failure domain of this machine, where callers that are in no block are taken to be.
    pub failure_domain: id::FailureDomainId,
    /// The connection to the keeper.
    pub keeper: sync::Arc<client::Client>,
    /// The failure domains nearest to callers' addresses.
    pub blocks: sync::Arc<Blocks>,
    /// Events of the process.
    pub reporter: reporter::Reporter,
    /// Counts look-ups.
    pub lookups: otel_metrics::Counter<u64>,
}

/// The failure domains nearest to callers' addresses, replaced as a whole.
#[derive(Debug, Default)]
pub struct Blocks {
    newest: Mutex<Option<BlocksAt>>,
}

/// A table and the revision of the records that it was built from.
#[derive(Debug, Clone)]
struct BlocksAt {
    revision: id::Revision,
    table: sync::Arc<client_block::Table>,
}

impl Blocks {
    /// Builds the table anew where the records have changed.
    pub fn update(&self, view: &client::View) {
        let revision = view.records.revision;
        let is_new = self.newest.lock().as_ref().is_none_or(|at| at.revision < revision);
        if !is_new {
            return;
        }
        let blocks = view.records.client_blocks.iter().flat_map(|record| &record.blocks);
        match client_block::Table::build(blocks) {
            Ok(table) => {
                *self.newest.lock() = Some(BlocksAt { revision, table: sync::Arc::new(table) });
            }
            Err(error) => log::error!("the client blocks can't be used: {error}"),
        }
    }

    fn table(&self) -> Option<sync::Arc<client_block::Table>> {
        self.newest.lock().as_ref().map(|at| at.table.clone())
    }
}

/// What a caller may add to its question.
#[derive(Debug, Deserialize)]
pub struct Question {
    /// The failure domain that the caller is nearest to.
    near: Option<id::FailureDomainId>,
    /// The address of the client that the look-up is for, if it is not the caller's own.
    client: Option<net::IpAddr>,
}

/// An entry VM that the caller may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedVm {
    /// The machine.
    pub vm: id::VmId,
    /// Where it takes requests.
    pub address: net::SocketAddr,
}

/// The answer to a look-up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The entry VMs to use, in this order.
    pub vms: Vec<NamedVm>,
    /// How long the answer may be used, in milliseconds.
    pub valid_ms: units_time::Millis,
}

/// Reports a look-up that the caller named; there are too many others.
fn report(
    lookup: &Lookup,
    request: &web::HttpRequest,
    first: &waxwing_machine::entry_vm::EntryVm,
    vms: usize,
) {
    let name = request.headers().get(REQUEST_HEADER).and_then(|value| value.to_str().ok());
    let Some(name) = name.and_then(|name| name.parse().ok()) else {
        return;
    };
    let about = journal::Context { request: Some(name), organisation: None };
    let what = event::Kind::LookedUp { first: first.vm.to_string(), vms };
    lookup.reporter.report_about(about, what);
}

/// Answers one look-up.
pub async fn lookup(
    request: web::HttpRequest,
    question: web::types::Query<Question>,
    lookup: web::types::State<sync::Arc<Lookup>>,
) -> web::HttpResponse {
    let view = lookup.keeper.view();
    let address = question.client.or_else(|| Some(request.peer_addr()?.ip()));
    let caller = address.map(|address| address.to_string()).unwrap_or_default();
    let table = lookup.blocks.table();
    let by_block = || table.as_ref()?.nearest(address?);
    let failure_domain = question.near.as_ref().or_else(by_block);
    let failure_domain = failure_domain.unwrap_or(&lookup.failure_domain);
    let origin = steer::Origin { failure_domain, caller: &caller };
    let vms = steer::nearest_entry_vms(&view.records, &view.reachable, origin, VMS_MAX);
    lookup.lookups.add(1, &[]);
    let Some(first) = vms.first() else {
        let text = "no entry VM is known yet; ask again in a second\n";
        return web::HttpResponse::ServiceUnavailable().body(text);
    };
    report(&lookup, &request, first, vms.len());
    let named =
        |vm: waxwing_machine::entry_vm::EntryVm| NamedVm { vm: vm.vm, address: vm.entry_address };
    let answer = Answer { vms: vms.into_iter().map(named).collect(), valid_ms: VALIDITY };
    web::HttpResponse::Ok().json(&answer)
}
