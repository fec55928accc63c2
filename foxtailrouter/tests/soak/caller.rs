//! Callers, which look up hosts, send requests on new and reused connections and record the
//! outcomes.

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

/// How many numbers of callers belong to each seed.
pub(crate) const CALLERS_PER_SEED: u64 = 100;

/// The first seed with long bodies and answers, and answers that never end.
pub(crate) const FIRST_SEED_WITH_LONG_BODIES: u64 = 6_000;

/// The size from which an answer is long, in bytes: hosts pass it on while it arrives.
pub(crate) const LONG_ANSWER_BYTES: usize = 150_000;

/// How long a caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The first seed of a caller that also uses hosts which no look-up named. Callers of earlier seeds
/// do as before, so that seeds that failed once still lead to the same requests.
const FIRST_SEED_THAT_KEEPS_HOSTS: u64 = 100_000;

/// A request that a caller sent, with its outcome.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) id: String,
    pub(crate) idempotent: bool,
    /// The address of the host to which it was sent.
    pub(crate) host_addr: SocketAddr,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    pub(crate) outcome: RequestOutcome,
    /// Whether the answer says that its upstream leaves.
    pub(crate) says_leaving: bool,
}

/// The outcome of a request for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// A complete answer, with its status and body.
    Answer(u16, String),
    /// The connection ended without a complete answer.
    ConnectionLost,
    /// No answer arrived within [`ANSWER_TIMEOUT`].
    TimedOut,
    /// No connection could be made.
    NotConnected,
}

/// Sends requests to `hosts`, given by their addresses for callers and for look-ups, until `stop`
/// is cancelled.
pub(crate) async fn run(
    seed: u64,
    hosts: Vec<(SocketAddr, SocketAddr)>,
    records: Arc<Mutex<Vec<RequestRecord>>>,
    stop: CancellationToken,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut open_connection: Option<(SocketAddr, TcpStream)> = None;
    let mut addresses: Vec<SocketAddr> = Vec::new();
    let mut count = 0;
    while !stop.is_cancelled() {
        if addresses.is_empty() || rng.random_bool(0.1) {
            let lookup_addr = hosts.choose(&mut rng).expect("at least one host").1;
            addresses = look_up(lookup_addr).await.unwrap_or(addresses);
        }
        let Some(&named_addr) = addresses.choose(&mut rng) else { continue };
        // Some callers keep to hosts that look-ups no longer name.
        let keeps_host = seed >= FIRST_SEED_THAT_KEEPS_HOSTS && rng.random_bool(0.1);
        let any_host = keeps_host.then(|| hosts.choose(&mut rng)).flatten();
        let host_addr = any_host.map_or(named_addr, |host| host.0);
        // Most requests reuse the open connection, also while its host shuts down and closes it.
        let reused = open_connection.take().filter(|_| rng.random_bool(0.8));
        let (host_addr, stream) = match reused {
            Some((host_addr, stream)) => (host_addr, Some(stream)),
            None => (host_addr, caller::connect(host_addr).await.ok()),
        };
        count += 1;
        let id = format!("{seed}-{count}");
        let idempotent = rng.random_bool(0.5);
        let sent_at = Instant::now();
        let (outcome, says_leaving) = match stream {
            None => (RequestOutcome::NotConnected, false),
            Some(mut stream) => {
                let mut text = request(&id, idempotent, rng.random_range(0..12));
                if seed >= FIRST_SEED_WITH_LONG_BODIES * CALLERS_PER_SEED && rng.random_bool(0.1) {
                    let len = rng.random_range(40_000..1_000_000);
                    let length = format!("Content-Length: {len}\r\n\r\n{}", " ".repeat(len));
                    text = text.replace("Content-Length: 0\r\n\r\n", &length);
                }
                let (outcome, says_leaving) = exchange(&mut stream, &text).await;
                if matches!(outcome, RequestOutcome::Answer(..)) {
                    open_connection = Some((host_addr, stream));
                }
                (outcome, says_leaving)
            }
        };
        if outcome == RequestOutcome::NotConnected {
            addresses.retain(|other| *other != host_addr);
        }
        let ended_at = Instant::now();
        records.lock().push(RequestRecord {
            id,
            idempotent,
            host_addr,
            sent_at,
            ended_at,
            outcome,
            says_leaving,
        });
        tokio::time::sleep(Duration::from_millis(rng.random_range(2..40))).await;
    }
}

pub(crate) fn request(id: &str, idempotent: bool, object: u64) -> String {
    let (method, path) = if idempotent { ("GET", "/read/1") } else { ("POST", "/write/1") };
    let (host, timeout) = ("svc.example", ANSWER_TIMEOUT);
    Request { method, host, path, id, object, timeout, body: "" }.encode()
}

async fn look_up(addr: SocketAddr) -> Option<Vec<SocketAddr>> {
    let mut stream = caller::connect(addr).await.ok()?;
    let lookup = caller::look_up(&mut stream, "svc.example", Some(("a", "a1")));
    tokio::time::timeout(ANSWER_TIMEOUT, lookup).await.ok().flatten()
}

/// Returns the outcome, and whether the answer says that its upstream leaves.
pub(crate) async fn exchange(stream: &mut TcpStream, text: &str) -> (RequestOutcome, bool) {
    match tokio::time::timeout(ANSWER_TIMEOUT, caller::exchange(stream, text)).await {
        Err(_) => (RequestOutcome::TimedOut, false),
        Ok(Ok(answer)) if answer.is_complete => {
            let says_leaving = answer.headers.contains_key("server-leaving");
            (RequestOutcome::Answer(answer.status, answer.body), says_leaving)
        }
        Ok(_) => (RequestOutcome::ConnectionLost, false),
    }
}
