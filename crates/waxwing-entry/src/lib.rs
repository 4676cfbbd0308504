//! The reverse proxy of an entry VM, in a process of its own.
//!
//! It authenticates callers, charges their organisations through the keeper process of this
//! machine, and forwards requests to backend servers or to other entry VMs. A request passes
//! through these modules:
//!
//! * [`forward`]: handles one request from its arrival to its response, with retries.
//! * `request_admission`: checks a request, authenticates the caller and charges its organisation.
//! * `request_body`: buffers a short body, so that a retry can send it again; streams a long one.
//! * `target`: selects the backend server or entry VM of the next attempt and waits for a slot.
//! * [`failover`]: decides whether this machine or another entry VM attempts a request.
//! * [`service_pools`]: the backend servers of each service, the queue for their slots and the
//!   retry budget.
//! * [`headers`]: header names, and the headers that are forwarded in each direction.
//! * [`upstream`]: sends one attempt to a backend server or entry VM.
//! * [`upload`]: streams a request's body to the backend server.
//! * [`response_body`]: streams a response's body to the caller.
//! * [`refusal`]: the errors that a caller can get instead of a backend server's response.
//!
//! Around it: [`entry`] is the state that all workers share, [`probe`] polls the load reports of
//! backend servers, and [`settings`] is the settings file.

pub mod entry;
pub mod failover;
pub mod forward;
pub mod headers;
pub mod probe;
pub mod refusal;
mod request_admission;
mod request_body;
pub mod response_body;
pub mod service_pools;
pub mod settings;
mod target;
pub mod upload;
pub mod upstream;
