//! Failure domains and regions, object by object.

mod shift;
mod steer;
