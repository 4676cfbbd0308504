//! Keeps this VM registered in the store, and has it admitted to the members that may hold contract
//! shares.

use std::sync;
use std::sync::atomic;
use std::time;

use waxwing_machine::membership;
use waxwing_machine::store_reader;
use waxwing_platform::registry;
use waxwing_process::clock;
use waxwing_process::timer;
use waxwing_units::time as units_time;

use crate::vm;

/// How often a registration is renewed within its lease.
const RENEWALS_PER_LEASE: u32 = 5;

/// How soon an ended registration is replaced.
const REREGISTRATION_DELAY: time::Duration = time::Duration::from_millis(200);

/// How often this VM checks whether all other members have read its registration.
const ADMISSION_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Registers this VM and renews the registration; returns when the shutdown begins.
pub async fn keep_registered<R: registry::Registry>(vm: vm::Shared, registry: sync::Arc<R>) {
    let lease = vm.settings().settings.registration_lease.duration();
    let mut failures_in_a_row = 0;
    let mut may_be_lost = false;
    loop {
        if vm.stage() != vm::Stage::Serving {
            return;
        }
        let requested_at = clock::now();
        let registered = vm.membership.lock().registration();
        let result = match registered.filter(|_| !may_be_lost) {
            None => registry.register(&vm.info, lease).await.map(|granted| {
                log::info!("this machine is registered since {}", granted.created);
                membership::Registration {
                    created: granted.created,
                    is_admitted: granted.is_admitted,
                    valid_until: requested_at
                        .after(units_time::shorten_by_clock_drift(granted.lease)),
                }
            }),
            Some(current) => registry.renew().await.map(|lease| membership::Registration {
                valid_until: requested_at.after(units_time::shorten_by_clock_drift(lease)),
                ..current
            }),
        };
        let is_reachable =
            !matches!(result, Err(registry::Error::NoAnswer(_) | registry::Error::Refused(_)));
        vm.last_store_call_succeeded.store(is_reachable, atomic::Ordering::Release);
        let delay = match result {
            Ok(renewal) => {
                record_registration(&vm, renewal);
                failures_in_a_row = 0;
                may_be_lost = false;
                lease / RENEWALS_PER_LEASE
            }
            Err(registry::Error::Ended) => {
                log::warn!("the registration has ended");
                vm.membership.lock().set_registration(None);
                REREGISTRATION_DELAY
            }
            Err(registry::Error::Restored) => {
                log::warn!("the store was restored from a copy; registering again");
                may_be_lost = true;
                REREGISTRATION_DELAY
            }
            Err(error) => {
                log::info!("can't create or renew the registration: {error}");
                failures_in_a_row += 1;
                // A registration does no more for the region's reader than for another machine.
                store_reader::retry_backoff(failures_in_a_row, false)
            }
        };
        timer::sleep(delay).await;
    }
}

/// Records a registration. If this VM was admitted while the call was in progress, it stays
/// admitted.
fn record_registration(vm: &vm::Vm, renewal: membership::Registration) {
    let mut membership = vm.membership.lock();
    let was_admitted = membership
        .registration()
        .is_some_and(|current| current.is_admitted && current.created == renewal.created);
    let is_admitted = renewal.is_admitted || was_admitted;
    membership.set_registration(Some(membership::Registration { is_admitted, ..renewal }));
}

/// Admits this VM to the members that may hold shares, once all others have read its registration;
/// never returns.
pub async fn watch_admission<R: registry::Registry>(vm: vm::Shared, registry: sync::Arc<R>) {
    loop {
        timer::sleep(ADMISSION_CHECK_INTERVAL).await;
        admit_once(&vm, registry.as_ref()).await;
    }
}

async fn admit_once<R: registry::Registry>(vm: &vm::Vm, registry: &R) {
    if !vm.membership.lock().update_admission() {
        return;
    }
    log::info!("all members have read this machine's name");
    if let Err(error) = registry.admit(&vm.info).await {
        log::info!("can't write the admission to the store: {error}");
    }
}
