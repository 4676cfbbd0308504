//! How requests, refusals and answers look on the wire, for an adapter to say.

use std::net;
use std::time;

use ntex::http;
use ntex::http::header;
use ntex::web;
use waxwing_machine::placement;
use waxwing_machine::server_health;
use waxwing_units::id;

use crate::refusal;

/// A header that is sent.
pub type Header = (header::HeaderName, header::HeaderValue);

/// What a caller says with its request.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// The host that the request is for.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// The name that the caller gave the request; an answer has to repeat it.
    pub request_id: String,
    /// How long the caller waits.
    pub timeout: Option<time::Duration>,
    /// The caller's key.
    pub key: Option<Vec<u8>>,
    /// The object that the request is about.
    pub object: Option<String>,
}

/// What a backend server is told beyond the caller's own headers.
#[derive(Debug, Clone)]
pub struct ForwardContext<'a> {
    /// The server that the request is for; another one does not run it.
    pub lease: &'a placement::Lease,
    /// The time that is left.
    pub time_left: time::Duration,
    /// The organisation whose request it is.
    pub organisation: Option<&'a id::OrganisationId>,
}

/// What an answer of a backend server says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The server ran the request; its answer is passed on.
    Answered,
    /// The server ran the request and says that it failed; its answer is passed on.
    AnsweredFailure,
    /// The server did not run the request.
    NotRun,
    /// Another server has the address, and did not run the request.
    OtherServer,
    /// The answer belongs to no request, or to another one.
    Foreign,
    /// The answer must not be passed on, and the request may have run.
    Unusable,
}

/// What an answer says beside its verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reading {
    /// What it says of the request.
    pub verdict: Verdict,
    /// The load that the server reports.
    pub load: Option<server_health::Load>,
    /// How long the server says that it stays cold.
    pub cold_left: Option<time::Duration>,
    /// How long the server keeps the connection; none where it closes it.
    pub keeps: Option<time::Duration>,
}

/// What a caller of the directory says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// The failure domain that the caller is in.
    pub failure_domain: Option<id::FailureDomainId>,
    /// The region that the caller is in.
    pub region: Option<id::RegionId>,
}

/// How requests, refusals and answers look on the wire.
pub trait HttpAdapter: Send + Sync {
    /// Reads what a caller says with its request.
    fn parse_request(&self, request: &http::RequestHead) -> IncomingRequest;

    /// Returns the headers that a backend server gets to see.
    fn upstream_headers(
        &self,
        headers: &header::HeaderMap,
        passing: &ForwardContext<'_>,
    ) -> Vec<Header>;

    /// Reads what the head of an answer to `request` says.
    fn parse_response(
        &self,
        request: &str,
        status: http::StatusCode,
        headers: &header::HeaderMap,
    ) -> Reading;

    /// Returns the headers of an answer that the caller gets to see.
    fn response_headers(&self, headers: &header::HeaderMap) -> Vec<Header>;

    /// Returns what a caller is told instead of an answer.
    fn refusal_response(&self, request: &str, refusal: &refusal::Refusal) -> web::HttpResponse;

    /// Reads a question to the directory; none where it is none.
    fn parse_directory_query(&self, request: &web::HttpRequest) -> Option<DirectoryQuery>;

    /// Returns an answer of the directory.
    fn directory_response(
        &self,
        addresses: &[net::SocketAddr],
        validity: time::Duration,
    ) -> web::HttpResponse;

    /// Tells whether a request asks if this machine is ready.
    fn is_readiness_probe(&self, request: &web::HttpRequest) -> bool;
}
