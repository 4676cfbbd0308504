//! A retry budget per service that holds over all machines together.
//!
//! Each machine keeps its share of the budget: retries earned by the first attempts that it sends
//! itself, capped by its part of the fixed extra retries. A machine starts with an empty balance,
//! so that restarts add no retries.
//!
//! `waxwing-vm` uses this budget, the entry process [`crate::retry`].

/// One retry, in thousandths.
const RETRY_MILLI: u64 = 1_000;

/// The part of the allowed retries that machines use, in thousandths.
///
/// The rest covers the edges of measuring windows and machines that disagree about how many
/// machines there are.
const USED_PERMILLE: u64 = 700;

/// The limit on retries to one service in any time window, over all machines together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetLimit {
    /// Retries allowed per thousand first attempts.
    pub ratio_permille: u64,
    /// Retries allowed in addition to the ratio.
    pub slack: u64,
}

/// One machine's share of the retry budget of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MachineShare {
    balance_milli: u64,
}

impl MachineShare {
    /// Adds what one first attempt earns.
    ///
    /// `machines` is the number of machines that share `limit`.
    pub fn deposit(&mut self, limit: FleetLimit, machines: usize) {
        let earned = limit.ratio_permille * USED_PERMILLE / 1_000;
        self.balance_milli = (self.balance_milli + earned).min(balance_max_milli(limit, machines));
    }

    /// Takes one retry from the balance; returns whether the balance allowed it.
    pub const fn try_withdraw(&mut self) -> bool {
        if self.balance_milli < RETRY_MILLI {
            return false;
        }
        self.balance_milli -= RETRY_MILLI;
        true
    }
}

/// Returns the largest balance of one machine, in thousandths of a retry.
fn balance_max_milli(limit: FleetLimit, machines: usize) -> u64 {
    limit.slack * USED_PERMILLE / machines.max(1) as u64
}
