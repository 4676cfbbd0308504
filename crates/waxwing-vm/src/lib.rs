//! An entry VM as one process: reverse proxy, directory, fleet membership and rate limiting.
//!
//! The modules, from the outside in:
//!
//! * [`run`]: starts the endpoints and background tasks, and shuts them down.
//! * [`settings`]: the settings file and its checks.
//! * [`http_adapter`]: the trait by which a front end translates HTTP messages to and from the
//!   types of this crate.
//! * [`caller_connection`]: reads pipelined requests from a caller's connection and writes the
//!   responses in order.
//! * [`trailers`]: skips the trailers of a caller's chunked body.
//! * [`forward`]: handles one request, from its arrival to its response, with retries.
//! * [`access_log`]: the log line and the metrics of one request.
//! * [`counters`]: the metrics of an entry VM.
//! * [`request_admission`]: reads a request's body, authenticates the caller and charges its
//!   organisation.
//! * [`refusal`]: the errors that a caller can get instead of a backend server's response.
//! * [`memory`]: the memory held for callers, and which connection gives way.
//! * [`body`]: bodies in memory, in segments.
//! * [`request_reader`]: reads requests from a caller's connection.
//! * [`head_decoder`]: reads the heads of requests and counts their memory.
//! * [`response_guard`]: watches connections to servers for bytes that belong to no request.
//! * [`exchange`]: sends one request to a backend server and reads the response.
//! * [`connection_pool`]: idle connections to backend servers, for reuse.
//! * [`leased_server`]: the server of an attempt, and what its responses say about it.
//! * [`server_events`]: logs and counts the changes of servers' states.
//! * [`service_pools`]: the backend servers of each service, and the retry budgets.
//! * [`account`]: an organisation's token balance on this VM, and its loans from other VMs.
//! * [`reachable_peers`]: the entry VMs that can be asked for a loan of tokens.
//! * [`contracts`]: charges organisations against their rate limits.
//! * [`directory`]: names entry VMs to callers and answers the platform's readiness probe.
//! * [`peers`]: datagrams between entry VMs, with heartbeats and token loans.
//! * [`digests`]: the heartbeats of regions, for the machines of others.
//! * [`arrival_rate`]: the average number of requests per second.
//! * [`store_replica`]: replicates the platform's store from one entry VM of a region to the
//!   others.
//! * [`region_reader`]: polls the entry VM of this region that reads the store.
//! * [`replica_query`]: one query to it, repeated over a slow link.
//! * [`replication_connection`]: the connection to it, given up without progress.
//! * [`configuration_poll`]: reads the configuration from the platform's store, or from another VM.
//! * [`store_poll`]: reads backend servers and members from the platform's store.
//! * [`registration`]: keeps this VM registered in the store.
//! * [`reconcile`]: recomputes contract shares and server pools from configuration and membership.
//! * [`vm`]: the state that the other modules share.

pub mod access_log;
pub mod account;
pub mod arrival_rate;
pub mod body;
pub mod caller_connection;
pub mod configuration_poll;
pub mod connection_pool;
pub mod contracts;
pub mod counters;
pub mod digests;
pub mod directory;
pub mod exchange;
pub mod forward;
pub mod head_decoder;
pub mod http_adapter;
pub mod leased_server;
pub mod memory;
pub mod peers;
pub mod reachable_peers;
pub mod reconcile;
pub mod refusal;
pub mod region_reader;
pub mod registration;
pub mod replica_query;
pub mod replication_connection;
pub mod request_admission;
pub mod request_reader;
pub mod response_guard;
pub mod run;
pub mod server_events;
pub mod service_pools;
pub mod settings;
pub mod store_poll;
pub mod store_replica;
pub mod trailers;
pub mod vm;
