//! Round trips of datagrams and frames, and rejection of truncated, extended, foreign and oversized
//! input.

use waxwing_contract::message;
use waxwing_machine::entry_vm;
use waxwing_machine::membership;
use waxwing_machine::region_digest;
use waxwing_protocol::frame;
use waxwing_protocol::local;
use waxwing_protocol::peer;
use waxwing_timeline::stamp;
use waxwing_units::bandwidth;
use waxwing_units::id;
use waxwing_units::time;

fn datagram() -> peer::Datagram {
    let from = message::Peer {
        vm: "vm-a".parse().expect("a valid name"),
        incarnation: id::Incarnation(7),
    };
    let body = message::Body::LeaseAsk {
        failure_domain: "lautoka".parse().expect("a valid name"),
        nonce: id::Nonce(3),
    };
    let message = message::Message {
        organisation: "kiln".parse().expect("a valid name"),
        from: from.clone(),
        answers: None,
        body,
    };
    let stamp = stamp::Stamp { wall_ms: 1_000, counter: 2 };
    peer::Datagram { from, stamp, body: peer::Body::Contract(message) }
}

fn encoded_datagram() -> Vec<u8> {
    let mut buffer = [0; peer::DATAGRAM_MAX_BYTES];
    peer::encode(&datagram(), &mut buffer).expect("the datagram fits into the buffer").to_vec()
}

#[test]
fn a_datagram_survives_a_round_trip() {
    assert_eq!(peer::decode(&encoded_datagram()), Ok(datagram()));
}

/// Guards against a digest that is too large for a datagram, so that a region is not heard any more.
#[test]
fn the_largest_digest_fits_into_a_datagram() {
    let about = membership::MachineInfo {
        vm: "vm-a".parse().expect("a valid name"),
        started: id::Incarnation(u64::MAX),
        failure_domain: "lautoka".parse().expect("a valid name"),
        peer_address: "127.0.0.1:1".parse().expect("a valid address"),
        entry_address: "127.0.0.1:2".parse().expect("a valid address"),
    };
    let entry = region_digest::Entry {
        machine: region_digest::MachineKey::of(&about),
        age_ms: u16::MAX,
        revision: id::Revision(u64::MAX),
        phase: entry_vm::Phase::Leaving,
        store_steady_ms: time::Millis(u64::MAX),
        reaches_store: true,
        requests_per_s: u32::MAX,
        link_bandwidth: Some(bandwidth::Bandwidth(u64::MAX)),
    };
    let entries = vec![entry; region_digest::ENTRIES_MAX];
    let digest = region_digest::RegionDigest { route: region_digest::Route::ToRegion, entries };
    let datagram = peer::Datagram { body: peer::Body::RegionDigest(digest), ..datagram() };
    let mut buffer = [0; peer::DATAGRAM_MAX_BYTES];
    let bytes = peer::encode(&datagram, &mut buffer).expect("the datagram fits into the buffer");
    assert_eq!(peer::decode(bytes), Ok(datagram));
}

#[test]
fn truncated_and_extended_datagrams_are_rejected() {
    let encoded = encoded_datagram();
    for len in 0..encoded.len() {
        assert!(peer::decode(&encoded[..len]).is_err(), "{len} of {} bytes", encoded.len());
    }
    let mut extended = encoded;
    extended.push(0);
    assert!(peer::decode(&extended).is_err());
}

#[test]
fn a_datagram_of_another_version_is_rejected() {
    let mut other_version = encoded_datagram();
    other_version[0] = peer::VERSION + 1;
    assert_eq!(
        peer::decode(&other_version),
        Err(peer::Error::Version { version: peer::VERSION + 1 })
    );
}

#[test]
fn arbitrary_bytes_do_not_panic_the_decoder() {
    let mut state = 1_u32;
    for len in 0..2_000 {
        let bytes: Vec<u8> = (0..len % 200)
            .map(|_| {
                state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                (state >> 24) as u8
            })
            .collect();
        let mut versioned = vec![peer::VERSION];
        versioned.extend(bytes);
        if let Ok(datagram) = peer::decode(&versioned) {
            let mut buffer = [0; 4_096];
            assert!(peer::encode(&datagram, &mut buffer).is_ok());
        }
    }
}

#[test]
fn frames_of_another_version_and_oversized_frames_are_rejected() {
    let hello = local::ToKeeper::Hello { role: waxwing_timeline::event::Role::Entry };
    let encoded = frame::encode(&hello).expect("the frame is below the limit");
    let read: local::ToKeeper = frame::read(&mut encoded.as_slice()).expect("a frame");
    assert_eq!(read, hello);
    let mut other_version = encoded.clone();
    other_version[4] = frame::VERSION + 1;
    let rejected = frame::read::<local::ToKeeper>(&mut other_version.as_slice());
    assert!(matches!(rejected, Err(frame::Error::Version { .. })));
    let mut oversized = encoded;
    oversized[..4].copy_from_slice(&u32::MAX.to_be_bytes());
    let rejected = frame::read::<local::ToKeeper>(&mut oversized.as_slice());
    assert!(matches!(rejected, Err(frame::Error::TooLarge { .. })));
}
