//! The fleet never admits more requests of an organisation than its rate and burst allow.
//!
//! Random schedules of requests, contract changes, restarts, suspended processes, network faults
//! and seat takeovers run on a simulated fleet; each admission is checked against one central token
//! bucket. A failure names the seed that reproduces it.

use std::thread;
use std::time;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use rand::seq::IndexedRandom;
use waxwing_contract::charge;
use waxwing_contract::contract;
use waxwing_contract::options;
use waxwing_contract::seat;
use waxwing_measure::central_bucket;
use waxwing_measure::fleet;
use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::time as units_time;

/// Number of random schedules in a test run.
const SCHEDULES: u64 = 20_000;

/// Seed of the first schedule; the seeds of a run are consecutive.
const FIRST_SEED: u64 = 0x5eed_0000;

/// Number of random steps in a schedule.
const STEPS: u64 = 260;

const NS_PER_MS: u64 = 1_000_000;

fn domain(index: usize) -> id::FailureDomainId {
    format!("domain-{index}").parse().expect("a valid name")
}

/// The mix of steps in a schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Profile {
    /// All kinds of steps.
    Mixed,
    /// High demand on floor parts while they are lent, partitioned and taken over; the contract
    /// does not change.
    Floors,
}

/// A running schedule: the simulated fleet, the seat records in the store, and the bucket that
/// bounds its admissions.
struct Schedule {
    profile: Profile,
    rng: rngs::SmallRng,
    fleet: fleet::Fleet,
    tables: Vec<seat::SeatTable>,
    contracts: Vec<contract::Contract>,
    /// For each machine the index in `contracts` of the one in force. `past` holds replaced ones,
    /// with the true time until which tokens granted under them may be spent.
    in_force: Vec<usize>,
    past: Vec<(u64, usize)>,
    central_bucket: central_bucket::CentralBucket,
    checked_count: usize,
    requests: u64,
    down_since_ns: Vec<Option<u64>>,
    /// All versions of the seat records; `seen` holds the newest that each machine's process has
    /// applied.
    history: Vec<Vec<seat::SeatTable>>,
    seen: Vec<usize>,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let mut rng = rngs::SmallRng::seed_from_u64(seed);
        let vms = rng.random_range(2..=7);
        let domains = rng.random_range(1..=vms);
        let profile = if seed.is_multiple_of(2) { Profile::Mixed } else { Profile::Floors };
        let contract = first_contract(&mut rng, domains, profile);
        let network = fleet::Network {
            delay_ms: (0..vms).map(|_| delays(&mut rng, vms)).collect(),
            jitter_ms: *[0.0, 5.0, 300.0, 1_500.0].choose(&mut rng).expect("not empty"),
            loss: *[0.0, 0.02, 0.3].choose(&mut rng).expect("not empty"),
            duplication: *[0.0, 0.2].choose(&mut rng).expect("not empty"),
            blocked_links: Vec::new(),
        };
        let mut fleet = fleet::Fleet::new(network, options::Options::default(), rng.random());
        for index in 0..vms {
            let vm = format!("vm-{index}").parse().expect("a valid name");
            let drift = rng.random_range(-200..=200);
            fleet.add_vm(
                vm,
                domain(index % domains),
                &contract,
                rng.random_range(0..1 << 50),
                drift,
            );
        }
        let tables = (0..domains).map(|at| first_table(&fleet, at)).collect();
        let central_bucket = central_bucket::CentralBucket::full(contract.whole);
        let mut schedule = Self {
            profile,
            rng,
            fleet,
            tables,
            contracts: vec![contract],
            in_force: vec![0; vms],
            past: Vec::new(),
            central_bucket,
            checked_count: 0,
            requests: 0,
            down_since_ns: vec![None; vms],
            history: Vec::new(),
            seen: vec![0; vms],
        };
        schedule.record_tables();
        (0..vms).for_each(|index| schedule.apply_seats(index));
        schedule
    }

    fn holders(&self) -> seat::Holders {
        seat::holders_of(&self.contracts[0], &self.tables)
    }

    fn record_tables(&mut self) {
        self.history.push(self.tables.clone());
    }

    /// Gives a machine the current seat records, as read from the store.
    fn apply_seats(&mut self, index: usize) {
        let (holders, now_ns) = (self.holders(), self.fleet.now_ns);
        self.seen[index] = self.history.len() - 1;
        self.fleet.set_holders(index, now_ns, holders);
    }

    /// Gives a machine a peer's copy of the seat records, of a random version no older than its
    /// own.
    fn apply_seats_from_peer(&mut self, index: usize) {
        let version = self.rng.random_range(self.seen[index]..self.history.len());
        self.seen[index] = version;
        let holders = seat::holders_of(&self.contracts[0], &self.history[version]);
        self.fleet.set_holders(index, 0, holders);
    }

    fn random_vm(&mut self) -> usize {
        self.rng.random_range(0..self.fleet.vms.len())
    }

    fn run(&mut self) -> Result<u64, String> {
        for _ in 0..STEPS {
            let interval_ms =
                *[0, 0, 1, 5, 20, 60, 200, 900].choose(&mut self.rng).expect("not empty");
            self.fleet.run_until(self.fleet.now_ns + interval_ms * NS_PER_MS);
            self.check()?;
            self.step();
            self.check()?;
        }
        self.fleet.run_until(self.fleet.now_ns + 2_000 * NS_PER_MS);
        self.check()?;
        Ok(self.admitted())
    }

    fn admitted(&self) -> u64 {
        let is_admitted = |f: &&fleet::Finished| f.decision == charge::Decision::Admitted;
        self.fleet.finished.iter().filter(is_admitted).count() as u64
    }

    fn step(&mut self) {
        match self.profile {
            Profile::Mixed => self.step_mixed(),
            Profile::Floors => self.step_floors(),
        }
    }

    fn step_floors(&mut self) {
        let index = self.random_vm();
        match self.rng.random_range(0..100) {
            0..=3 => self.block_links(index),
            4..=5 => self.fleet.network.blocked_links.clear(),
            6..=7 => self.restart(index),
            8 => self.freeze(index),
            9 if self.fleet.is_running(index) => self.hand_over_seats(index),
            10..=15 if self.fleet.is_running(index) => self.take_over_seats(index),
            16..=18 if self.fleet.is_running(index) => self.apply_seats(index),
            19..=20 if self.fleet.is_running(index) => self.apply_seats_from_peer(index),
            _ => self.send_requests(index),
        }
    }

    fn step_mixed(&mut self) {
        let index = self.random_vm();
        match self.rng.random_range(0..100) {
            0..=69 => self.send_requests(index),
            70..=74 => self.update_contract(index),
            75..=76 => self.change_contract(),
            77..=78 if self.fleet.is_running(index) => self.apply_seats(index),
            79..=80 if self.fleet.is_running(index) => self.apply_seats_from_peer(index),
            81..=82 => self.freeze(index),
            83..=84 => self.restart(index),
            85 => self.kill(index),
            86..=89 => self.block_links(index),
            90..=92 => self.fleet.network.blocked_links.clear(),
            93..=94 if self.fleet.is_running(index) => self.hand_over_seats(index),
            95..=99 if self.fleet.is_running(index) => self.take_over_seats(index),
            _ => (),
        }
    }

    fn send_requests(&mut self, index: usize) {
        if !self.fleet.is_running(index) {
            return;
        }
        let requests_max = if self.profile == Profile::Floors { 60 } else { 20 };
        for _ in 0..*[1, 1, 3, requests_max].choose(&mut self.rng).expect("not empty") {
            let wait_ms = self.rng.random_range(0..=400);
            self.requests += 1;
            self.fleet.request(index, self.requests, time::Duration::from_millis(wait_ms));
        }
    }

    fn change_contract(&mut self) {
        let mut next = self.contracts.last().expect("at least one").clone();
        next.revision.0 += 1;
        next.whole = random_limit(&mut self.rng);
        self.contracts.push(next);
    }

    fn update_contract(&mut self, index: usize) {
        if !self.fleet.is_running(index) {
            return;
        }
        let newest = self.contracts.len() - 1;
        self.set_in_force(index, newest);
        let contract = self.contracts[newest].clone();
        self.fleet.set_contract(index, contract);
    }

    /// Records that a machine uses another contract from now on.
    ///
    /// Tokens granted under the previous contract may be spent until they expire.
    fn set_in_force(&mut self, index: usize, contract: usize) {
        let grant_validity_ns =
            options::Options::default().holder_grant_validity().as_nanos() as u64;
        self.past.push((self.fleet.now_ns + grant_validity_ns, self.in_force[index]));
        self.in_force[index] = contract;
        self.update_central_bucket(self.fleet.now_ns);
    }

    fn update_central_bucket(&mut self, now_ns: u64) {
        self.past.retain(|(until_ns, _)| *until_ns > now_ns);
        let current = self.in_force.iter().chain(self.past.iter().map(|(_, contract)| contract));
        let limit =
            current.fold(contract::RateLimit::default(), |highest, at| contract::RateLimit {
                rate_per_second: highest
                    .rate_per_second
                    .max(self.contracts[*at].whole.rate_per_second),
                burst_tokens: highest.burst_tokens.max(self.contracts[*at].whole.burst_tokens),
            });
        self.central_bucket.set_limit(now_ns, limit);
    }

    fn freeze(&mut self, index: usize) {
        let span_ms = *[50, 700, 4_000, 9_000, 25_000].choose(&mut self.rng).expect("not empty");
        self.fleet.freeze(index, time::Duration::from_millis(span_ms));
        self.down_since_ns[index] = Some(self.fleet.now_ns);
    }

    /// Restarts a machine's process with any contract no older than the one it had.
    fn restart(&mut self, index: usize) {
        if self.fleet.vms[index].is_dead {
            return;
        }
        let newest = self.contracts.len() - 1;
        let contract = self.rng.random_range(self.in_force[index]..=newest);
        self.set_in_force(index, contract);
        let contract = self.contracts[contract].clone();
        self.fleet.restart(index, &contract);
        self.seen[index] = 0;
        if self.rng.random_bool(0.7) {
            self.apply_seats(index);
        }
    }

    fn kill(&mut self, index: usize) {
        if self.fleet.vms.iter().filter(|vm| !vm.is_dead).count() > 2 {
            self.fleet.kill(index);
            self.down_since_ns[index] = Some(self.fleet.now_ns);
        }
    }

    fn block_links(&mut self, index: usize) {
        for other in 0..self.fleet.vms.len() {
            if self.rng.random_bool(0.6) {
                self.fleet.network.blocked_links.push((index, other));
            }
            if self.rng.random_bool(0.6) {
                self.fleet.network.blocked_links.push((other, index));
            }
        }
        if self.rng.random_bool(0.3) {
            self.fleet.network.blocked_links.truncate(1);
        }
    }

    fn hand_over_seats(&mut self, index: usize) {
        let vm = self.fleet.vms[index].id.clone();
        let successor = self.random_vm();
        let successor = self.fleet.vms[successor].id.clone();
        let successors =
            if self.rng.random_bool(0.5) && successor != vm { vec![successor] } else { vec![] };
        self.fleet.vms[index].account.release_seats();
        for table in &mut self.tables {
            if let Some(changed) = seat::release(table, &vm, &successors) {
                *table = changed;
            }
        }
        self.record_tables();
    }

    /// Lets a machine take over the seats of machines that were killed or suspended for long
    /// enough; the platform's list of VMs contains neither.
    fn take_over_seats(&mut self, index: usize) {
        let own_id = self.fleet.vms[index].id.clone();
        let now_ns = self.fleet.now_ns;
        let claimable: Vec<id::VmId> = (0..self.fleet.vms.len())
            .filter(|other| !self.fleet.is_running(*other))
            .filter(|other| self.may_claim_from(index, *other, now_ns))
            .map(|other| self.fleet.vms[other].id.clone())
            .collect();
        for table in &mut self.tables {
            let candidates = std::slice::from_ref(&own_id);
            if let Some(claimed) =
                seat::claim(table, &own_id, candidates, |vm| claimable.contains(vm))
            {
                *table = claimed;
            }
        }
        self.record_tables();
        self.apply_seats(index);
    }

    fn may_claim_from(&self, claimant: usize, other: usize, now_ns: u64) -> bool {
        let Some(down_since_ns) = self.down_since_ns[other] else {
            return false;
        };
        let claimant = &self.fleet.vms[claimant];
        let liveness =
            seat::Liveness { last_contact_at: claimant.clock_at(down_since_ns), is_listed: false };
        let options = options::Options::default();
        seat::may_take_over(&options, claimant.clock_at(now_ns), &liveness)
    }

    /// Checks the admissions since the last check against the central bucket, and that no tick asks
    /// to be woken at the same instant.
    fn check(&mut self) -> Result<(), String> {
        let mut admitted_ns: Vec<u64> = self.fleet.finished[self.checked_count..]
            .iter()
            .filter(|finished| finished.decision == charge::Decision::Admitted)
            .map(|finished| finished.at_ns)
            .collect();
        admitted_ns.sort_unstable();
        self.checked_count = self.fleet.finished.len();
        for at_ns in admitted_ns {
            if !self.central_bucket.admit(at_ns) {
                return Err(format!("admitted beyond rate and burst at {} ms", at_ns / NS_PER_MS));
            }
        }
        self.update_central_bucket(self.fleet.now_ns);
        match self.fleet.stuck_ticks {
            0 => Ok(()),
            ticks => Err(format!("{ticks} ticks asked to be woken at the same instant")),
        }
    }
}

fn delays(rng: &mut rngs::SmallRng, vms: usize) -> Vec<f64> {
    (0..vms).map(|_| rng.random_range(0.2..80.0)).collect()
}

fn random_limit(rng: &mut rngs::SmallRng) -> contract::RateLimit {
    let rate_milli = *[500, 1_000, 5_000, 50_000, 400_000].choose(rng).expect("not empty");
    let burst = *[1, 2, 7, 50, 300].choose(rng).expect("not empty");
    contract::RateLimit {
        rate_per_second: rate::TokenRate::from_milli_per_second(rate_milli),
        burst_tokens: rate::Tokens(burst).nano(),
    }
}

fn first_contract(
    rng: &mut rngs::SmallRng,
    domains: usize,
    profile: Profile,
) -> contract::Contract {
    let failure_domains: Vec<id::FailureDomainId> = (1..domains).map(domain).collect();
    let share_permille = if profile == Profile::Floors { 900 } else { 500 };
    let floor_permille = share_permille / domains as u64;
    let is_spread = profile == Profile::Floors || rng.random_bool(0.7);
    let spread = match is_spread && domains > 1 {
        true => contract::Spread::Floors { failure_domains, floor_permille },
        false => contract::Spread::Whole,
    };
    contract::Contract {
        organisation: "kiln".parse().expect("a valid name"),
        revision: id::Revision(1),
        whole: random_limit(rng),
        home: domain(0),
        spread,
    }
}

fn first_table(fleet: &fleet::Fleet, at: usize) -> seat::SeatTable {
    let first = fleet.vms.iter().find(|vm| vm.failure_domain == domain(at)).expect("at least one");
    let holders = vec![Some(first.id.clone()); seat::SEATS_PER_FAILURE_DOMAIN];
    seat::SeatTable { failure_domain: domain(at), holders }
}

fn run_seeds(seeds: impl Iterator<Item = u64>) -> Result<u64, String> {
    let mut admitted = 0;
    for seed in seeds {
        let result = Schedule::new(seed).run();
        admitted += result.map_err(|error| format!("seed {seed:#x}: {error}"))?;
    }
    Ok(admitted)
}

#[test]
fn random_schedules_keep_to_rate_and_burst_in_every_window() {
    let workers = 8;
    let results: Vec<Result<u64, String>> = thread::scope(|scope| {
        let start = |worker: u64| {
            let seeds = (FIRST_SEED..FIRST_SEED + SCHEDULES).skip(worker as usize).step_by(8);
            scope.spawn(move || run_seeds(seeds))
        };
        let running: Vec<_> = (0..workers).map(start).collect();
        running.into_iter().map(|thread| thread.join().expect("no panic")).collect()
    });
    let failures: Vec<&String> =
        results.iter().filter_map(|result| result.as_ref().err()).collect();
    assert!(failures.is_empty(), "{failures:#?}");
    let admitted: u64 = results.iter().flatten().sum();
    println!("seeds {FIRST_SEED:#x} to {:#x}: {admitted} admitted", FIRST_SEED + SCHEDULES - 1);
    assert!(admitted > SCHEDULES * 10, "the schedules admit too few requests to test the bound");
}

#[test]
fn clock_drift_conversion_is_conservative() {
    let span = time::Duration::from_secs(1);
    assert!(units_time::shorten_by_clock_drift(span) < span);
    assert!(units_time::extend_by_clock_drift(span) > span);
}
