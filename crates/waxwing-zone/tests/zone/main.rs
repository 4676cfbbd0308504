//! Failure domains and regions, object by object.

mod client_block;
mod shift;
mod steer;
