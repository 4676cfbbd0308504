//! An entry VM in one process: entry, directory, membership and contracts.
//!
//! The parts, from the outside in:
//!
//! * [`run`]: starts the parts and ends them.
//! * [`settings`]: the settings.
//! * [`front`]: how requests, refusals and answers look on the wire, for an adapter to say.
//! * [`serve`]: a caller's connection, with its requests carried at the same time.
//! * [`carry`]: a request from its arrival to its answer.
//! * [`trace`]: what is written and counted of one request.
//! * [`counters`]: what an entry VM counts.
//! * [`journey`]: what is known of a request, and the checks before it may run.
//! * [`refusal`]: everything that a caller can be told instead of an answer.
//! * [`exchange`]: one request and its answer on a connection to a backend server.
//! * [`connections`]: connections to backend servers that are kept.
//! * [`pools`]: the backend servers of all services.
//! * [`account`]: the tokens of one organisation on this machine.
//! * [`lenders`]: the machines that may be asked for tokens.
//! * [`contracts`]: charges organisations, with tokens of this machine and of others.
//! * [`directory`]: tells callers which machines to use, and whether this one is ready.
//! * [`peers`]: datagrams between machines.
//! * [`arrivals`]: how many requests come.
//! * [`copies`]: what machines tell each other of the store.
//! * [`follow`]: follows the platform's store.
//! * [`register`]: keeps this machine registered.
//! * [`refill`]: shares out what is known among contracts and pools.
//! * [`vm`]: what all of them share.

pub mod account;
pub mod arrivals;
pub mod carry;
pub mod connections;
pub mod contracts;
pub mod copies;
pub mod counters;
pub mod directory;
pub mod exchange;
pub mod follow;
pub mod front;
pub mod journey;
pub mod lenders;
pub mod peers;
pub mod pools;
pub mod refill;
pub mod refusal;
pub mod register;
pub mod run;
pub mod serve;
pub mod settings;
pub mod trace;
pub mod vm;
