//! Hosts are stopped one after the other, as planned, while clients ask them for long answers that they
//! read at the speed of their lines. Without trouble no host is stopped.

use std::collections::BTreeMap;
use std::io::{self, Read};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Random, look_up_any, request_id};
use crate::host::Machine;
use crate::http::Conn;
use crate::platform::Store;
use crate::record::Record;
use crate::server::{Kind, Server};

/// The size of a dossier, and what a client's line carries in a second (24 Mbit/s).
const DOSSIER_BYTES: usize = 18_000_000;
const LINE_BYTES_PER_S: f64 = 3_000_000.0;

/// The receive window of a client, in bytes.
const WINDOW_BYTES: i32 = 128 * 1024;

/// What a client reads at once.
const PIECE_BYTES: usize = 50_000;

/// How long servers work on a request.
const DOSSIER_WORK: Duration = Duration::from_millis(600);
const SHORT_WORK: Duration = Duration::from_millis(200);

const CLIENTS: usize = 44;

/// The share of a client's requests that ask for a dossier, in percent.
const DOSSIER_PERCENT: u64 = 35;

/// How long a client thinks before its next request: this and up to as much again.
const THINK_MS: u64 = 800;

/// The deadline of requests, and the timeout of their routes.
const DEADLINE: Duration = Duration::from_secs(20);

/// When traffic begins after the machines have started, and how long it runs before the first stop.
const LEAD: Duration = Duration::from_secs(8);
const CALM: Duration = Duration::from_secs(8);

/// `grace_s`, after which the platform kills a process that was told to stop.
const GRACE: Duration = Duration::from_secs(6);

/// `grace_s` less its last sixth, in seconds: what servers still work on then is not counted.
const LAST_SIXTH_S: f64 = 5.0;

/// A request counts until this long after SIGTERM: `grace_s` and 1 s.
const PLANNED_S: f64 = 7.0;

/// The pause between the end of one stop's grace time and the next stop.
const GAP: Duration = Duration::from_secs(6);

/// The machines in the order in which they are stopped.
const ROLL: [usize; 6] = [0, 1, 2, 3, 0, 1];

const NAME: &str = "fondo.example";
const REGION: &str = "pampeana";
const ZONES: [&str; 2] = ["pampeana-a", "pampeana-b"];
const ZONE_REGIONS: &str = r#"{"pampeana-a": "pampeana", "pampeana-b": "pampeana"}"#;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-archivo","host":"fondo.example","prefix":"/archivo/","kind":"idempotent","timeout_s":20,
"latency_goal_s":1,"priority":2,"service":"archivo","max_attempts":2,"session_affinity":false,"home_regions":[]},
{"name":"r-bases","host":"fondo.example","prefix":"/bases/","kind":"idempotent","timeout_s":20,
"latency_goal_s":1,"priority":1,"service":"bases","max_attempts":2,"session_affinity":false,"home_regions":[]}],
"services":[
{"name":"archivo","health_path":"/health","max_connections":720,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":11.0},
{"name":"bases","health_path":"/health","max_connections":720,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":11.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"base_version":5}"#;

/// A request and how it ended.
struct Sent {
    id: String,
    machine: String,
    dossier: bool,
    at: f64,
    ended: f64,
    /// The status, 0 if the connection closed without an answer.
    status: u16,
    body_len: usize,
    whole: bool,
}

struct Play {
    record: Arc<Record>,
    machines: Vec<Machine>,
    /// When each machine got SIGTERM.
    stops: Mutex<BTreeMap<String, Vec<f64>>>,
    sent: Mutex<Vec<Sent>>,
    stop: AtomicBool,
}

/// Plays the case.
pub fn play(folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let record = Arc::new(Record::create(&folder.join("record.txt"))?);
    let dir = std::env::temp_dir().join(format!("foxtail-review-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let played = play_in(&dir, &record, trouble);
    record.flush();
    std::fs::remove_dir_all(&dir)?;
    played
}

fn play_in(dir: &Path, record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let (store, store_addr) = Store::start()?;
    store.put("op", "config", CONFIG);
    for n in 0..12 {
        let zone = ZONES[n % 2];
        let kind = Kind { answer_bytes: DOSSIER_BYTES, ..Kind::plain(DOSSIER_WORK) };
        Server::start(&store, record, &format!("i-d{n}"), "archivo", zone, kind)?;
        let kind = Kind::plain(SHORT_WORK);
        Server::start(&store, record, &format!("i-b{n}"), "bases", zone, kind)?;
    }
    let mut machines = Vec::new();
    for n in 0..4 {
        let (zone, name) = (ZONES[n % 2], format!("edge-{}-{}", ZONES[n % 2], n / 2 + 1));
        machines.push(Machine::new(dir, &name, (zone, REGION), ZONE_REGIONS, store_addr)?);
    }
    let play = Play {
        record: Arc::clone(record),
        machines,
        stops: Mutex::default(),
        sent: Mutex::default(),
        stop: AtomicBool::new(false),
    };
    for machine in &play.machines {
        machine.start()?;
    }
    std::thread::sleep(LEAD);
    if !play.machines.iter().all(Machine::is_ready) {
        return Err(io::Error::other("not all hosts are ready"));
    }
    record.line(&format!("traffic begins, trouble={trouble}"));
    let stopped = std::thread::scope(|scope| {
        for n in 0..CLIENTS {
            let play = &play;
            scope.spawn(move || play.send_requests(ZONES[n % 2]));
        }
        std::thread::sleep(CALM);
        let stopped = ROLL.iter().try_for_each(|&n| {
            let machine = &play.machines[n];
            let next = Instant::now() + GRACE + GAP;
            if trouble {
                play.stop_and_start(machine)?;
            }
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
            Ok(())
        });
        play.stop.store(true, Ordering::Relaxed);
        stopped
    });
    stopped.map(|()| play.judge())
}

impl Play {
    /// Stops a machine as planned and starts it again.
    fn stop_and_start(&self, machine: &Machine) -> io::Result<()> {
        self.record.line(&format!("SIGTERM {}", machine.name));
        let mut stops = self.stops.lock().unwrap();
        stops.entry(machine.name.clone()).or_default().push(self.record.now());
        drop(stops);
        machine.terminate();
        if !machine.wait(GRACE) {
            machine.kill();
        }
        self.record.line(&format!("end of {}", machine.name));
        machine.start()
    }

    fn connect(&self, random: &mut Random, zone: &str) -> Option<(Conn, String)> {
        let directories: Vec<_> = self.machines.iter().map(|machine| machine.directory).collect();
        let fronts = look_up_any(&directories, random, (NAME, REGION, zone));
        if fronts.is_empty() {
            return None;
        }
        let front = fronts[random.below(fronts.len() as u64) as usize];
        let machine = self.machines.iter().find(|machine| machine.front == front)?;
        let conn = Conn::connect(front).ok()?;
        conn.set_window(WINDOW_BYTES);
        Some((conn, machine.name.clone()))
    }

    /// Sends requests on kept connections until the end, with pauses.
    fn send_requests(&self, zone: &str) {
        let mut random = Random::new();
        while !self.stop.load(Ordering::Relaxed) {
            let Some((mut conn, machine)) = self.connect(&mut random, zone) else {
                std::thread::sleep(Duration::from_millis(THINK_MS));
                continue;
            };
            let mut keeps = true;
            while keeps && !self.stop.load(Ordering::Relaxed) {
                keeps = self.send(&mut conn, &machine, &mut random);
                let think = THINK_MS + random.below(THINK_MS);
                std::thread::sleep(Duration::from_millis(think));
                // A sound client does not use a connection that the host has closed.
                keeps &= !conn.is_closed();
            }
        }
    }

    /// Sends a request and reads its answer; returns whether the connection stays open.
    fn send(&self, conn: &mut Conn, machine: &str, random: &mut Random) -> bool {
        let id = request_id();
        let dossier = random.below(100) < DOSSIER_PERCENT;
        let path = if dossier { "archivo" } else { "bases" };
        let head = format!(
            "GET /{path}/{} HTTP/1.1\r\nhost: {NAME}\r\nfoxtailrouter-request-id: {id}\r\n\
             foxtailrouter-deadline-ms: {}\r\n\r\n",
            random.below(1_000_000),
            DEADLINE.as_millis()
        );
        let at = self.record.now();
        self.record.line(&format!("sent request={id} to={machine} dossier={dossier}"));
        let _ = conn.stream.set_read_timeout(Some(DEADLINE));
        let mut got = Got::default();
        let read = conn.write(head.as_bytes()).and_then(|()| got.read(conn));
        let ended = self.record.now();
        let Got { status, body_len, whole, closes } = got;
        let why = read.err().map_or(String::new(), |e| e.to_string());
        self.record.line(&format!(
            "ended request={id} status={status} body={body_len} whole={whole} {why}"
        ));
        let machine = machine.to_owned();
        let sent = Sent { id, machine, dossier, at, ended, status, body_len, whole };
        self.sent.lock().unwrap().push(sent);
        whole && !closes
    }

    /// Returns when the machine was told to stop if the request was sent after that, was passed on, and
    /// its connection ended without the whole answer, which its server had handed over in time.
    fn lost_after(&self, sent: &Sent) -> Option<f64> {
        let stops = self.stops.lock().unwrap();
        let stop = *stops.get(&sent.machine)?.iter().rev().find(|stop| **stop < sent.at)?;
        let runs = self.record.runs_of(&sent.id);
        let is_in_time = |at: f64| at < stop + LAST_SIXTH_S;
        let handed_over = runs.iter().any(|run| run.answered.is_some_and(is_in_time));
        (sent.ended <= stop + PLANNED_S && handed_over && !sent.whole).then_some(stop)
    }

    fn judge(&self) -> Verdict {
        let say = |text: String| {
            self.record.line(&text);
            println!("{text}");
        };
        let all = self.sent.lock().unwrap();
        let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
        for sent in all.iter() {
            let kind = if sent.dossier { "dossier" } else { "short" };
            let outcome = format!("{kind}: status {}, whole={}", sent.status, sent.whole);
            *outcomes.entry(outcome).or_default() += 1;
        }
        for (outcome, count) in outcomes {
            say(format!("{outcome}: {count}"));
        }
        let lost = all.iter().filter_map(|sent| Some((sent, self.lost_after(sent)?)));
        let lost: Vec<(&Sent, f64)> = lost.collect();
        for &(sent, stop) in &lost {
            let runs = self.record.runs_of(&sent.id);
            let handed_over = runs.iter().find_map(|run| run.answered).unwrap_or(0.0);
            say(format!(
                "LOST at {}: request={} sent {:.2} s after SIGTERM, answer handed over by its server at {:.2} s, \
                 connection ended at {:.2} s with {} of its bytes",
                sent.machine,
                sent.id,
                sent.at - stop,
                handed_over - stop,
                sent.ended - stop,
                sent.body_len
            ));
        }
        say(format!("LOST: {} requests", lost.len()));
        if lost.is_empty() { Verdict::Held } else { Verdict::Broken }
    }
}

/// What a client got of an answer.
#[derive(Default)]
struct Got {
    status: u16,
    body_len: usize,
    whole: bool,
    /// Whether the answer says that the connection is closed.
    closes: bool,
}

impl Got {
    /// Reads an answer at the speed of a client's line.
    fn read(&mut self, conn: &mut Conn) -> io::Result<()> {
        let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        self.status = head.status();
        self.closes = head.header("connection").eq_ignore_ascii_case("close");
        let started = Instant::now();
        if head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let len = conn.read_chunk_len()?;
                self.take(conn, len, started)?;
                conn.read_line()?;
                if len == 0 {
                    break;
                }
            }
        } else {
            let len = head.header("content-length").parse().unwrap_or(0);
            self.take(conn, len, started)?;
        }
        self.whole = true;
        Ok(())
    }

    fn take(&mut self, conn: &mut Conn, mut len: usize, started: Instant) -> io::Result<()> {
        let mut piece = [0; PIECE_BYTES];
        while len > 0 {
            let due = started + Duration::from_secs_f64(self.body_len as f64 / LINE_BYTES_PER_S);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let n = len.min(PIECE_BYTES);
            let n = conn.buffered().read(&mut piece[..n])?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.body_len += n;
            len -= n;
        }
        Ok(())
    }
}
