//! Charges organisations against their rate limits, with tokens of this VM and of others.
//!
//! A request is charged to this VM's own token balance. If that is empty, the request asks the
//! holders of the contract's shares for a loan, the nearest first, and waits briefly for their
//! responses. When a balance runs low, loans are requested ahead of need.

use std::time;

use parking_lot::Mutex;
use waxwing_machine::membership;
use waxwing_process::clock;
use waxwing_process::timer;
use waxwing_protocol::peer;
use waxwing_route::table;
use waxwing_units::id;
use waxwing_units::rate;
use waxwing_units::rendezvous;
use waxwing_units::time as units_time;

use crate::account;
use crate::peers;
use crate::reachable_peers;
use crate::vm;

/// The number of shards.
const SHARDS: usize = 16;

/// Accounts sorted by organisation.
type Shard = Vec<account::Account>;

/// The token accounts of all organisations that have a limit, in shards with a lock each.
#[derive(Debug)]
pub struct Contracts {
    shards: Vec<Mutex<Shard>>,
}

impl Default for Contracts {
    fn default() -> Self {
        Self { shards: (0..SHARDS).map(|_| Mutex::new(Vec::new())).collect() }
    }
}

impl Contracts {
    fn with_account<T>(
        &self,
        organisation: &id::OrganisationId,
        operation: impl FnOnce(&mut account::Account) -> T,
    ) -> Option<T> {
        let mut shard = self.shard(organisation).lock();
        let at = shard.binary_search_by(|account| account.organisation.cmp(organisation)).ok()?;
        Some(operation(&mut shard[at]))
    }

    fn shard(&self, organisation: &id::OrganisationId) -> &Mutex<Shard> {
        &self.shards[rendezvous::hash(organisation.as_str()) as usize % SHARDS]
    }

    /// Applies the limits of the configuration and the member list to all accounts; removes the
    /// accounts of organisations without a limit.
    pub fn update(
        &self,
        table: &table::Table,
        membership: &membership::Membership,
        slack: rate::Tokens,
    ) {
        let now = clock::now();
        let fleet = account::Fleet {
            local_vm: membership.local_vm(),
            members: membership.member_vms(),
            revision: membership.revision(),
            registration: membership.holders(now).and(membership.registration()),
        };
        for terms in table.organisations() {
            let mut shard = self.shard(&terms.organisation).lock();
            let position = shard.binary_search_by(|a| a.organisation.cmp(&terms.organisation));
            let Some(limit) = terms.limit else {
                if let Ok(at) = position {
                    shard.remove(at);
                }
                continue;
            };
            let at = position.unwrap_or_else(|at| {
                shard.insert(at, account::Account::empty(now, terms.organisation.clone()));
                at
            });
            shard[at].update(now, limit, slack, &fleet);
        }
        for shard in &self.shards {
            shard.lock().retain(|account| is_limited(table, &account.organisation));
        }
    }

    /// Returns the token of a request that was never sent to a backend server.
    pub fn refund(&self, organisation: &id::OrganisationId) {
        let now = clock::now();
        self.with_account(organisation, |account| account.balance.refund(now));
    }

    /// Lends tokens to another VM; returns the amount lent, which may be zero.
    pub fn lend(&self, request: &peer::LoanRequest) -> rate::NanoTokens {
        let now = clock::now();
        let lent = self.with_account(&request.organisation, |account| {
            account.balance.lend(now, request.requested, request.need)
        });
        lent.unwrap_or_default()
    }

    /// Credits a loan from another VM and wakes the requests that wait for it.
    pub fn receive_loan(&self, lender: &id::VmId, loan: &peer::Loan) {
        let now = clock::now();
        self.with_account(&loan.organisation, |account| account.receive_loan(now, lender, loan));
    }
}

fn is_limited(table: &table::Table, organisation: &id::OrganisationId) -> bool {
    let organisations = table.organisations();
    let at = organisations.binary_search_by(|terms| terms.organisation.cmp(organisation));
    at.is_ok_and(|at| organisations[at].limit.is_some())
}

/// Charges an organisation for one request; waits for loans if the local balance is empty.
///
/// # Errors
///
/// Returns an error if the request must not run.
pub async fn charge(
    vm: &vm::Vm,
    organisation: &id::OrganisationId,
    deadline: units_time::MonoInstant,
    latency_objective: time::Duration,
) -> std::result::Result<(), account::ChargeError> {
    let started_at = clock::now();
    let wait_max = vm
        .contracts
        .with_account(organisation, |account| account.wait_max(started_at, latency_objective));
    let wait_until = deadline.min(started_at.after(wait_max.unwrap_or_default()));
    loop {
        let (loan_received, response_deadline) =
            match try_charge(vm, organisation, started_at, wait_until) {
                account::ChargeAttempt::Charged => return Ok(()),
                account::ChargeAttempt::Refused(refused) => return Err(refused),
                account::ChargeAttempt::Wait(loan_received, response_deadline) => {
                    (loan_received, response_deadline)
                }
            };
        let time_left = wait_until.min(response_deadline).since(clock::now());
        if timer::timeout(time_left, loan_received).await.is_err() {
            log::debug!("no loan for {organisation} yet");
        }
    }
}

fn try_charge(
    vm: &vm::Vm,
    organisation: &id::OrganisationId,
    started_at: units_time::MonoInstant,
    wait_until: units_time::MonoInstant,
) -> account::ChargeAttempt {
    let now = clock::now();
    // An organisation without a limit has no account.
    let local_charge = vm
        .contracts
        .with_account(organisation, |account| account.charge_locally(now, started_at, wait_until));
    let purpose = match local_charge {
        Some(account::LocalCharge::Done(attempt)) => return attempt,
        Some(account::LocalCharge::NeedsLoan(purpose)) => purpose,
        None => return account::ChargeAttempt::Charged,
    };
    // The members are read without holding the account's lock, since they are under a lock of their
    // own.
    let reachable = reachable_peers::ReachablePeers::of(vm, now);
    let planned = vm.contracts.with_account(organisation, |account| match purpose {
        account::LoanPurpose::Prefetch => {
            (account.prefetch_request(now, &reachable), account::ChargeAttempt::Charged)
        }
        account::LoanPurpose::Waiting => account.loan_request(now, wait_until, &reachable),
        account::LoanPurpose::Probe => account.probe_request(now, wait_until, &reachable),
    });
    let Some((loan_request, attempt)) = planned else {
        return account::ChargeAttempt::Charged;
    };
    send_loan_requests(vm, organisation, &reachable, &loan_request);
    attempt
}

fn send_loan_requests(
    vm: &vm::Vm,
    organisation: &id::OrganisationId,
    reachable: &reachable_peers::ReachablePeers,
    loan_request: &account::LoanRequest,
) {
    let candidates = reachable.near.iter().chain(&reachable.far);
    for lender in candidates.filter(|peer| loan_request.lenders.contains(&peer.vm)) {
        let request = peer::LoanRequest {
            nonce: loan_request.nonce,
            organisation: organisation.clone(),
            requested: loan_request.wanted,
            need: loan_request.need,
        };
        peers::send(vm, lender.peer_address, peer::Body::LoanRequest(request));
    }
}
