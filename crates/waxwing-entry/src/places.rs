//! Where a request is attempted: at a backend server of this machine or at another entry VM.
//!
//! The own failure domain comes first. Where it can't serve, machines of the same region follow,
//! and then, under the cap of the service, those of other regions. The other machine admits a
//! request only into a free slot of its own; so a belief about it that is out of date costs an
//! attempt, and never overloads it.

use parking_lot::Mutex;
use waxwing_keeper_client::client;
use waxwing_machine::entry_vm;
use waxwing_machine::fleet;
use waxwing_process::clock;
use waxwing_record::record;
use waxwing_units::id;
use waxwing_units::rendezvous;
use waxwing_zone::shift;

/// Shards of the shifts.
const SHARDS: usize = 16;

/// Shifts sorted by service.
type Shard = Vec<(id::ServiceId, shift::Shift)>;

/// Where a request is attempted next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
    /// At a backend server of this machine.
    Here,
    /// At another entry VM.
    There(entry_vm::EntryVm),
    /// Nowhere: more may not be moved now.
    Capped,
    /// Nowhere: nobody can serve the request.
    None,
}

/// The other entry VMs that a request may go to, nearest and freest first.
#[derive(Debug, Clone, Default)]
struct Others {
    in_region: Vec<entry_vm::EntryVm>,
    elsewhere: Vec<entry_vm::EntryVm>,
}

/// How much of each service's traffic this machine sends to other regions.
#[derive(Debug)]
pub struct Places {
    vm: id::VmId,
    failure_domain: id::FailureDomainId,
    shards: Vec<Mutex<Shard>>,
}

impl Places {
    /// Creates the places of a machine that sends nothing elsewhere yet.
    pub fn new(vm: id::VmId, failure_domain: id::FailureDomainId) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::new(Vec::new())).collect();
        Self { vm, failure_domain, shards }
    }

    /// Returns where a new request is attempted first.
    pub fn first(&self, view: &client::View, service: &record::Service, is_usable: bool) -> Place {
        let others = self.others(view, &[]);
        let can_stay = is_usable || !others.in_region.is_empty();
        let direction = self.direction(view, service, can_stay);
        match (is_usable, direction) {
            (true, shift::Direction::HomeRegion) => Place::Here,
            (true, shift::Direction::OtherRegion) => {
                others.elsewhere.into_iter().next().map_or(Place::Here, Place::There)
            }
            (false, direction) => not_here(others, direction),
        }
    }

    /// Returns where a request is attempted again that did not run at the machines in `tried`.
    pub fn again(
        &self,
        view: &client::View,
        service: &record::Service,
        is_usable: bool,
        tried: &[id::VmId],
    ) -> Place {
        if is_usable {
            return Place::Here;
        }
        let others = self.others(view, tried);
        let can_stay = !others.in_region.is_empty();
        let direction = match can_stay {
            true => shift::Direction::HomeRegion,
            false => self.direction(view, service, can_stay),
        };
        not_here(others, direction)
    }

    fn direction(
        &self,
        view: &client::View,
        service: &record::Service,
        can_stay: bool,
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
        shift.advance(now, service.shift_cap_permille, can_stay);
        shift.next_direction()
    }

    /// Returns the mean share of the machines of the same failure domain.
    fn neighbours_share(&self, view: &client::View, service: &id::ServiceId) -> u64 {
        let neighbours: Vec<u64> = view
            .reachable
            .iter()
            .filter(|other| other.entry_vm.failure_domain == self.failure_domain)
            .filter(|other| other.entry_vm.vm != self.vm)
            .map(|other| share_of(&other.load, service))
            .collect();
        neighbours.iter().sum::<u64>() / neighbours.len().max(1) as u64
    }

    fn others(&self, view: &client::View, tried: &[id::VmId]) -> Others {
        let home = view.records.region_of(&self.failure_domain);
        let usable = |other: &&fleet::ReachableVm| {
            other.entry_vm.vm != self.vm
                && other.entry_vm.phase == entry_vm::Phase::Live
                && other.load.free_slots > 0
                && !tried.contains(&other.entry_vm.vm)
        };
        let mut others: Vec<&fleet::ReachableVm> = view.reachable.iter().filter(usable).collect();
        others.sort_by_key(|other| std::cmp::Reverse(other.load.free_slots));
        let (in_region, elsewhere): (Vec<&fleet::ReachableVm>, Vec<&fleet::ReachableVm>) =
            others.into_iter().partition(|other| {
                home.is_some() && view.records.region_of(&other.entry_vm.failure_domain) == home
            });
        let vms = |others: Vec<&fleet::ReachableVm>| {
            others.into_iter().map(|other| other.entry_vm.clone()).collect()
        };
        Others { in_region: vms(in_region), elsewhere: vms(elsewhere) }
    }

    /// Returns the shares of all services of which any traffic goes to other regions.
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

fn not_here(others: Others, direction: shift::Direction) -> Place {
    if let Some(other) = others.in_region.into_iter().next() {
        return Place::There(other);
    }
    match (others.elsewhere.into_iter().next(), direction) {
        (Some(other), shift::Direction::OtherRegion) => Place::There(other),
        (Some(_), shift::Direction::HomeRegion) => Place::Capped,
        (None, _) => Place::None,
    }
}

fn share_of(load: &fleet::Load, service: &id::ServiceId) -> u64 {
    let found = load.shares.binary_search_by(|share| share.service.cmp(service));
    found.map_or(0, |at| load.shares[at].away_permille)
}
