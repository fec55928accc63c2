//! Reads and writes HTTP/1.1 messages with a `Content-Length`.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut named = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        named.next().map(|(_, value)| value.as_str())
    }

    /// The second word of the first line: the path of a request, the status of a response.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }
}

/// Reads the next message; `None` if the connection ends before one begins.
pub fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut part = [0; 16 * 1024];
    let head_len = loop {
        if let Some(at) = buf.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut part)? {
            0 if buf.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            len => buf.extend_from_slice(&part[..len]),
        }
    };
    let head = String::from_utf8_lossy(&buf[..head_len]).into_owned();
    buf.drain(..head_len);
    let mut lines = head.trim_end().split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut message = Message { first_line, headers, body: Vec::new() };
    let len = message.header("content-length").and_then(|len| len.parse().ok()).unwrap_or(0);
    while buf.len() < len {
        match stream.read(&mut part)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            got => buf.extend_from_slice(&part[..got]),
        }
    }
    message.body = buf.drain(..len).collect();
    Ok(Some(message))
}

pub fn write_message(
    stream: &mut TcpStream,
    first_line: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{first_line}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("content-length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
