//! Tells from logs what became of a request, and why.

use std::fmt;
use std::io;

use serde::Deserialize;

/// The result of reading logs.
pub type Result<T> = std::result::Result<T, Error>;

/// Tells why nothing can be told of a request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The logs can't be read.
    #[error("the logs can't be read: {0}")]
    Read(#[from] io::Error),
    /// No line names the request.
    #[error(
        "no line names the request {request}; give the logs of all machines, or look in left_out"
    )]
    NotFound {
        /// The request.
        request: String,
    },
}

/// A line of a log, as far as it is used.
#[derive(Debug, Clone, Deserialize)]
struct Line {
    timestamp: String,
    message: String,
    kvs: Option<End>,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct End {
    /// The caller's name for the request.
    pub request: String,
    /// The route; empty where none matched.
    pub route: String,
    /// The organisation; empty where none is known.
    pub organisation: String,
    /// Each backend server and how the attempt there ended.
    pub attempts: String,
    /// What became of the request.
    pub outcome: String,
    /// The status of the answer; zero where there was none.
    pub status: u16,
    /// Why it was refused.
    pub reason: String,
    /// How long it took, in milliseconds.
    pub took_ms: u64,
    /// The version of the configuration that decided.
    pub version: u64,
    /// How old the word was that it is the newest, in milliseconds.
    pub version_age_ms: u64,
}

/// What is told of one attempt of a caller, with what the machine had last said of its state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// When the request ended.
    pub at: String,
    /// How it ended.
    pub end: End,
    /// The last lines before it that are about the machine and not about a request.
    pub before: Vec<String>,
}

/// Lines about the machine that are shown before a request's end.
const BEFORE_MAX: usize = 3;

/// Returns what the log of one machine tells of a request.
///
/// Lines that are no log lines are passed over: other programs may write between them.
///
/// # Errors
///
/// Returns an error where the log can't be read.
pub fn search(log: impl io::BufRead, request: &str) -> Result<Vec<Explanation>> {
    let mut found = Vec::new();
    let mut before: Vec<String> = Vec::new();
    for text in log.lines() {
        let text = text?;
        let json = text.find('{').map_or("", |at| &text[at..]);
        let Ok(line) = serde_json::from_str::<Line>(json) else {
            continue;
        };
        match line.kvs {
            Some(end) if end.request == request => {
                found.push(Explanation { at: line.timestamp, end, before: before.clone() });
            }
            Some(_) => (),
            None => {
                before.push(format!("{} {}", line.timestamp, line.message));
                let surplus = before.len().saturating_sub(BEFORE_MAX);
                before.drain(..surplus);
            }
        }
    }
    Ok(found)
}

/// Returns what an operator may conclude from the end of a request.
pub fn conclusion(end: &End) -> &'static str {
    match (end.outcome.as_str(), end.status) {
        ("answered", _) if end.attempts.contains(';') => {
            "a second server answered; the first attempt tells what was wrong before"
        }
        ("answered", 500..) => "the server ran the request and failed",
        ("answered", _) => "one server answered; the time was spent there or waiting for it",
        ("caller-gone", _) => "the caller left before an answer; whether it ran is not known",
        (_, 401) => "the configuration of this version has no such key",
        (_, 404) => "the configuration of this version has no such route",
        (_, 429) => "shares and loans of the organisation were used up",
        (_, 503) if end.reason.contains("withdrawn") => {
            "the store was silent for too long to know that the key is still good"
        }
        (_, 503) => "it did not run; the reason tells what there was no room for",
        (_, 502 | 504) => "it may have run; the attempts tell where",
        _ => "it did not run",
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let End { request, route, organisation, attempts, outcome, status, .. } = &self.end;
        let or_none =
            |text: &str| if text.is_empty() { "none".to_owned() } else { text.to_owned() };
        writeln!(f, "{} {request}: {outcome}, status {status}", self.at)?;
        writeln!(f, "  route         {}", or_none(route))?;
        writeln!(f, "  organisation  {}", or_none(organisation))?;
        writeln!(f, "  attempts      {}", or_none(attempts))?;
        writeln!(f, "  reason        {}", or_none(&self.end.reason))?;
        writeln!(f, "  took          {} ms", self.end.took_ms)?;
        let (version, age_ms) = (self.end.version, self.end.version_age_ms);
        writeln!(
            f,
            "  decided by    version {version}, known to be the newest {age_ms} ms before"
        )?;
        self.before.iter().try_for_each(|line| writeln!(f, "  before        {line}"))?;
        write!(f, "  so            {}", conclusion(&self.end))
    }
}
