//! Measurements of the decisions over fakes with fixed seeds.
//!
//! * [`capacity`]: slopes for the capacity page.
//! * [`fleet`]: a few machines with one organisation's accounts and a network between them.
//! * [`reference`]: the ideal central bucket that the fleet is held against.
//! * [`trace`]: when and where requests arrive.
//! * [`contract`]: how much the fleet refuses of what the central bucket admits.

pub mod capacity;
pub mod contract;
pub mod fleet;
pub mod reference;
pub mod trace;
