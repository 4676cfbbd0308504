//! The states of an attempt and what a fault in each of them means.

use std::fmt;

use crate::outcome;

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// The request waits for a slot; no backend server is chosen.
    Waiting,
    /// A connection to the backend server is being opened.
    Connecting,
    /// The connection is open; bytes of the request may have reached the backend server.
    Sending,
    /// All of the request was sent.
    Sent,
    /// The head of an answer has come; its body may follow.
    ReceivingResponse,
}

/// All states, in order.
pub const STATES: [State; 5] =
    [State::Waiting, State::Connecting, State::Sending, State::Sent, State::ReceivingResponse];

/// What ended an attempt before a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// No slot came free in time.
    NoSlot,
    /// The backend server refused or did not accept the connection.
    ConnectFailed,
    /// The connection was closed or reset.
    Disconnected,
    /// The deadline passed.
    DeadlineExceeded,
    /// The caller has gone.
    CallerDisconnected,
    /// The caller's upload broke off.
    UploadInterrupted,
    /// The backend server said that it did not run the request.
    DeclaredNotRun,
    /// The answer can't be understood.
    MalformedResponse,
}

/// All faults.
pub const FAULTS: [Fault; 8] = [
    Fault::NoSlot,
    Fault::ConnectFailed,
    Fault::Disconnected,
    Fault::DeadlineExceeded,
    Fault::CallerDisconnected,
    Fault::UploadInterrupted,
    Fault::DeclaredNotRun,
    Fault::MalformedResponse,
];

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Repeatability {
    /// The request is idempotent.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
}

/// Whether the request's body can be sent again from its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Body {
    /// The body is kept, or there is none.
    Buffered,
    /// Part of the body may have been read from the caller and passed on.
    Streamed,
}

/// What is done after a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Action {
    /// The request may be attempted again, if the retry budget and the deadline allow it.
    Retry {
        /// What the caller is told if it is not attempted again.
        otherwise: outcome::Outcome,
    },
    /// The caller is told.
    Fail(outcome::Outcome),
    /// The answer has begun: the caller's connection is broken, so that a part of the answer
    /// can't pass for all of it.
    AbortResponse,
}

/// Tells whether a backend server may have run the request.
///
/// It can't have where no connection was open, or where the server itself says that it did not.
pub fn may_have_run(state: State, fault: Fault) -> bool {
    match fault {
        Fault::DeclaredNotRun | Fault::NoSlot => false,
        _ => state >= State::Sending,
    }
}

/// Judges a fault in an attempt.
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
    );
    let may_run_again = !may_have_run || repeatability == Repeatability::Idempotent;
    let can_be_sent = body == Body::Buffered || state < State::Sending;
    match !is_final && may_run_again && can_be_sent {
        true => Action::Retry { otherwise },
        false => Action::Fail(otherwise),
    }
}

/// What the attempts at one request have come to so far.
///
/// Once an attempt may have run the request, no later attempt makes that untrue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct History {
    may_have_run: bool,
}

impl History {
    /// Tells whether any attempt may have run the request.
    pub const fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Judges a fault in the latest attempt, in the light of all attempts before it.
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
        })
    }
}
