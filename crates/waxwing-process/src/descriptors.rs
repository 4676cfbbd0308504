//! The limit on the descriptors of this process.

use rustix::process;

/// The limit that is assumed where the system states none.
const UNLIMITED: u64 = 65_536;

/// Returns how many descriptors this process may open.
pub fn limit() -> u64 {
    process::getrlimit(process::Resource::Nofile).current.unwrap_or(UNLIMITED)
}
