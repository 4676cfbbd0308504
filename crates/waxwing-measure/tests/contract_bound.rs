//! No organisation gets more than its rate and burst, whatever the schedule.

use std::thread;
use std::time;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use rand::seq::IndexedRandom;
use waxwing_contract::account;
use waxwing_contract::borrower;
use waxwing_contract::contract;
use waxwing_contract::options;
use waxwing_contract::seat;
use waxwing_measure::fleet;
use waxwing_measure::reference;
use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::time as units_time;

/// Schedules of one run of the tests.
const SCHEDULES: u64 = 20_000;

/// The first seed; the seeds of a run are consecutive.
const FIRST_SEED: u64 = 0x5eed_0000;

/// Steps of one schedule.
const STEPS: u64 = 260;

const NS_PER_MS: u64 = 1_000_000;

fn domain(index: usize) -> id::FailureDomainId {
    format!("domain-{index}").parse().expect("a valid name")
}

/// What a schedule is made of mostly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Profile {
    /// A little of everything.
    Mixed,
    /// Heavy demand on floor parts that are lent, cut off and taken back, under one contract.
    Floors,
}

/// A schedule under way: the fleet, and what is true of the world around it.
struct Schedule {
    profile: Profile,
    rng: rngs::SmallRng,
    fleet: fleet::Fleet,
    tables: Vec<seat::SeatTable>,
    contracts: Vec<contract::Contract>,
    /// The contract in force on each machine, and until when a past one may still count.
    in_force: Vec<usize>,
    past: Vec<(u64, usize)>,
    reference: reference::Reference,
    checked: usize,
    requests: u64,
    dead_since_ns: Vec<Option<u64>>,
    /// All states of the seat records, and the newest that each machine's process has seen.
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
            cuts: Vec::new(),
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
        let reference = reference::Reference::full(contract.whole);
        let mut schedule = Self {
            profile,
            rng,
            fleet,
            tables,
            contracts: vec![contract],
            in_force: vec![0; vms],
            past: Vec::new(),
            reference,
            checked: 0,
            requests: 0,
            dead_since_ns: vec![None; vms],
            history: Vec::new(),
            seen: vec![0; vms],
        };
        schedule.note_tables();
        (0..vms).for_each(|index| schedule.show_seats(index));
        schedule
    }

    fn holders(&self) -> account::Holders {
        seat::holders_of(&self.contracts[0], &self.tables)
    }

    fn note_tables(&mut self) {
        self.history.push(self.tables.clone());
    }

    /// Lets a machine read the seat records.
    fn show_seats(&mut self, index: usize) {
        let (holders, now_ns) = (self.holders(), self.fleet.now_ns);
        self.seen[index] = self.history.len() - 1;
        self.fleet.set_holders(index, now_ns, holders);
    }

    /// Gives a machine another one's copy of the seat records, of any age above its own.
    fn show_copy(&mut self, index: usize) {
        let copy = self.rng.random_range(self.seen[index]..self.history.len());
        self.seen[index] = copy;
        let holders = seat::holders_of(&self.contracts[0], &self.history[copy]);
        self.fleet.set_holders(index, 0, holders);
    }

    fn any_vm(&mut self) -> usize {
        self.rng.random_range(0..self.fleet.vms.len())
    }

    fn run(&mut self) -> Result<u64, String> {
        for _ in 0..STEPS {
            let pause_ms = *[0, 0, 1, 5, 20, 60, 200, 900].choose(&mut self.rng).expect("some");
            self.fleet.run_until(self.fleet.now_ns + pause_ms * NS_PER_MS);
            self.check()?;
            self.step();
            self.check()?;
        }
        self.fleet.run_until(self.fleet.now_ns + 2_000 * NS_PER_MS);
        self.check()?;
        Ok(self.admitted())
    }

    fn admitted(&self) -> u64 {
        let is_admitted = |f: &&fleet::Finished| f.decision == borrower::Decision::Admitted;
        self.fleet.finished.iter().filter(is_admitted).count() as u64
    }

    fn step(&mut self) {
        match self.profile {
            Profile::Mixed => self.step_mixed(),
            Profile::Floors => self.step_floors(),
        }
    }

    fn step_floors(&mut self) {
        let index = self.any_vm();
        match self.rng.random_range(0..100) {
            0..=3 => self.cut(index),
            4..=5 => self.fleet.network.cuts.clear(),
            6..=7 => self.restart(index),
            8 => self.freeze(index),
            9 if self.fleet.runs(index) => self.give_up(index),
            10..=15 if self.fleet.runs(index) => self.take_over(index),
            16..=18 if self.fleet.runs(index) => self.show_seats(index),
            19..=20 if self.fleet.runs(index) => self.show_copy(index),
            _ => self.request_some(index),
        }
    }

    fn step_mixed(&mut self) {
        let index = self.any_vm();
        match self.rng.random_range(0..100) {
            0..=69 => self.request_some(index),
            70..=74 => self.show_contract(index),
            75..=76 => self.change_contract(),
            77..=78 if self.fleet.runs(index) => self.show_seats(index),
            79..=80 if self.fleet.runs(index) => self.show_copy(index),
            81..=82 => self.freeze(index),
            83..=84 => self.restart(index),
            85 => self.kill(index),
            86..=89 => self.cut(index),
            90..=92 => self.fleet.network.cuts.clear(),
            93..=94 if self.fleet.runs(index) => self.give_up(index),
            95..=99 if self.fleet.runs(index) => self.take_over(index),
            _ => (),
        }
    }

    fn request_some(&mut self, index: usize) {
        if !self.fleet.runs(index) {
            return;
        }
        let most = if self.profile == Profile::Floors { 60 } else { 20 };
        for _ in 0..*[1, 1, 3, most].choose(&mut self.rng).expect("some") {
            let wait_ms = self.rng.random_range(0..=400);
            self.requests += 1;
            self.fleet.request(index, self.requests, time::Duration::from_millis(wait_ms));
        }
    }

    fn change_contract(&mut self) {
        let mut next = self.contracts.last().expect("one at least").clone();
        next.revision.0 += 1;
        next.whole = any_part(&mut self.rng);
        self.contracts.push(next);
    }

    fn show_contract(&mut self, index: usize) {
        if !self.fleet.runs(index) {
            return;
        }
        let newest = self.contracts.len() - 1;
        self.put_in_force(index, newest);
        let contract = self.contracts[newest].clone();
        self.fleet.set_contract(index, contract);
    }

    /// Notes that a machine uses another contract from now on.
    ///
    /// Tokens granted under the past one may be spent until they expire.
    fn put_in_force(&mut self, index: usize, contract: usize) {
        let hold_ns = options::Options::default().holder_grant_validity().as_nanos() as u64;
        self.past.push((self.fleet.now_ns + hold_ns, self.in_force[index]));
        self.in_force[index] = contract;
        self.update_reference(self.fleet.now_ns);
    }

    fn update_reference(&mut self, now_ns: u64) {
        self.past.retain(|(until_ns, _)| *until_ns > now_ns);
        let current = self.in_force.iter().chain(self.past.iter().map(|(_, contract)| contract));
        let part = current.fold(contract::RateLimit::default(), |most, at| contract::RateLimit {
            rate_per_second: most.rate_per_second.max(self.contracts[*at].whole.rate_per_second),
            burst_tokens: most.burst_tokens.max(self.contracts[*at].whole.burst_tokens),
        });
        self.reference.set_part(now_ns, part);
    }

    fn freeze(&mut self, index: usize) {
        let span_ms = *[50, 700, 4_000, 9_000, 25_000].choose(&mut self.rng).expect("some");
        self.fleet.freeze(index, time::Duration::from_millis(span_ms));
        self.dead_since_ns[index] = Some(self.fleet.now_ns);
    }

    /// Starts a machine's process anew; it reads some contract that was in force.
    fn restart(&mut self, index: usize) {
        if self.fleet.vms[index].is_dead {
            return;
        }
        let newest = self.contracts.len() - 1;
        let contract = self.rng.random_range(self.in_force[index]..=newest);
        self.put_in_force(index, contract);
        let contract = self.contracts[contract].clone();
        self.fleet.restart(index, &contract);
        self.seen[index] = 0;
        if self.rng.random_bool(0.7) {
            self.show_seats(index);
        }
    }

    fn kill(&mut self, index: usize) {
        if self.fleet.vms.iter().filter(|vm| !vm.is_dead).count() > 2 {
            self.fleet.kill(index);
            self.dead_since_ns[index] = Some(self.fleet.now_ns);
        }
    }

    fn cut(&mut self, index: usize) {
        for other in 0..self.fleet.vms.len() {
            if self.rng.random_bool(0.6) {
                self.fleet.network.cuts.push((index, other));
            }
            if self.rng.random_bool(0.6) {
                self.fleet.network.cuts.push((other, index));
            }
        }
        if self.rng.random_bool(0.3) {
            self.fleet.network.cuts.truncate(1);
        }
    }

    fn give_up(&mut self, index: usize) {
        let vm = self.fleet.vms[index].id.clone();
        let heir = self.any_vm();
        let heir = self.fleet.vms[heir].id.clone();
        let heirs = if self.rng.random_bool(0.5) && heir != vm { vec![heir] } else { vec![] };
        self.fleet.vms[index].account.release_seats();
        for table in &mut self.tables {
            if let Some(changed) = seat::release(table, &vm, &heirs) {
                *table = changed;
            }
        }
        self.note_tables();
    }

    /// Takes over seats of machines that ended or stood still for long; the platform's list
    /// leaves out both.
    fn take_over(&mut self, index: usize) {
        let me = self.fleet.vms[index].id.clone();
        let now_ns = self.fleet.now_ns;
        let free: Vec<id::VmId> = (0..self.fleet.vms.len())
            .filter(|other| !self.fleet.runs(*other))
            .filter(|other| self.is_free(index, *other, now_ns))
            .map(|other| self.fleet.vms[other].id.clone())
            .collect();
        for table in &mut self.tables {
            let candidates = std::slice::from_ref(&me);
            if let Some(claimed) = seat::claim(table, &me, candidates, |vm| free.contains(vm)) {
                *table = claimed;
            }
        }
        self.note_tables();
        self.show_seats(index);
    }

    fn is_free(&self, taker: usize, other: usize, now_ns: u64) -> bool {
        let Some(since_ns) = self.dead_since_ns[other] else {
            return false;
        };
        let taker = &self.fleet.vms[taker];
        let sighting = seat::Liveness { last_contact_at: taker.clock(since_ns), is_listed: false };
        let options = options::Options::default();
        seat::may_take_over(&options, taker.clock(now_ns), &sighting)
    }

    /// Holds what was admitted since the last check against the central bucket.
    fn check(&mut self) -> Result<(), String> {
        let mut admitted_ns: Vec<u64> = self.fleet.finished[self.checked..]
            .iter()
            .filter(|finished| finished.decision == borrower::Decision::Admitted)
            .map(|finished| finished.at_ns)
            .collect();
        admitted_ns.sort_unstable();
        self.checked = self.fleet.finished.len();
        for at_ns in admitted_ns {
            if !self.reference.admit(at_ns) {
                return Err(format!("admitted beyond rate and burst at {} ms", at_ns / NS_PER_MS));
            }
        }
        self.update_reference(self.fleet.now_ns);
        match self.fleet.stuck_ticks {
            0 => Ok(()),
            ticks => Err(format!("{ticks} ticks left something due at once")),
        }
    }
}

fn delays(rng: &mut rngs::SmallRng, vms: usize) -> Vec<f64> {
    (0..vms).map(|_| rng.random_range(0.2..80.0)).collect()
}

fn any_part(rng: &mut rngs::SmallRng) -> contract::RateLimit {
    let rate_milli = *[500, 1_000, 5_000, 50_000, 400_000].choose(rng).expect("some");
    let burst = *[1, 2, 7, 50, 300].choose(rng).expect("some");
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
        whole: any_part(rng),
        home: domain(0),
        spread,
    }
}

fn first_table(fleet: &fleet::Fleet, at: usize) -> seat::SeatTable {
    let first = fleet.vms.iter().find(|vm| vm.failure_domain == domain(at)).expect("one at least");
    let holders = vec![Some(first.id.clone()); seat::SEATS_PER_FAILURE_DOMAIN];
    seat::SeatTable { failure_domain: domain(at), holders }
}

fn run_seeds(seeds: impl Iterator<Item = u64>) -> Result<u64, String> {
    let mut admitted = 0;
    for seed in seeds {
        let ran = Schedule::new(seed).run();
        admitted += ran.map_err(|what| format!("seed {seed:#x}: {what}"))?;
    }
    Ok(admitted)
}

#[test]
fn random_schedules_keep_to_rate_and_burst_in_every_window() {
    let workers = 8;
    let ran: Vec<Result<u64, String>> = thread::scope(|scope| {
        let start = |worker: u64| {
            let seeds = (FIRST_SEED..FIRST_SEED + SCHEDULES).skip(worker as usize).step_by(8);
            scope.spawn(move || run_seeds(seeds))
        };
        let running: Vec<_> = (0..workers).map(start).collect();
        running.into_iter().map(|thread| thread.join().expect("no panic")).collect()
    });
    let faults: Vec<&String> = ran.iter().filter_map(|ran| ran.as_ref().err()).collect();
    assert!(faults.is_empty(), "{faults:#?}");
    let admitted: u64 = ran.iter().flatten().sum();
    println!("seeds {FIRST_SEED:#x} to {:#x}: {admitted} admitted", FIRST_SEED + SCHEDULES - 1);
    assert!(admitted > SCHEDULES * 10, "the schedules admit too little to prove anything");
}

#[test]
fn clock_conversion_is_cautious() {
    let span = time::Duration::from_secs(1);
    assert!(units_time::shorten_by_clock_drift(span) < span);
    assert!(units_time::extend_by_clock_drift(span) > span);
}
