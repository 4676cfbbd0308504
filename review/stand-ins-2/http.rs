//! Reading and writing of HTTP/1.1 messages with bodies of known length or in chunks.

use std::io::{self, BufRead};

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// The status code of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

fn invalid(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

fn line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut bytes = Vec::new();
    if reader.read_until(b'\n', &mut bytes)? == 0 {
        return Ok(None);
    }
    if bytes.last() != Some(&b'\n') {
        return Err(invalid("a line that has no end"));
    }
    let text = String::from_utf8(bytes).map_err(|_| invalid("a line that is no text"))?;
    Ok(Some(text.trim_end().to_owned()))
}

/// Reads the head of a message; `None` if the connection ends before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(first_line) = line(reader)? else {
        return Ok(None);
    };
    let mut message = Message { first_line, ..Message::default() };
    loop {
        let text = line(reader)?.ok_or_else(|| invalid("a head that has no end"))?;
        if text.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = text.split_once(':').ok_or_else(|| invalid("no header"))?;
        message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads a message with its body; `None` if the connection ends before it.
pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if message.header("transfer-encoding").is_some_and(|te| te.eq_ignore_ascii_case("chunked")) {
        loop {
            let size = line(reader)?.ok_or_else(|| invalid("no chunk"))?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or(""), 16)
                .map_err(|_| invalid("no chunk size"))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            line(reader)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(|_| invalid("no length"))?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(Some(message))
}

/// Returns a response as bytes.
pub fn response(status: u16, reason: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    bytes
}
