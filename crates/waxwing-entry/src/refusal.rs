//! Everything that a caller can be told instead of an answer.

use ntex::http;
use ntex::web;
use waxwing_contract::borrower;
use waxwing_keeper_client::client;
use waxwing_protocol::local;
use waxwing_request::attempt;
use waxwing_request::outcome;
use waxwing_units::id;
use waxwing_units::size;

use crate::headers;

/// Milliseconds per second.
const MS_PER_S: u64 = 1_000;

/// Why a caller gets no answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The machine leaves and takes no new requests.
    #[error("this entry VM leaves; use another one")]
    Leaving,
    /// No records are in force yet.
    #[error("this entry VM has no records yet; use another one")]
    NoRecords,
    /// The path names no service.
    #[error("there is no such service; the path begins with the name of one")]
    UnknownService,
    /// The service needs a key.
    #[error("this service needs a key; send it in the header {}", headers::KEY)]
    MissingKey,
    /// The key is not known, or was withdrawn.
    #[error("the key is not known or was withdrawn")]
    UnknownKey,
    /// This machine has been cut off for longer than the service allows keys to be taken.
    #[error(
        "this entry VM is cut off and can't tell whether the key was withdrawn; use another one"
    )]
    KeysStale,
    /// The key stands in the path or query.
    #[error("the key must stand in the header {} only", headers::KEY)]
    KeyInPath,
    /// The body is too large.
    #[error("the body is larger than {max}, the most that this service takes")]
    BodyTooLarge {
        /// The largest accepted body.
        max: size::Bytes,
    },
    /// The time that the caller allows can't be read.
    #[error("{} is not a number of milliseconds above 0", headers::TIMEOUT_MS)]
    BadTimeout,
    /// The organisation has used up its rate and burst.
    #[error("the organisation has used up its rate and burst")]
    Exhausted {
        /// When a token is expected, in milliseconds.
        retry_after_ms: u64,
    },
    /// Nobody can say whether the organisation has tokens left.
    #[error("the organisation's contract can't be reached from here; use another entry VM")]
    ContractUnreachable,
    /// The home region can't serve, and no more traffic may move to others yet.
    #[error("the home region can't serve, and no more traffic may move to others yet")]
    ShiftCapped,
    /// No backend server can be reached.
    #[error("no backend server of this service can be reached from here")]
    NoBackendServer,
    /// The machine has no slot to spare for a request that another one passed on.
    #[error("no slot to spare")]
    NoSlotToSpare,
    /// Too many requests of the organisation wait already.
    #[error("too many requests of the organisation wait already")]
    QueueFull,
    /// The caller's upload broke off.
    #[error("the upload broke off ({outcome})")]
    UploadBroken {
        /// Whether the request may have run.
        outcome: outcome::Outcome,
    },
    /// All attempts failed.
    #[error("{fault} while {state}")]
    Failed {
        /// How far the last attempt came.
        state: attempt::State,
        /// What ended it.
        fault: attempt::Fault,
        /// Whether the request may have run.
        outcome: outcome::Outcome,
    },
}

impl From<client::Error> for Refusal {
    fn from(error: client::Error) -> Self {
        match error {
            client::Error::KeeperUnavailable => Self::ContractUnreachable,
            client::Error::Refused(local::ChargeRefusal::UnknownOrganisation) => Self::UnknownKey,
            client::Error::Refused(local::ChargeRefusal::Contract(refusal)) => match refusal {
                borrower::Refusal::Exhausted { retry_after_ms } => {
                    Self::Exhausted { retry_after_ms: retry_after_ms.0 }
                }
                borrower::Refusal::Unreachable => Self::ContractUnreachable,
            },
        }
    }
}

impl Refusal {
    /// Returns whether the request may have run.
    pub const fn outcome(&self) -> outcome::Outcome {
        match self {
            Self::Failed { outcome, .. } | Self::UploadBroken { outcome } => *outcome,
            _ => outcome::Outcome::NotRun,
        }
    }

    /// Returns the status of the answer.
    pub const fn status(&self) -> http::StatusCode {
        match self {
            Self::UnknownService => http::StatusCode::NOT_FOUND,
            Self::MissingKey => http::StatusCode::UNAUTHORIZED,
            Self::UnknownKey => http::StatusCode::FORBIDDEN,
            Self::KeyInPath | Self::BadTimeout | Self::UploadBroken { .. } => {
                http::StatusCode::BAD_REQUEST
            }
            Self::BodyTooLarge { .. } => http::StatusCode::PAYLOAD_TOO_LARGE,
            Self::Exhausted { .. } => http::StatusCode::TOO_MANY_REQUESTS,
            Self::Leaving
            | Self::NoRecords
            | Self::KeysStale
            | Self::ContractUnreachable
            | Self::QueueFull
            | Self::ShiftCapped
            | Self::NoBackendServer
            | Self::NoSlotToSpare => http::StatusCode::SERVICE_UNAVAILABLE,
            Self::Failed { fault, .. } => match fault {
                attempt::Fault::DeadlineExceeded => http::StatusCode::GATEWAY_TIMEOUT,
                attempt::Fault::NoSlot | attempt::Fault::DeclaredNotRun => {
                    http::StatusCode::SERVICE_UNAVAILABLE
                }
                _ => http::StatusCode::BAD_GATEWAY,
            },
        }
    }

    /// Returns the answer to the entry VM that passed the request on.
    ///
    /// It says that the request did not run in the way in which backend servers do.
    pub fn guest_response(&self, request: &id::RequestId) -> web::HttpResponse {
        let is_not_run = self.outcome() == outcome::Outcome::NotRun;
        let status = match is_not_run {
            true => http::StatusCode::SERVICE_UNAVAILABLE,
            false => self.status(),
        };
        let mut builder = web::HttpResponse::build(status);
        builder.header(headers::OUTCOME, self.outcome().to_string());
        builder.header(headers::REQUEST, request.as_str());
        if is_not_run {
            builder.header(headers::NOT_RUN, "true");
        }
        builder.body(format!("{self}\n"))
    }

    /// Returns the answer to the caller.
    pub fn response(&self, request: &id::RequestId) -> web::HttpResponse {
        let mut builder = web::HttpResponse::build(self.status());
        builder.header(headers::OUTCOME, self.outcome().to_string());
        builder.header(headers::REQUEST, request.as_str());
        if let Self::Exhausted { retry_after_ms } = self {
            let seconds = retry_after_ms.div_ceil(MS_PER_S).max(1);
            builder.header(http::header::RETRY_AFTER, seconds.to_string());
        }
        builder.content_type("text/plain; charset=utf-8");
        builder.body(format!("{self}\n"))
    }
}
