//! A discrete-event simulation of entry VMs that enforce one organisation's rate limit together.
//!
//! It simulates the true time, machines with drifting clocks, and a network that delays, loses,
//! duplicates and reorders messages. All decisions are made by the real [`account::Account`] of
//! each machine.

use std::cmp;
use std::collections;
use std::time;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use waxwing_contract::account;
use waxwing_contract::charge;
use waxwing_contract::contract;
use waxwing_contract::message;
use waxwing_contract::options;
use waxwing_contract::seat;
use waxwing_units::id;
use waxwing_units::time as units_time;

/// The longest time between two ticks of a machine.
const TICK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Nanoseconds per millisecond.
const NS_PER_MS: u64 = 1_000_000;

/// A simulated entry VM.
#[derive(Debug)]
pub struct Vm {
    /// The VM's id, to which other machines address messages.
    pub id: id::VmId,
    /// The failure domain that the machine runs in.
    pub failure_domain: id::FailureDomainId,
    /// The machine's rate-limit state for the organisation; replaced on a restart.
    pub account: account::Account,
    /// Number of starts of the machine's process; a peer recognises a restart by it.
    pub incarnation: u64,
    /// What the machine's clock shows at true time zero, in nanoseconds.
    pub clock_offset_ns: u64,
    /// How much faster than true time the machine's clock runs, in millionths.
    pub clock_drift_ppm: i64,
    /// The true time until which the machine's process is suspended.
    pub frozen_until_ns: u64,
    /// Whether the machine was killed for good.
    pub is_dead: bool,
    tick_at_ns: Option<u64>,
}

impl Vm {
    /// Converts a true time to the machine's clock.
    pub fn clock_at(&self, true_ns: u64) -> units_time::MonoInstant {
        let drift = i128::from(true_ns) * i128::from(self.clock_drift_ppm) / 1_000_000;
        let clock_time = i128::from(self.clock_offset_ns) + i128::from(true_ns) + drift;
        units_time::MonoInstant(u64::try_from(clock_time).unwrap_or(0))
    }

    /// Returns the first true time at which the machine's clock has reached `clock_time`.
    fn true_ns(&self, clock_time: units_time::MonoInstant) -> u64 {
        let elapsed = i128::from(clock_time.0) - i128::from(self.clock_offset_ns);
        let scale = 1_000_000 + i128::from(self.clock_drift_ppm);
        u64::try_from(elapsed * 1_000_000 / scale + 2).unwrap_or(0)
    }
}

/// The network between the machines: delays, message loss, duplication and blocked links.
#[derive(Debug, Clone, Default)]
pub struct Network {
    /// One-way delay from a sender to a receiver, both by index, in milliseconds.
    pub delay_ms: Vec<Vec<f64>>,
    /// Largest random addition to a delay, in milliseconds; it reorders messages.
    pub jitter_ms: f64,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is delivered twice.
    pub duplication: f64,
    /// Pairs of sender and receiver, by index, whose messages are dropped.
    pub blocked_links: Vec<(usize, usize)>,
}

impl Network {
    fn is_blocked(&self, from: usize, to: usize) -> bool {
        self.blocked_links.contains(&(from, to))
    }
}

/// An event of the simulation.
#[derive(Debug, Clone)]
enum Event {
    Deliver { to: usize, message: Box<message::Message> },
    Tick { vm: usize },
}

#[derive(Debug)]
struct ScheduledEvent {
    at_ns: u64,
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == cmp::Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at_ns, other.sequence).cmp(&(self.at_ns, self.sequence))
    }
}

/// A request that was admitted or refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Finished {
    /// The index of the machine that received the request.
    pub vm: usize,
    /// The request's number, as given to [`Fleet::request`].
    pub request: u64,
    /// The true time of the decision.
    pub at_ns: u64,
    /// Whether the request was admitted, and why not.
    pub decision: charge::Decision,
}

/// The simulated machines, the network between them and the queue of pending events.
#[derive(Debug)]
pub struct Fleet {
    /// The simulated true time, in nanoseconds.
    pub now_ns: u64,
    /// The machines; other items refer to them by index.
    pub vms: Vec<Vm>,
    /// The network; a test may change it at any time.
    pub network: Network,
    /// Requests that were admitted or refused, in the order of the decisions.
    pub finished: Vec<Finished>,
    /// Messages that were sent, including those that were lost.
    pub sent_messages: u64,
    /// Ticks after which the account asks to be woken at the same instant. A thread that drives the
    /// account would spin.
    pub stuck_ticks: u64,
    queue: collections::BinaryHeap<ScheduledEvent>,
    sequence: u64,
    options: options::Options,
    waiting: Vec<(usize, charge::Ticket, u64)>,
    rng: rngs::SmallRng,
}

impl Fleet {
    /// Creates a fleet without machines; `seed` determines jitter, loss and duplication.
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
        let local_peer = message::Peer { vm: vm.clone(), incarnation: id::Incarnation(1) };
        let (options, domain) = (self.options, failure_domain.clone());
        let start = units_time::MonoInstant(0);
        let account = account::Account::new(options, local_peer, domain, contract.clone(), start);
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

    /// Restarts the machine's process, which loses its state; its waiting requests are refused.
    pub fn restart(&mut self, index: usize, contract: &contract::Contract) {
        let now = self.vms[index].clock_at(self.now_ns);
        let vm = &mut self.vms[index];
        vm.incarnation += 1;
        vm.frozen_until_ns = 0;
        let incarnation = id::Incarnation(vm.incarnation);
        let local_peer = message::Peer { vm: vm.id.clone(), incarnation };
        let (options, domain) = (self.options, vm.failure_domain.clone());
        vm.account = account::Account::new(options, local_peer, domain, contract.clone(), now);
        vm.tick_at_ns = None;
        self.refuse_waiting_requests(index);
        self.schedule_tick(index);
    }

    fn refuse_waiting_requests(&mut self, index: usize) {
        let refusal = charge::Decision::Refused(charge::Refusal::Unreachable);
        let (refused_requests, other_requests): (Vec<_>, Vec<_>) =
            self.waiting.drain(..).partition(|(vm, _, _)| *vm == index);
        self.waiting = other_requests;
        for (vm, _, request) in refused_requests {
            self.finished.push(Finished { vm, request, at_ns: self.now_ns, decision: refusal });
        }
    }

    /// Kills the machine for good; its waiting requests are refused.
    pub fn kill(&mut self, index: usize) {
        self.vms[index].is_dead = true;
        self.refuse_waiting_requests(index);
    }

    /// Suspends the machine's process for `span`; messages to it are delivered afterwards.
    pub fn freeze(&mut self, index: usize, span: time::Duration) {
        self.vms[index].frozen_until_ns = self.now_ns + span.as_nanos() as u64;
    }

    /// Returns whether the machine is neither killed nor suspended.
    pub fn is_running(&self, index: usize) -> bool {
        let vm = &self.vms[index];
        !vm.is_dead && vm.frozen_until_ns <= self.now_ns
    }

    /// Gives a machine a contract, as when it reads new records.
    pub fn set_contract(&mut self, index: usize, contract: contract::Contract) {
        let now = self.vms[index].clock_at(self.now_ns);
        self.vms[index].account.set_contract(now, contract);
    }

    /// Tells a machine which machines hold the contract's parts, as read from the store at the true
    /// time `read_ns`.
    pub fn set_holders(&mut self, index: usize, read_ns: u64, holders: seat::Holders) {
        let now = self.vms[index].clock_at(self.now_ns);
        let read_at = self.vms[index].clock_at(read_ns);
        let mut out = charge::Outbox::default();
        self.vms[index].account.set_holders(now, read_at, holders, &mut out);
        self.process_outbox(index, out);
    }

    /// Sends a request to a machine that is running; it waits for a token for `wait` at most.
    pub fn request(&mut self, index: usize, request: u64, wait: time::Duration) {
        let now = self.vms[index].clock_at(self.now_ns);
        let mut out = charge::Outbox::default();
        let charge = self.vms[index].account.charge(now, wait, &mut out);
        match charge {
            charge::Charge::Decided(decision) => {
                self.finished.push(Finished { vm: index, request, at_ns: self.now_ns, decision });
            }
            charge::Charge::Waiting(ticket) => self.waiting.push((index, ticket, request)),
        }
        self.process_outbox(index, out);
    }

    /// Advances the true time to `until_ns` and handles all events up to then.
    pub fn run_until(&mut self, until_ns: u64) {
        while self.queue.peek().is_some_and(|event| event.at_ns <= until_ns) {
            let Some(scheduled) = self.queue.pop() else {
                break;
            };
            self.now_ns = self.now_ns.max(scheduled.at_ns);
            self.handle_event(scheduled.event);
            if self.stuck_ticks > 0 {
                break;
            }
        }
        self.now_ns = self.now_ns.max(until_ns);
    }

    fn handle_event(&mut self, event: Event) {
        let index = match &event {
            Event::Deliver { to, .. } => *to,
            Event::Tick { vm } => *vm,
        };
        if self.vms[index].is_dead {
            return;
        }
        if !self.is_running(index) {
            let at_ns = self.vms[index].frozen_until_ns;
            self.schedule(at_ns, event);
            return;
        }
        let now = self.vms[index].clock_at(self.now_ns);
        let mut out = charge::Outbox::default();
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
        self.process_outbox(index, out);
    }

    fn process_outbox(&mut self, index: usize, out: charge::Outbox) {
        for (ticket, decision) in out.decided {
            let is_decided =
                |(vm, t, _): &(usize, charge::Ticket, u64)| *vm == index && *t == ticket;
            if let Some(at) = self.waiting.iter().position(is_decided) {
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
        if self.network.is_blocked(from, to) || self.rng.random_bool(self.network.loss) {
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
        self.queue.push(ScheduledEvent { at_ns, sequence: self.sequence, event });
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
