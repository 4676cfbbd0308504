//! The errors that a caller can get instead of a backend server's response.

use ntex::http;
use ntex::web;
use waxwing_contract::charge;
use waxwing_keeper_client::client;
use waxwing_protocol::local;
use waxwing_request::attempt;
use waxwing_request::outcome;
use waxwing_units::id;
use waxwing_units::size;

use crate::headers;

/// The retry delay if another entry VM may be able to serve the caller now; whole seconds.
const ELSEWHERE_RETRY_S: u64 = 1;

/// Milliseconds per second.
const MS_PER_S: u64 = 1_000;

/// Why a request gets no response from a backend server.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// This VM is shutting down and accepts no new requests.
    #[error("this entry VM leaves; use another one")]
    ShuttingDown,
    /// This VM has not received any records from its keeper yet.
    #[error("this entry VM has no records yet; use another one")]
    NoRecords,
    /// The records do not allow the request, but are too old to exclude that newer ones do.
    #[error(
        "the records of this entry VM are out of date and do not allow the request; use another one"
    )]
    RecordsStale,
    /// The first segment of the path is not the name of a service.
    #[error("there is no such service; the path begins with the name of one")]
    UnknownService,
    /// The service needs a key and the request has none.
    #[error("this service needs a key; send it in the header {}", headers::KEY)]
    MissingKey,
    /// The key is unknown or withdrawn.
    #[error("the key is not known or was withdrawn")]
    UnknownKey,
    /// The request was charged to an organisation to which its key no longer belongs; it may be
    /// admitted again for the one to which it does.
    #[error("the key belongs to another organisation now")]
    OrganisationChanged,
    /// The records were last confirmed longer ago than the service allows, so the key may have been
    /// withdrawn since.
    #[error(
        "this entry VM is cut off and can't tell whether the key was withdrawn; use another one"
    )]
    KeysStale,
    /// The path or query contains the key, which the backend server would receive.
    #[error("the key must stand in the header {} only", headers::KEY)]
    KeyInPath,
    /// The body exceeds the service's limit.
    #[error("the body is larger than {max}, the most that this service takes")]
    BodyTooLarge {
        /// The largest body that the service accepts.
        max: size::Bytes,
    },
    /// The timeout header is not a positive number.
    #[error("{} is not a number of milliseconds above 0", headers::TIMEOUT_MS)]
    InvalidTimeout,
    /// The organisation has used up its rate and burst.
    #[error("the organisation has used up its rate and burst")]
    Exhausted {
        /// The time until a token is expected, in milliseconds.
        retry_after_ms: u64,
    },
    /// The keeper can't be reached, or can't tell whether the organisation has tokens left.
    #[error("the organisation's contract can't be reached from here; use another entry VM")]
    ContractUnreachable,
    /// The home region can't run the request, and the service's cap allows no more traffic to other
    /// regions yet.
    #[error("the home region can't serve, and no more traffic may move to others yet")]
    ShiftCapped,
    /// This VM has no usable backend server of the service, and no other reachable one has a free
    /// slot.
    #[error("no backend server of this service can be reached from here")]
    NoBackendServer,
    /// This VM has no spare slot for a request that another entry VM forwarded.
    #[error("no slot to spare")]
    NoSpareSlot,
    /// The organisation's queue for slots of the service is full.
    #[error("too many requests of the organisation wait already")]
    QueueFull,
    /// The caller's body did not arrive before the request's deadline, and nothing of it was sent.
    #[error("the body did not arrive in time")]
    BodyTimeout,
    /// The caller's body ended early, or turned out to exceed the service's limit after a part of
    /// it was sent.
    #[error("the upload broke off ({outcome})")]
    BodyIncomplete {
        /// Whether the request may have run.
        outcome: outcome::Outcome,
    },
    /// No attempt produced a response that could be forwarded.
    #[error("{fault} while {state}")]
    Failed {
        /// How far the last attempt got.
        state: attempt::State,
        /// What ended the last attempt.
        fault: attempt::Fault,
        /// Whether any attempt may have run the request.
        outcome: outcome::Outcome,
    },
}

impl From<client::Error> for Refusal {
    fn from(error: client::Error) -> Self {
        match error {
            // The organisation is in the records of this process, which came from the keeper: the
            // keeper has restarted since, or has newer records that arrive here next.
            client::Error::KeeperUnavailable
            | client::Error::Refused(local::ChargeRefusal::UnknownOrganisation) => {
                Self::ContractUnreachable
            }
            client::Error::Refused(local::ChargeRefusal::Contract(refusal)) => match refusal {
                charge::Refusal::Exhausted { retry_after_ms } => {
                    Self::Exhausted { retry_after_ms: retry_after_ms.0 }
                }
                charge::Refusal::Unreachable => Self::ContractUnreachable,
            },
        }
    }
}

impl Refusal {
    /// Returns whether the request may have run.
    pub const fn outcome(&self) -> outcome::Outcome {
        match self {
            Self::Failed { outcome, .. } | Self::BodyIncomplete { outcome } => *outcome,
            _ => outcome::Outcome::NotRun,
        }
    }

    /// Returns whether newer records may allow the request.
    pub const fn depends_on_records(&self) -> bool {
        matches!(
            self,
            Self::UnknownService | Self::MissingKey | Self::UnknownKey | Self::BodyTooLarge { .. }
        )
    }

    /// Returns the number of seconds after which a retry makes sense, if it is known.
    fn retry_after_s(&self) -> Option<u64> {
        match self {
            Self::Exhausted { retry_after_ms } => Some(retry_after_ms.div_ceil(MS_PER_S).max(1)),
            Self::RecordsStale | Self::OrganisationChanged => Some(ELSEWHERE_RETRY_S),
            _ => None,
        }
    }

    /// Returns the HTTP status of the response to the caller.
    pub const fn status(&self) -> http::StatusCode {
        match self {
            Self::UnknownService => http::StatusCode::NOT_FOUND,
            Self::MissingKey => http::StatusCode::UNAUTHORIZED,
            Self::UnknownKey => http::StatusCode::FORBIDDEN,
            Self::KeyInPath | Self::InvalidTimeout | Self::BodyIncomplete { .. } => {
                http::StatusCode::BAD_REQUEST
            }
            Self::BodyTimeout => http::StatusCode::REQUEST_TIMEOUT,
            Self::BodyTooLarge { .. } => http::StatusCode::PAYLOAD_TOO_LARGE,
            Self::Exhausted { .. } => http::StatusCode::TOO_MANY_REQUESTS,
            Self::ShuttingDown
            | Self::NoRecords
            | Self::RecordsStale
            | Self::OrganisationChanged
            | Self::KeysStale
            | Self::ContractUnreachable
            | Self::QueueFull
            | Self::ShiftCapped
            | Self::NoBackendServer
            | Self::NoSpareSlot => http::StatusCode::SERVICE_UNAVAILABLE,
            Self::Failed { fault, .. } => match fault {
                attempt::Fault::DeadlineExceeded => http::StatusCode::GATEWAY_TIMEOUT,
                attempt::Fault::NoSlot | attempt::Fault::DeclaredNotRun => {
                    http::StatusCode::SERVICE_UNAVAILABLE
                }
                _ => http::StatusCode::BAD_GATEWAY,
            },
        }
    }

    /// Builds the response to the entry VM that forwarded the request.
    ///
    /// Where the request did not run, the response declares that in the same way as a backend
    /// server does: with status 503 and the header [`headers::NOT_RUN`].
    pub fn peer_response(&self, request_id: &id::RequestId) -> web::HttpResponse {
        let is_not_run = self.outcome() == outcome::Outcome::NotRun;
        let status = match is_not_run {
            true => http::StatusCode::SERVICE_UNAVAILABLE,
            false => self.status(),
        };
        let mut builder = web::HttpResponse::build(status);
        builder.header(headers::OUTCOME, self.outcome().to_string());
        builder.header(headers::REQUEST_ID, request_id.as_str());
        if is_not_run {
            builder.header(headers::NOT_RUN, "true");
        }
        builder.body(format!("{self}\n"))
    }

    /// Builds the response to the caller, with the delay after which a retry makes sense if it is
    /// known.
    pub fn response(&self, request_id: &id::RequestId) -> web::HttpResponse {
        let mut builder = web::HttpResponse::build(self.status());
        builder.header(headers::OUTCOME, self.outcome().to_string());
        builder.header(headers::REQUEST_ID, request_id.as_str());
        if let Some(seconds) = self.retry_after_s() {
            builder.header(http::header::RETRY_AFTER, seconds.to_string());
        }
        // Another entry VM can serve the caller now.
        if *self == Self::ShuttingDown {
            builder.header(http::header::RETRY_AFTER, "0");
        }
        builder.content_type("text/plain; charset=utf-8");
        builder.body(format!("{self}\n"))
    }
}
