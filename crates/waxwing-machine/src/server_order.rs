//! The order of a service's backend servers for an object, by weighted rendezvous hashing, with a
//! cache of the first few.
//!
//! The hash of each server for an object is costly where there are many servers, and the same
//! objects are requested again and again. A request seldom needs more than the first few servers.

use std::cmp;

use waxwing_units::rendezvous;

/// The number of servers of each order that are kept.
const KEPT_SERVERS: usize = 8;

/// The number of orders that are kept; when there are more, all are dropped.
const KEPT_ORDERS_MAX: usize = 4_096;

/// A server as the order sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The server's name.
    pub name: &'a str,
    /// Its share of all objects.
    pub share: u32,
}

/// The kind of requests that an order is for; the shares of servers differ between them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Bodies {
    /// Requests with small bodies.
    Small,
    /// Requests with large bodies.
    Large,
}

/// The hash of an object, and the kind of requests.
type Key = (u64, Bodies);

/// The first servers of an object's order.
#[derive(Debug, Clone)]
struct KeptOrder {
    key: Key,
    object: String,
    first: Vec<usize>,
}

impl KeptOrder {
    fn new<'a>(key: Key, object: &str, candidates: impl Iterator<Item = Candidate<'a>>) -> Self {
        let mut first = order(object, candidates);
        first.truncate(KEPT_SERVERS);
        first.shrink_to_fit();
        Self { key, object: object.to_owned(), first }
    }
}

/// The kept orders of one service's servers, sorted by key.
#[derive(Debug, Clone, Default)]
pub struct OrderCache {
    orders: Vec<KeptOrder>,
}

impl OrderCache {
    /// Drops all orders, after a change of the servers or their shares.
    pub fn clear(&mut self) {
        self.orders.clear();
    }

    /// Returns the positions of the first servers for an object among `candidates`, which are
    /// the same at each call until [`Self::clear`].
    pub fn first<'a>(
        &mut self,
        object: &str,
        bodies: Bodies,
        candidates: impl Iterator<Item = Candidate<'a>>,
    ) -> &[usize] {
        let key = (rendezvous::hash(object), bodies);
        if self.orders.len() >= KEPT_ORDERS_MAX {
            self.orders.clear();
        }
        let at = match self.orders.binary_search_by_key(&key, |order| order.key) {
            Ok(at) => {
                // Another object may have the same hash.
                if self.orders[at].object != object {
                    self.orders[at] = KeptOrder::new(key, object, candidates);
                }
                at
            }
            Err(at) => {
                self.orders.insert(at, KeptOrder::new(key, object, candidates));
                at
            }
        };
        &self.orders[at].first
    }
}

/// Returns the positions of all `candidates`, those with the highest weight for `object` first.
pub fn order<'a>(object: &str, candidates: impl Iterator<Item = Candidate<'a>>) -> Vec<usize> {
    let weight =
        |candidate: Candidate<'_>| rendezvous::weighted(object, candidate.name, candidate.share);
    let mut order: Vec<(u64, usize)> =
        candidates.enumerate().map(|(at, candidate)| (weight(candidate), at)).collect();
    order.sort_unstable_by_key(|entry| cmp::Reverse(*entry));
    order.into_iter().map(|(_, at)| at).collect()
}
