//! The platform's list of live and leaving entry VMs.

use std::future;

use waxwing_machine::entry_vm;

use crate::store;

/// The platform's list of entry VMs.
///
/// The list is stale by some time: it may still contain machines that have ended and lack new ones.
/// A machine that was on the list and no longer is has ended or is suspended, and its name is never
/// reused.
pub trait VmList {
    /// Reads the current list.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    fn vms(&self) -> impl future::Future<Output = store::Result<Vec<entry_vm::EntryVm>>>;
}
