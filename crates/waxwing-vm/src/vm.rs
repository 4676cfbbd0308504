//! The state that all modules of an entry VM share. Each part is atomic or under a lock of its own.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use parking_lot::Mutex;
use tokio::sync::Notify;
use waxwing_contract::message;
use waxwing_machine::entry_vm;
use waxwing_machine::membership;
use waxwing_machine::store_history;
use waxwing_machine::store_reader;
use waxwing_process::clock;
use waxwing_process::log_limiter;
use waxwing_process::shutdown;
use waxwing_process::timer;
use waxwing_request::budget;
use waxwing_route::read_mark;
use waxwing_route::staleness;
use waxwing_route::table;
use waxwing_timeline::stamp;
use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::arrival_rate;
use crate::contracts;
use crate::counters;
use crate::http_adapter;
use crate::memory;
use crate::region_reader;
use crate::service_pools;
use crate::settings;
use crate::store_replica;

/// How much earlier than the bound on withdrawn keys this VM rejects keys, while the configuration
/// is unconfirmed.
const KEY_STALENESS_MARGIN: time::Duration = time::Duration::from_millis(300);

/// How long after its last response the store counts as reachable.
const STORE_RESPONSE_VALIDITY: time::Duration = time::Duration::from_millis(1_300);

/// The most access log lines per second.
const REQUEST_LOG_LINES_MAX_PER_S: u32 = 100;

/// The most log lines per second about malformed requests.
const MALFORMED_LOG_LINES_MAX_PER_S: u32 = 5;

/// The configuration in force, and when it was last confirmed.
#[derive(Debug, Clone, Default)]
pub struct ActiveConfiguration {
    /// The newest configuration; `None` until one was read.
    pub table: Option<sync::Arc<table::Table>>,
    /// Failure domains whose backend servers get no requests, sorted.
    pub evacuated: Vec<id::FailureDomainId>,
    /// What the read that last confirmed this configuration found in the store.
    pub mark: sync::Arc<read_mark::ReadMark>,
    /// When the last store query that confirmed this configuration was sent.
    pub confirmed_at: Option<units_time::MonoInstant>,
    /// The newest version that any VM is known to have; while this one has an older one, nothing
    /// confirms it.
    pub newest_version: Option<table::Version>,
}

impl ActiveConfiguration {
    /// Returns the newest version that any VM is known to have, this one included.
    pub fn newest_known(&self) -> Option<table::Version> {
        self.table.as_ref().map(|table| table.version()).max(self.newest_version)
    }

    /// Returns whether a newer configuration than `version` is known; false if that is unknown.
    pub fn is_newer_than(&self, version: Option<table::Version>) -> bool {
        version.is_some_and(|version| self.newest_known() > Some(version))
    }

    /// Returns the versions in force and known, for log lines.
    pub fn versions(&self) -> String {
        let in_force = self.table.as_ref().map(|table| table.version());
        let newest = self.newest_known();
        let text = |version: Option<table::Version>| {
            version.map_or_else(|| "none".to_owned(), |version| version.to_string())
        };
        format!("configuration in force: {}, newest known: {}", text(in_force), text(newest))
    }

    /// Adds evacuated failure domains that a store query found which proves nothing about the end
    /// of other evacuations; returns whether any is new.
    pub fn add_evacuated(&mut self, more: Vec<id::FailureDomainId>) -> bool {
        let mut evacuated = [self.evacuated.clone(), more].concat();
        evacuated.sort();
        evacuated.dedup();
        self.set_evacuated(evacuated)
    }

    fn set_evacuated(&mut self, evacuated: Vec<id::FailureDomainId>) -> bool {
        let has_changed = evacuated != self.evacuated;
        if has_changed {
            log::info!("evacuated failure domains: {evacuated:?}");
            self.evacuated = evacuated;
        }
        has_changed
    }

    /// Records that a store query sent at `requested_at` found no newer configuration, which failure
    /// domains were evacuated, and what it found in the store, if that is new; returns whether those
    /// domains have changed.
    ///
    /// The result of an older query changes nothing.
    pub fn confirm(
        &mut self,
        requested_at: units_time::MonoInstant,
        evacuated: Vec<id::FailureDomainId>,
        mark: Option<read_mark::ReadMark>,
    ) -> bool {
        if self.confirmed_at >= Some(requested_at) {
            return false;
        }
        self.confirmed_at = Some(requested_at);
        if let Some(mark) = mark {
            self.mark = sync::Arc::new(mark);
        }
        self.set_evacuated(evacuated)
    }
}

/// The stages of a shutdown, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Stage {
    /// The VM accepts requests and is listed in directories.
    Serving,
    /// The VM accepts requests, but its heartbeats announce the shutdown, so that directories stop
    /// listing it.
    Leaving,
    /// The VM rejects new requests.
    Closed,
}

/// The shared state of an entry VM.
pub struct Vm {
    /// The settings, replaced as a whole on reload.
    settings: Mutex<sync::Arc<settings::Checked>>,
    /// This VM's identity and addresses, as sent to other VMs.
    pub info: membership::MachineInfo,
    /// Translates HTTP messages for the platform.
    pub adapter: Box<dyn http_adapter::HttpAdapter>,
    /// The configuration in force.
    pub active_configuration: Mutex<ActiveConfiguration>,
    /// The last known contents of the store, which other VMs replicate.
    pub store_replica: store_replica::StoreReplica,
    /// The restorations of the store.
    pub store_history: Mutex<store_history::StoreHistory>,
    /// Whether the last call to the store succeeded.
    pub last_store_call_succeeded: atomic::AtomicBool,
    /// The reads of the configuration by this VM.
    pub configuration_reads: Mutex<store_reader::ConfigurationReads>,
    /// What is known of a configuration that is newer than the one in force.
    pub newer_configuration: Mutex<staleness::NewerConfiguration>,
    /// Whether another VM has a newer configuration that it could not hand on, so that this one has to
    /// read the store.
    pub needs_newer_table: atomic::AtomicBool,
    /// Whether the backend servers were read at least once, and are in the pools.
    pub has_servers: atomic::AtomicBool,
    /// Notified when a configuration or the servers are read for the first time.
    pub start_progressed: Notify,
    /// Notified when another VM has brought a newer configuration or evacuation.
    pub configuration_replicated: Notify,
    /// The members of the fleet and their heartbeats.
    pub membership: Mutex<membership::Membership>,
    /// The backend servers of all services.
    pub pools: service_pools::ServicePools,
    /// The token accounts of all organisations.
    pub contracts: contracts::Contracts,
    /// The metrics that are counted per event.
    pub counters: counters::Counters,
    /// Bounds the access log lines per second.
    pub access_log_limiter: log_limiter::LogLimiter,
    /// Whether the VM is ready, as the admin endpoint reports it.
    pub published_ready: sync::Arc<atomic::AtomicBool>,
    /// The rate of requests from callers.
    pub arrival_rate: arrival_rate::ArrivalRate,
    /// Requests whose responses have not ended.
    pub in_flight: atomic::AtomicU64,
    /// The memory held for callers' connections.
    pub memory: sync::Arc<memory::Memory>,
    malformed_log_limiter: log_limiter::LogLimiter,
    /// When this VM's process ends, once the signal has come.
    pub shutdown: shutdown::Shutdown,
    stage: atomic::AtomicU8,
    last_store_failure_at: Mutex<units_time::MonoInstant>,
    last_store_response_at: Mutex<units_time::MonoInstant>,
    socket: net::UdpSocket,
}

/// The shared state, as tasks and threads hold it.
pub type Shared = sync::Arc<Vm>;

impl Vm {
    /// Creates the state of a VM that exchanges datagrams with other VMs on `socket`.
    pub fn new(
        settings: settings::Checked,
        adapter: Box<dyn http_adapter::HttpAdapter>,
        counters: counters::Counters,
        socket: net::UdpSocket,
    ) -> Self {
        let info = membership::MachineInfo {
            vm: settings.vm.clone(),
            started: id::Incarnation(clock::wall_ms()),
            failure_domain: settings.failure_domain.clone(),
            peer_address: settings.peer_address,
            entry_address: settings.entry_address,
        };
        Self {
            membership: Mutex::new(membership::Membership::new(info.vm.clone())),
            info,
            adapter,
            active_configuration: Mutex::default(),
            store_replica: store_replica::StoreReplica::default(),
            store_history: Mutex::default(),
            last_store_call_succeeded: atomic::AtomicBool::new(true),
            configuration_reads: Mutex::default(),
            newer_configuration: Mutex::default(),
            needs_newer_table: atomic::AtomicBool::new(false),
            start_progressed: Notify::new(),
            configuration_replicated: Notify::new(),
            has_servers: atomic::AtomicBool::new(false),
            pools: service_pools::ServicePools::default(),
            contracts: contracts::Contracts::default(),
            counters,
            access_log_limiter: log_limiter::LogLimiter::new(REQUEST_LOG_LINES_MAX_PER_S),
            published_ready: sync::Arc::default(),
            arrival_rate: arrival_rate::ArrivalRate::default(),
            in_flight: atomic::AtomicU64::new(0),
            memory: sync::Arc::new(memory::Memory::new(settings.memory_budget())),
            malformed_log_limiter: log_limiter::LogLimiter::new(MALFORMED_LOG_LINES_MAX_PER_S),
            shutdown: shutdown::Shutdown::default(),
            stage: atomic::AtomicU8::new(Stage::Serving as u8),
            last_store_failure_at: Mutex::new(clock::now()),
            last_store_response_at: Mutex::default(),
            socket,
            settings: Mutex::new(sync::Arc::new(settings)),
        }
    }

    /// Returns the current settings; a later reload does not change the returned value.
    pub fn settings(&self) -> sync::Arc<settings::Checked> {
        self.settings.lock().clone()
    }

    /// Replaces the settings on reload; settings that need a restart are not applied.
    pub fn set_settings(&self, settings: settings::Checked) {
        let mut current = self.settings.lock();
        match current.allows_change_to(&settings) {
            true if **current == settings => log::info!("settings reloaded without changes"),
            true => {
                log::info!("new settings are in effect");
                self.memory.set_options(settings.memory_budget());
                *current = sync::Arc::new(settings);
            }
            false => log::warn!("the new settings need a restart and are not applied"),
        }
    }

    /// Returns a snapshot of the configuration in force.
    pub fn active_configuration(&self) -> ActiveConfiguration {
        self.active_configuration.lock().clone()
    }

    /// Returns the routes, services and organisations in force.
    pub fn table(&self) -> Option<sync::Arc<table::Table>> {
        self.active_configuration.lock().table.clone()
    }

    /// Returns whether the configuration was confirmed recently enough to accept keys.
    pub fn allows_keys(&self) -> bool {
        let withdrawal_max =
            self.settings().settings.withdrawal_max.map(units_time::Millis::duration);
        let limit = staleness::StalenessLimit { withdrawal_max, margin: KEY_STALENESS_MARGIN };
        let confirmed_at = self.active_configuration.lock().confirmed_at;
        limit.allows_keys(clock::now(), confirmed_at)
    }

    /// Returns the stage of the shutdown.
    pub fn stage(&self) -> Stage {
        match self.stage.load(atomic::Ordering::Acquire) {
            0 => Stage::Serving,
            1 => Stage::Leaving,
            _ => Stage::Closed,
        }
    }

    /// Enters a later stage of the shutdown.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.store(stage as u8, atomic::Ordering::Release);
        log::info!("shutdown stage: {stage:?}");
    }

    /// Returns whether directories may send callers to this VM.
    pub fn is_ready(&self) -> bool {
        self.stage() == Stage::Serving
            && self.has_servers.load(atomic::Ordering::Acquire)
            && self.table().is_some()
            && !self.is_configuration_overdue()
    }

    /// Returns whether requests must not run by the configuration in force, since a newer one had to
    /// replace it by now.
    pub fn is_configuration_overdue(&self) -> bool {
        let apply_max = self.settings().settings.apply_max.duration();
        self.newer_configuration.lock().is_overdue(clock::now(), apply_max)
    }

    /// Returns the limit on retries over the whole fleet, and the number of members that share it.
    pub fn retry_limit(&self) -> (budget::FleetLimit, usize) {
        let checked = self.settings();
        let settings = &checked.settings;
        let limit = budget::FleetLimit {
            ratio_permille: settings.repeats_ratio.0,
            slack: settings.repeats_slack,
        };
        (limit, self.membership.lock().len())
    }

    /// Logs that a caller sent something that is not a valid request.
    pub fn log_malformed(&self, error: &dyn std::fmt::Display) {
        let admitted = self.malformed_log_limiter.admit(clock::now(), log_limiter::Kind::Failure);
        if let Some(left_out) = admitted {
            log::info!("a caller sent a malformed request: {error}; {left_out} lines left out");
        }
    }

    /// Records that a call to the store failed now.
    pub fn record_store_failure(&self) {
        *self.last_store_failure_at.lock() = clock::now();
    }

    /// Records that a call to the store succeeded now.
    pub fn record_store_success(&self) {
        *self.last_store_response_at.lock() = clock::now();
    }

    /// Records the era of a response of the store, read by this VM or another one.
    pub fn enter_store_era(&self, era: id::StoreEra) {
        if self.store_history.lock().enter_era(clock::now(), era) {
            log::warn!("the store was restored from a copy, maybe just now; it is in era {era}");
        }
    }

    /// Returns whether this VM can read the store for others.
    pub fn reaches_store(&self) -> bool {
        self.last_store_call_succeeded.load(atomic::Ordering::Acquire)
            && self.configuration_reads.lock().is_fit(clock::now())
    }

    /// Returns whether this VM reads the store on behalf of its region; it does so too if no reader
    /// is known.
    pub fn is_store_reader(&self) -> bool {
        region_reader::elect_reader(self).is_none_or(|info| info.vm == self.info.vm)
    }

    /// Waits until this VM has read a configuration and the backend servers, for `wait_max` at most.
    pub async fn wait_until_started(&self, wait_max: time::Duration) {
        let has_started =
            || self.table().is_some() && self.has_servers.load(atomic::Ordering::Acquire);
        if has_started() {
            return;
        }
        let waiting = async {
            loop {
                let progressed = self.start_progressed.notified();
                if has_started() {
                    return;
                }
                progressed.await;
            }
        };
        if timer::timeout(wait_max, waiting).await.is_err() {
            log::debug!("a request did not wait any longer for the configuration and the servers");
        }
    }

    /// Returns how long the store has been responding to all calls of this VM; zero if it has not
    /// responded lately.
    pub fn store_steady(&self) -> units_time::Millis {
        let now = clock::now();
        if now.since(*self.last_store_response_at.lock()) > STORE_RESPONSE_VALIDITY {
            return units_time::Millis(0);
        }
        let steady_for = now.since(*self.last_store_failure_at.lock());
        units_time::Millis(u64::try_from(steady_for.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the phase that heartbeats announce to other VMs.
    pub fn phase(&self) -> entry_vm::Phase {
        match self.stage() {
            Stage::Serving => entry_vm::Phase::Live,
            Stage::Leaving | Stage::Closed => entry_vm::Phase::Leaving,
        }
    }

    /// Returns the state for the admin endpoint's `/status`, as JSON.
    pub fn status_json(&self) -> String {
        let now = clock::now();
        let active_configuration = self.active_configuration();
        let membership = self.membership.lock();
        let reachable: Vec<String> = membership
            .reachable(now, entry_vm::Phase::Live)
            .into_iter()
            .map(|info| info.vm.to_string())
            .collect();
        let age = active_configuration.confirmed_at.map(|at| now.since(at).as_millis());
        serde_json::json!({
            "vm": self.info.vm,
            "version": active_configuration.table.as_ref().map(|table| table.version().0),
            "newest_version": active_configuration.newest_known().map(|version| version.0),
            "version_age_ms": age.and_then(|age| u64::try_from(age).ok()),
            "evacuated": active_configuration.evacuated,
            "members": membership.len(),
            "holds_shares": membership.holders(now).is_some(),
            "reachable": reachable,
            "store_steady_ms": self.store_steady().0,
        })
        .to_string()
    }

    /// Returns the socket for datagrams to and from other VMs.
    pub const fn socket(&self) -> &net::UdpSocket {
        &self.socket
    }

    /// Returns the sender identity for datagrams.
    pub fn sender_identity(&self) -> message::Peer {
        message::Peer { vm: self.info.vm.clone(), incarnation: self.info.started }
    }

    /// Returns the time stamp for a datagram.
    pub fn stamp(&self) -> stamp::Stamp {
        stamp::Stamp { wall_ms: clock::wall_ms(), counter: 0 }
    }
}
