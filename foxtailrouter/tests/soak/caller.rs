//! Callers: look up hosts, send requests on new and kept connections, and note what they get.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(2_500);

/// What became of one request.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub(crate) id: String,
    pub(crate) idempotent: bool,
    pub(crate) host: SocketAddr,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) got: Got,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Got {
    /// A whole answer: its status and body.
    Answer(u16, String),
    /// The connection ended without a whole answer.
    Cut,
    /// No answer in time.
    Nothing,
    /// No connection.
    Refused,
}

/// Whether the host at `health` says that it is ready.
pub(crate) async fn ready(health: SocketAddr) -> bool {
    let Some(mut stream) = connect(health).await else { return false };
    let head = "GET /readiness HTTP/1.1\r\nhost: h\r\n\r\n";
    matches!(exchange(&mut stream, head).await, Got::Answer(200, _))
}

/// Sends requests until `stop`.
pub(crate) async fn run(
    seed: u64,
    hosts: Vec<(SocketAddr, SocketAddr)>,
    asked: Arc<Mutex<Vec<Asked>>>,
    stop: CancellationToken,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut kept: Option<(SocketAddr, TcpStream)> = None;
    let mut entries: Vec<SocketAddr> = Vec::new();
    let mut count = 0;
    while !stop.is_cancelled() {
        if entries.is_empty() || rng.random_bool(0.1) {
            let lookup = hosts.choose(&mut rng).expect("there are hosts").1;
            entries = look_up(lookup).await.unwrap_or(entries);
        }
        let Some(&host) = entries.choose(&mut rng) else { continue };
        // Open connections are used until the host closes them, also while it stops.
        let open = kept.take().filter(|_| rng.random_bool(0.8));
        let (host, stream) = match open {
            Some((host, stream)) => (host, Some(stream)),
            None => (host, connect(host).await),
        };
        count += 1;
        let id = format!("{seed}-{count}");
        let idempotent = rng.random_bool(0.5);
        let sent = Instant::now();
        let got = match stream {
            None => Got::Refused,
            Some(mut stream) => {
                let text = request(&id, idempotent, rng.random_range(0..12));
                let got = exchange(&mut stream, &text).await;
                if matches!(got, Got::Answer(..)) {
                    kept = Some((host, stream));
                }
                got
            }
        };
        if got == Got::Refused {
            entries.retain(|other| *other != host);
        }
        let ended = Instant::now();
        asked.lock().push(Asked { id, idempotent, host, sent, ended, got });
        tokio::time::sleep(Duration::from_millis(rng.random_range(2..40))).await;
    }
}

fn request(id: &str, idempotent: bool, object: u32) -> String {
    let (method, path) = if idempotent { ("GET", "/read/1") } else { ("POST", "/write/1") };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: svc.example\r\nFoxtailrouter-Request-Id: {id}\r\n\
         Foxtailrouter-Affinity-Key: {object}\r\nFoxtailrouter-Deadline-Ms: {}\r\n\
         Content-Length: 0\r\n\r\n",
        PATIENCE.as_millis()
    )
}

async fn look_up(addr: SocketAddr) -> Option<Vec<SocketAddr>> {
    let mut stream = connect(addr).await?;
    let head = "GET /resolve?name=svc.example&region=a&zone=a1 HTTP/1.1\r\nhost: h\r\n\r\n";
    let Got::Answer(200, body) = exchange(&mut stream, head).await else { return None };
    let value: serde_json::Value = serde_json::from_str(&body).ok()?;
    let addrs = value["addresses"].as_array()?;
    addrs.iter().map(|addr| addr.as_str()?.parse().ok()).collect()
}

async fn connect(addr: SocketAddr) -> Option<TcpStream> {
    let connecting = TcpStream::connect(addr);
    tokio::time::timeout(Duration::from_secs(1), connecting).await.ok()?.ok()
}

async fn exchange(stream: &mut TcpStream, text: &str) -> Got {
    let talking = async {
        if stream.write_all(text.as_bytes()).await.is_err() {
            return Got::Cut;
        }
        let mut buf = Vec::new();
        loop {
            if let Some(got) = whole(&buf) {
                return got;
            }
            if !matches!(stream.read_buf(&mut buf).await, Ok(1..)) {
                return Got::Cut;
            }
        }
    };
    tokio::time::timeout(PATIENCE, talking).await.unwrap_or(Got::Nothing)
}

/// The answer in `buf`, once it is whole by its own length.
fn whole(buf: &[u8]) -> Option<Got> {
    let head_len = buf.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buf[..head_len]).to_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "))?;
    let body = &buf[head_len..];
    (body.len() >= length.trim().parse().ok()?)
        .then(|| Got::Answer(status, String::from_utf8_lossy(body).into_owned()))
}
