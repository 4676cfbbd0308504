//! How much the fleet refuses of what the central bucket admits.

use std::fmt;
use std::time;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use waxwing_contract::account;
use waxwing_contract::borrower;
use waxwing_contract::contract;
use waxwing_contract::options;
use waxwing_units::id;
use waxwing_units::rate;

use crate::fleet;
use crate::reference;
use crate::trace;

/// Entry VMs of a deployment.
pub const VMS: usize = 7;

/// Failure domains of a deployment, two in each region.
const FAILURE_DOMAINS: usize = 6;

/// How long the fleet runs before the trace begins, in seconds.
const WARM_UP_S: u64 = 10;

/// How long a request waits for a token.
const WAIT: time::Duration = time::Duration::from_millis(300);

/// Share of each floor part in the whole contract, in thousandths.
const FLOOR_PERMILLE: u64 = 80;

/// The smallest burst that is spread over failure domains, in tokens.
const SPREAD_BURST_MIN: u64 = 20;

const NS_PER_S: u64 = 1_000_000_000;

/// A deployment's delays between its machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// The Cooperative's.
    Cooperative,
    /// Kartelis's.
    Kartelis,
}

impl fmt::Display for Deployment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Cooperative => "cooperative",
            Self::Kartelis => "kartelis",
        })
    }
}

impl Deployment {
    /// Returns the one-way delay between two machines, in milliseconds.
    fn delay_ms(self, from: usize, to: usize) -> f64 {
        let (domain_ms, region_ms) = match self {
            Self::Cooperative => (1.5, 20.0),
            Self::Kartelis => (0.5, 35.0),
        };
        match (domain_of(from), domain_of(to)) {
            (a, b) if a == b => 0.2,
            (a, b) if a / 2 == b / 2 => domain_ms,
            _ => region_ms,
        }
    }
}

const fn domain_of(vm: usize) -> usize {
    vm % FAILURE_DOMAINS
}

fn domain(index: usize) -> id::FailureDomainId {
    format!("domain-{index}").parse().unwrap_or_else(|_| unreachable!("a valid name"))
}

fn vm(index: usize) -> id::VmId {
    format!("vm-{index}").parse().unwrap_or_else(|_| unreachable!("a valid name"))
}

/// An organisation and its demand.
#[derive(Debug, Clone, Copy)]
pub struct Organisation {
    /// Requests a second that its contract grants.
    pub rate_per_s: f64,
    /// Requests at once that its contract grants.
    pub burst: u64,
    /// Its demand, as a multiple of its rate.
    pub demand: f64,
    /// The failure domain that holds its base part.
    pub home: usize,
}

/// The organisations of a user: two large ones and six small ones.
pub fn organisations() -> Vec<Organisation> {
    let sizes = [(200.0, 200), (100.0, 100), (20.0, 20), (10.0, 10)];
    let small = [(5.0, 5), (5.0, 5), (2.0, 2), (1.0, 1)];
    let sizes = sizes.into_iter().chain(small).enumerate();
    sizes
        .map(|(index, (rate_per_s, burst))| Organisation {
            rate_per_s,
            burst,
            demand: 0.9,
            home: index % FAILURE_DOMAINS,
        })
        .collect()
}

/// What one organisation got.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Result {
    /// Requests made.
    pub requests: u64,
    /// Requests that the central bucket admits.
    pub central: u64,
    /// Requests that the fleet admits.
    pub fleet: u64,
    /// Requests that the central bucket admits and the fleet refuses.
    pub refused_of_central: u64,
    /// Requests that a static split over the machines admits.
    pub split: u64,
    /// Requests that the central bucket admits and a static split refuses.
    pub split_refused_of_central: u64,
    /// The median wait of admitted requests, in milliseconds.
    pub wait_median_ms: f64,
    /// The 99th percentile of the wait of admitted requests, in milliseconds.
    pub wait_p99_ms: f64,
    /// Messages between machines.
    pub messages: u64,
}

impl Result {
    /// Returns how much less the fleet admits than the central bucket, as a share of the latter.
    pub fn shortfall(&self) -> f64 {
        self.central.saturating_sub(self.fleet) as f64 / self.central.max(1) as f64
    }

    /// Returns how much of what the central bucket admits the fleet refuses.
    pub fn refused(&self) -> f64 {
        self.refused_of_central as f64 / self.central.max(1) as f64
    }

    /// Returns what the fleet admits as a share of what the central bucket admits.
    pub fn got(&self) -> f64 {
        self.fleet as f64 / self.central.max(1) as f64
    }
}

fn contract_of(organisation: Organisation) -> contract::Contract {
    let rate_milli = (organisation.rate_per_s * 1_000.0) as u64;
    let failure_domains: Vec<id::FailureDomainId> =
        (0..FAILURE_DOMAINS).filter(|at| *at != organisation.home).map(domain).collect();
    let spread = match organisation.burst >= SPREAD_BURST_MIN {
        true => contract::Spread::Floors { failure_domains, floor_permille: FLOOR_PERMILLE },
        false => contract::Spread::Whole,
    };
    contract::Contract {
        organisation: "measured".parse().unwrap_or_else(|_| unreachable!("a valid name")),
        revision: id::Revision(1),
        whole: contract::RateLimit {
            rate_per_second: rate::TokenRate::from_milli_per_second(rate_milli),
            burst_tokens: rate::Tokens(organisation.burst).nano(),
        },
        home: domain(organisation.home),
        spread,
    }
}

/// Starts a fleet in which each failure domain's first machine holds its part.
fn start(
    deployment: Deployment,
    options: options::Options,
    contract: &contract::Contract,
    seed: u64,
) -> fleet::Fleet {
    let delays = |from| (0..VMS).map(|to| deployment.delay_ms(from, to)).collect();
    let network = fleet::Network {
        delay_ms: (0..VMS).map(delays).collect(),
        jitter_ms: 0.2,
        ..fleet::Network::default()
    };
    let mut fleet = fleet::Fleet::new(network, options, seed);
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    for index in 0..VMS {
        let offset_ns = rng.random_range(0..1 << 40);
        fleet.add_vm(vm(index), domain(domain_of(index)), contract, offset_ns, 0);
    }
    let home = (0..FAILURE_DOMAINS).find(|at| domain(*at) == contract.home);
    let floors = contract.floor_domains().iter();
    let holders = account::Holders {
        base: home.map(vm),
        floors: floors
            .filter_map(|d| {
                let at = (0..FAILURE_DOMAINS).find(|at| domain(*at) == *d)?;
                Some((d.clone(), vm(at)))
            })
            .collect(),
    };
    for index in 0..VMS {
        fleet.set_holders(index, 0, holders.clone());
    }
    fleet
}

/// Runs one organisation's trace through the fleet, the central bucket and a static split.
pub fn run(
    deployment: Deployment,
    options: options::Options,
    organisation: Organisation,
    skew: trace::Skew,
    span_s: u64,
    seed: u64,
) -> Result {
    let demand_per_s = organisation.rate_per_s * organisation.demand;
    let arrivals = trace::poisson(seed, demand_per_s, WARM_UP_S as f64, span_s as f64, skew, VMS);
    let contract = contract_of(organisation);
    let (admitted, waits_ms, messages) = run_fleet(deployment, options, &contract, &arrivals, seed);
    let central = run_buckets(&arrivals, contract.whole, |_| 0);
    let share = contract::RateLimit {
        rate_per_second: rate::TokenRate::from_milli_per_second(
            contract.whole.rate_per_second.milli_per_second() / VMS as u64,
        ),
        burst_tokens: rate::NanoTokens(contract.whole.burst_tokens.0 / VMS as i64),
    };
    let split = run_buckets(&arrivals, share, |vm| vm);
    let count = |admitted: &[bool]| admitted.iter().filter(|is| **is).count() as u64;
    let refused = |admitted: &[bool]| {
        central.iter().zip(admitted).filter(|(central, own)| **central && !**own).count() as u64
    };
    Result {
        requests: arrivals.len() as u64,
        central: count(&central),
        fleet: count(&admitted),
        refused_of_central: refused(&admitted),
        split: count(&split),
        split_refused_of_central: refused(&split),
        wait_median_ms: percentile(&waits_ms, 0.5),
        wait_p99_ms: percentile(&waits_ms, 0.99),
        messages,
    }
}

/// What each side of a partition admitted, as a share of the parts that it holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PartitionResult {
    /// On the side of one failure domain that is cut off; none where it has no part.
    pub cut_side: Option<f64>,
    /// On the other side.
    pub other_side: f64,
    /// Both together, as a share of the whole contract.
    pub together: f64,
    /// How long after the cut the cut-off side admitted its first request, in milliseconds.
    pub first_after_ms: f64,
    /// Both together in the same span after the cut has ended.
    pub healed: f64,
}

/// Cuts one failure domain off for `span_s` while each machine has more demand than it can get.
pub fn run_partition(
    deployment: Deployment,
    options: options::Options,
    organisation: Organisation,
    span_s: u64,
    seed: u64,
) -> PartitionResult {
    let cut_vm = (organisation.home + 3) % FAILURE_DOMAINS;
    let contract = contract_of(organisation);
    let mut fleet = start(deployment, options, &contract, seed);
    let demand_per_s = organisation.rate_per_s * 7.0;
    let (start_s, total_s) = (WARM_UP_S as f64, 2.0 * span_s as f64);
    let arrivals = trace::poisson(seed, demand_per_s, start_s, total_s, trace::Skew::Uniform, VMS);
    let (cut_ns, heal_ns) = (WARM_UP_S * NS_PER_S, (WARM_UP_S + span_s) * NS_PER_S);
    fleet.run_until(cut_ns);
    fleet.network.cuts = (0..VMS)
        .filter(|other| *other != cut_vm)
        .flat_map(|other| [(cut_vm, other), (other, cut_vm)])
        .collect();
    for (number, arrival) in arrivals.iter().enumerate() {
        if arrival.at_ns >= heal_ns {
            fleet.network.cuts.clear();
        }
        fleet.run_until(arrival.at_ns);
        fleet.request(arrival.vm, number as u64, WAIT);
    }
    fleet.run_until(fleet.now_ns + NS_PER_S);
    let admitted = |during: std::ops::Range<u64>, on: &dyn Fn(usize) -> bool| {
        let is_it = |f: &&fleet::Finished| {
            f.decision == borrower::Decision::Admitted && during.contains(&f.at_ns) && on(f.vm)
        };
        fleet.finished.iter().filter(is_it).count() as f64
    };
    let during_cut = cut_ns..heal_ns;
    let after = heal_ns..heal_ns + span_s * NS_PER_S;
    let whole = organisation.rate_per_s * span_s as f64;
    let floor_share = match contract.floor(&domain(cut_vm)) {
        Some(_) => FLOOR_PERMILLE as f64 / 1e3,
        None => 0.0,
    };
    let cut = admitted(during_cut.clone(), &|vm| vm == cut_vm);
    let other = admitted(during_cut.clone(), &|vm| vm != cut_vm);
    let first = fleet.finished.iter().filter(|f| {
        f.vm == cut_vm && f.decision == borrower::Decision::Admitted && f.at_ns >= cut_ns
    });
    let first_ns = first.map(|f| f.at_ns).min().unwrap_or(heal_ns);
    PartitionResult {
        cut_side: (floor_share > 0.0).then(|| cut / (whole * floor_share)),
        other_side: other / (whole * (1.0 - floor_share)),
        together: (cut + other) / whole,
        first_after_ms: (first_ns - cut_ns) as f64 / 1e6,
        healed: admitted(after, &|_| true) / whole,
    }
}

fn run_fleet(
    deployment: Deployment,
    options: options::Options,
    contract: &contract::Contract,
    arrivals: &[trace::Arrival],
    seed: u64,
) -> (Vec<bool>, Vec<f64>, u64) {
    let mut fleet = start(deployment, options, contract, seed);
    for (number, arrival) in arrivals.iter().enumerate() {
        fleet.run_until(arrival.at_ns);
        fleet.request(arrival.vm, number as u64, WAIT);
    }
    fleet.run_until(fleet.now_ns + NS_PER_S);
    let mut admitted = vec![false; arrivals.len()];
    let mut waits_ms = Vec::new();
    for finished in &fleet.finished {
        if finished.decision == borrower::Decision::Admitted {
            let number = finished.request as usize;
            admitted[number] = true;
            let wait_ns = finished.at_ns - arrivals[number].at_ns;
            waits_ms.push(wait_ns as f64 / 1e6);
        }
    }
    waits_ms.sort_by(f64::total_cmp);
    (admitted, waits_ms, fleet.sent_messages)
}

/// Runs a trace through full buckets of `part`, one for each value of `bucket_of`.
fn run_buckets(
    arrivals: &[trace::Arrival],
    part: contract::RateLimit,
    bucket_of: impl Fn(usize) -> usize,
) -> Vec<bool> {
    let mut buckets = vec![reference::Reference::full(part); VMS];
    arrivals.iter().map(|arrival| buckets[bucket_of(arrival.vm)].admit(arrival.at_ns)).collect()
}

fn percentile(sorted: &[f64], share: f64) -> f64 {
    let at = (sorted.len() as f64 * share) as usize;
    sorted.get(at.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0.0)
}
