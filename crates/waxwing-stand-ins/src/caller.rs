//! A caller, which asks where to go and sends requests.
//!
//! It writes and reads plain bytes, so that it can also break off in the middle.

use std::io;
use std::io::{Read, Write};
use std::net;
use std::time;

/// How long the caller waits for bytes.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// A request as the caller writes it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// Names and values of headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// Creates a request without headers and body.
    pub fn new(method: &str, path: &str) -> Self {
        let (method, path) = (method.to_owned(), path.to_owned());
        Self { method, path, ..Self::default() }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    /// Returns the bytes of the head, with the length of the body.
    pub fn head(&self, is_last: bool) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\nhost: caller\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() {
            head.push_str(&format!("content-length: {}\r\n", self.body.len()));
        }
        if is_last {
            head.push_str("connection: close\r\n");
        }
        head.push_str("\r\n");
        head.into_bytes()
    }
}

/// An answer as the caller reads it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// Names, in lower case, and values of headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the value of a header, empty where there is none.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(found, _)| found == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Opens a connection.
///
/// # Errors
///
/// Returns an error where nobody listens.
pub fn connect(address: net::SocketAddr) -> io::Result<net::TcpStream> {
    let stream = net::TcpStream::connect_timeout(&address, time::Duration::from_secs(2))?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends one request on a connection of its own and reads the whole answer.
///
/// # Errors
///
/// Returns an error where the answer is not whole.
pub fn call(address: net::SocketAddr, request: &Request) -> io::Result<Answer> {
    let mut stream = connect(address)?;
    stream.write_all(&request.head(true))?;
    stream.write_all(&request.body)?;
    read_answer(&mut stream)
}

/// Sends one request many times on one connection and returns how long each one took, sorted.
///
/// # Errors
///
/// Returns an error where an answer is not whole or not the one for a request that ran.
pub fn repeat(
    address: net::SocketAddr,
    request: &Request,
    times: usize,
) -> io::Result<Vec<time::Duration>> {
    let mut stream = connect(address)?;
    let mut took = Vec::with_capacity(times);
    for _ in 0..times {
        let began_at = time::Instant::now();
        stream.write_all(&request.head(false))?;
        stream.write_all(&request.body)?;
        let answer = read_answer(&mut stream)?;
        if answer.status != 200 {
            return Err(io::Error::other(format!("status {}", answer.status)));
        }
        took.push(began_at.elapsed());
    }
    took.sort_unstable();
    Ok(took)
}

/// Reads one whole answer.
///
/// # Errors
///
/// Returns an error where the connection ends before the answer does.
pub fn read_answer(stream: &mut impl Read) -> io::Result<Answer> {
    let mut stream = io::BufReader::new(stream);
    let status = read_line(&mut stream)?;
    let status = status.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status line"))?;
    let headers = read_headers(&mut stream)?;
    let mut answer = Answer { status, headers, body: Vec::new() };
    answer.body = match answer.header("transfer-encoding") {
        "chunked" => read_chunks(&mut stream)?,
        _ => read_sized(&mut stream, answer.header("content-length"))?,
    };
    Ok(answer)
}

fn read_line(stream: &mut impl io::BufRead) -> io::Result<String> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn read_headers(stream: &mut impl io::BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(stream)?;
        let Some((name, value)) = line.split_once(':') else {
            return Ok(headers);
        };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_sized(stream: &mut impl io::BufRead, len: &str) -> io::Result<Vec<u8>> {
    let mut body = vec![0; len.parse().unwrap_or(0)];
    stream.read_exact(&mut body)?;
    Ok(body)
}

fn read_chunks(stream: &mut impl io::BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let len = usize::from_str_radix(&read_line(stream)?, 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; len];
        stream.read_exact(&mut chunk)?;
        read_line(stream)?;
        if len == 0 {
            return Ok(body);
        }
        body.extend(chunk);
    }
}
