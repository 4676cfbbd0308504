//! The HTTP directory, which tells callers the entry VMs to use, and the readiness probe.

use std::net;

use ntex::web;
use waxwing_machine::entry_choice;
use waxwing_machine::entry_vm;
use waxwing_machine::membership;
use waxwing_process::clock;
use waxwing_units::time as units_time;

use crate::http_adapter;
use crate::vm;

/// The most addresses in a response.
const ADDRESSES_MAX: usize = 64;

/// Answers a readiness probe (503 while not ready) or a directory query (503 without any usable
/// VM); anything else gets 404.
pub async fn answer(
    request: web::HttpRequest,
    vm: web::types::State<vm::Shared>,
) -> web::HttpResponse {
    if vm.adapter.is_readiness_probe(&request) {
        return match vm.is_ready() {
            true => web::HttpResponse::Ok().finish(),
            false => web::HttpResponse::ServiceUnavailable().finish(),
        };
    }
    let Some(query) = vm.adapter.parse_directory_query(&request) else {
        return web::HttpResponse::NotFound().finish();
    };
    let addresses = addresses(&vm, &query);
    match addresses.is_empty() {
        true => web::HttpResponse::ServiceUnavailable().finish(),
        false => {
            let validity = vm.settings().settings.answer_validity;
            vm.adapter.directory_response(&addresses, units_time::Millis::duration(validity))
        }
    }
}

/// Returns the entry VMs for a caller: those of its failure domain, or else of its region, or else
/// all; of these, the ones that [`entry_choice`] names.
fn addresses(vm: &vm::Vm, query: &http_adapter::DirectoryQuery) -> Vec<net::SocketAddr> {
    let settings = vm.settings();
    let membership = vm.membership.lock();
    let mut usable: Vec<&membership::MachineInfo> =
        membership.reachable(clock::now(), entry_vm::Phase::Live);
    if vm.is_ready() {
        usable.push(&vm.info);
    }
    let region = query
        .region
        .as_ref()
        .or_else(|| query.failure_domain.as_ref().and_then(|domain| settings.region_of(domain)));
    let in_domain = |peer: &&&membership::MachineInfo| {
        query.failure_domain.as_ref() == Some(&peer.failure_domain)
    };
    let in_region = |peer: &&&membership::MachineInfo| {
        region.is_some() && settings.region_of(&peer.failure_domain) == region
    };
    let near: Vec<&membership::MachineInfo> = usable.iter().filter(in_domain).copied().collect();
    let regional: Vec<&membership::MachineInfo> =
        usable.iter().filter(in_region).copied().collect();
    let chosen = [near, regional, usable].into_iter().find(|candidates| !candidates.is_empty());
    let candidate = |machine: &membership::MachineInfo| entry_choice::Candidate {
        vm: machine.entry_address,
        link_bandwidth: match machine.vm == vm.info.vm {
            true => settings.settings.link_bandwidth,
            false => membership.link_bandwidth(&machine.vm),
        },
    };
    let candidates = chosen.unwrap_or_default().into_iter().map(candidate).collect();
    let mut addresses = entry_choice::choose(candidates);
    addresses.truncate(ADDRESSES_MAX);
    addresses
}
