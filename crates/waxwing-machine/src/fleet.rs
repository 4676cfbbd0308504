//! One machine's view of all entry VMs, from heartbeats and the platform's list of VMs.
//!
//! The platform's list lags: it names terminated machines and omits new ones. Heartbeats are
//! prompt but only show which machines are reachable from here. A machine is usable while its
//! heartbeats arrive and it has not announced that it is shutting down.

use std::time;

use serde::{Deserialize, Serialize};
use waxwing_units::id;
use waxwing_units::rendezvous;
use waxwing_units::time as units_time;

use crate::entry_vm;

/// The shortest interval between two heartbeats of a machine.
pub const HEARTBEAT_INTERVAL_MIN: time::Duration = time::Duration::from_millis(500);

/// The bandwidth limit of the heartbeats that a machine sends.
const HEARTBEATS_MAX_BYTES_PER_S: u64 = 1_200;

/// The size of a heartbeat on the wire, including IP and UDP headers.
const HEARTBEAT_LEN_BYTES: u64 = 130;

/// The number of consecutive heartbeats that may be missed before a machine counts as unreachable.
pub const MISSED_HEARTBEATS_MAX: u32 = 4;

/// Returns the interval at which a machine may send heartbeats to `targets` machines.
pub fn heartbeat_interval(targets: usize) -> time::Duration {
    let round_bytes = HEARTBEAT_LEN_BYTES * targets as u64;
    let interval_ms = round_bytes * 1_000 / HEARTBEATS_MAX_BYTES_PER_S;
    time::Duration::from_millis(interval_ms).max(HEARTBEAT_INTERVAL_MIN)
}

/// The maximum number of machines of its own failure domain that a machine sends heartbeats to.
pub const NEAR_TARGETS_MAX: usize = 8;

/// The maximum number of machines of each other failure domain that a machine sends heartbeats to.
pub const FAR_TARGETS_MAX: usize = 2;

/// A known machine and its last reported state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The description in the machine's last heartbeat, or in the platform's list before any.
    pub entry_vm: entry_vm::EntryVm,
    /// The incarnation of its keeper by its last heartbeat; `None` before any.
    pub incarnation: Option<id::Incarnation>,
    /// The arrival of its last heartbeat, or the time when it was first listed.
    pub last_heard_at: units_time::MonoInstant,
    /// Whether any heartbeat of it has arrived.
    pub was_heard: bool,
    /// Whether the platform's last list names it.
    pub is_listed: bool,
    /// The interval of its heartbeats, as the last one announced.
    pub heartbeat_interval: time::Duration,
    /// Its load by its last heartbeat.
    pub load: Load,
}

/// A heartbeat that a keeper sends to the keepers of other machines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's machine.
    pub entry_vm: entry_vm::EntryVm,
    /// The revision of the records in force on it.
    pub revision: id::Revision,
    /// How long ago that revision was confirmed as the store's newest; `None` if it never was.
    pub confirmed_ago_ms: Option<units_time::Millis>,
    /// The time until its next heartbeat.
    pub interval_ms: units_time::Millis,
    /// Its current load.
    pub load: Load,
}

/// The load of an entry VM.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The number of requests in progress.
    pub in_flight: u32,
    /// The number of free slots at its backend servers.
    pub free_slots: u32,
    /// The share of each service's traffic that it sends to other regions, sorted by service;
    /// services whose requests all stay in the machine's own region are omitted.
    pub shares: Vec<ShiftedShare>,
}

/// The share of one service's traffic that a machine sends to other regions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShiftedShare {
    /// The service.
    pub service: id::ServiceId,
    /// The share, in thousandths.
    pub away_permille: u64,
}

/// A reachable machine, as other processes are told of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachableVm {
    /// The machine.
    pub entry_vm: entry_vm::EntryVm,
    /// The incarnation of its keeper.
    pub incarnation: id::Incarnation,
    /// Its load by its last heartbeat.
    pub load: Load,
}

/// All known machines, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    members: Vec<Member>,
}

impl Fleet {
    /// Returns all known machines, sorted by name.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the last known state of a machine.
    pub fn member(&self, vm: &id::VmId) -> Option<&Member> {
        self.find(vm).ok().map(|at| &self.members[at])
    }

    fn find(&self, vm: &id::VmId) -> Result<usize, usize> {
        self.members.binary_search_by(|member| member.entry_vm.vm.cmp(vm))
    }

    /// Applies a new version of the platform's list; machines that it omits stay known for now.
    pub fn set_platform_list(&mut self, now: units_time::MonoInstant, list: &[entry_vm::EntryVm]) {
        for member in &mut self.members {
            member.is_listed = false;
        }
        for listed in list {
            match self.find(&listed.vm) {
                Ok(at) => self.members[at].mark_listed(listed),
                Err(at) => self.members.insert(at, Member::from_list(now, listed)),
            }
        }
    }

    /// Removes machines that are not listed and sent no heartbeat for `silence`.
    pub fn remove_silent(&mut self, now: units_time::MonoInstant, silence: time::Duration) {
        self.members.retain(|member| member.is_listed || now.since(member.last_heard_at) < silence);
    }

    /// Applies a machine's heartbeat; returns whether the machine was unreachable before.
    pub fn record_heartbeat(
        &mut self,
        now: units_time::MonoInstant,
        heartbeat: Heartbeat,
        incarnation: id::Incarnation,
    ) -> bool {
        let Heartbeat { entry_vm, interval_ms, load, .. } = heartbeat;
        let at = match self.find(&entry_vm.vm) {
            Ok(at) => at,
            Err(at) => {
                let member = Member { is_listed: false, ..Member::from_list(now, &entry_vm) };
                self.members.insert(at, member);
                at
            }
        };
        let member = &mut self.members[at];
        let was_reachable = member.is_reachable(now);
        *member = Member {
            entry_vm,
            incarnation: Some(incarnation),
            last_heard_at: now,
            was_heard: true,
            is_listed: member.is_listed,
            heartbeat_interval: interval_ms.duration(),
            load,
        };
        !was_reachable
    }

    /// Returns the reachable machines, sorted by name.
    pub fn reachable(&self, now: units_time::MonoInstant) -> Vec<ReachableVm> {
        let reachable = self.members.iter().filter(|member| member.is_reachable(now));
        reachable
            .filter_map(|member| {
                let incarnation = member.incarnation?;
                let (entry_vm, load) = (member.entry_vm.clone(), member.load.clone());
                Some(ReachableVm { entry_vm, incarnation, load })
            })
            .collect()
    }

    /// Returns the machines that `me` sends heartbeats to.
    ///
    /// Their number grows with the failure domains, not with the machines: in each failure domain,
    /// `me` sends to its next few successors on a hash ring of the machines there.
    pub fn heartbeat_targets(&self, me: &entry_vm::EntryVm) -> Vec<&entry_vm::EntryVm> {
        let mut domains: Vec<&id::FailureDomainId> =
            self.members.iter().map(|member| &member.entry_vm.failure_domain).collect();
        domains.sort();
        domains.dedup();
        let mut targets = Vec::new();
        for domain in domains {
            let is_near = *domain == me.failure_domain;
            let count_max = if is_near { NEAR_TARGETS_MAX } else { FAR_TARGETS_MAX };
            targets.extend(self.ring_successors(me, domain, count_max));
        }
        targets
    }

    fn ring_successors(
        &self,
        me: &entry_vm::EntryVm,
        domain: &id::FailureDomainId,
        count_max: usize,
    ) -> Vec<&entry_vm::EntryVm> {
        let position = |vm: &id::VmId| rendezvous::hash(vm.as_str());
        let own_position = position(&me.vm);
        let mut others: Vec<&entry_vm::EntryVm> = self
            .members
            .iter()
            .map(|member| &member.entry_vm)
            .filter(|vm| vm.failure_domain == *domain && vm.vm != me.vm)
            .collect();
        others.sort_by_key(|vm| position(&vm.vm).wrapping_sub(own_position));
        others.truncate(count_max);
        others
    }
}

impl Member {
    fn from_list(now: units_time::MonoInstant, entry_vm: &entry_vm::EntryVm) -> Self {
        let entry_vm = entry_vm.clone();
        Self {
            entry_vm,
            incarnation: None,
            last_heard_at: now,
            was_heard: false,
            is_listed: true,
            heartbeat_interval: HEARTBEAT_INTERVAL_MIN,
            load: Load::default(),
        }
    }

    fn mark_listed(&mut self, listed: &entry_vm::EntryVm) {
        self.is_listed = true;
        if !self.was_heard {
            self.entry_vm = listed.clone();
        }
    }

    /// Returns whether a heartbeat has arrived within the last [`MISSED_HEARTBEATS_MAX`] intervals.
    pub fn is_reachable(&self, now: units_time::MonoInstant) -> bool {
        self.was_heard
            && now.since(self.last_heard_at) <= self.heartbeat_interval * MISSED_HEARTBEATS_MAX
    }
}
