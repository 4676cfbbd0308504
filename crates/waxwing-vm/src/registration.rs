//! Keeps this machine registered, and admitted to the members that hold shares.

use std::sync;
use std::sync::atomic;
use std::time;

use waxwing_machine::membership;
use waxwing_platform::registry;
use waxwing_process::clock;
use waxwing_process::timer;
use waxwing_units::time as units_time;

use crate::vm;

/// How often a registration is renewed, as a part of its lease.
const RENEWAL_PART: u32 = 5;

/// How soon the store is asked again after it did not take a registration.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// How often the machine looks whether all others have read its name.
const ADMISSION_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Registers this machine and keeps it registered; never returns.
pub async fn registration<R: registry::Registry>(vm: vm::Shared, registry: sync::Arc<R>) {
    let lease = vm.settings().settings.registration_lease.duration();
    loop {
        if vm.stage() != vm::Stage::Serving {
            return;
        }
        let asked_at = clock::now();
        let registered = vm.membership.lock().registration();
        let result = match registered {
            None => registry.register(&vm.about, lease).await.map(|taken| {
                log::info!("this machine is registered since {}", taken.created);
                membership::Registration {
                    created: taken.created,
                    is_admitted: taken.is_admitted,
                    valid_until: asked_at.after(units_time::shorten_by_clock_drift(taken.lease)),
                }
            }),
            Some(mine) => registry.renew().await.map(|lease| membership::Registration {
                valid_until: asked_at.after(units_time::shorten_by_clock_drift(lease)),
                ..mine
            }),
        };
        let is_there =
            !matches!(result, Err(registry::Error::NoAnswer(_) | registry::Error::Refused(_)));
        vm.reaches_store.store(is_there, atomic::Ordering::Release);
        let pause = match result {
            Ok(renewed) => {
                keep_registration(&vm, renewed);
                lease / RENEWAL_PART
            }
            Err(registry::Error::Ended) => {
                log::warn!("the registration has ended");
                vm.membership.lock().set_registration(None);
                RETRY_INTERVAL
            }
            Err(error) => {
                log::info!("the registration could not be renewed: {error}");
                RETRY_INTERVAL
            }
        };
        timer::sleep(pause).await;
    }
}

/// Notes a registration; one that was admitted meanwhile stays so.
fn keep_registration(vm: &vm::Vm, renewed: membership::Registration) {
    let mut membership = vm.membership.lock();
    let was_admitted = membership
        .registration()
        .is_some_and(|mine| mine.is_admitted && mine.created == renewed.created);
    let is_admitted = renewed.is_admitted || was_admitted;
    membership.set_registration(Some(membership::Registration { is_admitted, ..renewed }));
}

/// Joins the members that hold shares once all others have read this machine's name; never returns.
pub async fn admission<R: registry::Registry>(vm: vm::Shared, registry: sync::Arc<R>) {
    loop {
        timer::sleep(ADMISSION_INTERVAL).await;
        admit(&vm, registry.as_ref()).await;
    }
}

async fn admit<R: registry::Registry>(vm: &vm::Vm, registry: &R) {
    if !vm.membership.lock().update_admission() {
        return;
    }
    log::info!("all members have read this machine's name");
    if let Err(error) = registry.admit(&vm.about).await {
        log::info!("the admission could not be written: {error}");
    }
}
