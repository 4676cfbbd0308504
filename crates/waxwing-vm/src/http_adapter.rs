//! The boundary between this crate and the HTTP dialect of a platform.
//!
//! A front end implements [`HttpAdapter`], which maps headers, paths and status codes to and from
//! the types below. No other module depends on a platform's header names or paths.

use std::net;
use std::time;

use ntex::http;
use ntex::http::header;
use ntex::web;
use waxwing_machine::placement;
use waxwing_machine::retry_after;
use waxwing_machine::server_health;
use waxwing_units::id;

use crate::refusal;

/// A header name with its value.
pub type Header = (header::HeaderName, header::HeaderValue);

/// The parts of a caller's request that decide how it is handled.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// The value of the `Host` header, which selects the route together with the path.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// The caller's id for the request; every response has to repeat it.
    pub request_id: String,
    /// How long the caller waits for a response, if it says so.
    pub timeout: Option<time::Duration>,
    /// The caller's API key, as sent.
    pub key: Option<Vec<u8>>,
    /// The object that the request concerns, which is the affinity key: on routes with affinity,
    /// requests for the same object go to the same few backend servers.
    pub object: Option<String>,
}

/// What the headers to a backend server carry beyond the caller's own.
#[derive(Debug, Clone)]
pub struct ForwardContext<'a> {
    /// The backend server that the request is meant for; a server with another identity rejects it.
    pub lease: &'a placement::Lease,
    /// The time left until the request's deadline.
    pub time_left: time::Duration,
    /// The organisation that the request was charged to; `None` for an anonymous request.
    pub organisation: Option<&'a id::OrganisationId>,
}

/// The classification of a backend server's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The server ran the request; its response is forwarded.
    Answered,
    /// The server ran the request and reports a failure; its response is forwarded unless a retry
    /// brings another.
    AnsweredFailure,
    /// The server declares that it did not run the request.
    NotRun,
    /// Another server has the address now, and did not run the request.
    OtherServer,
    /// The response does not carry the id of this request.
    Foreign,
    /// The response must not be forwarded, and the request may have run.
    Unusable,
}

/// What a response's status and headers say about the request and the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reading {
    /// Whether the request ran and whether the response can be forwarded.
    pub verdict: Verdict,
    /// The load that the server reports, if it does.
    pub load: Option<server_health::Load>,
    /// How long the server expects to stay cold, that is, able to handle only a few requests per
    /// second, if it says so.
    pub cold_left: Option<time::Duration>,
    /// Whether the server announces that it drains.
    pub is_draining: bool,
    /// The backoff that a server requests beside status 503; `None` if it requests none.
    pub retry_after: Option<retry_after::Result<retry_after::RetryAfter>>,
    /// How long the connection can be reused; `None` if the server closes it.
    pub keeps: Option<time::Duration>,
}

/// Where a caller of the directory is located, as far as it says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// The failure domain of the caller.
    pub failure_domain: Option<id::FailureDomainId>,
    /// The region of the caller.
    pub region: Option<id::RegionId>,
}

/// Translates between a platform's HTTP messages and the types of this crate.
pub trait HttpAdapter: Send + Sync {
    /// Extracts the routing data, deadline and key from the head of a caller's request.
    fn parse_request(&self, request: &http::RequestHead) -> IncomingRequest;

    /// Returns the headers for the backend server: the caller's end-to-end headers and those from
    /// `context`.
    fn upstream_headers(
        &self,
        headers: &header::HeaderMap,
        context: &ForwardContext<'_>,
    ) -> Vec<Header>;

    /// Classifies a response to the request `request_id` by its status and headers.
    fn parse_response(
        &self,
        request_id: &str,
        status: http::StatusCode,
        headers: &header::HeaderMap,
    ) -> Reading;

    /// Returns the headers of a backend server's response that are forwarded to the caller.
    fn response_headers(&self, headers: &header::HeaderMap) -> Vec<Header>;

    /// Builds the response to a request that has no backend server's response.
    fn refusal_response(&self, request_id: &str, refusal: &refusal::Refusal) -> web::HttpResponse;

    /// Parses a query to the directory; returns `None` if the request is not one.
    fn parse_directory_query(&self, request: &web::HttpRequest) -> Option<DirectoryQuery>;

    /// Builds the directory's response; callers may cache it for `validity`.
    fn directory_response(
        &self,
        addresses: &[net::SocketAddr],
        validity: time::Duration,
    ) -> web::HttpResponse;

    /// Returns whether a request is the platform's readiness probe.
    fn is_readiness_probe(&self, request: &web::HttpRequest) -> bool;
}
