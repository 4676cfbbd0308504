//! Carries callers' requests to backend servers.
//!
//! The way of a request, module by module:
//!
//! * [`carry`]: from the caller's request to the answer.
//! * `journey`: what is known of a request on its way, and the checks before it may run.
//! * `target`: where it is attempted next, and the wait for a slot there.
//! * `source`: its body before it is known which attempt sends it.
//! * [`headers`]: what of a caller's headers is used, and what a backend server gets to see.
//! * [`places`]: whether a request is attempted here or at another entry VM.
//! * [`pools`]: slots at backend servers, and the requests that wait for them.
//! * [`upstream`]: one attempt at one backend server.
//! * [`upload`]: the request's body on its way to the backend server.
//! * [`answer`]: the answer's body on its way to the caller.
//! * [`refusal`]: everything that a caller can be told instead of an answer.
//!
//! Around it: [`entry`] is what all workers share, [`probe`] asks backend servers how they are,
//! and [`settings`] are the settings.

pub mod answer;
pub mod carry;
pub mod entry;
pub mod headers;
mod journey;
pub mod places;
pub mod pools;
pub mod probe;
pub mod refusal;
pub mod settings;
mod source;
mod target;
pub mod upload;
pub mod upstream;
