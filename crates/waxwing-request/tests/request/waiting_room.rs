//! The order and the bound of requests that wait for a slot.

use waxwing_request::waiting_room::WaitingRoom;
use waxwing_units::time as units_time;

fn at(number: u64) -> units_time::MonoInstant {
    units_time::MonoInstant(number)
}

fn names<'a>(room: &'a WaitingRoom<&'static str>) -> Vec<&'a str> {
    room.handles().copied().collect()
}

/// Guards against a burst of less urgent requests that is served before urgent ones.
#[test]
fn urgent_requests_come_first_and_then_those_due_sooner() {
    let mut room = WaitingRoom::new(8);
    room.enter(1, at(10), "less urgent, due soon");
    room.enter(0, at(90), "urgent, due later");
    let gone = room.enter(0, at(20), "gone").expect("a place");
    room.enter(0, at(30), "urgent, due soon");
    room.enter(0, at(30), "urgent, due soon, arrived later");
    room.leave(gone);
    assert_eq!(
        names(&room),
        [
            "urgent, due soon",
            "urgent, due soon, arrived later",
            "urgent, due later",
            "less urgent, due soon"
        ]
    );
}

#[test]
fn a_full_room_refuses_what_comes_last_and_gives_up_its_last_place_otherwise() {
    let mut room = WaitingRoom::new(2);
    let first = room.enter(0, at(10), "first").expect("a place");
    let second = room.enter(1, at(10), "second").expect("a place");
    assert_eq!(room.enter(1, at(20), "too late"), None);
    assert!(room.enter(0, at(20), "more urgent").is_some());
    assert!(room.contains(first) && !room.contains(second));
    assert_eq!(names(&room), ["first", "more urgent"]);
}

#[test]
fn a_room_without_places_refuses_all() {
    let mut room = WaitingRoom::new(0);
    assert_eq!(room.enter(0, at(10), "any"), None);
    assert!(room.is_empty());
}
