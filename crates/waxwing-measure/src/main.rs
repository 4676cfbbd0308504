//! Runs the measurements.

fn main() {}
