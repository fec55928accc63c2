//! Hosts are stopped one after the other, as planned, while servers work on requests with long bodies.
//! With trouble, the servers read the rest of a long body only after their work.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{End, Random, answer, look_up_any, request_id};
use crate::host::Machine;
use crate::http::{Conn, Message};
use crate::platform::Store;
use crate::record::Record;
use crate::server::{Kind, Server};

/// The size of a long body; the desired state allows 64 MiB.
const LONG_BYTES: usize = 400_000;
const SHORT_BYTES: usize = 600;

/// How long servers work on a request.
const LONG_WORK: Duration = Duration::from_millis(1_600);
const SHORT_WORK: Duration = Duration::from_millis(520);

const LONG_CLIENTS: usize = 8;
const SHORT_CLIENTS: usize = 12;
const PAUSE: Duration = Duration::from_millis(200);

/// The deadline of requests, and the timeout of their route.
const DEADLINE: Duration = Duration::from_secs(8);

/// When traffic begins after the machines have started, and how long it runs before the first stop.
const LEAD: Duration = Duration::from_secs(8);
const CALM: Duration = Duration::from_secs(6);

/// `grace_s`, after which the platform kills a process that was told to stop.
const GRACE: Duration = Duration::from_secs(6);

/// `grace_s` less its last sixth, in seconds: what servers still work on then is not counted.
const LAST_SIXTH_S: f64 = 5.0;

/// A request counts until this long after SIGTERM: `grace_s` and 1 s.
const PLANNED_S: f64 = 7.0;

/// A request that servers still work on in the last sixth counts only if it was sent later.
const LATE_S: f64 = 3.0;

/// The pause between the start of a machine and the stop of the next one.
const GAP: Duration = Duration::from_secs(5);

const NAME: &str = "fondo.example";
const REGION: &str = "pampeana";
const ZONES: [&str; 2] = ["pampeana-a", "pampeana-b"];
const ZONE_REGIONS: &str = r#"{"pampeana-a": "pampeana", "pampeana-b": "pampeana"}"#;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-solicitud","host":"fondo.example","prefix":"/solicitud/","kind":"non_idempotent","timeout_s":8,
"latency_goal_s":4,"priority":1,"service":"solicitudes","max_attempts":2,"session_affinity":false,"home_regions":[]},
{"name":"r-acta","host":"fondo.example","prefix":"/acta/","kind":"non_idempotent","timeout_s":8,
"latency_goal_s":1.2,"priority":1,"service":"inspecciones","max_attempts":2,"session_affinity":false,"home_regions":[]}],
"services":[
{"name":"solicitudes","health_path":"/health","max_connections":720,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":11.0},
{"name":"inspecciones","health_path":"/health","max_connections":720,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":11.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"base_version":5}"#;

/// A request and how it ended.
struct Sent {
    id: String,
    machine: String,
    long: bool,
    at: f64,
    ended: f64,
    /// The status, 0 if the connection closed without an answer.
    status: u16,
    has_seal: bool,
}

struct Play {
    record: Arc<Record>,
    machines: Vec<Machine>,
    /// When each machine got SIGTERM.
    stops: Mutex<BTreeMap<String, f64>>,
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
        let kind = Kind { reads_late: trouble, ..Kind::plain(LONG_WORK) };
        Server::start(&store, record, &format!("i-s{n}"), "solicitudes", zone, kind)?;
        let kind = Kind::plain(SHORT_WORK);
        Server::start(&store, record, &format!("i-a{n}"), "inspecciones", zone, kind)?;
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
        for n in 0..LONG_CLIENTS + SHORT_CLIENTS {
            let play = &play;
            scope.spawn(move || play.send_requests(ZONES[n % 2], n < LONG_CLIENTS));
        }
        std::thread::sleep(CALM);
        let stopped = play.machines.iter().try_for_each(|machine| {
            let next = Instant::now() + GRACE + GAP;
            play.stop_and_start(machine)?;
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
        self.stops.lock().unwrap().insert(machine.name.clone(), self.record.now());
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
        Some((Conn::connect(front).ok()?, machine.name.clone()))
    }

    /// Sends requests on kept connections until the end.
    fn send_requests(&self, zone: &str, long: bool) {
        let mut random = Random::new();
        while !self.stop.load(Ordering::Relaxed) {
            let Some((mut conn, machine)) = self.connect(&mut random, zone) else {
                std::thread::sleep(PAUSE);
                continue;
            };
            while !self.stop.load(Ordering::Relaxed) {
                let keeps = self.send(&mut conn, &machine, long, &mut random);
                std::thread::sleep(PAUSE);
                if !keeps {
                    break;
                }
            }
        }
    }

    /// Sends a request and returns whether the connection stays open.
    fn send(&self, conn: &mut Conn, machine: &str, long: bool, random: &mut Random) -> bool {
        let id = request_id();
        let (path, len) = if long { ("solicitud", LONG_BYTES) } else { ("acta", SHORT_BYTES) };
        let head = format!(
            "POST /{path}/{} HTTP/1.1\r\nhost: {NAME}\r\nfoxtailrouter-request-id: {id}\r\n\
             foxtailrouter-deadline-ms: {}\r\ncontent-length: {len}\r\n\r\n",
            random.below(1_000_000),
            DEADLINE.as_millis()
        );
        let (at, deadline) = (self.record.now(), Instant::now() + DEADLINE);
        self.record.line(&format!("sent request={id} to={machine} body={len}"));
        let body: Vec<u8> = (0..len).map(|_| random.below(256) as u8).collect();
        let end = match conn.write(&[head.as_bytes(), &body].concat()) {
            Ok(()) => answer(conn, deadline),
            Err(e) => End::Closed(e.to_string()),
        };
        let answered = match end {
            End::Answer(answer) => answer,
            End::Closed(_) | End::NoAnswer => Message::default(),
        };
        let (status, has_seal) =
            (answered.status(), answered.headers.contains_key("foxtailrouter-server-seal"));
        let ended = self.record.now();
        self.record.line(&format!("ended request={id} status={status} seal={has_seal}"));
        let machine = machine.to_owned();
        self.sent.lock().unwrap().push(Sent { id, machine, long, at, ended, status, has_seal });
        status != 0 && !answered.header("connection").eq_ignore_ascii_case("close")
    }

    /// Whether the machine that took a request broke it off, around its planned stop, while a server
    /// worked on it. Statuses that promise that it has not run are no answer in place of the server's.
    fn is_lost(&self, sent: &Sent) -> bool {
        let Some(&stop) = self.stops.lock().unwrap().get(&sent.machine) else { return false };
        let is_planned =
            sent.ended >= stop && sent.at <= stop + PLANNED_S && sent.ended <= stop + PLANNED_S;
        let reached_deadline = sent.ended - sent.at >= DEADLINE.as_secs_f64() - 0.1;
        let excused = sent.ended >= stop + LAST_SIXTH_S && sent.at <= stop + LATE_S;
        let has_run = !self.record.runs_of(&sent.id).is_empty();
        is_planned
            && !reached_deadline
            && !excused
            && has_run
            && !sent.has_seal
            && sent.status != 503
    }

    fn judge(&self) -> Verdict {
        let say = |text: String| {
            self.record.line(&text);
            println!("{text}");
        };
        let all = self.sent.lock().unwrap();
        let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
        for sent in all.iter() {
            let size = if sent.long { "long" } else { "short" };
            *outcomes.entry(format!("{size} body: status {}", sent.status)).or_default() += 1;
        }
        for (outcome, count) in outcomes {
            say(format!("{outcome}: {count}"));
        }
        let lost: Vec<&Sent> = all.iter().filter(|sent| self.is_lost(sent)).collect();
        for sent in &lost {
            let since = sent.ended - self.stops.lock().unwrap()[&sent.machine];
            say(format!(
                "LOST at {}: request={} status={} {:.2} s after it was sent, {since:.2} s after SIGTERM",
                sent.machine,
                sent.id,
                sent.status,
                sent.ended - sent.at
            ));
        }
        say(format!("LOST: {} requests", lost.len()));
        if lost.is_empty() { Verdict::Held } else { Verdict::Broken }
    }
}
