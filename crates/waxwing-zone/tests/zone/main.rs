//! Failure domains and regions, object by object.

mod client_block;
mod flow;
mod shift;
mod steer;
