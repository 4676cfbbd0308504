//! The backend server that an attempt has taken a slot at: whether it still accepts requests, and
//! what its responses say about it.

use std::time;

use waxwing_machine::availability;
use waxwing_machine::placement;
use waxwing_machine::retry_after;
use waxwing_machine::server_health;
use waxwing_process::clock;
use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::http_adapter;
use crate::server_events;
use crate::vm;

/// The server process of an attempt and of the connections opened for it.
pub struct LeasedServer {
    vm: vm::Shared,
    service: id::ServiceId,
    lease: placement::Lease,
}

impl LeasedServer {
    /// Names the server of a service that `lease` is for.
    pub fn new(vm: &vm::Shared, service: &id::ServiceId, lease: placement::Lease) -> Self {
        Self { vm: vm.clone(), service: service.clone(), lease }
    }

    /// Returns the identity and address of the server.
    pub const fn lease(&self) -> &placement::Lease {
        &self.lease
    }

    /// Returns whether the server still accepts new requests; asked right before one is sent.
    pub fn accepts_requests(&self) -> bool {
        self.vm.pools.accepts_requests(&self.service, &self.lease)
    }

    /// Releases the slot with the outcome of the attempt and the load that the server reported.
    pub fn release(
        &self,
        outcome: server_health::AttemptOutcome,
        load: Option<server_health::Load>,
    ) {
        self.vm.pools.release(&self.service, &self.lease, outcome, load);
    }

    /// Applies what the head of a response says about the server.
    pub fn apply_reading(&self, reading: &http_adapter::Reading) {
        if reading.verdict == http_adapter::Verdict::OtherServer {
            self.observe(availability::Observation::AddressReused);
        }
        if reading.is_draining {
            self.observe(availability::Observation::DrainingAnnounced);
        }
        if let Some(delay) = self.requested_backoff(reading) {
            let until = clock::now().after(units_time::extend_by_clock_drift(delay));
            self.observe(availability::Observation::BackoffRequested { until });
        }
        if let Some(cold_left) = reading.cold_left {
            self.vm.pools.set_cold(&self.service, &self.lease, cold_left);
        }
    }

    fn observe(&self, observation: availability::Observation) {
        let transition = self.vm.pools.observe(&self.service, &self.lease, observation);
        if let Some(transition) = transition {
            server_events::record(&self.vm, &transition);
        }
    }

    /// Returns how long the server asks for no requests; counts values that were cut or can't be
    /// used.
    fn requested_backoff(&self, reading: &http_adapter::Reading) -> Option<time::Duration> {
        let retry_after = reading.retry_after?;
        let oddity = match retry_after {
            Ok(retry_after) if retry_after.delay() < retry_after::DELAY_MAX => None,
            Ok(_) => Some("cut"),
            Err(retry_after::Error::NotSeconds) => Some("not-seconds"),
            Err(retry_after::Error::Conflicting) => Some("conflicting"),
        };
        if let Some(oddity) = oddity {
            self.vm.counters.count_odd_retry_after(oddity);
        }
        retry_after.ok().map(retry_after::RetryAfter::delay)
    }
}
