//! Many clients send bodies within the limits of the desired state at the same time.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{End, Random, answer, look_up_any, request_id};
use crate::host::Machine;
use crate::http::{Conn, add_sum};
use crate::platform::Store;
use crate::record::Record;
use crate::server::{Kind, Server};

/// The memory of a process, as in the platform's settings (`memory_mb`).
const MEMORY_BYTES: u64 = 182 * 1024 * 1024;

/// How often the platform looks at the memory of the processes.
const MEMORY_INTERVAL: Duration = Duration::from_millis(5);

/// How long after its end the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The size of an upload; the desired state allows 64 MiB.
const UPLOAD_BYTES: usize = 2_700_000;

/// How long a client takes to send an upload, on a line of some 8 Mbit/s.
const UPLOAD_TIME: Duration = Duration::from_millis(2_700);

/// The pieces in which it is sent.
const UPLOAD_PIECES: usize = 27;

/// The clients that upload in each wave: those of two zones.
const UPLOADERS: usize = 60;

/// How many times as many come in a burst.
const BURST: f64 = 1.7;

/// The time in which the clients of a wave begin.
const WAVE_SPREAD_MS: u64 = 1_000;

const WAVES: usize = 5;
const WAVE_INTERVAL: Duration = Duration::from_secs(14);

/// The clients that send small requests on kept connections.
const REGULARS: usize = 24;
const REGULAR_PAUSE: Duration = Duration::from_millis(200);
const REGULAR_DEADLINE: Duration = Duration::from_millis(2_500);
const UPLOAD_DEADLINE: Duration = Duration::from_secs(8);

/// When traffic begins after the machines have started.
const LEAD: Duration = Duration::from_secs(8);

/// How long traffic runs before the first wave: longer than `stable_window_s`.
const CALM: Duration = Duration::from_secs(6);

/// LOST: more than this many requests lost are a breach.
const MAX_LOST: usize = 3;

/// Fault: this many ends of a process on as many machines are a breach.
const MAX_ENDS: usize = 3;
const MACHINES_WITH_ENDS: usize = 2;

const NAME: &str = "fondo.example";
const REGION: &str = "pampeana";
const ZONES: [&str; 2] = ["pampeana-a", "pampeana-b"];
const ZONE_REGIONS: &str = r#"{"pampeana-a": "pampeana", "pampeana-b": "pampeana"}"#;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-solicitud","host":"fondo.example","prefix":"/solicitud/","kind":"non_idempotent","timeout_s":8,
"latency_goal_s":6,"priority":1,"service":"solicitudes","max_attempts":2,"session_affinity":false,"home_regions":[]},
{"name":"r-acta","host":"fondo.example","prefix":"/acta/","kind":"non_idempotent","timeout_s":2.5,
"latency_goal_s":1.2,"priority":1,"service":"inspecciones","max_attempts":2,"session_affinity":false,"home_regions":[]}],
"services":[
{"name":"solicitudes","health_path":"/health","max_connections":720,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":11.0},
{"name":"inspecciones","health_path":"/health","max_connections":720,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":11.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"base_version":5}"#;

struct Play {
    record: Arc<Record>,
    machines: Vec<Machine>,
    /// Small requests that a server began to run and whose kept connection then closed without an
    /// answer, by machine.
    lost: Mutex<BTreeMap<String, Vec<String>>>,
    /// How often each process ended for its memory.
    ends: Mutex<BTreeMap<String, usize>>,
    peaks: Mutex<BTreeMap<String, u64>>,
    /// How uploads and small requests ended.
    outcomes: Mutex<BTreeMap<String, usize>>,
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
        let kind = Kind::plain(Duration::from_millis(840));
        Server::start(&store, record, &format!("i-s{n}"), "solicitudes", zone, kind)?;
        let kind = Kind::plain(Duration::from_millis(520));
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
        lost: Mutex::default(),
        ends: Mutex::default(),
        peaks: Mutex::default(),
        outcomes: Mutex::default(),
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
    let count = if trouble { (UPLOADERS as f64 * BURST) as usize } else { UPLOADERS };
    std::thread::scope(|scope| {
        for machine in &play.machines {
            scope.spawn(|| play.limit_memory(machine));
        }
        for n in 0..REGULARS {
            let play = &play;
            scope.spawn(move || play.send_small_requests(ZONES[n % 2]));
        }
        std::thread::sleep(CALM);
        for wave in 0..WAVES {
            record.line(&format!("wave {wave} of {count} uploads"));
            for n in 0..count {
                let play = &play;
                scope.spawn(move || play.upload(ZONES[n % 2]));
            }
            std::thread::sleep(WAVE_INTERVAL);
        }
        play.stop.store(true, Ordering::Relaxed);
    });
    Ok(play.judge())
}

impl Play {
    /// Kills a process that occupies more than its memory, and starts it again.
    fn limit_memory(&self, machine: &Machine) {
        while !self.stop.load(Ordering::Relaxed) {
            std::thread::sleep(MEMORY_INTERVAL);
            let Some(bytes) = machine.resident_bytes() else { continue };
            let name = &machine.name;
            let mut peaks = self.peaks.lock().unwrap();
            let peak = peaks.entry(name.clone()).or_default();
            *peak = (*peak).max(bytes);
            drop(peaks);
            if bytes > MEMORY_BYTES {
                machine.kill();
                *self.ends.lock().unwrap().entry(name.clone()).or_default() += 1;
                self.record.line(&format!("end of {name}: {bytes} bytes of memory"));
                std::thread::sleep(RESTART_DELAY);
                if let Err(e) = machine.start() {
                    self.record.line(&format!("{name} does not start: {e}"));
                }
            }
        }
    }

    fn count(&self, outcome: String) {
        *self.outcomes.lock().unwrap().entry(outcome).or_default() += 1;
    }

    /// Opens a connection to an entry host; returns it with the name of the machine.
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

    /// Sends small requests on kept connections until the end.
    fn send_small_requests(&self, zone: &str) {
        let mut random = Random::new();
        let body = [b'a'; 600];
        while !self.stop.load(Ordering::Relaxed) {
            let Some((mut conn, machine)) = self.connect(&mut random, zone) else {
                std::thread::sleep(REGULAR_PAUSE);
                continue;
            };
            let mut sent = 0;
            while !self.stop.load(Ordering::Relaxed) {
                let id = request_id();
                let head = format!(
                    "POST /acta/{} HTTP/1.1\r\nhost: {NAME}\r\nfoxtailrouter-request-id: {id}\r\n\
                     foxtailrouter-deadline-ms: {}\r\ncontent-length: {}\r\n\r\n",
                    random.below(50),
                    REGULAR_DEADLINE.as_millis(),
                    body.len()
                );
                let deadline = Instant::now() + REGULAR_DEADLINE;
                self.record.line(&format!("sent request={id} to={machine} on-connection={sent}"));
                let written = conn.write(&[head.as_bytes(), &body].concat());
                let end = match written {
                    Ok(()) => answer(&mut conn, deadline),
                    Err(e) => End::Closed(e.to_string()),
                };
                sent += 1;
                match end {
                    End::Answer(answer) => {
                        let status = answer.status();
                        self.record.line(&format!("answer request={id} status={status}"));
                        self.count(format!("small request: {status}"));
                        if answer.header("connection").eq_ignore_ascii_case("close") {
                            break;
                        }
                    }
                    End::Closed(why) => {
                        let runs = self.record.runs_of(&id).len();
                        self.record.line(&format!("closed request={id} runs={runs}: {why}"));
                        self.count(format!("small request: connection closed, {runs} runs"));
                        if runs > 0 && sent > 1 {
                            let mut lost = self.lost.lock().unwrap();
                            lost.entry(machine.clone()).or_default().push(id);
                        }
                        break;
                    }
                    End::NoAnswer => {
                        self.record.line(&format!("no answer request={id}"));
                        self.count("small request: no answer".to_owned());
                        break;
                    }
                }
                std::thread::sleep(REGULAR_PAUSE);
            }
        }
    }

    /// Sends one upload on a new connection.
    fn upload(&self, zone: &str) {
        let mut random = Random::new();
        std::thread::sleep(Duration::from_millis(random.below(WAVE_SPREAD_MS)));
        let Some((mut conn, machine)) = self.connect(&mut random, zone) else {
            return self.count("upload: no connection".to_owned());
        };
        let id = request_id();
        let deadline = Instant::now() + UPLOAD_DEADLINE;
        self.record.line(&format!("sent request={id} to={machine} upload={UPLOAD_BYTES}"));
        let outcome = match self.send_upload(&mut conn, &id, &mut random) {
            Ok(sum) => match answer(&mut conn, deadline) {
                End::Answer(answer) => {
                    let runs = self.record.runs_of(&id);
                    let whole =
                        runs.iter().all(|run| run.body_len == UPLOAD_BYTES && run.body_sum == sum);
                    format!("{}, {} runs, whole={whole}", answer.status(), runs.len())
                }
                End::Closed(_) => "connection closed".to_owned(),
                End::NoAnswer => "no answer".to_owned(),
            },
            // A host that refuses an upload may answer before it has read it.
            Err(_) => match answer(&mut conn, deadline) {
                End::Answer(answer) => format!("{} before the end", answer.status()),
                End::Closed(_) | End::NoAnswer => "connection closed before the end".to_owned(),
            },
        };
        self.record.line(&format!("ended request={id}: {outcome}"));
        self.count(format!("upload: {outcome}"));
    }

    /// Sends the head and the body at the speed of a client's line; returns the body's checksum.
    fn send_upload(&self, conn: &mut Conn, id: &str, random: &mut Random) -> io::Result<u64> {
        let head = format!(
            "POST /solicitud/{} HTTP/1.1\r\nhost: {NAME}\r\nfoxtailrouter-request-id: {id}\r\n\
             foxtailrouter-deadline-ms: {}\r\ncontent-length: {UPLOAD_BYTES}\r\n\r\n",
            random.below(1_000_000),
            UPLOAD_DEADLINE.as_millis()
        );
        conn.write(head.as_bytes())?;
        let piece: Vec<u8> =
            (0..UPLOAD_BYTES / UPLOAD_PIECES).map(|_| random.below(256) as u8).collect();
        let mut sum = 0;
        for _ in 0..UPLOAD_PIECES {
            conn.write(&piece)?;
            sum = add_sum(sum, &piece);
            std::thread::sleep(UPLOAD_TIME / UPLOAD_PIECES as u32);
        }
        Ok(sum)
    }

    fn judge(&self) -> Verdict {
        let say = |text: String| {
            self.record.line(&text);
            println!("{text}");
        };
        for (outcome, count) in self.outcomes.lock().unwrap().iter() {
            say(format!("{outcome}: {count}"));
        }
        for (name, bytes) in self.peaks.lock().unwrap().iter() {
            say(format!("memory of {name} at its peak: {:.0} MiB", *bytes as f64 / 1_048_576.0));
        }
        let ends = self.ends.lock().unwrap();
        for (name, count) in ends.iter() {
            say(format!("ends of {name} for its memory: {count}"));
        }
        let lost = self.lost.lock().unwrap();
        for (name, ids) in lost.iter() {
            say(format!(
                "LOST at {name}: {} requests on kept connections, {}",
                ids.len(),
                ids.join(" ")
            ));
        }
        let lost_broken = lost.values().any(|ids| ids.len() > MAX_LOST);
        let failing = ends.values().filter(|count| **count >= MAX_ENDS).count();
        let fault = failing >= MACHINES_WITH_ENDS;
        say(format!("LOST broken: {lost_broken}; Fault: {fault}"));
        if lost_broken || fault { Verdict::Broken } else { Verdict::Held }
    }
}
