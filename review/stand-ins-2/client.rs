//! A client: one request on a connection of its own.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

static LAST_ID: AtomicU64 = AtomicU64::new(0);

pub const HOST: &str = "ficu95.example";

#[derive(Debug, Clone)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub key: Option<&'static str>,
    /// The length of the value of a further header; none if it is zero.
    pub cookie_bytes: usize,
    pub time_limit: Duration,
    pub body: Vec<u8>,
}

impl Request {
    pub fn new(method: &'static str, path: &str) -> Self {
        let id = format!("{:016x}", LAST_ID.fetch_add(1, Ordering::AcqRel) + 1);
        let time_limit = Duration::from_secs(3);
        Self {
            id,
            method,
            path: path.to_owned(),
            key: None,
            cookie_bytes: 0,
            time_limit,
            body: Vec::new(),
        }
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {}\r\nX-Request-Deadline: {}\r\n",
            self.method,
            self.path,
            self.id,
            self.time_limit.as_millis()
        );
        if let Some(key) = self.key {
            head.push_str(&format!("Api-Key: {key}\r\n"));
        }
        if self.cookie_bytes > 0 {
            head.push_str(&format!("Cookie: {}\r\n", "c".repeat(self.cookie_bytes)));
        }
        if self.method != "GET" {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend(&self.body);
        bytes
    }
}

/// Sends a request; returns when it was sent, and the status of the answer, or 0 without one.
pub fn send(to: SocketAddr, request: &Request, record: &Record) -> (Instant, u16) {
    let sent_at = Instant::now();
    let status = exchange(to, request).unwrap_or(0);
    record.write(&format!(
        "request {} {} {} sent at {:.3} s: {status}",
        request.id,
        request.method,
        request.path,
        record.seconds() - sent_at.elapsed().as_secs_f64()
    ));
    (sent_at, status)
}

fn exchange(to: SocketAddr, request: &Request) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(request.time_limit))?;
    stream.write_all(&request.bytes())?;
    let answer = http::read(&mut BufReader::new(stream))?;
    Ok(answer.map_or(0, |message| message.status()))
}
