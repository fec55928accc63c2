//! A caller of hosts: looks up entry hosts, sends requests by hand and reads answers as they come.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// The host name that it is for.
    pub host: &'a str,
    /// The path.
    pub path: &'a str,
    /// The caller's identifier for this sending.
    pub id: &'a str,
    /// The object that it is about.
    pub object: u64,
    /// How long the caller waits.
    pub timeout: Duration,
    /// The body.
    pub body: &'a str,
}

/// An answer as it came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The status; 0 if the connection ended without one.
    pub status: u16,
    /// Headers with names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body as far as it came.
    pub body: String,
    /// Whether the body was complete by its own framing.
    pub is_complete: bool,
}

impl Request<'_> {
    /// The request as it is sent.
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
    /// When the caller may come back, if the answer says so.
    pub fn retry_after(&self) -> Option<Duration> {
        let secs = self.headers.get("retry-after")?.parse().ok()?;
        Duration::try_from_secs_f64(secs).ok()
    }

    /// Whether the answer promises that the request has not run and never will.
    pub fn promises_not_run(&self) -> bool {
        promises_not_run(self.status)
    }
}

/// Whether an answer with `status` promises that the request has not run and never will.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Connects to `addr`.
///
/// # Errors
///
/// Whatever the operating system reports, or that it took too long.
pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Sends `text` on `stream` and reads one answer.
///
/// # Errors
///
/// If the text could not be sent.
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

/// Asks the host whose look-up address is at the other end of `stream` for the entry hosts of callers
/// in `region` and `zone`, or of the region that it chooses itself.
pub async fn look_up(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    host: &str,
    location: Option<(&str, &str)>,
) -> Option<Vec<SocketAddr>> {
    let location = location.map(|(region, zone)| format!("&region={region}&zone={zone}"));
    let location = location.unwrap_or_default();
    let text = format!("GET /resolve?name={host}{location} HTTP/1.1\r\nhost: h\r\n\r\n");
    let answer = exchange(stream, &text).await.ok().filter(|answer| answer.status == 200)?;
    let value: serde_json::Value = serde_json::from_str(&answer.body).ok()?;
    let addrs = value["addresses"].as_array()?;
    addrs.iter().map(|addr| addr.as_str()?.parse().ok()).collect()
}

/// Whether the host whose health checks are answered at `health` is ready.
pub async fn is_ready(health: SocketAddr) -> bool {
    let Ok(mut stream) = connect(health).await else { return false };
    let probe = exchange(&mut stream, "GET /readiness HTTP/1.1\r\nhost: h\r\n\r\n");
    matches!(tokio::time::timeout(CONNECT_TIMEOUT, probe).await, Ok(Ok(answer)) if answer.status == 200)
}

/// The answer in `buf`, once it is whole or if the connection has `ended`.
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
