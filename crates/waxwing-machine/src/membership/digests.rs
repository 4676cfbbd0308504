//! Heartbeats that arrive, and leave, in digests of regions.

use std::time;

use waxwing_units::time as units_time;

use crate::membership;
use crate::region_digest;

impl membership::Membership {
    /// Returns the entries of a digest for the other machines that are reachable and that
    /// `is_included` accepts.
    pub fn digest_entries(
        &self,
        now: units_time::MonoInstant,
        is_included: impl Fn(&membership::MachineInfo) -> bool,
    ) -> Vec<region_digest::Entry> {
        let reachable = self.heartbeats.iter().filter(|received| received.is_reachable(now));
        reachable
            .filter(|received| is_included(&received.heartbeat.about))
            .map(|received| received.digest_entry(now))
            .collect()
    }

    /// Stores the heartbeats of a digest; those of machines that the member list does not name yet,
    /// and those that are known already, are ignored.
    pub fn apply_digest(
        &mut self,
        now: units_time::MonoInstant,
        entries: &[region_digest::Entry],
    ) -> region_digest::News {
        let mut by_key: Vec<(region_digest::MachineKey, usize)> = self
            .member_list
            .members
            .iter()
            .enumerate()
            .map(|(at, member)| (region_digest::MachineKey::of(&member.about), at))
            .collect();
        by_key.sort();
        let mut news = region_digest::News::default();
        for entry in entries {
            let Ok(at) = by_key.binary_search_by_key(&entry.machine, |(key, _)| *key) else {
                continue;
            };
            let about = self.member_list.members[by_key[at].1].about.clone();
            let received_at = now.before(time::Duration::from_millis(u64::from(entry.age_ms)));
            if !self.is_news(&about, received_at) {
                continue;
            }
            news.entries.push(*entry);
            let vm = about.vm.clone();
            if self.apply_entry(now, received_at, about, entry) {
                news.changed.push(vm);
            }
        }
        news
    }

    /// Returns whether a heartbeat that arrived at `received_at` is another one than the last known. The
    /// same one seems to be a little newer if its digest took a longer way.
    fn is_news(
        &self,
        about: &membership::MachineInfo,
        received_at: units_time::MonoInstant,
    ) -> bool {
        let Ok(at) = self.find(&about.vm) else {
            return true;
        };
        let known = &self.heartbeats[at];
        known.heartbeat.about.started != about.started
            || received_at > known.received_at.after(region_digest::WAY_MAX)
    }

    fn apply_entry(
        &mut self,
        now: units_time::MonoInstant,
        received_at: units_time::MonoInstant,
        about: membership::MachineInfo,
        entry: &region_digest::Entry,
    ) -> bool {
        let vm = about.vm.clone();
        let heartbeat = membership::Heartbeat {
            about,
            revision: entry.revision,
            phase: entry.phase,
            store_steady_ms: entry.store_steady_ms,
            reaches_store: entry.reaches_store,
            requests_per_s: entry.requests_per_s,
        };
        let silence_max = region_digest::SILENCE_MAX;
        let is_new = self.record_heartbeat_of(now, received_at, silence_max, heartbeat);
        if let Some(bandwidth) = entry.link_bandwidth {
            self.record_link_bandwidth(&vm, bandwidth);
        }
        is_new
    }

    /// Returns the machines that relay for the region that `is_in_region` accepts, by the reachable
    /// ones, or by the members if none of them is reachable.
    pub fn relays_of(
        &self,
        now: units_time::MonoInstant,
        is_in_region: impl Fn(&membership::MachineInfo) -> bool,
    ) -> Vec<membership::MachineInfo> {
        let live = self.live_peers(now).map(|(info, _)| info).filter(|info| is_in_region(info));
        let mut relays = region_digest::relays(live);
        if relays.is_empty() {
            let members = self.member_list.members.iter().map(|member| &member.about);
            relays = region_digest::relays(members.filter(|info| is_in_region(info)));
        }
        relays.into_iter().cloned().collect()
    }
}

impl membership::ReceivedHeartbeat {
    fn digest_entry(&self, now: units_time::MonoInstant) -> region_digest::Entry {
        let age_ms = now.since(self.received_at).as_millis();
        let heartbeat = &self.heartbeat;
        region_digest::Entry {
            machine: region_digest::MachineKey::of(&heartbeat.about),
            age_ms: u16::try_from(age_ms).unwrap_or(u16::MAX),
            revision: heartbeat.revision,
            phase: heartbeat.phase,
            store_steady_ms: heartbeat.store_steady_ms,
            reaches_store: heartbeat.reaches_store,
            requests_per_s: heartbeat.requests_per_s,
            link_bandwidth: self.link_bandwidth,
        }
    }
}
