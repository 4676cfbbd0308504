//! How closely the simulated fleet enforces a rate limit.
//!
//! The same request trace runs through the fleet, one central token bucket, and a static split of
//! the limit over all machines; the results are compared request by request.

use std::fmt;
use std::time;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use waxwing_contract::charge;
use waxwing_contract::contract;
use waxwing_contract::options;
use waxwing_contract::seat;
use waxwing_units::id;
use waxwing_units::rate;

use crate::central_bucket;
use crate::fleet;
use crate::trace;

/// Entry VMs in the simulated deployment.
pub const VMS: usize = 7;

/// Failure domains in the simulated deployment, two per region.
const FAILURE_DOMAINS: usize = 6;

/// How long the fleet runs before the first request, in seconds.
const WARM_UP_S: u64 = 10;

/// How long a request waits for a token before it is refused.
const WAIT: time::Duration = time::Duration::from_millis(300);

/// The floor part, reserved for each failure domain other than the home, in thousandths of the
/// whole contract.
const FLOOR_PERMILLE: u64 = 80;

/// The smallest burst for which a contract has floor parts, in tokens.
const SPREAD_BURST_MIN: u64 = 20;

const NS_PER_S: u64 = 1_000_000_000;

/// A deployment, which determines the network delays between its machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// One-way delays of 1.5 ms between failure domains of a region, 20 ms between regions.
    Cooperative,
    /// One-way delays of 0.5 ms between failure domains of a region, 35 ms between regions.
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
        match (domain_index(from), domain_index(to)) {
            (a, b) if a == b => 0.2,
            (a, b) if a / 2 == b / 2 => domain_ms,
            _ => region_ms,
        }
    }
}

const fn domain_index(vm: usize) -> usize {
    vm % FAILURE_DOMAINS
}

fn domain_id(index: usize) -> id::FailureDomainId {
    format!("domain-{index}").parse().unwrap_or_else(|_| unreachable!("a valid name"))
}

fn vm_id(index: usize) -> id::VmId {
    format!("vm-{index}").parse().unwrap_or_else(|_| unreachable!("a valid name"))
}

/// A simulated organisation: its contract and its demand.
#[derive(Debug, Clone, Copy)]
pub struct Organisation {
    /// Requests per second that its contract allows.
    pub rate_per_s: f64,
    /// The burst that its contract allows, in requests.
    pub burst: u64,
    /// The request rate that it offers, as a multiple of `rate_per_s`.
    pub demand: f64,
    /// The index of its home failure domain, where the holder of the contract's base part runs.
    pub home: usize,
}

/// Returns the eight simulated organisations: two large and six small ones, each with a demand of
/// nine tenths of its rate.
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

/// Admissions for one organisation by the fleet, by the central bucket and by a static split.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Result {
    /// Requests in the trace.
    pub requests: u64,
    /// Requests that the central bucket admits.
    pub admitted_by_central: u64,
    /// Requests that the fleet admits.
    pub admitted_by_fleet: u64,
    /// Requests that the central bucket admits and the fleet refuses.
    pub wrongly_refused: u64,
    /// Requests that a static split of the limit over the machines admits.
    pub admitted_by_split: u64,
    /// Requests that the central bucket admits and the static split refuses.
    pub wrongly_refused_by_split: u64,
    /// The median time that requests admitted by the fleet wait for a token, in milliseconds.
    pub wait_median_ms: f64,
    /// The 99th percentile of that time, in milliseconds.
    pub wait_p99_ms: f64,
    /// Messages sent between machines.
    pub messages: u64,
}

impl Result {
    /// Returns by how much the fleet admits less than the central bucket, as a share of what the
    /// central bucket admits.
    pub fn shortfall(&self) -> f64 {
        self.admitted_by_central.saturating_sub(self.admitted_by_fleet) as f64
            / self.admitted_by_central.max(1) as f64
    }

    /// Returns the share of the requests admitted by the central bucket that the fleet refuses.
    pub fn wrongful_refusal_share(&self) -> f64 {
        self.wrongly_refused as f64 / self.admitted_by_central.max(1) as f64
    }

    /// Returns the number of requests that the fleet admits as a share of those that the central
    /// bucket admits.
    pub fn admitted_share(&self) -> f64 {
        self.admitted_by_fleet as f64 / self.admitted_by_central.max(1) as f64
    }
}

fn contract_of(organisation: Organisation) -> contract::Contract {
    let rate_milli = (organisation.rate_per_s * 1_000.0) as u64;
    let failure_domains: Vec<id::FailureDomainId> =
        (0..FAILURE_DOMAINS).filter(|at| *at != organisation.home).map(domain_id).collect();
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
        home: domain_id(organisation.home),
        spread,
    }
}

/// Starts a fleet in which the first machine of each failure domain holds the domain's part of the
/// contract.
fn start_fleet(
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
        fleet.add_vm(vm_id(index), domain_id(domain_index(index)), contract, offset_ns, 0);
    }
    let home = (0..FAILURE_DOMAINS).find(|at| domain_id(*at) == contract.home);
    let floors = contract.floor_domains().iter();
    let holders = seat::Holders {
        base: home.map(vm_id),
        floors: floors
            .filter_map(|d| {
                let at = (0..FAILURE_DOMAINS).find(|at| domain_id(*at) == *d)?;
                Some((d.clone(), vm_id(at)))
            })
            .collect(),
    };
    for index in 0..VMS {
        fleet.set_holders(index, 0, holders.clone());
    }
    fleet
}

/// Runs one organisation's trace through the fleet, the central bucket and a static split of the
/// limit over all machines.
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
    let split = run_buckets(&arrivals, share, |index| index);
    let count =
        |admitted: &[bool]| admitted.iter().filter(|is_admitted| **is_admitted).count() as u64;
    let wrongly_refused = |admitted: &[bool]| {
        central
            .iter()
            .zip(admitted)
            .filter(|(by_central, by_other)| **by_central && !**by_other)
            .count() as u64
    };
    Result {
        requests: arrivals.len() as u64,
        admitted_by_central: count(&central),
        admitted_by_fleet: count(&admitted),
        wrongly_refused: wrongly_refused(&admitted),
        admitted_by_split: count(&split),
        wrongly_refused_by_split: wrongly_refused(&split),
        wait_median_ms: percentile(&waits_ms, 0.5),
        wait_p99_ms: percentile(&waits_ms, 0.99),
        messages,
    }
}

/// What each side of a network partition admits, as a share of the contract parts that it holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PartitionResult {
    /// The share admitted by the isolated machine; `None` where it holds no part.
    pub isolated_side: Option<f64>,
    /// The share admitted by all other machines.
    pub other_side: f64,
    /// The share of the whole contract that both sides admit together.
    pub total: f64,
    /// The time from the start of the partition to the first admission on the isolated side, in
    /// milliseconds; the length of the partition if there is none.
    pub first_admission_ms: f64,
    /// The share of the whole contract that both sides admit together in an equally long span after
    /// the partition has ended.
    pub after_heal: f64,
}

/// Isolates the first machine of a failure domain other than the home for `span_s`.
///
/// The offered load is seven times the contract's rate, so that each machine has more demand than
/// it can get tokens for.
pub fn run_partition(
    deployment: Deployment,
    options: options::Options,
    organisation: Organisation,
    span_s: u64,
    seed: u64,
) -> PartitionResult {
    let isolated_vm = (organisation.home + 3) % FAILURE_DOMAINS;
    let contract = contract_of(organisation);
    let mut fleet = start_fleet(deployment, options, &contract, seed);
    let demand_per_s = organisation.rate_per_s * 7.0;
    let (start_s, total_s) = (WARM_UP_S as f64, 2.0 * span_s as f64);
    let arrivals = trace::poisson(seed, demand_per_s, start_s, total_s, trace::Skew::Uniform, VMS);
    let (partition_ns, heal_ns) = (WARM_UP_S * NS_PER_S, (WARM_UP_S + span_s) * NS_PER_S);
    fleet.run_until(partition_ns);
    fleet.network.blocked_links = (0..VMS)
        .filter(|other| *other != isolated_vm)
        .flat_map(|other| [(isolated_vm, other), (other, isolated_vm)])
        .collect();
    for (number, arrival) in arrivals.iter().enumerate() {
        if arrival.at_ns >= heal_ns {
            fleet.network.blocked_links.clear();
        }
        fleet.run_until(arrival.at_ns);
        fleet.request(arrival.vm, number as u64, WAIT);
    }
    fleet.run_until(fleet.now_ns + NS_PER_S);
    let admitted = |during: std::ops::Range<u64>, on: &dyn Fn(usize) -> bool| {
        let is_counted = |f: &&fleet::Finished| {
            f.decision == charge::Decision::Admitted && during.contains(&f.at_ns) && on(f.vm)
        };
        fleet.finished.iter().filter(is_counted).count() as f64
    };
    let during_partition = partition_ns..heal_ns;
    let after = heal_ns..heal_ns + span_s * NS_PER_S;
    let whole = organisation.rate_per_s * span_s as f64;
    let floor_share = match contract.floor(&domain_id(isolated_vm)) {
        Some(_) => FLOOR_PERMILLE as f64 / 1e3,
        None => 0.0,
    };
    let admitted_isolated = admitted(during_partition.clone(), &|vm| vm == isolated_vm);
    let admitted_elsewhere = admitted(during_partition.clone(), &|vm| vm != isolated_vm);
    let first = fleet.finished.iter().filter(|f| {
        f.vm == isolated_vm && f.decision == charge::Decision::Admitted && f.at_ns >= partition_ns
    });
    let first_ns = first.map(|f| f.at_ns).min().unwrap_or(heal_ns);
    PartitionResult {
        isolated_side: (floor_share > 0.0).then(|| admitted_isolated / (whole * floor_share)),
        other_side: admitted_elsewhere / (whole * (1.0 - floor_share)),
        total: (admitted_isolated + admitted_elsewhere) / whole,
        first_admission_ms: (first_ns - partition_ns) as f64 / 1e6,
        after_heal: admitted(after, &|_| true) / whole,
    }
}

fn run_fleet(
    deployment: Deployment,
    options: options::Options,
    contract: &contract::Contract,
    arrivals: &[trace::Arrival],
    seed: u64,
) -> (Vec<bool>, Vec<f64>, u64) {
    let mut fleet = start_fleet(deployment, options, contract, seed);
    for (number, arrival) in arrivals.iter().enumerate() {
        fleet.run_until(arrival.at_ns);
        fleet.request(arrival.vm, number as u64, WAIT);
    }
    fleet.run_until(fleet.now_ns + NS_PER_S);
    let mut admitted = vec![false; arrivals.len()];
    let mut waits_ms = Vec::new();
    for finished in &fleet.finished {
        if finished.decision == charge::Decision::Admitted {
            let number = finished.request as usize;
            admitted[number] = true;
            let wait_ns = finished.at_ns - arrivals[number].at_ns;
            waits_ms.push(wait_ns as f64 / 1e6);
        }
    }
    waits_ms.sort_by(f64::total_cmp);
    (admitted, waits_ms, fleet.sent_messages)
}

/// Runs a trace through buckets that are full at the start; `bucket_of` maps a VM to the index of
/// its bucket.
fn run_buckets(
    arrivals: &[trace::Arrival],
    limit: contract::RateLimit,
    bucket_of: impl Fn(usize) -> usize,
) -> Vec<bool> {
    let mut buckets = vec![central_bucket::CentralBucket::full(limit); VMS];
    arrivals.iter().map(|arrival| buckets[bucket_of(arrival.vm)].admit(arrival.at_ns)).collect()
}

fn percentile(sorted: &[f64], share: f64) -> f64 {
    let at = (sorted.len() as f64 * share) as usize;
    sorted.get(at.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0.0)
}
