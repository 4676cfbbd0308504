//! Fleet membership by the store, and the rule by which a machine may hold shares of rate limits.
//!
//! A machine registers its name in the store under a lease. It holds shares of contracts, that is,
//! of the organisations' rate limits, only while its registration is certain to be valid, and only
//! after every other member has read a revision of the store that names it. So the member list of
//! each holder names all other holders, in whatever order machines read the store;
//! `waxwing_contract::share` relies on that. A store that was restored from a copy may have lost
//! registrations that their machines still rely on, so members that it omits stay in the list until
//! their leases have ended.

use std::net;
use std::time;

use serde::{Deserialize, Serialize};
use waxwing_units::bandwidth;
use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::entry_vm;

mod digests;

/// How long after its last heartbeat a machine counts as reachable.
pub const SILENCE_MAX: time::Duration = time::Duration::from_millis(1_600);

/// The identity and addresses of a machine, as it announces them to others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineInfo {
    /// The machine's name.
    pub vm: id::VmId,
    /// The incarnation of its process.
    pub started: id::Incarnation,
    /// The failure domain that it runs in.
    pub failure_domain: id::FailureDomainId,
    /// The address at which it receives messages of other machines.
    pub peer_address: net::SocketAddr,
    /// The address at which it accepts requests of callers.
    pub entry_address: net::SocketAddr,
}

/// A machine that is registered in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its identity and addresses.
    pub about: MachineInfo,
    /// The revision of the store at which its name appeared.
    pub created: id::Revision,
    /// Whether all other members have read its name since.
    pub is_admitted: bool,
}

/// The members at one revision of the store, sorted by name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberList {
    /// The revision of the store that the list was read at.
    pub revision: id::Revision,
    /// The members.
    pub members: Vec<Member>,
}

/// This machine's own registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Registration {
    /// The revision of the store at which its name appeared.
    pub created: id::Revision,
    /// Whether all other members have read its name since.
    pub is_admitted: bool,
    /// The instant until which the store is certain to keep it.
    pub valid_until: units_time::MonoInstant,
}

/// A heartbeat that a machine sends to all others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The identity and addresses of the sender.
    pub about: MachineInfo,
    /// The revision of its current member list.
    pub revision: id::Revision,
    /// Whether it serves or shuts down.
    pub phase: entry_vm::Phase,
    /// How long the store has been responding to all of its calls.
    pub store_steady_ms: units_time::Millis,
    /// Whether the store responded to its last call.
    pub reaches_store: bool,
    /// The recent rate of requests that arrive at it from callers.
    pub requests_per_s: u32,
}

/// The last heartbeat of another machine and its arrival time.
#[derive(Debug, Clone)]
struct ReceivedHeartbeat {
    heartbeat: Heartbeat,
    received_at: units_time::MonoInstant,
    /// How long the machine counts as reachable without another one.
    silence_max: time::Duration,
    /// The bandwidth of the machine's link; `None` until it has reported one.
    link_bandwidth: Option<bandwidth::Bandwidth>,
}

/// A member that a restored store has lost.
#[derive(Debug, Clone)]
struct LostMember {
    member: Member,
    /// When its lease has certainly ended.
    until: units_time::MonoInstant,
}

/// One machine's view of the fleet, with its own registration.
#[derive(Debug, Clone)]
pub struct Membership {
    local_vm: id::VmId,
    member_list: MemberList,
    lost_members: Vec<LostMember>,
    registration: Option<Registration>,
    heartbeats: Vec<ReceivedHeartbeat>,
}

impl Membership {
    /// Creates the view of a machine that has not read the store yet.
    pub fn new(local_vm: id::VmId) -> Self {
        Self {
            local_vm,
            member_list: MemberList::default(),
            lost_members: Vec::new(),
            registration: None,
            heartbeats: Vec::new(),
        }
    }

    /// Returns the name of this machine.
    pub const fn local_vm(&self) -> &id::VmId {
        &self.local_vm
    }

    /// Returns the revision of the current member list.
    pub const fn revision(&self) -> id::Revision {
        self.member_list.revision
    }

    /// Replaces the member list; a list of an older revision is ignored.
    ///
    /// Members that the first list of a new era of the store omits stay for `lease_max`, the longest
    /// time for which they may still hold shares.
    pub fn apply_list(
        &mut self,
        now: units_time::MonoInstant,
        lease_max: time::Duration,
        mut list: MemberList,
    ) {
        if list.revision < self.member_list.revision {
            return;
        }
        if list.revision.era() > self.member_list.revision.era() {
            let known = std::mem::take(&mut self.member_list.members).into_iter();
            let until = now.after(units_time::extend_by_clock_drift(lease_max));
            self.lost_members.extend(known.map(|member| LostMember { member, until }));
        }
        // One that is listed again may be so by its restored lease, which can end before the machine
        // registers anew.
        self.lost_members.retain(|lost| now < lost.until);
        let is_listed = |vm: &id::VmId| list.members.iter().any(|member| member.about.vm == *vm);
        let unlisted = |lost: &&LostMember| !is_listed(&lost.member.about.vm);
        let missing: Vec<Member> =
            self.lost_members.iter().filter(unlisted).map(|lost| lost.member.clone()).collect();
        list.members.extend(missing);
        list.members.sort_by(|a, b| a.about.vm.cmp(&b.about.vm));
        self.member_list = list;
    }

    /// Sets this machine's registration, or `None` after it has ended.
    pub const fn set_registration(&mut self, registration: Option<Registration>) {
        self.registration = registration;
    }

    /// Returns this machine's registration.
    pub const fn registration(&self) -> Option<Registration> {
        self.registration
    }

    /// Stores a heartbeat of another machine.
    ///
    /// Returns whether the machine was unreachable before or has changed its phase.
    pub fn record_heartbeat(&mut self, now: units_time::MonoInstant, heartbeat: Heartbeat) -> bool {
        self.record_heartbeat_of(now, now, SILENCE_MAX, heartbeat)
    }

    /// Stores a heartbeat that arrived, here or at a relay, at `received_at`.
    fn record_heartbeat_of(
        &mut self,
        now: units_time::MonoInstant,
        received_at: units_time::MonoInstant,
        silence_max: time::Duration,
        heartbeat: Heartbeat,
    ) -> bool {
        if heartbeat.about.vm == self.local_vm {
            return false;
        }
        match self.find(&heartbeat.about.vm) {
            Ok(at) => {
                let received = &mut self.heartbeats[at];
                let is_new =
                    !received.is_reachable(now) || received.heartbeat.phase != heartbeat.phase;
                received.heartbeat = heartbeat;
                received.received_at = received_at;
                received.silence_max = silence_max;
                is_new
            }
            Err(at) => {
                let received =
                    ReceivedHeartbeat { heartbeat, received_at, silence_max, link_bandwidth: None };
                self.heartbeats.insert(at, received);
                true
            }
        }
    }

    fn find(&self, vm: &id::VmId) -> Result<usize, usize> {
        self.heartbeats.binary_search_by(|received| received.heartbeat.about.vm.cmp(vm))
    }

    /// Stores the bandwidth of another machine's link; that of a machine without a heartbeat is
    /// ignored.
    pub fn record_link_bandwidth(&mut self, vm: &id::VmId, bandwidth: bandwidth::Bandwidth) {
        if let Ok(at) = self.find(vm) {
            self.heartbeats[at].link_bandwidth = Some(bandwidth);
        }
    }

    /// Returns the bandwidth of another machine's link; `None` if it has not reported one.
    pub fn link_bandwidth(&self, vm: &id::VmId) -> Option<bandwidth::Bandwidth> {
        self.heartbeats[self.find(vm).ok()?].link_bandwidth
    }

    /// Admits this machine if all other members have read its name; returns whether that is new.
    pub fn update_admission(&mut self) -> bool {
        let is_admitted = self.registration.is_some_and(|own| self.is_known_to_all(own.created));
        match &mut self.registration {
            Some(own) if !own.is_admitted && is_admitted => {
                own.is_admitted = true;
                true
            }
            _ => false,
        }
    }

    fn is_known_to_all(&self, created: id::Revision) -> bool {
        // A list from before this registration lacks members that registered in between.
        let is_me = |member: &Member| member.about.vm == self.local_vm && member.created == created;
        self.member_list.members.iter().any(is_me)
            && self
                .member_list
                .members
                .iter()
                .filter(|member| member.about.vm != self.local_vm)
                .all(|member| self.peer_revision(&member.about.vm) >= Some(created))
    }

    fn peer_revision(&self, vm: &id::VmId) -> Option<id::Revision> {
        Some(self.heartbeats[self.find(vm).ok()?].heartbeat.revision)
    }

    /// Returns the members that share contracts; `None` while this machine may not hold shares.
    pub fn holders(&self, now: units_time::MonoInstant) -> Option<Vec<id::VmId>> {
        let own = self.registration?;
        if !own.is_admitted || now >= own.valid_until {
            return None;
        }
        let names = self.member_vms();
        names.binary_search(&self.local_vm).ok()?;
        Some(names)
    }

    /// Returns the names in the current member list, sorted.
    pub fn member_vms(&self) -> Vec<id::VmId> {
        self.member_list.members.iter().map(|member| member.about.vm.clone()).collect()
    }

    /// Returns the length of the current member list, at least one.
    pub const fn len(&self) -> usize {
        if self.member_list.members.is_empty() { 1 } else { self.member_list.members.len() }
    }

    /// Returns whether the current member list names no machine.
    pub const fn is_empty(&self) -> bool {
        self.member_list.members.is_empty()
    }

    /// Returns the other reachable machines that are in `phase`.
    pub fn reachable(
        &self,
        now: units_time::MonoInstant,
        phase: entry_vm::Phase,
    ) -> Vec<&MachineInfo> {
        self.heartbeats
            .iter()
            .filter(|received| received.is_reachable(now) && received.heartbeat.phase == phase)
            .map(|received| &received.heartbeat.about)
            .collect()
    }

    /// Returns the other machines that are reachable and serving, each with whether the store
    /// responded to its last call.
    pub fn live_peers(
        &self,
        now: units_time::MonoInstant,
    ) -> impl Iterator<Item = (&MachineInfo, bool)> {
        self.heartbeats
            .iter()
            .filter(move |received| received.is_reachable(now))
            .filter(|received| received.heartbeat.phase == entry_vm::Phase::Live)
            .map(|received| (&received.heartbeat.about, received.heartbeat.reaches_store))
    }

    /// Returns the rate of requests that arrive at the other entry VMs of a failure domain.
    pub fn requests_per_s(
        &self,
        now: units_time::MonoInstant,
        failure_domain: &id::FailureDomainId,
    ) -> u64 {
        self.heartbeats
            .iter()
            .filter(|received| received.is_reachable(now))
            .filter(|received| received.heartbeat.about.failure_domain == *failure_domain)
            .map(|received| u64::from(received.heartbeat.requests_per_s))
            .sum()
    }

    /// Returns whether the store was available at `then` by the heartbeat of any reachable machine.
    pub fn was_store_reachable(
        &self,
        now: units_time::MonoInstant,
        then: units_time::MonoInstant,
    ) -> bool {
        let steady_since = |received: &ReceivedHeartbeat| {
            received.received_at.before(received.heartbeat.store_steady_ms.duration())
        };
        let mut reachable = self.heartbeats.iter().filter(|received| received.is_reachable(now));
        reachable.any(|received| steady_since(received) < then && then < received.received_at)
    }

    /// Returns where heartbeats are sent: to all members and all other reachable machines that
    /// `is_target` accepts.
    pub fn heartbeat_targets(
        &self,
        now: units_time::MonoInstant,
        is_target: impl Fn(&MachineInfo) -> bool,
    ) -> Vec<net::SocketAddr> {
        let mut targets: Vec<net::SocketAddr> = self
            .known_machines(now)
            .filter(|info| is_target(info))
            .map(|info| info.peer_address)
            .collect();
        targets.sort();
        targets.dedup();
        targets
    }

    /// Returns the other machines that are members or reachable; one that is both comes twice.
    fn known_machines(&self, now: units_time::MonoInstant) -> impl Iterator<Item = &MachineInfo> {
        let members = self.member_list.members.iter().map(|member| &member.about);
        let received = self.heartbeats.iter().filter(move |received| received.is_reachable(now));
        members
            .chain(received.map(|received| &received.heartbeat.about))
            .filter(|info| info.vm != self.local_vm)
    }
}

impl ReceivedHeartbeat {
    fn is_reachable(&self, now: units_time::MonoInstant) -> bool {
        now.since(self.received_at) <= self.silence_max
    }
}
