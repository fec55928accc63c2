//! Callers: look up hosts, send requests on new and kept connections, and note what they get.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxtail_standin::caller::{self, Request};
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
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
            None => (host, caller::connect(host).await.ok()),
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

fn request(id: &str, idempotent: bool, object: u64) -> String {
    let (method, path) = if idempotent { ("GET", "/read/1") } else { ("POST", "/write/1") };
    let (host, patience) = ("svc.example", PATIENCE);
    Request { method, host, path, id, object, timeout: patience, body: "" }.encode()
}

async fn look_up(addr: SocketAddr) -> Option<Vec<SocketAddr>> {
    let mut stream = caller::connect(addr).await.ok()?;
    let asking = caller::look_up(&mut stream, "svc.example", Some(("a", "a1")));
    tokio::time::timeout(PATIENCE, asking).await.ok().flatten()
}

async fn exchange(stream: &mut TcpStream, text: &str) -> Got {
    match tokio::time::timeout(PATIENCE, caller::exchange(stream, text)).await {
        Err(_) => Got::Nothing,
        Ok(Ok(got)) if got.is_complete => Got::Answer(got.status, got.body),
        Ok(_) => Got::Cut,
    }
}
