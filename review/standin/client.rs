//! What all clients do: look-ups, connections, requests.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Conn, Message};

/// A small random number generator.
pub struct Random(u64);

impl Random {
    /// Creates a generator whose numbers differ between plays.
    pub fn new() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let time =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
        let salt = NEXT.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        Self((time ^ salt) | 1)
    }

    /// Returns a number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound.max(1)
    }
}

/// Returns an identifier that no other request has.
pub fn request_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{n:08x}", std::process::id())
}

/// Asks the directory at `directory` for the entry hosts.
pub fn look_up(directory: SocketAddr, name: &str, region: &str, zone: &str) -> Vec<SocketAddr> {
    let ask = || -> io::Result<Vec<SocketAddr>> {
        let mut conn = Conn::connect(directory)?;
        conn.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        let target = format!("/resolve?name={name}&region={region}&zone={zone}");
        conn.write(format!("GET {target} HTTP/1.1\r\nhost: h\r\n\r\n").as_bytes())?;
        let Some(answer) = conn.read(true)?.filter(|answer| answer.status() == 200) else {
            return Ok(Vec::new());
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        Ok(text.split('"').filter_map(|part| part.parse().ok()).collect())
    };
    ask().unwrap_or_default()
}

/// Asks up to three directories in turn.
pub fn look_up_any(
    directories: &[SocketAddr],
    random: &mut Random,
    (name, region, zone): (&str, &str, &str),
) -> Vec<SocketAddr> {
    for _ in 0..3 {
        let directory = directories[random.below(directories.len() as u64) as usize];
        let found = look_up(directory, name, region, zone);
        if !found.is_empty() {
            return found;
        }
    }
    Vec::new()
}

/// How a request ended for its client.
pub enum End {
    /// With this answer.
    Answer(Message),
    /// The connection was closed without a complete answer.
    Closed(String),
    /// No answer came until the deadline.
    NoAnswer,
}

/// Waits for the answer on `conn` until `deadline`.
pub fn answer(conn: &mut Conn, deadline: Instant) -> End {
    let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = conn.stream.set_read_timeout(Some(left));
    match conn.read(true) {
        Ok(Some(answer)) => End::Answer(answer),
        Ok(None) => End::Closed("end of the connection".to_owned()),
        Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
            End::NoAnswer
        }
        Err(e) => End::Closed(e.to_string()),
    }
}
