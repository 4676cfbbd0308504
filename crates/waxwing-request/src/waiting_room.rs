//! The requests of one service that wait on a machine for a slot at a backend server.
//!
//! A freed slot is offered to the waiting requests in order: the more urgent ones first, and among
//! those the ones that are due sooner. The room is bounded; a request that finds it full of others that
//! come before it is refused at once, and one that comes before others takes the place of the last.

use waxwing_units::time as units_time;

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// The number of priority levels that are more urgent than that of the request.
    rank: u32,
    due_at: units_time::MonoInstant,
    /// Orders requests that are due at the same time by their arrival.
    number: u64,
}

/// The waiting requests in their order, each with a handle by which it is woken.
#[derive(Debug)]
pub struct WaitingRoom<H> {
    places: usize,
    entered: u64,
    waiting: Vec<(Ticket, H)>,
}

impl<H> WaitingRoom<H> {
    /// Creates an empty room with the given number of places.
    pub const fn new(places: usize) -> Self {
        Self { places, entered: 0, waiting: Vec::new() }
    }

    /// Changes the number of places; requests that wait already stay.
    pub const fn set_places(&mut self, places: usize) {
        self.places = places;
    }

    /// Adds a request that is due at `due_at`; returns `None` if there is no place for it.
    ///
    /// A request whose place is taken finds out by [`Self::contains`].
    pub fn enter(
        &mut self,
        rank: u32,
        due_at: units_time::MonoInstant,
        handle: H,
    ) -> Option<Ticket> {
        self.entered += 1;
        let ticket = Ticket { rank, due_at, number: self.entered };
        let at = self.waiting.partition_point(|(other, _)| *other < ticket);
        if at >= self.places {
            return None;
        }
        self.waiting.insert(at, (ticket, handle));
        self.waiting.truncate(self.places);
        Some(ticket)
    }

    /// Removes a request that waits no longer.
    pub fn leave(&mut self, ticket: Ticket) {
        if let Ok(at) = self.position(ticket) {
            self.waiting.remove(at);
        }
    }

    /// Returns whether a request still has its place.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.position(ticket).is_ok()
    }

    /// Returns the handles of the waiting requests in the order in which they get a freed slot.
    pub fn handles(&self) -> impl Iterator<Item = &H> {
        self.waiting.iter().map(|(_, handle)| handle)
    }

    /// Returns the number of waiting requests.
    pub const fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub const fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn position(&self, ticket: Ticket) -> Result<usize, usize> {
        self.waiting.binary_search_by_key(&ticket, |(other, _)| *other)
    }
}
