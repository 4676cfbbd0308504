//! Whether a backend server process accepts new requests of this machine, by all that is known of
//! it: its registration and its responses.
//!
//! What a process stated in a response holds until the process ends, whatever registrations of it
//! say later: they may be older than the response. A new incarnation counts as another process.

use std::fmt;

use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::server_registration;

/// The number of processes outside the pool whose statements are remembered.
const MEMORY_MAX: usize = 1_024;

/// The state of a backend server process as this machine sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It accepts new requests.
    Serving,
    /// It asked this machine to send no requests until an instant.
    BackingOff {
        /// When requests may be sent again.
        until: units_time::MonoInstant,
    },
    /// It finishes requests in progress and accepts no new ones.
    Draining {
        /// What this was learned from.
        source: Source,
    },
    /// It has ended, or another server has its address.
    Gone {
        /// What this was learned from.
        source: Source,
    },
}

/// What a state was learned from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The registration in the store.
    Registration,
    /// A response to a request.
    Response,
}

/// A statement about a backend server process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The store lists it with this state.
    Registered(server_registration::State),
    /// The store no longer lists it, or lists another incarnation of it.
    NotRegistered,
    /// It announced in a response that it drains.
    DrainingAnnounced,
    /// It asked in a response for no requests until an instant.
    BackoffRequested {
        /// When requests may be sent again.
        until: units_time::MonoInstant,
    },
    /// Another server responded at its address.
    AddressReused,
}

/// A change of state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The state before.
    pub from: State,
    /// The state after.
    pub to: State,
    /// What the change was learned from.
    pub source: Source,
}

/// A change of a certain process's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transition {
    /// The server's name.
    pub server: id::BackendServerId,
    /// The incarnation of its process.
    pub started: id::Incarnation,
    /// What has changed.
    pub change: Change,
}

/// How far one source excludes a process from new requests, the least first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Exclusion {
    #[default]
    None,
    Draining,
    Gone,
}

/// All statements about one backend server process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Availability {
    by_registration: Exclusion,
    by_responses: Exclusion,
    backoff_until: Option<units_time::MonoInstant>,
}

/// The statements in responses of one process that is not in the pool.
#[derive(Debug, Clone)]
struct Remembered {
    server: id::BackendServerId,
    started: id::Incarnation,
    availability: Availability,
    recorded_at: units_time::MonoInstant,
}

/// The statements in responses of processes that are not in the pool, sorted by name and
/// incarnation. The oldest are forgotten when there are too many.
#[derive(Debug, Clone, Default)]
pub struct Memory {
    processes: Vec<Remembered>,
}

impl State {
    /// Returns whether new requests may be sent.
    pub const fn accepts_requests(self) -> bool {
        matches!(self, Self::Serving)
    }

    const fn is_backing_off(self) -> bool {
        matches!(self, Self::BackingOff { .. })
    }

    /// Returns the name of the state in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::BackingOff { .. } => "backing-off",
            Self::Draining { .. } => "draining",
            Self::Gone { .. } => "gone",
        }
    }
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Registration => "registration",
            Self::Response => "response",
        })
    }
}

impl Observation {
    /// Returns what the statement was learned from.
    pub const fn source(self) -> Source {
        match self {
            Self::Registered(_) | Self::NotRegistered => Source::Registration,
            Self::DrainingAnnounced | Self::BackoffRequested { .. } | Self::AddressReused => {
                Source::Response
            }
        }
    }
}

impl Availability {
    /// Returns the state at `now`.
    pub fn state(&self, now: units_time::MonoInstant) -> State {
        let source = match self.by_responses >= self.by_registration {
            true => Source::Response,
            false => Source::Registration,
        };
        match self.exclusion() {
            Exclusion::Gone => State::Gone { source },
            Exclusion::Draining => State::Draining { source },
            Exclusion::None => match self.backoff_until.filter(|until| now < *until) {
                Some(until) => State::BackingOff { until },
                None => State::Serving,
            },
        }
    }

    /// Returns whether the process takes no new requests any more, even after a wait.
    pub fn is_excluded(&self) -> bool {
        self.exclusion() != Exclusion::None
    }

    fn exclusion(&self) -> Exclusion {
        self.by_responses.max(self.by_registration)
    }

    /// Applies a statement; returns the change if the state is another one now.
    ///
    /// A second request to back off extends the first or has no effect; neither is a change.
    pub fn apply(
        &mut self,
        now: units_time::MonoInstant,
        observation: Observation,
    ) -> Option<Change> {
        let from = self.state(now);
        match observation {
            Observation::Registered(state) => {
                self.by_registration = match state {
                    server_registration::State::Ready => Exclusion::None,
                    server_registration::State::Draining => Exclusion::Draining,
                }
            }
            Observation::NotRegistered => self.by_registration = Exclusion::Gone,
            Observation::DrainingAnnounced => {
                self.by_responses = self.by_responses.max(Exclusion::Draining)
            }
            Observation::BackoffRequested { until } => {
                self.backoff_until = self.backoff_until.max(Some(until))
            }
            Observation::AddressReused => self.by_responses = Exclusion::Gone,
        }
        let to = self.state(now);
        let is_extension = from.is_backing_off() && to.is_backing_off();
        let has_changed = from != to && !is_extension;
        has_changed.then_some(Change { from, to, source: observation.source() })
    }

    /// Returns the statements made in responses, or `None` if there are none in force.
    fn of_responses(&self, now: units_time::MonoInstant) -> Option<Self> {
        let of_responses = Self { by_registration: Exclusion::None, ..*self };
        (of_responses.state(now) != State::Serving).then_some(of_responses)
    }
}

impl Memory {
    /// Remembers what a process that leaves the pool has stated in responses.
    pub fn record(
        &mut self,
        now: units_time::MonoInstant,
        server: &id::BackendServerId,
        started: id::Incarnation,
        availability: &Availability,
    ) {
        let Some(availability) = availability.of_responses(now) else {
            return;
        };
        match self.find(server, started) {
            Ok(at) => {
                self.processes[at].availability = availability;
                self.processes[at].recorded_at = now;
            }
            Err(_) => {
                self.forget_oldest_if_full();
                let at = self.find(server, started).unwrap_or_else(|at| at);
                let server = server.clone();
                let remembered = Remembered { server, started, availability, recorded_at: now };
                self.processes.insert(at, remembered);
            }
        }
    }

    /// Returns what a process has stated in responses.
    pub fn get(&self, server: &id::BackendServerId, started: id::Incarnation) -> Availability {
        let found = self.find(server, started);
        found.map(|at| self.processes[at].availability).unwrap_or_default()
    }

    fn find(&self, server: &id::BackendServerId, started: id::Incarnation) -> Result<usize, usize> {
        self.processes
            .binary_search_by(|entry| (&entry.server, entry.started).cmp(&(server, started)))
    }

    fn forget_oldest_if_full(&mut self) {
        if self.processes.len() < MEMORY_MAX {
            return;
        }
        let ages = self.processes.iter().enumerate();
        if let Some((at, _)) = ages.min_by_key(|(_, entry)| entry.recorded_at) {
            self.processes.remove(at);
        }
    }
}
