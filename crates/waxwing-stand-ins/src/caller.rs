//! A test double of a caller: a blocking HTTP/1.1 client.
//!
//! It works on a plain TCP stream, so that a test can also break off in the middle of a request.

use std::io;
use std::io::{Read, Write};
use std::net;
use std::time;

/// How long a read on the connection may block.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// An HTTP request to send.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    /// The HTTP method.
    pub method: String,
    /// The path with its query, as sent in the request line.
    pub path: String,
    /// Names and values of headers, besides `host`, `content-length` and `connection`.
    pub headers: Vec<(String, String)>,
    /// The body; a request with an empty body has no `content-length`.
    pub body: Vec<u8>,
}

impl Request {
    /// Creates a request without additional headers and without a body.
    pub fn new(method: &str, path: &str) -> Self {
        let (method, path) = (method.to_owned(), path.to_owned());
        Self { method, path, ..Self::default() }
    }

    /// Returns the request with one more header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Returns the request with this body.
    #[must_use]
    pub fn body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    /// Returns the encoded request line and headers; `is_last` asks the server to close the
    /// connection after its response.
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

/// An HTTP response that was received completely.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// Names in lower case, and values, of the headers.
    pub headers: Vec<(String, String)>,
    /// The body, decoded if it was sent in chunks.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns the value of a header, given in lower case; empty where it is missing.
    pub fn header(&self, name: &str) -> &str {
        let header = self.headers.iter().find(|(key, _)| key == name);
        header.map_or("", |(_, value)| value)
    }

    /// Returns the body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Opens a TCP connection with a read timeout.
///
/// # Errors
///
/// Returns an error if nothing listens on `address`.
pub fn connect(address: net::SocketAddr) -> io::Result<net::TcpStream> {
    let stream = net::TcpStream::connect_timeout(&address, time::Duration::from_secs(2))?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends one request on a new connection and reads the complete response.
///
/// # Errors
///
/// Returns an error if the connection fails or the response is incomplete.
pub fn call(address: net::SocketAddr, request: &Request) -> io::Result<Response> {
    let mut stream = connect(address)?;
    stream.write_all(&request.head(true))?;
    stream.write_all(&request.body)?;
    read_response(&mut stream)
}

/// Sends a request `times` times, one after the other, on one connection and returns the latencies
/// in ascending order.
///
/// # Errors
///
/// Returns an error if a response is incomplete or has a status other than 200.
pub fn repeat(
    address: net::SocketAddr,
    request: &Request,
    times: usize,
) -> io::Result<Vec<time::Duration>> {
    let mut stream = connect(address)?;
    let mut latencies = Vec::with_capacity(times);
    for _ in 0..times {
        let started_at = time::Instant::now();
        stream.write_all(&request.head(false))?;
        stream.write_all(&request.body)?;
        let response = read_response(&mut stream)?;
        if response.status != 200 {
            return Err(io::Error::other(format!("response has status {}", response.status)));
        }
        latencies.push(started_at.elapsed());
    }
    latencies.sort_unstable();
    Ok(latencies)
}

/// Reads one complete response.
///
/// # Errors
///
/// Returns an error if the connection ends before the response does, or if the response is
/// malformed.
pub fn read_response(stream: &mut impl Read) -> io::Result<Response> {
    let mut stream = io::BufReader::new(stream);
    let status = read_line(&mut stream)?;
    let status = status.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("response has no valid status line"))?;
    let headers = read_headers(&mut stream)?;
    let mut response = Response { status, headers, body: Vec::new() };
    response.body = match response.header("transfer-encoding") {
        "chunked" => read_chunks(&mut stream)?,
        _ => read_sized(&mut stream, response.header("content-length"))?,
    };
    Ok(response)
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
