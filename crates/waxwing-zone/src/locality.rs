//! How the requests of each failure domain are shared out among the backend servers of all.
//!
//! What a failure domain's own servers bear stays there, since bytes between failure domains cost
//! time and money. The rest goes to servers of the same region that are left, and then to those of
//! other regions. All is counted in shares: a failure domain that has a tenth of all slots bears
//! about a tenth of all requests, however many those are.

use waxwing_units::id;

/// One whole, in millionths.
const WHOLE_MICRO: u64 = 1_000_000;

/// How much more than its share of the slots a failure domain bears, in percent of that share.
const FILL_PERCENT: u64 = 120;

/// The pull of a failure domain that bears just its share of the slots.
pub const EVEN_SLOT_WEIGHT: u64 = 1_000;

/// A failure domain with its backend servers of one service, and its callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainLoad {
    /// The failure domain.
    pub failure_domain: id::FailureDomainId,
    /// The region that it belongs to.
    pub region: id::RegionId,
    /// The slots of its backend servers that take requests.
    pub slots: u64,
    /// The requests that come to its entry VMs, in any unit.
    pub demand: u64,
}

/// How strongly requests are drawn to the backend servers of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainWeight {
    /// The failure domain.
    pub failure_domain: id::FailureDomainId,
    /// The weight of each of its slots, at least one.
    pub slot_weight: u32,
}

/// What is left to be shared out.
struct Left {
    /// What each failure domain's servers still bear, in millionths of all requests.
    room: Vec<u64>,
    /// What each failure domain still has to send, in millionths of all requests.
    due: Vec<u64>,
}

/// Returns how strongly the requests of `own` are drawn to each of `domains`, in the same order.
pub fn domain_weights(domains: &[DomainLoad], own: &id::FailureDomainId) -> Vec<DomainWeight> {
    let from = domains.iter().position(|domain| domain.failure_domain == *own);
    let sent = from.map_or_else(|| vec![0; domains.len()], |from| sent_from(domains, from));
    let slots: u64 = domains.iter().map(|domain| domain.slots).sum();
    let due: u64 = sent.iter().sum();
    let pull = |domain: &DomainLoad, sent: u64| {
        let even = due * domain.slots;
        let slot_weight = (sent * slots * EVEN_SLOT_WEIGHT).checked_div(even).unwrap_or(0);
        u32::try_from(slot_weight).unwrap_or(u32::MAX).max(1)
    };
    domains
        .iter()
        .zip(sent)
        .map(|(domain, sent)| DomainWeight {
            failure_domain: domain.failure_domain.clone(),
            slot_weight: pull(domain, sent),
        })
        .collect()
}

/// Returns what failure domain `from` sends to each, in millionths of all requests.
fn sent_from(domains: &[DomainLoad], from: usize) -> Vec<u64> {
    let slots: Vec<u64> = domains.iter().map(|domain| domain.slots).collect();
    let demand: Vec<u64> = domains.iter().map(|domain| domain.demand).collect();
    let room = shares(&slots).into_iter().map(|share| share * FILL_PERCENT / 100).collect();
    let mut left = Left { room, due: shares(&demand) };
    let mut sent = vec![0; domains.len()];
    sent[from] = left.room[from].min(left.due[from]);
    for (room, due) in left.room.iter_mut().zip(&mut left.due) {
        let kept = (*room).min(*due);
        *room -= kept;
        *due -= kept;
    }
    let regions = domains.iter().map(|domain| &domain.region);
    let mut regions: Vec<&id::RegionId> = regions.collect();
    regions.sort();
    regions.dedup();
    for region in regions {
        let is_in = |at: usize| domains[at].region == *region;
        left.share_out(from, &mut sent, is_in);
    }
    left.share_out(from, &mut sent, |_| true);
    sent
}

/// Returns each one's share of the sum, in millionths; all have the same where the sum is zero.
fn shares(of: &[u64]) -> Vec<u64> {
    let sum: u64 = of.iter().sum();
    let count = u64::try_from(of.len()).unwrap_or(1).max(1);
    let share = |one: &u64| (one * WHOLE_MICRO).checked_div(sum).unwrap_or(WHOLE_MICRO / count);
    of.iter().map(share).collect()
}

impl Left {
    /// Shares out what some failure domains have to send among their room, each in proportion.
    fn share_out(&mut self, from: usize, sent: &mut [u64], is_in: impl Fn(usize) -> bool) {
        let among: Vec<usize> = (0..self.room.len()).filter(|at| is_in(*at)).collect();
        let room: u64 = among.iter().map(|at| self.room[*at]).sum();
        let due: u64 = among.iter().map(|at| self.due[*at]).sum();
        if room == 0 || due == 0 {
            return;
        }
        let moved = room.min(due);
        if is_in(from) {
            let mine = self.due[from] * moved / due;
            for at in &among {
                sent[*at] += mine * self.room[*at] / room;
            }
        }
        for at in among {
            self.due[at] -= self.due[at] * moved / due;
            self.room[at] -= self.room[at] * moved / room;
        }
    }
}
