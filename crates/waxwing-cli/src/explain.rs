//! Reconstructs from the logs of entry VMs how a request ended, and why.
//!
//! Uses the "request ended" line of each request with the given id, and the lines about the state
//! of the same machine just before it.

use std::fmt;
use std::io;

use serde::Deserialize;

/// The result of searching logs.
pub type Result<T> = std::result::Result<T, Error>;

/// An error that prevents the explanation of a request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A log can't be read.
    #[error("the logs can't be read: {0}")]
    Read(#[from] io::Error),
    /// No log line contains the request id.
    #[error(
        "no log line contains the request {request}; give the logs of all machines, and check in \
         left_out whether lines were suppressed"
    )]
    NotFound {
        /// The request id that was searched for.
        request: String,
    },
}

/// The parts of a JSON log line that are used; `kvs` is missing in lines about the machine.
///
/// Lines with other key-value pairs than those of a request don't parse and are skipped.
#[derive(Debug, Clone, Deserialize)]
struct LogLine {
    timestamp: String,
    message: String,
    kvs: Option<RequestSummary>,
}

/// The key-value pairs of a "request ended" log line.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct RequestSummary {
    /// The request id that the caller sent.
    pub request: String,
    /// The matched route; empty if none matched.
    pub route: String,
    /// The authenticated organisation; empty if there is none.
    pub organisation: String,
    /// The upstream attempts, separated by semicolons: backend server and how it ended.
    pub attempts: String,
    /// One of `answered`, `refused` and `caller-gone`.
    pub outcome: String,
    /// The HTTP status of the response; zero if there was none.
    pub status: u16,
    /// Why the request was not answered; empty if it was.
    pub reason: String,
    /// The time from the start of the request to its end, in milliseconds.
    pub took_ms: u64,
    /// The version of the configuration by which the request was handled.
    pub version: u64,
    /// The time since that version was last confirmed to be the newest, in milliseconds.
    pub version_age_ms: u64,
}

/// How one request ended, with the state of the machine before it.
///
/// There may be several with the same id: a caller that retries sends it again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// When the request ended: the timestamp of its log line.
    pub ended_at: String,
    /// The key-value pairs of its log line.
    pub summary: RequestSummary,
    /// The last lines before it that are about the machine and not about a request, oldest first.
    pub machine_lines: Vec<String>,
}

/// The number of lines about the machine that are shown with a request.
const MACHINE_LINES_MAX: usize = 3;

/// Returns all requests with the id `request` that ended in the log of one machine.
///
/// Skips lines that are not JSON log lines, because other programs may write to the same output;
/// text before the JSON object of a line is ignored.
///
/// # Errors
///
/// Returns [`Error::Read`] if the log can't be read.
pub fn search(log: impl io::BufRead, request: &str) -> Result<Vec<Explanation>> {
    let mut found = Vec::new();
    let mut machine_lines: Vec<String> = Vec::new();
    for text in log.lines() {
        let text = text?;
        let json = text.find('{').map_or("", |at| &text[at..]);
        let Ok(line) = serde_json::from_str::<LogLine>(json) else {
            continue;
        };
        match line.kvs {
            Some(summary) if summary.request == request => {
                found.push(Explanation {
                    ended_at: line.timestamp,
                    summary,
                    machine_lines: machine_lines.clone(),
                });
            }
            Some(_) => (),
            None => {
                machine_lines.push(format!("{} {}", line.timestamp, line.message));
                let surplus = machine_lines.len().saturating_sub(MACHINE_LINES_MAX);
                machine_lines.drain(..surplus);
            }
        }
    }
    Ok(found)
}

/// Returns what an operator can conclude from how a request ended.
pub fn conclusion(summary: &RequestSummary) -> &'static str {
    match (summary.outcome.as_str(), summary.status) {
        ("answered", _) if summary.attempts.contains(';') => {
            "a second server answered; the first attempt tells what was wrong before"
        }
        ("answered", 500..) => "the server ran the request and failed",
        ("answered", _) => "one server answered; the time was spent there or waiting for it",
        ("caller-gone", _) => "the caller left before an answer; whether it ran is not known",
        (_, 401) => "the configuration of this version has no such key",
        (_, 404) => "the configuration of this version has no such route",
        (_, 429) => "shares and loans of the organisation were used up",
        (_, 503) if summary.reason.contains("withdrawn") => {
            "the store was silent for too long to know that the key is still good"
        }
        (_, 503) => "it did not run; the reason tells what there was no room for",
        (_, 502 | 504) => "it may have run; the attempts tell where",
        _ => "it did not run",
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RequestSummary { request, route, organisation, attempts, outcome, status, .. } =
            &self.summary;
        let or_none =
            |text: &str| if text.is_empty() { "none".to_owned() } else { text.to_owned() };
        writeln!(f, "{} {request}: {outcome}, status {status}", self.ended_at)?;
        writeln!(f, "  route         {}", or_none(route))?;
        writeln!(f, "  organisation  {}", or_none(organisation))?;
        writeln!(f, "  attempts      {}", or_none(attempts))?;
        writeln!(f, "  reason        {}", or_none(&self.summary.reason))?;
        writeln!(f, "  took          {} ms", self.summary.took_ms)?;
        let (version, age_ms) = (self.summary.version, self.summary.version_age_ms);
        writeln!(
            f,
            "  decided by    version {version}, known to be the newest {age_ms} ms before"
        )?;
        self.machine_lines.iter().try_for_each(|line| writeln!(f, "  before        {line}"))?;
        write!(f, "  so            {}", conclusion(&self.summary))
    }
}
