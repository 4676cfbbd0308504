//! Tells callers which machines to use, and the platform whether this one is ready.

use std::net;

use ntex::web;
use waxwing_machine::entry_vm;
use waxwing_machine::membership;
use waxwing_process::clock;
use waxwing_units::time as units_time;

use crate::http_adapter;
use crate::vm;

/// Addresses that an answer names, at most.
const ADDRESSES_MAX: usize = 64;

/// Answers a question to the directory, or whether this machine is ready.
pub async fn answer(
    request: web::HttpRequest,
    vm: web::types::State<vm::Shared>,
) -> web::HttpResponse {
    if vm.front.is_readiness_probe(&request) {
        return match vm.is_ready() {
            true => web::HttpResponse::Ok().finish(),
            false => web::HttpResponse::ServiceUnavailable().finish(),
        };
    }
    let Some(question) = vm.front.parse_directory_query(&request) else {
        return web::HttpResponse::NotFound().finish();
    };
    let addresses = addresses(&vm, &question);
    match addresses.is_empty() {
        true => web::HttpResponse::ServiceUnavailable().finish(),
        false => {
            let validity = vm.settings().settings.answer_validity;
            vm.front.directory_response(&addresses, units_time::Millis::duration(validity))
        }
    }
}

/// Returns the machines that a caller may use: those of its failure domain, or else of its region,
/// or else all.
fn addresses(vm: &vm::Vm, question: &http_adapter::DirectoryQuery) -> Vec<net::SocketAddr> {
    let settings = vm.settings();
    let membership = vm.membership.lock();
    let mut usable: Vec<&membership::MachineInfo> =
        membership.reachable(clock::now(), entry_vm::Phase::Live);
    if vm.is_ready() {
        usable.push(&vm.about);
    }
    let region = question
        .region
        .as_ref()
        .or_else(|| question.failure_domain.as_ref().and_then(|domain| settings.region_of(domain)));
    let in_domain = |about: &&&membership::MachineInfo| {
        question.failure_domain.as_ref() == Some(&about.failure_domain)
    };
    let in_region = |about: &&&membership::MachineInfo| {
        region.is_some() && settings.region_of(&about.failure_domain) == region
    };
    let near: Vec<&membership::MachineInfo> = usable.iter().filter(in_domain).copied().collect();
    let regional: Vec<&membership::MachineInfo> =
        usable.iter().filter(in_region).copied().collect();
    let chosen = [near, regional, usable].into_iter().find(|some| !some.is_empty());
    let mut addresses: Vec<net::SocketAddr> =
        chosen.unwrap_or_default().into_iter().map(|about| about.entry_address).collect();
    addresses.truncate(ADDRESSES_MAX);
    addresses
}
