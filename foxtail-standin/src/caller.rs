//! A caller's side of the protocol: look-ups of entry hosts, requests and readiness checks.
//!
//! It writes and parses HTTP/1.1 itself, so that tests see incomplete answers as they arrive.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;

/// The longest time to connect, and the longest time of a readiness check once connected.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The value of the `Host` header.
    pub host: &'a str,
    /// The path, with the query if there is one.
    pub path: &'a str,
    /// The identifier of this attempt, for the `Foxtailrouter-Request-Id` header.
    pub id: &'a str,
    /// The object that the request is about, for the `Foxtailrouter-Affinity-Key` header.
    pub object: u64,
    /// How long the caller waits, for the `Foxtailrouter-Deadline-Ms` header.
    pub timeout: Duration,
    /// The body, sent with a `Content-Length` header.
    pub body: &'a str,
}

/// An answer as far as it arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status; 0 if the connection ended before the end of the head.
    pub status: u16,
    /// The headers, with names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body as far as it arrived; a chunked one still has its chunk framing.
    pub body: String,
    /// Whether the body is complete according to its `Content-Length` or its last chunk.
    pub is_complete: bool,
}

impl Request<'_> {
    /// Returns the request as HTTP/1.1 text.
    pub fn encode(&self) -> String {
        let Request { method, host, path, id, object, timeout, body } = self;
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nFoxtailrouter-Request-Id: {id}\r\n\
             Foxtailrouter-Affinity-Key: {object}\r\nFoxtailrouter-Deadline-Ms: {}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            timeout.as_millis(),
            body.len()
        )
    }
}

impl Answer {
    /// Returns the time to wait before a retry, if the answer has a `Retry-After` header.
    pub fn retry_after(&self) -> Option<Duration> {
        let secs = self.headers.get("retry-after")?.parse().ok()?;
        Duration::try_from_secs_f64(secs).ok()
    }

    /// Whether the answer promises that the request has not run and will not run.
    pub fn promises_not_run(&self) -> bool {
        promises_not_run(self.status)
    }
}

/// Whether an answer with `status` promises that the request has not run and will not run.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Connects to `addr`.
///
/// # Errors
///
/// Returns the error of the operating system, or `TimedOut` after one second.
pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Sends `text` on `stream` and reads one answer.
///
/// # Errors
///
/// Returns the error of sending. A connection that ends early is no error: the answer then has as
/// much as arrived.
pub async fn exchange(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    text: &str,
) -> io::Result<Answer> {
    stream.write_all(text.as_bytes()).await?;
    stream.flush().await?;
    let mut buf = Vec::new();
    loop {
        if let Some(answer) = parse_answer(&buf, false) {
            return Ok(answer);
        }
        if stream.read_buf(&mut buf).await.unwrap_or(0) == 0 {
            return Ok(parse_answer(&buf, true).unwrap_or_default());
        }
    }
}

/// Asks the host whose look-up address `stream` is connected to for the entry hosts of a caller.
///
/// `name` is the host name that the caller sends requests to. `location` is the caller's region and
/// zone; without it the host chooses the region itself.
/// Returns `None` unless the answer has status 200 and a list of addresses.
pub async fn look_up(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    name: &str,
    location: Option<(&str, &str)>,
) -> Option<Vec<SocketAddr>> {
    let location = location.map(|(region, zone)| format!("&region={region}&zone={zone}"));
    let location = location.unwrap_or_default();
    let text = format!("GET /resolve?name={name}{location} HTTP/1.1\r\nhost: h\r\n\r\n");
    let answer = exchange(stream, &text).await.ok().filter(|answer| answer.status == 200)?;
    let value: serde_json::Value = serde_json::from_str(&answer.body).ok()?;
    let addrs = value["addresses"].as_array()?;
    addrs.iter().map(|addr| addr.as_str()?.parse().ok()).collect()
}

/// Whether the host with the health check address `health` reports that it is ready.
pub async fn is_ready(health: SocketAddr) -> bool {
    let Ok(mut stream) = connect(health).await else { return false };
    let probe = exchange(&mut stream, "GET /readiness HTTP/1.1\r\nhost: h\r\n\r\n");
    matches!(tokio::time::timeout(CONNECT_TIMEOUT, probe).await, Ok(Ok(answer)) if answer.status == 200)
}

/// Parses the answer in `buf`. Returns `None` while the head is incomplete, and also while the body
/// is, unless the connection has ended (`at_end`).
fn parse_answer(buf: &[u8], at_end: bool) -> Option<Answer> {
    let head_len = buf.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buf[..head_len]);
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
        .collect();
    let body = String::from_utf8_lossy(&buf[head_len..]).into_owned();
    let is_complete = match headers.get("content-length").and_then(|len| len.parse::<usize>().ok())
    {
        Some(len) => body.len() >= len,
        None => body.ends_with("0\r\n\r\n"),
    };
    (is_complete || at_end).then_some(Answer { status, headers, body, is_complete })
}
