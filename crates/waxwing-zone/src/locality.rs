//! Distribution of the requests of each failure domain over the backend servers of all of them.
//!
//! Requests stay near as far as the servers there have capacity, since traffic between failure
//! domains and regions costs time and money. [`Preference`] says how near. What does not fit goes
//! to spare capacity farther away. All quantities are shares: a failure domain with a tenth of
//! all slots has capacity for about a tenth of all requests, however many those are.

use waxwing_units::id;

/// All requests or all slots, in millionths.
const WHOLE_MICRO: u64 = 1_000_000;

/// Capacity of a failure domain as a share of all requests, in percent of its share of all slots.
const CAPACITY_PERCENT: u64 = 120;

/// Slot weight of a failure domain that receives requests in proportion to its slots.
pub const EVEN_SLOT_WEIGHT: u64 = 1_000;

/// How near to the caller a request should run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preference {
    /// In the caller's failure domain, then in its region: for requests with large bodies.
    FailureDomain,
    /// Anywhere in the caller's region, so that all entry VMs of a region agree on the servers of
    /// an object and each object is cold once in a region.
    ///
    /// The demand of all failure domains counts as equal: with the true one, which changes all the
    /// time, objects would move to servers where they are cold.
    Region,
}

/// A failure domain with its slots for one service and its demand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainLoad {
    /// The failure domain.
    pub failure_domain: id::FailureDomainId,
    /// The region that it belongs to.
    pub region: id::RegionId,
    /// Slots of its backend servers that accept requests.
    pub slots: u64,
    /// Requests that arrive at its entry VMs, in any unit.
    pub demand: u64,
}

/// Weight of a failure domain's backend servers in the choice of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainWeight {
    /// The failure domain.
    pub failure_domain: id::FailureDomainId,
    /// Weight of each of its slots, at least one.
    pub slot_weight: u32,
}

/// Capacity and demand that are not assigned to each other yet.
struct Unassigned {
    /// Spare capacity of each failure domain, in millionths of all requests.
    capacity: Vec<u64>,
    /// Unassigned demand of each failure domain, in millionths of all requests.
    demand: Vec<u64>,
}

/// Returns the slot weights of `domains` for requests that arrive in failure domain `own`, in the
/// same order.
pub fn domain_weights(
    domains: &[DomainLoad],
    own: &id::FailureDomainId,
    preference: Preference,
) -> Vec<DomainWeight> {
    let from = domains.iter().position(|domain| domain.failure_domain == *own);
    let sent =
        from.map_or_else(|| vec![0; domains.len()], |from| sent_from(domains, from, preference));
    let slots: u64 = domains.iter().map(|domain| domain.slots).sum();
    let sent_total: u64 = sent.iter().sum();
    let weight = |domain: &DomainLoad, sent: u64| {
        let even = sent_total * domain.slots;
        let slot_weight = (sent * slots * EVEN_SLOT_WEIGHT).checked_div(even).unwrap_or(0);
        u32::try_from(slot_weight).unwrap_or(u32::MAX).max(1)
    };
    domains
        .iter()
        .zip(sent)
        .map(|(domain, sent)| DomainWeight {
            failure_domain: domain.failure_domain.clone(),
            slot_weight: weight(domain, sent),
        })
        .collect()
}

/// Returns what failure domain `from` sends to each one, in millionths of all requests.
fn sent_from(domains: &[DomainLoad], from: usize, preference: Preference) -> Vec<u64> {
    let slots: Vec<u64> = domains.iter().map(|domain| domain.slots).collect();
    let demand: Vec<u64> = match preference {
        Preference::FailureDomain => domains.iter().map(|domain| domain.demand).collect(),
        Preference::Region => vec![1; domains.len()],
    };
    let capacity = shares(&slots).into_iter().map(|share| share * CAPACITY_PERCENT / 100).collect();
    let mut unassigned = Unassigned { capacity, demand: shares(&demand) };
    let mut sent = vec![0; domains.len()];
    match preference {
        Preference::FailureDomain => sent[from] = unassigned.assign_locally(from),
        Preference::Region => (),
    }
    let regions = domains.iter().map(|domain| &domain.region);
    let mut regions: Vec<&id::RegionId> = regions.collect();
    regions.sort();
    regions.dedup();
    for region in regions {
        let is_in = |at: usize| domains[at].region == *region;
        unassigned.assign(from, &mut sent, is_in);
    }
    unassigned.assign(from, &mut sent, |_| true);
    sent
}

/// Returns the share of each value in the sum, in millionths; shares are equal if the sum is zero.
fn shares(of: &[u64]) -> Vec<u64> {
    let sum: u64 = of.iter().sum();
    let count = u64::try_from(of.len()).unwrap_or(1).max(1);
    let share = |one: &u64| (one * WHOLE_MICRO).checked_div(sum).unwrap_or(WHOLE_MICRO / count);
    of.iter().map(share).collect()
}

impl Unassigned {
    /// Assigns the demand of each failure domain to its own capacity; returns what failure domain
    /// `from` keeps.
    fn assign_locally(&mut self, from: usize) -> u64 {
        let kept = self.capacity[from].min(self.demand[from]);
        for (capacity, demand) in self.capacity.iter_mut().zip(&mut self.demand) {
            let local = (*capacity).min(*demand);
            *capacity -= local;
            *demand -= local;
        }
        kept
    }

    /// Assigns the demand of some failure domains to their spare capacity, both in proportion.
    fn assign(&mut self, from: usize, sent: &mut [u64], is_in: impl Fn(usize) -> bool) {
        let members: Vec<usize> = (0..self.capacity.len()).filter(|at| is_in(*at)).collect();
        let capacity: u64 = members.iter().map(|at| self.capacity[*at]).sum();
        let demand: u64 = members.iter().map(|at| self.demand[*at]).sum();
        if capacity == 0 || demand == 0 {
            return;
        }
        let assigned = capacity.min(demand);
        if is_in(from) {
            let own = self.demand[from] * assigned / demand;
            for at in &members {
                sent[*at] += own * self.capacity[*at] / capacity;
            }
        }
        for at in members {
            self.demand[at] -= self.demand[at] * assigned / demand;
            self.capacity[at] -= self.capacity[at] * assigned / capacity;
        }
    }
}
