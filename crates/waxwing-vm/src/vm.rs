//! What the parts of an entry VM share, each under a lock of its own.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use parking_lot::Mutex;
use waxwing_contract::message;
use waxwing_machine::entry_vm;
use waxwing_machine::membership;
use waxwing_process::clock;
use waxwing_process::log_limiter;
use waxwing_request::budget;
use waxwing_route::staleness;
use waxwing_route::table;
use waxwing_timeline::stamp;
use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::arrival_rate;
use crate::contracts;
use crate::counters;
use crate::http_adapter;
use crate::service_pools;
use crate::settings;
use crate::store_replica;

/// How much sooner than a withdrawn key has to stop working keys are refused.
const KEY_MARGIN: time::Duration = time::Duration::from_millis(300);

/// How long an answer of the store says that it is there.
const ANSWERED_VALIDITY: time::Duration = time::Duration::from_millis(1_300);

/// Lines that are written of requests each second, at most.
const REQUEST_LINES_MAX_PER_S: u32 = 100;

/// The part of the memory that bodies of requests may take, as one in this many.
const BODIES_MEMORY_PART: u64 = 4;

/// The configuration in force.
#[derive(Debug, Clone, Default)]
pub struct InForce {
    /// The newest table; none before any has come.
    pub table: Option<sync::Arc<table::Table>>,
    /// Failure domains whose backend servers get nothing, sorted.
    pub evacuated: Vec<id::FailureDomainId>,
    /// When the store was asked for what is in force, the last time that it answered.
    pub confirmed_at: Option<units_time::MonoInstant>,
}

impl InForce {
    /// Notes that nothing newer was known when the store was asked at `asked_at`, and which failure
    /// domains were evacuated; returns whether those have changed.
    ///
    /// An older word changes nothing.
    pub fn confirm(
        &mut self,
        asked_at: units_time::MonoInstant,
        evacuated: Vec<id::FailureDomainId>,
    ) -> bool {
        if self.confirmed_at >= Some(asked_at) {
            return false;
        }
        self.confirmed_at = Some(asked_at);
        let is_news = evacuated != self.evacuated;
        if is_news {
            log::info!("evacuated failure domains: {evacuated:?}");
            self.evacuated = evacuated;
        }
        is_news
    }
}

/// How far the process has come with ending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Stage {
    /// It serves.
    Serving,
    /// It serves, but tells callers to go elsewhere.
    Leaving,
    /// It takes no new requests.
    Closed,
}

/// What the parts of an entry VM share.
pub struct Vm {
    /// The settings, which may be read again.
    settings: Mutex<sync::Arc<settings::Checked>>,
    /// What this machine tells others about itself.
    pub about: membership::MachineInfo,
    /// How requests look on the wire.
    pub front: Box<dyn http_adapter::HttpAdapter>,
    /// The configuration in force.
    pub in_force: Mutex<InForce>,
    /// What is known of the store, in a form that others can copy.
    pub copies: store_replica::Copies,
    /// Whether the store answered the last call.
    pub reaches_store: atomic::AtomicBool,
    /// Whether another machine knows a newer configuration.
    pub wants_table: atomic::AtomicBool,
    /// Whether backend servers were read from the store.
    pub has_servers: atomic::AtomicBool,
    /// The fleet.
    pub membership: Mutex<membership::Membership>,
    /// The backend servers of all services.
    pub pools: service_pools::Pools,
    /// The tokens of all organisations.
    pub contracts: contracts::Contracts,
    /// What is counted.
    pub counters: counters::Counters,
    /// Bounds the lines that are written of requests.
    pub volume: log_limiter::LogLimiter,
    /// Whether the machine is ready, as operators are shown.
    pub shown_ready: sync::Arc<atomic::AtomicBool>,
    /// How many requests come.
    pub arrivals: arrival_rate::Arrivals,
    /// Requests whose answers have not ended.
    pub under_way: atomic::AtomicU64,
    /// Bytes of request bodies that are kept.
    pub kept_bytes: atomic::AtomicU64,
    stage: atomic::AtomicU8,
    store_failed_at: Mutex<units_time::MonoInstant>,
    store_answered_at: Mutex<units_time::MonoInstant>,
    socket: net::UdpSocket,
}

/// The shared state, as threads hold it.
pub type Shared = sync::Arc<Vm>;

impl Vm {
    /// Creates the shared state of a machine that listens for others on `socket`.
    pub fn new(
        settings: settings::Checked,
        front: Box<dyn http_adapter::HttpAdapter>,
        counters: counters::Counters,
        socket: net::UdpSocket,
    ) -> Self {
        let about = membership::MachineInfo {
            vm: settings.vm.clone(),
            started: id::Incarnation(clock::wall_ms()),
            failure_domain: settings.failure_domain.clone(),
            peer_address: settings.peer_address,
            entry_address: settings.entry_address,
        };
        Self {
            membership: Mutex::new(membership::Membership::new(about.vm.clone())),
            about,
            front,
            in_force: Mutex::default(),
            copies: store_replica::Copies::default(),
            reaches_store: atomic::AtomicBool::new(true),
            wants_table: atomic::AtomicBool::new(false),
            has_servers: atomic::AtomicBool::new(false),
            pools: service_pools::Pools::default(),
            contracts: contracts::Contracts::default(),
            counters,
            volume: log_limiter::LogLimiter::new(REQUEST_LINES_MAX_PER_S),
            shown_ready: sync::Arc::default(),
            arrivals: arrival_rate::Arrivals::default(),
            under_way: atomic::AtomicU64::new(0),
            kept_bytes: atomic::AtomicU64::new(0),
            stage: atomic::AtomicU8::new(Stage::Serving as u8),
            store_failed_at: Mutex::new(clock::now()),
            store_answered_at: Mutex::default(),
            socket,
            settings: Mutex::new(sync::Arc::new(settings)),
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> sync::Arc<settings::Checked> {
        self.settings.lock().clone()
    }

    /// Goes on with other settings; those that need a restart change nothing.
    pub fn set_settings(&self, settings: settings::Checked) {
        let mut current = self.settings.lock();
        match current.allows_change_to(&settings) {
            true if **current == settings => log::info!("the settings are as they were"),
            true => {
                log::info!("new settings are in force");
                *current = sync::Arc::new(settings);
            }
            false => log::warn!("the new settings need a restart; the old ones stay in force"),
        }
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> InForce {
        self.in_force.lock().clone()
    }

    /// Returns the table in force.
    pub fn table(&self) -> Option<sync::Arc<table::Table>> {
        self.in_force.lock().table.clone()
    }

    /// Tells whether keys may be taken now.
    pub fn allows_keys(&self) -> bool {
        let withdrawal_max =
            self.settings().settings.withdrawal_max.map(units_time::Millis::duration);
        let fence = staleness::StalenessLimit { withdrawal_max, margin: KEY_MARGIN };
        let confirmed_at = self.in_force.lock().confirmed_at;
        fence.allows_keys(clock::now(), confirmed_at)
    }

    /// Returns how far the process has come with ending.
    pub fn stage(&self) -> Stage {
        match self.stage.load(atomic::Ordering::Acquire) {
            0 => Stage::Serving,
            1 => Stage::Leaving,
            _ => Stage::Closed,
        }
    }

    /// Goes on to a later stage.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.store(stage as u8, atomic::Ordering::Release);
        log::info!("the process goes on to end: {stage:?}");
    }

    /// Tells whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.stage() == Stage::Serving
            && self.has_servers.load(atomic::Ordering::Acquire)
            && self.table().is_some()
    }

    /// Returns what may be repeated over all machines, and among how many that is shared.
    pub fn repeats(&self) -> (budget::FleetLimit, usize) {
        let checked = self.settings();
        let settings = &checked.settings;
        let allowance = budget::FleetLimit {
            ratio_permille: settings.repeats_ratio.0,
            slack: settings.repeats_slack,
        };
        (allowance, self.membership.lock().len())
    }

    /// Returns the bytes that bodies of requests may take.
    pub fn kept_max_bytes(&self) -> u64 {
        self.settings().settings.memory_max.0 / BODIES_MEMORY_PART
    }

    /// Notes that the store did not answer.
    pub fn note_store_failed(&self) {
        *self.store_failed_at.lock() = clock::now();
    }

    /// Notes that the store answered.
    pub fn note_store_answered(&self) {
        *self.store_answered_at.lock() = clock::now();
    }

    /// Tells whether this machine reads the store for others.
    pub fn reads_store(&self) -> bool {
        store_replica::reader_of(self).is_none_or(|about| about.vm == self.about.vm)
    }

    /// Returns how long the store has answered all calls of this machine; zero where it has not
    /// called lately.
    pub fn store_steady(&self) -> units_time::Millis {
        let now = clock::now();
        if now.since(*self.store_answered_at.lock()) > ANSWERED_VALIDITY {
            return units_time::Millis(0);
        }
        let steady = now.since(*self.store_failed_at.lock());
        units_time::Millis(u64::try_from(steady.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the phase that others are told.
    pub fn phase(&self) -> entry_vm::Phase {
        match self.stage() {
            Stage::Serving => entry_vm::Phase::Live,
            Stage::Leaving | Stage::Closed => entry_vm::Phase::Leaving,
        }
    }

    /// Returns what operators are shown, as JSON.
    pub fn status_text(&self) -> String {
        let now = clock::now();
        let in_force = self.in_force();
        let membership = self.membership.lock();
        let reachable: Vec<String> = membership
            .reachable(now, entry_vm::Phase::Live)
            .into_iter()
            .map(|about| about.vm.to_string())
            .collect();
        let age = in_force.confirmed_at.map(|at| now.since(at).as_millis());
        serde_json::json!({
            "vm": self.about.vm,
            "version": in_force.table.as_ref().map(|table| table.version().0),
            "version_age_ms": age.and_then(|age| u64::try_from(age).ok()),
            "evacuated": in_force.evacuated,
            "members": membership.len(),
            "holds_shares": membership.holders(now).is_some(),
            "reachable": reachable,
            "store_steady_ms": self.store_steady().0,
        })
        .to_string()
    }

    /// Returns the socket for other machines.
    pub const fn socket(&self) -> &net::UdpSocket {
        &self.socket
    }

    /// Returns how this machine signs datagrams.
    pub fn peer(&self) -> message::Peer {
        message::Peer { vm: self.about.vm.clone(), incarnation: self.about.started }
    }

    /// Returns a stamp for a datagram.
    pub fn stamp(&self) -> stamp::Stamp {
        stamp::Stamp { wall_ms: clock::wall_ms(), counter: 0 }
    }
}
