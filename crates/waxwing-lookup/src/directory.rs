//! Answers directory queries: which entry VMs are nearest to a caller.
//!
//! The keeper process of this machine provides the records and the reachable entry VMs.

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

/// The header with the id of the request that the caller queries the directory for.
const REQUEST_ID_HEADER: &str = "waxwing-request";

/// The most entry VMs in a response.
const ENTRY_VMS_MAX: usize = 4;

/// How long a caller may cache a response.
pub const RESPONSE_VALIDITY: units_time::Millis = units_time::Millis(3_000);

/// The state that all workers of the directory share.
pub struct Directory {
    /// The failure domain of this machine; assumed for callers whose address is in no client block.
    pub failure_domain: id::FailureDomainId,
    /// The connection to the keeper, which provides the records and the reachable entry VMs.
    pub keeper: sync::Arc<client::Client>,
    /// The failure domains nearest to callers' addresses.
    pub blocks: sync::Arc<ClientBlocks>,
    /// Records events for the timeline.
    pub reporter: reporter::Reporter,
    /// Counts all queries, also those without an entry VM to name.
    pub lookups: otel_metrics::Counter<u64>,
}

/// The newest table of the failure domains nearest to callers' addresses.
///
/// A table is never changed, only replaced, so that a query uses it without holding the lock.
#[derive(Debug, Default)]
pub struct ClientBlocks {
    newest: Mutex<Option<TableAt>>,
}

/// A table and the revision of the records that it was built from.
#[derive(Debug, Clone)]
struct TableAt {
    revision: id::Revision,
    table: sync::Arc<client_block::Table>,
}

impl ClientBlocks {
    /// Rebuilds the table if the records are newer than those that it was built from. A table that
    /// can't be built leaves the previous one in use.
    pub fn update(&self, view: &client::View) {
        let revision = view.records.revision;
        let is_new = self.newest.lock().as_ref().is_none_or(|at| at.revision < revision);
        if !is_new {
            return;
        }
        let blocks = view.records.client_blocks.iter().flat_map(|record| &record.blocks);
        match client_block::Table::build(blocks) {
            Ok(table) => {
                *self.newest.lock() = Some(TableAt { revision, table: sync::Arc::new(table) });
            }
            Err(error) => log::error!("can't build the table of client blocks: {error}"),
        }
    }

    fn table(&self) -> Option<sync::Arc<client_block::Table>> {
        self.newest.lock().as_ref().map(|at| at.table.clone())
    }
}

/// The parameters of a query, which are all optional.
#[derive(Debug, Deserialize)]
pub struct Query {
    /// The failure domain nearest to the caller; it overrides the one by address.
    near: Option<id::FailureDomainId>,
    /// The address of the client that the query is for, if it is not the caller's own.
    client: Option<net::IpAddr>,
}

/// An entry VM that the caller may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedVm {
    /// The name of the entry VM.
    pub vm: id::VmId,
    /// Where it accepts requests from callers.
    pub address: net::SocketAddr,
}

/// The response to a query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// The entry VMs to use, in order of preference.
    pub vms: Vec<NamedVm>,
    /// How long the caller may cache the response, in milliseconds.
    pub valid_ms: units_time::Millis,
}

/// Reports a query that carries a request id; queries without one are too many to report.
fn report(
    directory: &Directory,
    request: &web::HttpRequest,
    first: &waxwing_machine::entry_vm::EntryVm,
    vms: usize,
) {
    let request_id = request.headers().get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
    let Some(request_id) = request_id.and_then(|request_id| request_id.parse().ok()) else {
        return;
    };
    let context = journal::Context { request: Some(request_id), organisation: None };
    let kind = event::Kind::LookedUp { first: first.vm.to_string(), vms };
    directory.reporter.report_with_context(context, kind);
}

/// Answers one query with the entry VMs nearest to the caller, or with 503 where none is known.
pub async fn answer(
    request: web::HttpRequest,
    query: web::types::Query<Query>,
    directory: web::types::State<sync::Arc<Directory>>,
) -> web::HttpResponse {
    let view = directory.keeper.view();
    let address = query.client.or_else(|| Some(request.peer_addr()?.ip()));
    let caller = address.map(|address| address.to_string()).unwrap_or_default();
    let table = directory.blocks.table();
    let by_address = || table.as_ref()?.nearest(address?);
    let failure_domain = query.near.as_ref().or_else(by_address);
    let failure_domain = failure_domain.unwrap_or(&directory.failure_domain);
    let origin = steer::Origin { failure_domain, caller: &caller };
    let vms = steer::nearest_entry_vms(&view.records, &view.reachable, origin, ENTRY_VMS_MAX);
    directory.lookups.add(1, &[]);
    let Some(first) = vms.first() else {
        let text = "no entry VM is known yet; ask again in a second\n";
        return web::HttpResponse::ServiceUnavailable().body(text);
    };
    report(&directory, &request, first, vms.len());
    let named =
        |vm: waxwing_machine::entry_vm::EntryVm| NamedVm { vm: vm.vm, address: vm.entry_address };
    let response =
        Response { vms: vms.into_iter().map(named).collect(), valid_ms: RESPONSE_VALIDITY };
    web::HttpResponse::Ok().json(&response)
}
