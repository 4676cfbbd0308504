//! Measurements of the contract over the fake fleet.
