//! A minimal HTTP/1.1 implementation for the stand-ins.

use std::io::BufRead;

/// The start line and the headers of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub start_line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the first header of this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
    }

    /// Returns the word at `at` of the start line.
    pub fn word(&self, at: usize) -> &str {
        self.start_line.split(' ').nth(at).unwrap_or("")
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Returns whether the connection ends after this message.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads a head; `None` if the connection ends before its end.
pub fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let start_line = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(Head { start_line, headers });
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    line.ends_with('\n').then(|| line.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads a body with a length or in chunks; `None` if the connection ends before its end.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> Option<Vec<u8>> {
    let is_chunked =
        head.header("transfer-encoding").is_some_and(|te| te.eq_ignore_ascii_case("chunked"));
    if !is_chunked {
        let len = head.header("content-length").and_then(|len| len.parse().ok()).unwrap_or(0);
        let mut body = vec![0; len];
        reader.read_exact(&mut body).ok()?;
        return Some(body);
    }
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?;
        let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
        if size == 0 {
            while !read_line(reader)?.is_empty() {}
            return Some(body);
        }
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..]).ok()?;
        read_line(reader)?;
    }
}
