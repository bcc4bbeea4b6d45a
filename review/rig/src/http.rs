//! HTTP/1.1 over blocking sockets, as far as the stand-ins and clients need it.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
};

pub struct Head {
    /// Request line or status line.
    pub line: String,
    /// Names in lowercase.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, v)| v)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// A parameter of the query, decoded.
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, q)| q);
        let found = query.split('&').find_map(|w| w.strip_prefix(name)?.strip_prefix('='));
        let (mut out, bytes) = (Vec::new(), found.unwrap_or_default().as_bytes());
        let mut at = 0;
        while at < bytes.len() {
            let hex = bytes.get(at + 1..at + 3).and_then(|h| std::str::from_utf8(h).ok());
            match (bytes[at], hex.and_then(|h| u8::from_str_radix(h, 16).ok())) {
                (b'%', Some(byte)) => {
                    out.push(byte);
                    at += 3;
                }
                (byte, _) => {
                    out.push(byte);
                    at += 1;
                }
            }
        }
        String::from_utf8_lossy(&out).into_owned()
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head. `None` if the connection ends before its first byte.
pub fn read_head(from: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return match lines.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            if lines.is_empty() {
                continue;
            }
            break;
        }
        lines.push(line);
    }
    let headers = lines[1..].iter().filter_map(|l| l.split_once(':'));
    let headers = headers.map(|(n, v)| (n.trim().to_lowercase(), v.trim().to_owned())).collect();
    Ok(Some(Head { line: lines[0].clone(), headers }))
}

/// Reads a body by its length, its chunks or, for an answer without either, to the end of the
/// connection. Returns what came and whether it is complete.
pub fn read_body(head: &Head, from: &mut BufReader<TcpStream>, answer: bool) -> (Vec<u8>, bool) {
    let mut out = Vec::new();
    if head.get("transfer-encoding").to_lowercase().contains("chunked") {
        loop {
            let mut line = String::new();
            if !matches!(from.read_line(&mut line), Ok(1..)) {
                return (out, false);
            }
            let Ok(size) = u64::from_str_radix(line.trim(), 16) else { return (out, false) };
            let before = out.len() as u64;
            let _ = from.by_ref().take(size).read_to_end(&mut out);
            if out.len() as u64 - before < size {
                return (out, false);
            }
            let mut end = String::new();
            if !matches!(from.read_line(&mut end), Ok(1..)) {
                return (out, false);
            }
            if size == 0 {
                return (out, true);
            }
        }
    }
    match head.get("content-length").parse::<u64>() {
        Ok(length) => {
            let _ = from.by_ref().take(length).read_to_end(&mut out);
            let whole = out.len() as u64 == length;
            (out, whole)
        }
        Err(_) if answer => {
            let whole = from.read_to_end(&mut out).is_ok();
            (out, whole)
        }
        Err(_) => (out, true),
    }
}

/// An answer as a client saw it.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub whole: bool,
}

impl Answer {
    pub fn get(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, v)| v)
    }
}

/// Reads an answer. `None` if the connection ends without one.
pub fn read_answer(from: &mut BufReader<TcpStream>) -> Option<Answer> {
    let head = read_head(from).ok()??;
    let (_, whole) = read_body(&head, from, true);
    Some(Answer { status: head.status(), headers: head.headers, whole })
}

/// Writes an answer with a length.
pub fn write_answer(
    to: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    to.write_all(&bytes)
}
