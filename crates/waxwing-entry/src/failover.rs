//! Decides which machine attempts a request: this one, with its own backend servers, or another
//! entry VM.
//!
//! This machine comes first. If its servers can't run the request, entry VMs of the same region
//! follow, and then, up to the service's cap on shifted traffic, those of other regions. Another
//! entry VM admits a forwarded request only into a spare slot of its own; so an outdated load
//! report costs an attempt, but never overloads that machine. Traffic that was shifted to other
//! regions also returns no faster than the cap allows.

use parking_lot::Mutex;
use waxwing_keeper_client::client;
use waxwing_machine::entry_vm;
use waxwing_machine::fleet;
use waxwing_process::clock;
use waxwing_record::record;
use waxwing_units::id;
use waxwing_units::rendezvous;
use waxwing_zone::shift;

/// Number of locks over which the services are spread.
const SHARDS: usize = 16;

/// Shifts sorted by service.
type Shard = Vec<(id::ServiceId, shift::Shift)>;

/// The machine for the next attempt at a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Destination {
    /// This machine, at one of its backend servers.
    Local,
    /// Another entry VM.
    EntryVm(entry_vm::EntryVm),
    /// None: only other regions can run the request, and the cap allows no more traffic to them
    /// now.
    ShiftCapped,
    /// None: no machine can run the request.
    None,
}

/// The other entry VMs that may get a request, those with the most free slots first.
#[derive(Debug, Clone, Default)]
struct Candidates {
    in_region: Vec<entry_vm::EntryVm>,
    other_regions: Vec<entry_vm::EntryVm>,
}

/// Selects destinations, and tracks the share of each service's traffic that this machine sends to
/// other regions. Services are spread over shards, each under its own lock.
#[derive(Debug)]
pub struct Failover {
    vm: id::VmId,
    failure_domain: id::FailureDomainId,
    shards: Vec<Mutex<Shard>>,
}

impl Failover {
    /// Creates the state without any shares; a service starts with the mean share of the machines
    /// in the same failure domain.
    pub fn new(vm: id::VmId, failure_domain: id::FailureDomainId) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::new(Vec::new())).collect();
        Self { vm, failure_domain, shards }
    }

    /// Returns the destination of a request's first attempt; `is_local_usable` tells whether a
    /// backend server of this machine accepts requests for the service.
    pub fn first_destination(
        &self,
        view: &client::View,
        service: &record::Service,
        is_local_usable: bool,
    ) -> Destination {
        let candidates = self.candidates(view, &[]);
        let is_region_usable = is_local_usable || !candidates.in_region.is_empty();
        let direction = self.advance_shift(view, service, is_region_usable);
        match (is_local_usable, direction) {
            (true, shift::Direction::HomeRegion) => Destination::Local,
            (true, shift::Direction::OtherRegion) => candidates
                .other_regions
                .into_iter()
                .next()
                .map_or(Destination::Local, Destination::EntryVm),
            (false, direction) => remote_destination(candidates, direction),
        }
    }

    /// Returns the destination of a retry, which is none of the entry VMs in `tried`.
    pub fn retry_destination(
        &self,
        view: &client::View,
        service: &record::Service,
        is_local_usable: bool,
        tried: &[id::VmId],
    ) -> Destination {
        if is_local_usable {
            return Destination::Local;
        }
        let candidates = self.candidates(view, tried);
        let is_region_usable = !candidates.in_region.is_empty();
        let direction = match is_region_usable {
            true => shift::Direction::HomeRegion,
            false => self.advance_shift(view, service, is_region_usable),
        };
        remote_destination(candidates, direction)
    }

    /// Adjusts the service's share of shifted traffic to the state of the region, and returns the
    /// direction of the next request.
    fn advance_shift(
        &self,
        view: &client::View,
        service: &record::Service,
        is_region_usable: bool,
    ) -> shift::Direction {
        let now = clock::now();
        let name = &service.service;
        let mut shard = self.shards[rendezvous::hash(name.as_str()) as usize % SHARDS].lock();
        let at = match shard.binary_search_by(|(found, _)| found.cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                let share = self.neighbours_share(view, name);
                shard.insert(at, (name.clone(), shift::Shift::with_share(now, share)));
                at
            }
        };
        let shift = &mut shard[at].1;
        shift.advance(now, service.shift_cap_permille, is_region_usable);
        shift.next_direction()
    }

    /// Returns the mean share of the other machines in the failure domain, in thousandths. A new
    /// machine starts with it, since it would otherwise undo a part of a shift in progress.
    fn neighbours_share(&self, view: &client::View, service: &id::ServiceId) -> u64 {
        let neighbours: Vec<u64> = view
            .reachable
            .iter()
            .filter(|peer| peer.entry_vm.failure_domain == self.failure_domain)
            .filter(|peer| peer.entry_vm.vm != self.vm)
            .map(|peer| shifted_permille(&peer.load, service))
            .collect();
        neighbours.iter().sum::<u64>() / neighbours.len().max(1) as u64
    }

    fn candidates(&self, view: &client::View, tried: &[id::VmId]) -> Candidates {
        let home_region = view.records.region_of(&self.failure_domain);
        let usable = |peer: &&fleet::ReachableVm| {
            peer.entry_vm.vm != self.vm
                && peer.entry_vm.phase == entry_vm::Phase::Live
                && peer.load.free_slots > 0
                && !tried.contains(&peer.entry_vm.vm)
        };
        let mut peers: Vec<&fleet::ReachableVm> = view.reachable.iter().filter(usable).collect();
        peers.sort_by_key(|peer| std::cmp::Reverse(peer.load.free_slots));
        let (in_region, other_regions): (Vec<&fleet::ReachableVm>, Vec<&fleet::ReachableVm>) =
            peers.into_iter().partition(|peer| {
                home_region.is_some()
                    && view.records.region_of(&peer.entry_vm.failure_domain) == home_region
            });
        let entry_vms = |peers: Vec<&fleet::ReachableVm>| {
            peers.into_iter().map(|peer| peer.entry_vm.clone()).collect()
        };
        Candidates { in_region: entry_vms(in_region), other_regions: entry_vms(other_regions) }
    }

    /// Returns the shares of all services with traffic to other regions, sorted by service, for the
    /// load report to other machines.
    pub fn shares(&self) -> Vec<fleet::ShiftedShare> {
        let mut shares = Vec::new();
        for shard in &self.shards {
            shares.extend(shard.lock().iter().map(|(service, shift)| fleet::ShiftedShare {
                service: service.clone(),
                away_permille: shift.share_permille(),
            }));
        }
        shares.retain(|share| share.away_permille > 0);
        shares.sort_by(|a, b| a.service.cmp(&b.service));
        shares
    }
}

/// Returns the destination of a request that this machine can't run itself.
fn remote_destination(candidates: Candidates, direction: shift::Direction) -> Destination {
    if let Some(peer) = candidates.in_region.into_iter().next() {
        return Destination::EntryVm(peer);
    }
    match (candidates.other_regions.into_iter().next(), direction) {
        (Some(peer), shift::Direction::OtherRegion) => Destination::EntryVm(peer),
        (Some(_), shift::Direction::HomeRegion) => Destination::ShiftCapped,
        (None, _) => Destination::None,
    }
}

fn shifted_permille(load: &fleet::Load, service: &id::ServiceId) -> u64 {
    let found = load.shares.binary_search_by(|share| share.service.cmp(service));
    found.map_or(0, |at| load.shares[at].away_permille)
}
