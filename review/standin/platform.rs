//! The platform's metadata store: rows with one version counter, and the feed of their changes.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Message};

type Key = (String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, (u64, String)>,
    /// The version and the key of each change, the oldest first.
    history: VecDeque<(u64, Key)>,
}

/// The store, which loses nothing and answers every call.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    /// Starts the store on a free loopback port.
    pub fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let shared = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                std::thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(Some(request)) = conn.read(true) {
                        let (status, body) = store.call(&request);
                        let headers = "content-type: application/json\r\nstore-era: 0\r\n";
                        if conn.answer(status, headers, body.as_bytes()).is_err() {
                            break;
                        }
                    }
                });
            }
        });
        Ok((store, addr))
    }

    /// Writes a row, as operators and servers do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(vec![((table.to_owned(), key.to_owned()), Some(base64(value.as_bytes())))]);
    }

    fn write(&self, changes: Vec<(Key, Option<String>)>) -> u64 {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        for (key, value) in changes {
            match value {
                Some(value) => _ = rows.rows.insert(key.clone(), (version, value)),
                None => _ = rows.rows.remove(&key),
            }
            rows.history.push_back((version, key));
        }
        self.changed.notify_all();
        version
    }

    fn call(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value).to_owned()
        };
        match path {
            "/rows-get" => {
                let (from, to) = (decode_percent(&param("from")), decode_percent(&param("to")));
                let limit = param("limit").parse().unwrap_or(500).min(500);
                ("200 OK", self.range(&param("table"), &from, &to, limit))
            }
            "/rows-feed" => {
                let after = param("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(param("wait_ms").parse().unwrap_or(0));
                match self.feed(&param("table"), after, wait) {
                    Some(body) => ("200 OK", body),
                    None => ("410 Gone", "{}".to_owned()),
                }
            }
            "/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn page(&self, rows: &Rows, keys: &[Key], has_more: bool) -> String {
        let entries: Vec<String> = keys
            .iter()
            .map(|(table, key)| {
                let start = format!(r#"{{"table":"{table}","part":"","key":"{key}""#);
                match rows.rows.get(&(table.clone(), key.clone())) {
                    Some((version, value)) => {
                        format!(r#"{start},"value":"{value}","row_version":{version}}}"#)
                    }
                    None => format!(r#"{start},"row_version":{},"deleted":true}}"#, rows.version),
                }
            })
            .collect();
        let (entries, version) = (entries.join(","), rows.version);
        let now_s = self.started.elapsed().as_secs_f64();
        format!(
            r#"{{"rows":[{entries}],"has_more":{has_more},"row_version":{version},"now_s":{now_s:.3}}}"#
        )
    }

    fn range(&self, table: &str, from: &str, to: &str, limit: usize) -> String {
        let rows = self.rows.lock().unwrap();
        let mut keys: Vec<Key> = rows
            .rows
            .keys()
            .filter(|(t, key)| {
                t == table && key.as_str() >= from && (to.is_empty() || key.as_str() < to)
            })
            .take(limit + 1)
            .cloned()
            .collect();
        let has_more = keys.len() > limit;
        keys.truncate(limit);
        self.page(&rows, &keys, has_more)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> Option<String> {
        let until = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            if after > rows.version {
                return None;
            }
            let mut keys: Vec<Key> = Vec::new();
            for (version, key) in &rows.history {
                if *version > after && key.0 == table {
                    keys.retain(|other| other != key);
                    keys.push(key.clone());
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if !keys.is_empty() || left.is_zero() {
                return Some(self.page(&rows, &keys, false));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    /// Applies a transaction of puts and deletes. The hosts' own transactions have no preconditions.
    fn transact(&self, body: &str) -> (&'static str, String) {
        let list = |name: &str| -> String {
            let Some(at) = body.find(&format!("\"{name}\":[")) else { return String::new() };
            let rest = &body[at + name.len() + 4..];
            rest[..rest.find(']').unwrap_or(rest.len())].to_owned()
        };
        let text = |entry: &str, name: &str| -> String {
            let Some(at) = entry.find(&format!("\"{name}\":\"")) else { return String::new() };
            let rest = &entry[at + name.len() + 4..];
            rest[..rest.find('"').unwrap_or(rest.len())].to_owned()
        };
        if !list("expect").is_empty() {
            return ("400 Bad Request", "{}".to_owned());
        }
        let mut changes = Vec::new();
        for (name, is_put) in [("puts", true), ("deletes", false)] {
            let entries = list(name);
            for entry in entries.split('}').filter(|entry| entry.contains("\"table\"")) {
                let (table, key) = (text(entry, "table"), text(entry, "key"));
                if matches!(table.as_str(), "op" | "servers") {
                    return ("403 Forbidden", "{}".to_owned());
                }
                changes.push(((table, key), is_put.then(|| text(entry, "value"))));
            }
        }
        let version = self.write(changes);
        let now_s = self.started.elapsed().as_secs_f64();
        ("200 OK", format!(r#"{{"row_version":{version},"now_s":{now_s:.3}}}"#))
    }
}

fn decode_percent(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
        let digits = String::from_utf8_lossy(&digits).into_owned();
        out.push(u8::from_str_radix(&digits, 16).unwrap_or(0));
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Encodes `bytes` in base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0_u32, |n, &b| n << 8 | u32::from(b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i) & 63) as usize];
            out.push(if i <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    out
}
