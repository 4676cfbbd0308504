//! The lagging list of live and leaving entry VMs.

use std::future;

use waxwing_machine::entry_vm;

use crate::store;

/// The platform's list of entry VMs.
///
/// The list lags. A machine that it has named and does not name any more has ended or stands
/// still, and its name is never used again.
pub trait VmList {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns an error where the platform does not answer.
    fn vms(&self) -> impl future::Future<Output = store::Result<Vec<entry_vm::EntryVm>>>;
}
