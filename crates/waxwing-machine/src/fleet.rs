//! The view of all entry VMs, from heartbeats and the platform's list.
//!
//! The platform's list lags: it names machines that have ended and leaves out new ones.
//! Heartbeats are prompt but only tell who is reachable from here. A machine is usable while it
//! is heard and has not said that it leaves.

use std::time;

use serde::{Deserialize, Serialize};
use waxwing_units::id;
use waxwing_units::rendezvous;
use waxwing_units::time as units_time;

use crate::entry_vm;

/// How often a machine sends heartbeats, at most.
pub const HEARTBEAT_INTERVAL_MIN: time::Duration = time::Duration::from_millis(500);

/// Bytes a second that a machine's heartbeats may take.
const HEARTBEATS_MAX_BYTES_PER_S: u64 = 1_200;

/// Bytes of a heartbeat on the wire, with the headers of IP and UDP.
const HEARTBEAT_LEN_BYTES: u64 = 130;

/// Heartbeats that may be missed in a row before a machine counts as unreachable.
pub const MISSED_HEARTBEATS_MAX: u32 = 4;

/// Returns how often heartbeats are sent to a number of machines.
pub fn heartbeat_interval(targets: usize) -> time::Duration {
    let round_bytes = HEARTBEAT_LEN_BYTES * targets as u64;
    let interval_ms = round_bytes * 1_000 / HEARTBEATS_MAX_BYTES_PER_S;
    time::Duration::from_millis(interval_ms).max(HEARTBEAT_INTERVAL_MIN)
}

/// Machines of the own failure domain that a heartbeat goes to, at most.
pub const NEAR_TARGETS_MAX: usize = 8;

/// Machines of each other failure domain that a heartbeat goes to, at most.
pub const FAR_TARGETS_MAX: usize = 2;

/// A machine and what is known of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// What the machine last told about itself, or what the platform's list says.
    pub entry_vm: entry_vm::EntryVm,
    /// The start of its keeper that was last heard.
    pub incarnation: Option<id::Incarnation>,
    /// When anything was last heard from it, or when it was first known.
    pub last_heard_at: units_time::MonoInstant,
    /// Whether anything was ever heard from it.
    pub was_heard: bool,
    /// Whether the platform's list names it.
    pub is_listed: bool,
    /// How often it sends heartbeats, as it told.
    pub heartbeat_interval: time::Duration,
    /// What it last told of its work.
    pub load: Load,
}

/// What a machine tells about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine.
    pub entry_vm: entry_vm::EntryVm,
    /// The revision of the records in force on it.
    pub revision: id::Revision,
    /// How long ago that revision was known to be the store's newest; none where it never was.
    pub confirmed_ago_ms: Option<units_time::Millis>,
    /// How long until its next heartbeat.
    pub interval_ms: units_time::Millis,
    /// What it has to do.
    pub load: Load,
}

/// What a machine tells of its work.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests under way.
    pub in_flight: u32,
    /// Free slots at its backend servers.
    pub free_slots: u32,
    /// The share of each service's traffic that it sends to other regions, sorted by service;
    /// services without any are left out.
    pub shares: Vec<ShiftedShare>,
}

/// The share of a service's traffic that a machine sends to other regions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShiftedShare {
    /// The service.
    pub service: id::ServiceId,
    /// The share, in thousandths.
    pub away_permille: u64,
}

/// A machine that can be reached, as it is told to other processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachableVm {
    /// The machine.
    pub entry_vm: entry_vm::EntryVm,
    /// The start of its keeper.
    pub incarnation: id::Incarnation,
    /// What it last told of its work.
    pub load: Load,
}

/// All machines that are known, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    members: Vec<Member>,
}

impl Fleet {
    /// Returns all machines that are known.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns what is known of a machine.
    pub fn member(&self, vm: &id::VmId) -> Option<&Member> {
        self.find(vm).ok().map(|at| &self.members[at])
    }

    fn find(&self, vm: &id::VmId) -> Result<usize, usize> {
        self.members.binary_search_by(|member| member.entry_vm.vm.cmp(vm))
    }

    /// Takes in the platform's list.
    pub fn set_platform_list(&mut self, now: units_time::MonoInstant, list: &[entry_vm::EntryVm]) {
        for member in &mut self.members {
            member.is_listed = false;
        }
        for listed in list {
            match self.find(&listed.vm) {
                Ok(at) => self.members[at].list(listed),
                Err(at) => self.members.insert(at, Member::listed(now, listed)),
            }
        }
    }

    /// Forgets machines that are not listed and were silent for `span`.
    pub fn remove_silent(&mut self, now: units_time::MonoInstant, span: time::Duration) {
        self.members.retain(|member| member.is_listed || now.since(member.last_heard_at) < span);
    }

    /// Takes in a machine's own word; returns whether it was unreachable before.
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
                let member = Member { is_listed: false, ..Member::listed(now, &entry_vm) };
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

    /// Returns the machines that can be reached, sorted by name.
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

    /// Returns the machines that a machine's heartbeat goes to.
    ///
    /// The number grows with failure domains, not with machines: a few neighbours on a ring in
    /// the own failure domain, and in each other one those that come next on its ring.
    pub fn heartbeat_targets(&self, me: &entry_vm::EntryVm) -> Vec<&entry_vm::EntryVm> {
        let mut domains: Vec<&id::FailureDomainId> =
            self.members.iter().map(|member| &member.entry_vm.failure_domain).collect();
        domains.sort();
        domains.dedup();
        let mut targets = Vec::new();
        for domain in domains {
            let is_near = *domain == me.failure_domain;
            let most = if is_near { NEAR_TARGETS_MAX } else { FAR_TARGETS_MAX };
            targets.extend(self.next_on_ring(me, domain, most));
        }
        targets
    }

    fn next_on_ring(
        &self,
        me: &entry_vm::EntryVm,
        domain: &id::FailureDomainId,
        most: usize,
    ) -> Vec<&entry_vm::EntryVm> {
        let place = |vm: &id::VmId| rendezvous::hash(vm.as_str());
        let mine = place(&me.vm);
        let mut others: Vec<&entry_vm::EntryVm> = self
            .members
            .iter()
            .map(|member| &member.entry_vm)
            .filter(|vm| vm.failure_domain == *domain && vm.vm != me.vm)
            .collect();
        others.sort_by_key(|vm| place(&vm.vm).wrapping_sub(mine));
        others.truncate(most);
        others
    }
}

impl Member {
    fn listed(now: units_time::MonoInstant, entry_vm: &entry_vm::EntryVm) -> Self {
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

    fn list(&mut self, listed: &entry_vm::EntryVm) {
        self.is_listed = true;
        if !self.was_heard {
            self.entry_vm = listed.clone();
        }
    }

    /// Tells whether the machine was heard lately.
    pub fn is_reachable(&self, now: units_time::MonoInstant) -> bool {
        self.was_heard
            && now.since(self.last_heard_at) <= self.heartbeat_interval * MISSED_HEARTBEATS_MAX
    }
}
