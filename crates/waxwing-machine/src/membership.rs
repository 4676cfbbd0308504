//! Who belongs to the fleet by the store, and whether this machine may hold shares.
//!
//! A machine registers its name in the store under a lease. It holds shares of contracts only while
//! its registration surely lasts, and only once every other member has read a state of the store
//! that names it. So each holder's reading names all other holders, whatever the order in which
//! machines read; [`waxwing_contract::share`] builds on that.

use std::net;
use std::time;

use serde::{Deserialize, Serialize};
use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::entry_vm;

/// How long after its last heartbeat a machine counts as reachable.
pub const SILENCE_MAX: time::Duration = time::Duration::from_millis(1_600);

/// What a machine tells others about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineInfo {
    /// The machine's name.
    pub vm: id::VmId,
    /// This start of it.
    pub started: id::Incarnation,
    /// The failure domain that it runs in.
    pub failure_domain: id::FailureDomainId,
    /// Where it listens for other machines.
    pub peer_address: net::SocketAddr,
    /// Where it listens for callers.
    pub entry_address: net::SocketAddr,
}

/// A member of the fleet by the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// What it told about itself.
    pub about: MachineInfo,
    /// The revision at which its name appeared.
    pub created: id::Revision,
    /// Whether all others had read its name once.
    pub is_admitted: bool,
}

/// The members at one revision of the store, sorted by name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberList {
    /// The revision of the store.
    pub revision: id::Revision,
    /// The members.
    pub members: Vec<Member>,
}

/// This machine's own registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Registration {
    /// The revision at which its name appeared.
    pub created: id::Revision,
    /// Whether all others had read its name once.
    pub is_admitted: bool,
    /// Until when the store surely keeps it.
    pub valid_until: units_time::MonoInstant,
}

/// What a machine says in a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine.
    pub about: MachineInfo,
    /// The revision of its last reading of the members.
    pub revision: id::Revision,
    /// Whether it goes on serving.
    pub phase: entry_vm::Phase,
    /// How long the store has answered all its calls.
    pub store_steady_ms: units_time::Millis,
    /// Whether the store answered its last call.
    pub reaches_store: bool,
    /// Requests that came to it lately, each second.
    pub requests_per_s: u32,
}

/// The last heartbeat of a machine.
#[derive(Debug, Clone)]
struct Heard {
    heartbeat: Heartbeat,
    at: units_time::MonoInstant,
}

/// The fleet as one machine knows it.
#[derive(Debug, Clone)]
pub struct Membership {
    me: id::VmId,
    reading: MemberList,
    registration: Option<Registration>,
    heard: Vec<Heard>,
}

impl Membership {
    /// Creates the view of a machine that has read nothing yet.
    pub fn new(me: id::VmId) -> Self {
        Self { me, reading: MemberList::default(), registration: None, heard: Vec::new() }
    }

    /// Returns the name of this machine.
    pub const fn local_vm(&self) -> &id::VmId {
        &self.me
    }

    /// Returns the revision of the last reading.
    pub const fn revision(&self) -> id::Revision {
        self.reading.revision
    }

    /// Takes in a reading of the store; an older one changes nothing.
    pub fn apply_list(&mut self, mut reading: MemberList) {
        if reading.revision < self.reading.revision {
            return;
        }
        reading.members.sort_by(|a, b| a.about.vm.cmp(&b.about.vm));
        self.reading = reading;
    }

    /// Takes in that this machine was registered, or has no registration any more.
    pub const fn set_registration(&mut self, registration: Option<Registration>) {
        self.registration = registration;
    }

    /// Returns this machine's registration.
    pub const fn registration(&self) -> Option<Registration> {
        self.registration
    }

    /// Takes in a heartbeat.
    ///
    /// Returns whether the machine was unreachable before or is in another phase now.
    pub fn record_heartbeat(&mut self, now: units_time::MonoInstant, heartbeat: Heartbeat) -> bool {
        if heartbeat.about.vm == self.me {
            return false;
        }
        let found =
            self.heard.binary_search_by(|heard| heard.heartbeat.about.vm.cmp(&heartbeat.about.vm));
        match found {
            Ok(at) => {
                let heard = &mut self.heard[at];
                let is_new = !heard.is_reachable(now) || heard.heartbeat.phase != heartbeat.phase;
                *heard = Heard { heartbeat, at: now };
                is_new
            }
            Err(at) => {
                self.heard.insert(at, Heard { heartbeat, at: now });
                true
            }
        }
    }

    /// Notes whether all others have read this machine's name; returns whether that is new.
    pub fn update_admission(&mut self) -> bool {
        let is_admitted = self.registration.is_some_and(|mine| self.is_known_to_all(mine.created));
        match &mut self.registration {
            Some(mine) if !mine.is_admitted && is_admitted => {
                mine.is_admitted = true;
                true
            }
            _ => false,
        }
    }

    fn is_known_to_all(&self, created: id::Revision) -> bool {
        // A reading from before this registration does not name those that came in between.
        let is_me = |member: &Member| member.about.vm == self.me && member.created == created;
        self.reading.members.iter().any(is_me)
            && self
                .reading
                .members
                .iter()
                .filter(|member| member.about.vm != self.me)
                .all(|member| self.heard_revision(&member.about.vm) >= Some(created))
    }

    fn heard_revision(&self, vm: &id::VmId) -> Option<id::Revision> {
        let at = self.heard.binary_search_by(|heard| heard.heartbeat.about.vm.cmp(vm)).ok()?;
        Some(self.heard[at].heartbeat.revision)
    }

    /// Returns the members by which this machine may hold shares now; none where it may not.
    pub fn holders(&self, now: units_time::MonoInstant) -> Option<Vec<id::VmId>> {
        let mine = self.registration?;
        if !mine.is_admitted || now >= mine.valid_until {
            return None;
        }
        let names = self.member_vms();
        names.binary_search(&self.me).ok()?;
        Some(names)
    }

    /// Returns the names of all members by the last reading, sorted.
    pub fn member_vms(&self) -> Vec<id::VmId> {
        self.reading.members.iter().map(|member| member.about.vm.clone()).collect()
    }

    /// Returns how many members there are by the last reading, at least one.
    pub const fn len(&self) -> usize {
        if self.reading.members.is_empty() { 1 } else { self.reading.members.len() }
    }

    /// Tells whether no reading has named any member.
    pub const fn is_empty(&self) -> bool {
        self.reading.members.is_empty()
    }

    /// Returns the other machines that are heard, in the given phase.
    pub fn reachable(
        &self,
        now: units_time::MonoInstant,
        phase: entry_vm::Phase,
    ) -> Vec<&MachineInfo> {
        self.heard
            .iter()
            .filter(|heard| heard.is_reachable(now) && heard.heartbeat.phase == phase)
            .map(|heard| &heard.heartbeat.about)
            .collect()
    }

    /// Returns the other machines that are heard and go on serving, and whether the store answered
    /// the last call of each.
    pub fn live_peers(
        &self,
        now: units_time::MonoInstant,
    ) -> impl Iterator<Item = (&MachineInfo, bool)> {
        self.heard
            .iter()
            .filter(move |heard| heard.is_reachable(now))
            .filter(|heard| heard.heartbeat.phase == entry_vm::Phase::Live)
            .map(|heard| (&heard.heartbeat.about, heard.heartbeat.reaches_store))
    }

    /// Returns the requests that come to the entry VMs of a failure domain each second, without
    /// those that come to this one.
    pub fn requests_per_s(
        &self,
        now: units_time::MonoInstant,
        failure_domain: &id::FailureDomainId,
    ) -> u64 {
        self.heard
            .iter()
            .filter(|heard| heard.is_reachable(now))
            .filter(|heard| heard.heartbeat.about.failure_domain == *failure_domain)
            .map(|heard| u64::from(heard.heartbeat.requests_per_s))
            .sum()
    }

    /// Tells whether any machine that is heard knows that the store was there at `then`.
    pub fn was_store_reachable(
        &self,
        now: units_time::MonoInstant,
        then: units_time::MonoInstant,
    ) -> bool {
        let steady_since =
            |heard: &Heard| heard.at.before(heard.heartbeat.store_steady_ms.duration());
        let mut reachable = self.heard.iter().filter(|heard| heard.is_reachable(now));
        reachable.any(|heard| steady_since(heard) < then && then < heard.at)
    }

    /// Returns where heartbeats go: to all members, and to all that were heard lately.
    pub fn heartbeat_targets(&self, now: units_time::MonoInstant) -> Vec<net::SocketAddr> {
        let members = self.reading.members.iter().map(|member| &member.about);
        let heard = self.heard.iter().filter(|heard| heard.is_reachable(now));
        let mut targets: Vec<net::SocketAddr> = members
            .chain(heard.map(|heard| &heard.heartbeat.about))
            .filter(|about| about.vm != self.me)
            .map(|about| about.peer_address)
            .collect();
        targets.sort();
        targets.dedup();
        targets
    }
}

impl Heard {
    fn is_reachable(&self, now: units_time::MonoInstant) -> bool {
        now.since(self.at) <= SILENCE_MAX
    }
}
