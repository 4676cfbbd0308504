//! An entry VM in one process: entry, directory, membership and contracts.
//!
//! The parts, from the outside in:
//!
//! * [`run`]: starts the parts and ends them.
//! * [`settings`]: the settings.
//! * [`http_adapter`]: how requests, refusals and answers look on the wire, for an adapter to say.
//! * [`caller_connection`]: a caller's connection, with its requests carried at the same time.
//! * [`forward`]: a request from its arrival to its answer.
//! * [`access_log`]: what is written and counted of one request.
//! * [`counters`]: what an entry VM counts.
//! * [`request_admission`]: what is known of a request, and the checks before it may run.
//! * [`refusal`]: everything that a caller can be told instead of an answer.
//! * [`exchange`]: one request and its answer on a connection to a backend server.
//! * [`connection_pool`]: connections to backend servers that are kept.
//! * [`service_pools`]: the backend servers of all services.
//! * [`account`]: the tokens of one organisation on this machine.
//! * [`reachable_peers`]: the machines that may be asked for tokens.
//! * [`contracts`]: charges organisations, with tokens of this machine and of others.
//! * [`directory`]: tells callers which machines to use, and whether this one is ready.
//! * [`peers`]: datagrams between machines.
//! * [`arrival_rate`]: how many requests come.
//! * [`store_replica`]: what machines tell each other of the store.
//! * [`store_poll`]: follows the platform's store.
//! * [`registration`]: keeps this machine registered.
//! * [`reconcile`]: shares out what is known among contracts and pools.
//! * [`vm`]: what all of them share.

pub mod access_log;
pub mod account;
pub mod arrival_rate;
pub mod caller_connection;
pub mod connection_pool;
pub mod contracts;
pub mod counters;
pub mod directory;
pub mod exchange;
pub mod forward;
pub mod http_adapter;
pub mod peers;
pub mod reachable_peers;
pub mod reconcile;
pub mod refusal;
pub mod registration;
pub mod request_admission;
pub mod run;
pub mod service_pools;
pub mod settings;
pub mod store_poll;
pub mod store_replica;
pub mod vm;
