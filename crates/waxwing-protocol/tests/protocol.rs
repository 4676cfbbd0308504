//! Messages are read back as they were written, and nothing else is read.

use waxwing_contract::message;
use waxwing_protocol::frame;
use waxwing_protocol::local;
use waxwing_protocol::peer;
use waxwing_timeline::stamp;
use waxwing_units::id;

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

fn encoded() -> Vec<u8> {
    let mut buffer = [0; peer::DATAGRAM_MAX_BYTES];
    peer::encode(&datagram(), &mut buffer).expect("it fits").to_vec()
}

#[test]
fn a_datagram_is_read_back_as_it_was_written() {
    assert_eq!(peer::decode(&encoded()), Ok(datagram()));
}

#[test]
fn no_part_of_a_datagram_and_none_with_surplus_bytes_is_read() {
    let whole = encoded();
    for len in 0..whole.len() {
        assert!(peer::decode(&whole[..len]).is_err(), "{len} of {} bytes", whole.len());
    }
    let mut longer = whole;
    longer.push(0);
    assert!(peer::decode(&longer).is_err());
}

#[test]
fn another_version_is_refused_as_a_whole() {
    let mut other = encoded();
    other[0] = peer::VERSION + 1;
    assert_eq!(peer::decode(&other), Err(peer::Error::Version { version: peer::VERSION + 1 }));
}

#[test]
fn arbitrary_bytes_are_refused_without_a_panic() {
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
fn frames_of_another_version_and_frames_that_are_too_large_are_refused() {
    let hello = local::ToKeeper::Hello { role: waxwing_timeline::event::Role::Entry };
    let whole = frame::encode(&hello).expect("it fits");
    let read: local::ToKeeper = frame::read(&mut whole.as_slice()).expect("a frame");
    assert_eq!(read, hello);
    let mut other = whole.clone();
    other[4] = frame::VERSION + 1;
    let refused = frame::read::<local::ToKeeper>(&mut other.as_slice());
    assert!(matches!(refused, Err(frame::Error::Version { .. })));
    let mut large = whole;
    large[..4].copy_from_slice(&u32::MAX.to_be_bytes());
    let refused = frame::read::<local::ToKeeper>(&mut large.as_slice());
    assert!(matches!(refused, Err(frame::Error::TooLarge { .. })));
}
