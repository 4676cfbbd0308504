//! Tests of the routing table, one module per source module.

mod changes;
mod split;
mod staleness;
mod table;
