//! Clients: each request on a connection of its own, or many on one that is kept.

use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::{read_message, write_message};
use crate::record::Record;

/// How a request ended for its client.
#[derive(Clone, Debug)]
#[allow(dead_code, reason = "the record shows all of it")]
pub struct Outcome {
    /// 0 if the connection ended without an answer.
    pub status: u16,
    pub has_seal: bool,
    pub retry_after: Option<f64>,
    pub names_limit: bool,
    pub took: Duration,
}

pub struct Client {
    record: Arc<Record>,
    addr: SocketAddr,
    stream: Option<TcpStream>,
    buf: Vec<u8>,
}

impl Client {
    pub fn new(addr: SocketAddr, record: &Arc<Record>) -> Self {
        Self { record: Arc::clone(record), addr, stream: None, buf: Vec::new() }
    }

    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        key: u64,
        deadline: Duration,
    ) -> Outcome {
        let began = Instant::now();
        self.record.line(&format!("sent {id} {method} {path} to {}", self.addr));
        let answer = self.exchange(method, path, id, key, deadline);
        let took = began.elapsed();
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        self.record.line(&format!("answered {id} {status}"));
        match answer {
            Some(answer) => Outcome {
                status: answer.status(),
                has_seal: answer.header("foxtailrouter-server-seal").is_some(),
                retry_after: answer.header("retry-after").and_then(|secs| secs.parse().ok()),
                names_limit: answer.header("server-limit").is_some(),
                took,
            },
            None => {
                self.stream = None;
                Outcome { status: 0, has_seal: false, retry_after: None, names_limit: false, took }
            }
        }
    }

    fn exchange(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        key: u64,
        deadline: Duration,
    ) -> Option<crate::http::Message> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.addr, Duration::from_secs(1)).ok()?;
            let _ = stream.set_nodelay(true);
            self.buf.clear();
            self.stream = Some(stream);
        }
        let stream = self.stream.as_mut()?;
        stream.set_read_timeout(Some(deadline)).ok()?;
        let headers = [
            ("host", "svc.example".to_owned()),
            ("foxtailrouter-request-id", id.to_owned()),
            ("foxtailrouter-affinity-key", key.to_string()),
            ("foxtailrouter-deadline-ms", deadline.as_millis().to_string()),
        ];
        write_message(stream, &format!("{method} {path} HTTP/1.1"), &headers, b"").ok()?;
        let answer = read_message(stream, &mut self.buf).ok()??;
        if answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            self.stream = None;
        }
        Some(answer)
    }
}

pub fn get_status(addr: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_millis(300)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
    let host = [("host", addr.to_string())];
    write_message(&mut stream, &format!("GET {path} HTTP/1.1"), &host, b"").ok()?;
    read_message(&mut stream, &mut Vec::new()).ok()?.map(|answer| answer.status())
}
