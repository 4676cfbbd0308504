//! How often requests to a service may be sent again, over all machines together.
//!
//! Each machine earns repeats from the requests that it sends itself, and has its part of what may
//! be repeated beyond that. It begins with nothing saved, so that restarts give nothing away.

/// Thousandths in one repeat.
const REPEAT_MILLI: u64 = 1_000;

/// The part of the allowed repeats that is used, in thousandths; the rest covers the edges of
/// windows and disagreement about the number of machines.
const USED_PERMILLE: u64 = 700;

/// What may be repeated in some span, over all machines together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetLimit {
    /// Repeats for each thousand requests.
    pub ratio_permille: u64,
    /// Repeats beyond that.
    pub slack: u64,
}

/// One machine's budget for one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MachineShare {
    saved_milli: u64,
}

impl MachineShare {
    /// Notes a request that is sent the first time.
    pub fn deposit(&mut self, allowance: FleetLimit, machines: usize) {
        let earned = allowance.ratio_permille * USED_PERMILLE / 1_000;
        self.saved_milli = (self.saved_milli + earned).min(saved_max_milli(allowance, machines));
    }

    /// Spends a repeat; returns whether there was one.
    pub const fn try_withdraw(&mut self) -> bool {
        if self.saved_milli < REPEAT_MILLI {
            return false;
        }
        self.saved_milli -= REPEAT_MILLI;
        true
    }
}

/// Returns what one machine may save up.
fn saved_max_milli(allowance: FleetLimit, machines: usize) -> u64 {
    allowance.slack * USED_PERMILLE / machines.max(1) as u64
}
