//! The states of an upstream attempt, and whether a failed one is retried.
//!
//! An attempt sends one request to one backend server. [`decide`] maps the state in which an
//! attempt failed and the fault to an [`Action`]; [`History`] does so over all attempts at one
//! request.

use std::fmt;

use crate::outcome;

/// The progress of an upstream attempt, in the order in which an attempt passes through the states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// The request waits for a slot; no backend server has been chosen.
    Waiting,
    /// A connection to the backend server is being opened.
    Connecting,
    /// The connection is open; part of the request may have reached the backend server.
    Sending,
    /// The whole request has been sent; no response has arrived.
    Sent,
    /// The response head has arrived; the body may still be incomplete.
    ReceivingResponse,
}

/// All states in the order of an attempt, for tables over every state.
pub const STATES: [State; 5] =
    [State::Waiting, State::Connecting, State::Sending, State::Sent, State::ReceivingResponse];

/// The reason why an attempt ended without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// No backend server had a free slot for the request in time.
    NoSlot,
    /// The connection to the backend server was refused or could not be opened.
    ConnectFailed,
    /// The connection to the backend server was closed or reset.
    Disconnected,
    /// The request's deadline passed.
    DeadlineExceeded,
    /// The caller closed its connection.
    CallerDisconnected,
    /// The request body from the caller ended early.
    UploadInterrupted,
    /// The backend server responded that it did not run the request.
    DeclaredNotRun,
    /// The response can't be parsed or used.
    MalformedResponse,
    /// The backend server began to drain or back off before the request was sent.
    ServerUnavailable,
    /// This machine has no memory for the response.
    MemoryFull,
}

/// All faults, for tables over every fault.
pub const FAULTS: [Fault; 10] = [
    Fault::NoSlot,
    Fault::ConnectFailed,
    Fault::Disconnected,
    Fault::DeadlineExceeded,
    Fault::CallerDisconnected,
    Fault::UploadInterrupted,
    Fault::DeclaredNotRun,
    Fault::MalformedResponse,
    Fault::ServerUnavailable,
    Fault::MemoryFull,
];

/// Whether a request may be run more than once.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum Repeatability {
    /// Running the request again has no further effect.
    Idempotent,
    /// The request is not idempotent and must run at most once.
    AtMostOnce,
}

/// Whether the request body can be resent from its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Body {
    /// The whole body is held in memory, or there is none.
    Buffered,
    /// The body is forwarded while it is received, so parts of it may be gone.
    Streamed,
}

/// What the proxy does after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Action {
    /// Retry the request if the retry budget and the deadline allow it.
    Retry {
        /// The outcome reported to the caller if the request is not retried.
        otherwise: outcome::Outcome,
    },
    /// Don't retry; report this outcome to the caller.
    Fail(outcome::Outcome),
    /// The response has begun: close the caller's connection, so that a truncated response is not
    /// taken for a complete one.
    AbortResponse,
}

/// Returns whether a backend server may have run the request in an attempt that failed.
///
/// It can't have if no connection was open, if no slot was given, or if the server itself
/// responded that it did not run the request.
pub fn may_have_run(state: State, fault: Fault) -> bool {
    match fault {
        Fault::DeclaredNotRun | Fault::NoSlot => false,
        _ => state >= State::Sending,
    }
}

/// Decides what to do after a failed attempt, without regard to earlier attempts.
///
/// A request is retried only if the fault is worth a retry, the request may run again, and its
/// body can still be sent.
pub fn decide(state: State, fault: Fault, repeatability: Repeatability, body: Body) -> Action {
    if state == State::ReceivingResponse && fault != Fault::DeclaredNotRun {
        return Action::AbortResponse;
    }
    let may_have_run = may_have_run(state, fault);
    let otherwise = if may_have_run { outcome::Outcome::Unknown } else { outcome::Outcome::NotRun };
    let is_final = matches!(
        fault,
        Fault::NoSlot
            | Fault::DeadlineExceeded
            | Fault::CallerDisconnected
            | Fault::UploadInterrupted
            | Fault::MemoryFull
    );
    let may_run_again = !may_have_run || repeatability == Repeatability::Idempotent;
    let can_send_body = body == Body::Buffered || state < State::Sending;
    match !is_final && may_run_again && can_send_body {
        true => Action::Retry { otherwise },
        false => Action::Fail(otherwise),
    }
}

/// What is known from all attempts at one request so far.
///
/// After an attempt that may have run the request, the outcome is never reported as
/// [`outcome::Outcome::NotRun`], whatever later attempts show.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct History {
    may_have_run: bool,
}

impl History {
    /// Returns whether a backend server may have run the request in any attempt so far.
    pub const fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Decides what to do after the latest attempt failed, with regard to all earlier attempts.
    pub fn decide(
        &mut self,
        state: State,
        fault: Fault,
        repeatability: Repeatability,
        body: Body,
    ) -> Action {
        self.may_have_run |= may_have_run(state, fault);
        match decide(state, fault, repeatability, body) {
            Action::Retry { otherwise } => Action::Retry { otherwise: self.outcome(otherwise) },
            Action::Fail(outcome) => Action::Fail(self.outcome(outcome)),
            Action::AbortResponse => Action::AbortResponse,
        }
    }

    fn outcome(self, latest: outcome::Outcome) -> outcome::Outcome {
        match self.may_have_run {
            true => outcome::Outcome::Unknown,
            false => latest,
        }
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Waiting => "waiting",
            Self::Connecting => "connecting",
            Self::Sending => "sending",
            Self::Sent => "sent",
            Self::ReceivingResponse => "answering",
        })
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::NoSlot => "no slot in time",
            Self::ConnectFailed => "connection refused",
            Self::Disconnected => "connection closed",
            Self::DeadlineExceeded => "deadline passed",
            Self::CallerDisconnected => "caller gone",
            Self::UploadInterrupted => "upload broken",
            Self::DeclaredNotRun => "declared not run",
            Self::MalformedResponse => "answer malformed",
            Self::ServerUnavailable => "server unavailable",
            Self::MemoryFull => "no memory left",
        })
    }
}
