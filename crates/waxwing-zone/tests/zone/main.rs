//! Tests of failure domains and regions, with a module for each tested module of the crate.

mod client_block;
mod locality;
mod shift;
mod steer;
