//! Tests of slots, slow start and ejection of a backend server.

use std::time;

use waxwing_machine::backend_server;
use waxwing_record::record;
use waxwing_units::time as units_time;

pub(crate) fn at_ms(ms: u64) -> units_time::MonoInstant {
    units_time::MonoInstant(0).after(time::Duration::from_millis(ms))
}

pub(crate) fn record(name: &str, slots: u32) -> record::BackendServer {
    record::BackendServer {
        backend_server: name.parse().expect("a valid name"),
        service: "ledger".parse().expect("a valid name"),
        failure_domain: "lautoka".parse().expect("a valid name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        slots,
    }
}

fn server(slots: u32) -> backend_server::BackendServer {
    backend_server::BackendServer::new(record("ledger-1", slots), at_ms(0))
}

#[test]
fn slots_ramp_up_from_one_to_all_after_a_start() {
    let server = server(10);
    let cases = [(0, 1), (500, 1), (2_000, 2), (5_000, 5), (10_000, 10), (99_000, 10)];
    for (ms, slots) in cases {
        assert_eq!(server.slots(at_ms(ms)), slots, "after {ms} ms");
    }
}

#[test]
fn consecutive_failures_eject_for_longer_each_time() {
    let mut server = server(3);
    let mut now_ms = 10_000;
    for expected_ms in [2_000, 4_000, 8_000, 16_000, 30_000, 30_000] {
        for _ in 0..backend_server::FAILURES_TO_EJECT {
            assert!(!server.is_ejected(at_ms(now_ms)));
            server.acquire_slot();
            server.release_slot(at_ms(now_ms), backend_server::AttemptOutcome::Failed);
        }
        assert!(server.is_ejected(at_ms(now_ms + expected_ms - 1)));
        assert!(!server.is_ejected(at_ms(now_ms + expected_ms)));
        assert_eq!(server.slots(at_ms(now_ms + expected_ms)), 1, "slow start begins again");
        now_ms += expected_ms;
    }
}

#[test]
fn shed_requests_and_responses_do_not_eject() {
    let mut server = server(3);
    for outcome in [backend_server::AttemptOutcome::Shed, backend_server::AttemptOutcome::Responded]
    {
        for _ in 0..10 {
            server.acquire_slot();
            server.release_slot(at_ms(0), outcome);
        }
    }
    assert!(!server.is_ejected(at_ms(0)));
}

#[test]
fn reports_lower_free_slots_and_never_raise_them() {
    let mut server = server(3);
    let now = at_ms(20_000);
    for slots_in_use in [0, 2, 3, 99] {
        let report = backend_server::Report { is_ready: true, slots_in_use };
        server.set_report(now, report);
        assert!(server.free_slots(now) <= 3, "{slots_in_use} reported");
    }
    server.set_report(now, backend_server::Report { is_ready: false, slots_in_use: 0 });
    assert_eq!(server.free_slots(now), 0, "a server that is not ready receives no requests");
    server.set_report(now, backend_server::Report { is_ready: true, slots_in_use: 0 });
    assert_eq!(server.free_slots(now), 1, "slow start begins on return");
}
