//! A few machines with one organisation's accounts and a network between them.
//!
//! The fake has a true time, machines with drifting clocks, and a network that delays, loses,
//! doubles and reorders messages. It decides nothing: all decisions are the accounts'.

use std::cmp;
use std::collections;
use std::time;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use waxwing_contract::account;
use waxwing_contract::borrower;
use waxwing_contract::contract;
use waxwing_contract::message;
use waxwing_contract::options;
use waxwing_units::id;
use waxwing_units::time as units_time;

/// How often each machine runs its accounts without any other cause.
const TICK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Nanoseconds per millisecond.
const NS_PER_MS: u64 = 1_000_000;

/// One machine.
#[derive(Debug)]
pub struct Vm {
    /// The machine's name.
    pub id: id::VmId,
    /// The machine's failure domain.
    pub failure_domain: id::FailureDomainId,
    /// The machine's account of the organisation.
    pub account: account::Account,
    /// The start of the machine's process.
    pub incarnation: u64,
    /// The machine's clock at true time zero, in nanoseconds.
    pub clock_offset_ns: u64,
    /// How fast the machine's clock runs, in millionths above true time.
    pub clock_drift_ppm: i64,
    /// The true time until which the machine stands still.
    pub frozen_until_ns: u64,
    /// Whether the machine has ended.
    pub is_dead: bool,
    tick_at_ns: Option<u64>,
}

impl Vm {
    /// Returns what the machine's clock shows at a true time.
    pub fn clock(&self, true_ns: u64) -> units_time::MonoInstant {
        let drift = i128::from(true_ns) * i128::from(self.clock_drift_ppm) / 1_000_000;
        let shown = i128::from(self.clock_offset_ns) + i128::from(true_ns) + drift;
        units_time::MonoInstant(u64::try_from(shown).unwrap_or(0))
    }

    /// Returns the first true time at which the machine's clock shows at least `shown`.
    fn true_ns(&self, shown: units_time::MonoInstant) -> u64 {
        let since = i128::from(shown.0) - i128::from(self.clock_offset_ns);
        let scale = 1_000_000 + i128::from(self.clock_drift_ppm);
        u64::try_from(since * 1_000_000 / scale + 2).unwrap_or(0)
    }
}

/// How the network treats messages.
#[derive(Debug, Clone, Default)]
pub struct Network {
    /// One-way delay between machines, by sender and receiver, in milliseconds.
    pub delay_ms: Vec<Vec<f64>>,
    /// Added to a delay at random, at most, in milliseconds.
    pub jitter_ms: f64,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message arrives twice.
    pub duplication: f64,
    /// Pairs of sender and receiver between which nothing arrives.
    pub cuts: Vec<(usize, usize)>,
}

impl Network {
    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(from, to))
    }
}

/// Something that happens at a true time.
#[derive(Debug, Clone)]
enum Event {
    Deliver { to: usize, message: Box<message::Message> },
    Tick { vm: usize },
}

#[derive(Debug)]
struct Scheduled {
    at_ns: u64,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == cmp::Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at_ns, other.sequence).cmp(&(self.at_ns, self.sequence))
    }
}

/// What became of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Finished {
    /// The machine that the request arrived at.
    pub vm: usize,
    /// The number that the request was made under.
    pub request: u64,
    /// The true time of the decision.
    pub at_ns: u64,
    /// The decision.
    pub decision: borrower::Decision,
}

/// The machines and the network between them.
#[derive(Debug)]
pub struct Fleet {
    /// The true time.
    pub now_ns: u64,
    /// The machines.
    pub vms: Vec<Vm>,
    /// The network.
    pub network: Network,
    /// Requests that were decided, in the order of their decisions.
    pub finished: Vec<Finished>,
    /// Messages that were sent.
    pub sent_messages: u64,
    /// Ticks that left something due at the same instant, so that a driver would spin.
    pub stuck_ticks: u64,
    queue: collections::BinaryHeap<Scheduled>,
    sequence: u64,
    options: options::Options,
    waiting: Vec<(usize, borrower::Ticket, u64)>,
    rng: rngs::SmallRng,
}

impl Fleet {
    /// Creates a fleet without machines.
    pub fn new(network: Network, options: options::Options, seed: u64) -> Self {
        Self {
            now_ns: 0,
            vms: Vec::new(),
            network,
            finished: Vec::new(),
            sent_messages: 0,
            stuck_ticks: 0,
            queue: collections::BinaryHeap::new(),
            sequence: 0,
            options,
            waiting: Vec::new(),
            rng: rngs::SmallRng::seed_from_u64(seed),
        }
    }

    /// Adds a machine and returns its index.
    pub fn add_vm(
        &mut self,
        vm: id::VmId,
        failure_domain: id::FailureDomainId,
        contract: &contract::Contract,
        clock_offset_ns: u64,
        clock_drift_ppm: i64,
    ) -> usize {
        let me = message::Peer { vm: vm.clone(), incarnation: id::Incarnation(1) };
        let (options, domain) = (self.options, failure_domain.clone());
        let start = units_time::MonoInstant(0);
        let account = account::Account::new(options, me, domain, contract.clone(), start);
        let index = self.vms.len();
        self.vms.push(Vm {
            id: vm,
            failure_domain,
            account,
            incarnation: 0,
            clock_offset_ns,
            clock_drift_ppm,
            frozen_until_ns: 0,
            is_dead: false,
            tick_at_ns: None,
        });
        self.restart(index, contract);
        index
    }

    /// Starts the machine's process anew; it remembers nothing.
    pub fn restart(&mut self, index: usize, contract: &contract::Contract) {
        let now = self.vms[index].clock(self.now_ns);
        let vm = &mut self.vms[index];
        vm.incarnation += 1;
        vm.frozen_until_ns = 0;
        let incarnation = id::Incarnation(vm.incarnation);
        let me = message::Peer { vm: vm.id.clone(), incarnation };
        let (options, domain) = (self.options, vm.failure_domain.clone());
        vm.account = account::Account::new(options, me, domain, contract.clone(), now);
        vm.tick_at_ns = None;
        self.refuse_waiting(index);
        self.schedule_tick(index);
    }

    fn refuse_waiting(&mut self, index: usize) {
        let refused = borrower::Decision::Refused(borrower::Refusal::Unreachable);
        let (gone, kept): (Vec<_>, Vec<_>) =
            self.waiting.drain(..).partition(|(vm, _, _)| *vm == index);
        self.waiting = kept;
        for (vm, _, request) in gone {
            self.finished.push(Finished { vm, request, at_ns: self.now_ns, decision: refused });
        }
    }

    /// Ends the machine for good.
    pub fn kill(&mut self, index: usize) {
        self.vms[index].is_dead = true;
        self.refuse_waiting(index);
    }

    /// Lets the machine stand still for a while; messages to it wait.
    pub fn freeze(&mut self, index: usize, span: time::Duration) {
        self.vms[index].frozen_until_ns = self.now_ns + span.as_nanos() as u64;
    }

    /// Tells whether the machine runs at the true time.
    pub fn runs(&self, index: usize) -> bool {
        let vm = &self.vms[index];
        !vm.is_dead && vm.frozen_until_ns <= self.now_ns
    }

    /// Puts a contract in force on a machine.
    pub fn set_contract(&mut self, index: usize, contract: contract::Contract) {
        let now = self.vms[index].clock(self.now_ns);
        self.vms[index].account.set_contract(now, contract);
    }

    /// Shows a machine who holds the parts, as read at the true time `read_ns`.
    pub fn set_holders(&mut self, index: usize, read_ns: u64, holders: account::Holders) {
        let now = self.vms[index].clock(self.now_ns);
        let read_at = self.vms[index].clock(read_ns);
        let mut out = borrower::Outbox::default();
        self.vms[index].account.set_holders(now, read_at, holders, &mut out);
        self.take(index, out);
    }

    /// Makes a request at a machine that runs.
    pub fn request(&mut self, index: usize, request: u64, wait: time::Duration) {
        let now = self.vms[index].clock(self.now_ns);
        let mut out = borrower::Outbox::default();
        let charge = self.vms[index].account.charge(now, wait, &mut out);
        match charge {
            borrower::Charge::Decided(decision) => {
                self.finished.push(Finished { vm: index, request, at_ns: self.now_ns, decision });
            }
            borrower::Charge::Waiting(ticket) => self.waiting.push((index, ticket, request)),
        }
        self.take(index, out);
    }

    /// Moves the true time on to `until_ns`, with all that happens until then.
    pub fn run_until(&mut self, until_ns: u64) {
        while self.queue.peek().is_some_and(|scheduled| scheduled.at_ns <= until_ns) {
            let Some(scheduled) = self.queue.pop() else {
                break;
            };
            self.now_ns = self.now_ns.max(scheduled.at_ns);
            self.happen(scheduled.event);
            if self.stuck_ticks > 0 {
                break;
            }
        }
        self.now_ns = self.now_ns.max(until_ns);
    }

    fn happen(&mut self, event: Event) {
        let index = match &event {
            Event::Deliver { to, .. } => *to,
            Event::Tick { vm } => *vm,
        };
        if self.vms[index].is_dead {
            return;
        }
        if !self.runs(index) {
            let at_ns = self.vms[index].frozen_until_ns;
            self.schedule(at_ns, event);
            return;
        }
        let now = self.vms[index].clock(self.now_ns);
        let mut out = borrower::Outbox::default();
        match event {
            Event::Deliver { message, .. } => {
                self.vms[index].account.receive(now, *message, &mut out);
            }
            Event::Tick { .. } => {
                if self.vms[index].tick_at_ns.is_some_and(|at_ns| at_ns > self.now_ns) {
                    return;
                }
                self.vms[index].tick_at_ns = None;
                self.vms[index].account.tick(now, &mut out);
                let wake = self.vms[index].account.next_wake();
                self.stuck_ticks += u64::from(wake.is_some_and(|wake| wake <= now));
            }
        }
        self.take(index, out);
    }

    fn take(&mut self, index: usize, out: borrower::Outbox) {
        for (ticket, decision) in out.decided {
            let is_it = |(vm, t, _): &(usize, borrower::Ticket, u64)| *vm == index && *t == ticket;
            if let Some(at) = self.waiting.iter().position(is_it) {
                let (vm, _, request) = self.waiting.swap_remove(at);
                self.finished.push(Finished { vm, request, at_ns: self.now_ns, decision });
            }
        }
        for outgoing in out.outgoing {
            self.send(index, &outgoing);
        }
        self.schedule_tick(index);
    }

    fn send(&mut self, from: usize, outgoing: &message::Outgoing) {
        self.sent_messages += 1;
        let Some(to) = self.vms.iter().position(|vm| vm.id == outgoing.to) else {
            return;
        };
        if self.network.is_cut(from, to) || self.rng.random_bool(self.network.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.network.duplication));
        for _ in 0..copies {
            let jitter_ms = self.rng.random::<f64>() * self.network.jitter_ms;
            let delay_ms = self.network.delay_ms[from][to] + jitter_ms;
            let at_ns = self.now_ns + (delay_ms * NS_PER_MS as f64) as u64;
            let message = Box::new(outgoing.message.clone());
            self.schedule(at_ns, Event::Deliver { to, message });
        }
    }

    fn schedule(&mut self, at_ns: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Scheduled { at_ns, sequence: self.sequence, event });
    }

    fn schedule_tick(&mut self, index: usize) {
        let vm = &self.vms[index];
        let periodic_ns = self.now_ns + TICK_INTERVAL.as_nanos() as u64;
        let wake_ns = vm.account.next_wake().map_or(periodic_ns, |wake| vm.true_ns(wake));
        let at_ns = wake_ns.clamp(self.now_ns + 1, periodic_ns);
        if vm.tick_at_ns.is_none_or(|scheduled_ns| at_ns < scheduled_ns) {
            self.vms[index].tick_at_ns = Some(at_ns);
            self.schedule(at_ns, Event::Tick { vm: index });
        }
    }
}
