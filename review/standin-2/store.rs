//! The platform's metadata store: rows with one version counter, a feed of changes, and outages.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message, write_message};
use crate::json::{Json, base64};

type Key = (String, String);

#[derive(Default)]
struct State {
    version: u64,
    /// The version and the value in base64 of each row.
    rows: BTreeMap<Key, (u64, String)>,
    history: Vec<(u64, Key)>,
    /// No call is answered or carried out.
    silent: bool,
    /// Each call is answered 503 and not carried out.
    busy: bool,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    /// Starts the store on a free loopback port.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, addr)
    }

    pub fn set_silent(&self, silent: bool) {
        self.state.lock().unwrap().silent = silent;
        self.changed.notify_all();
    }

    pub fn set_busy(&self, busy: bool) {
        self.state.lock().unwrap().busy = busy;
        self.changed.notify_all();
    }

    /// Writes a row for an operator or a server. Returns whether the store took it.
    pub fn put(&self, table: &str, key: &str, value: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.silent || state.busy {
            return false;
        }
        let key = (table.to_owned(), key.to_owned());
        let value = base64(value.as_bytes());
        if state.rows.get(&key).is_some_and(|(_, known)| *known == value) {
            return true;
        }
        state.version += 1;
        let version = state.version;
        state.rows.insert(key.clone(), (version, value));
        state.history.push((version, key));
        self.changed.notify_all();
        true
    }

    /// Removes a row. Returns whether the store took it.
    pub fn remove(&self, table: &str, key: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.silent || state.busy {
            return false;
        }
        let key = (table.to_owned(), key.to_owned());
        if state.rows.remove(&key).is_some() {
            state.version += 1;
            let version = state.version;
            state.history.push((version, key));
            self.changed.notify_all();
        }
        true
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut buf) {
            let Some((status, body)) = self.answer(&request) else {
                // A connection on which a response is lost delivers nothing further.
                self.wait_until_heard();
                return;
            };
            let line = format!("HTTP/1.1 {status} -");
            let json = [("content-type", "application/json".to_owned())];
            if write_message(&mut stream, &line, &json, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn wait_until_heard(&self) {
        let mut state = self.state.lock().unwrap();
        while state.silent {
            state = self.changed.wait(state).unwrap();
        }
    }

    /// Carries out a call; `None` if it gets no answer.
    fn answer(&self, request: &Message) -> Option<(u16, String)> {
        {
            let state = self.state.lock().unwrap();
            if state.silent {
                return None;
            }
            if state.busy {
                return Some((503, "{}".to_owned()));
            }
        }
        let (path, query) =
            request.second_word().split_once('?').unwrap_or((request.second_word(), ""));
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map_or(String::new(), |(_, value)| decoded(value))
        };
        match path {
            "/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            "/rows-get" => Some((200, self.read(&param("table"), &param("from"), &param("to")))),
            "/rows-feed" => {
                let after = param("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(param("wait_ms").parse().unwrap_or(0));
                self.feed(&param("table"), after, wait)
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    fn transact(&self, body: &str) -> Option<(u16, String)> {
        let call = Json::parse(body)?;
        let key = |entry: &Json| {
            (entry.get("table").text().to_owned(), entry.get("key").text().to_owned())
        };
        let mut state = self.state.lock().unwrap();
        for entry in call.get("expect").list() {
            let known = state.rows.get(&key(entry)).map_or(0, |(version, _)| *version);
            if known as f64 != entry.get("row_version").number() {
                let version = state.version;
                return Some((412, self.page(&state, Vec::new(), version)));
            }
        }
        state.version += 1;
        let version = state.version;
        for entry in call.get("puts").list() {
            let value = entry.get("value").text().to_owned();
            state.rows.insert(key(entry), (version, value));
            state.history.push((version, key(entry)));
        }
        for entry in call.get("deletes").list() {
            if state.rows.remove(&key(entry)).is_some() {
                state.history.push((version, key(entry)));
            }
        }
        self.changed.notify_all();
        Some((200, self.page(&state, Vec::new(), version)))
    }

    fn page(&self, _state: &State, rows: Vec<String>, version: u64) -> String {
        format!(
            r#"{{"rows":[{}],"row_version":{version},"has_more":false,"now_s":{}}}"#,
            rows.join(","),
            self.now_s()
        )
    }

    fn read(&self, table: &str, from: &str, to: &str) -> String {
        let state = self.state.lock().unwrap();
        let rows = state
            .rows
            .iter()
            .filter(|((of, key), _)| of == table && key.as_str() >= from)
            .filter(|((_, key), _)| to.is_empty() || key.as_str() < to)
            .map(|((_, key), (version, value))| row(table, key, *version, Some(value)))
            .collect();
        let version = state.version;
        self.page(&state, rows, version)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> Option<(u16, String)> {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        if after > state.version {
            return Some((410, "{}".to_owned()));
        }
        loop {
            if state.silent {
                return None;
            }
            if state.busy {
                return Some((503, "{}".to_owned()));
            }
            let changed: Vec<Key> = state
                .history
                .iter()
                .filter(|(version, (of, _))| *version > after && of == table)
                .map(|(_, key)| key.clone())
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let mut rows: Vec<String> = Vec::new();
                for (at, key) in changed.iter().enumerate() {
                    if changed[at + 1..].contains(key) {
                        continue;
                    }
                    rows.push(match state.rows.get(key) {
                        Some((version, value)) => row(table, &key.1, *version, Some(value)),
                        None => row(table, &key.1, state.version, None),
                    });
                }
                let version = state.version;
                return Some((200, self.page(&state, rows, version)));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn row(table: &str, key: &str, version: u64, value: Option<&String>) -> String {
    let rest = match value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""deleted":true"#.to_owned(),
    };
    format!(r#"{{"table":"{table}","part":"","key":"{key}","row_version":{version},{rest}}}"#)
}

/// Decodes the percent signs of a query.
fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.filter(|_| bytes[at] == b'%').and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
