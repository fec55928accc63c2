//! A request that crashes servers comes again after all machines were killed at the same moment.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::host::Host;
use crate::server::{Kind, Server};
use crate::store::Store;
use crate::{Setup, Verdict, desired_state};

const ZONES: &str = r#"{"east-a":"east","east-b":"east"}"#;
const HOSTS: [(&str, &str); 3] = [("edge-1", "east-a"), ("edge-2", "east-a"), ("edge-3", "east-b")];
const SERVERS: usize = 12;

/// How often the deadly request comes again.
const COMES_EVERY: Duration = Duration::from_secs(6);

/// When all machines are killed, after the first deadly request.
const KILL_AT: Duration = Duration::from_secs(19);

/// How long they are down.
const DOWN: Duration = Duration::from_millis(500);

/// When the last deadly request comes.
const LAST_AT: Duration = Duration::from_secs(85);

/// `stable_window_s` of the pages.
const STABLE_WINDOW: Duration = Duration::from_secs(4);

/// The rule: no more than this many retries later than the stable window after the third crash.
const MOST_LATE: usize = 3;

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let (store, store_addr) = Store::start();
    store.put("op", "config", &desired_state(7));
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|n| {
            let kind = Kind {
                service: "books",
                zone: if n % 2 == 0 { "east-a" } else { "east-b" },
                slots: 3,
                work: Duration::from_millis(20),
                down: Duration::from_secs(3),
                cold: Duration::from_secs(3),
                cold_most: usize::MAX,
                spoils: 0.0,
            };
            Server::start(&format!("s{n}"), kind, "deadly", &store, record)
        })
        .collect();
    let mut hosts: Vec<Host> = HOSTS
        .iter()
        .map(|(name, zone)| Host::new(&setup.dir, name, zone, ZONES, store_addr))
        .collect();
    for host in &mut hosts {
        if !host.start() {
            return Verdict::NotRun("a host doesn't start".to_owned());
        }
    }
    if !hosts.iter().all(|host| host.wait_until_ready(Duration::from_secs(10))) {
        return Verdict::NotRun("a host isn't ready".to_owned());
    }
    thread::sleep(STABLE_WINDOW);

    // Healthy requests at each host, so that the hosts know their links to be good.
    let ended = Arc::new(AtomicBool::new(false));
    let (served, others) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let callers: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(index, host)| {
            let (addr, ended) = (host.caller, Arc::clone(&ended));
            let (served, others) = (Arc::clone(&served), Arc::clone(&others));
            let record = Arc::clone(record);
            thread::spawn(move || {
                let mut client = Client::new(addr, &record);
                let mut n = 0;
                while !ended.load(Ordering::Relaxed) {
                    let (id, path) = (format!("h{index}-{n}"), format!("/read/{}", n % 40));
                    let key = (n % 40) as u64;
                    let outcome = client.send("GET", &path, &id, key, Duration::from_secs(3));
                    let count = if outcome.status == 200 { &served } else { &others };
                    count.fetch_add(1, Ordering::Relaxed);
                    n += 1;
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));

    let began = Instant::now();
    let mut killed = !setup.trouble;
    let mut sent = 0;
    // When each host was last started, for each deadly request.
    let mut starts = Vec::new();
    while began.elapsed() < LAST_AT {
        if !killed && began.elapsed() >= KILL_AT {
            killed = true;
            record.line("all machines are killed");
            hosts.iter_mut().for_each(Host::kill);
            thread::sleep(DOWN);
            for host in &mut hosts {
                host.start();
            }
            record.line("all machines are started");
        }
        if began.elapsed() >= COMES_EVERY * sent {
            let host = &hosts[sent as usize % hosts.len()];
            let id = format!("deadly-{sent}");
            starts.push((id.clone(), host.started));
            let outcome = Client::new(host.caller, record).send(
                "GET",
                "/read/deadly",
                &id,
                77,
                Duration::from_secs(3),
            );
            record.line(&format!("{id} to {}: {outcome:?}", host.name));
            sent += 1;
        }
        thread::sleep(Duration::from_millis(20));
    }
    ended.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));

    let mut arrivals: Vec<(Instant, String, String)> = Vec::new();
    for server in &servers {
        server.end();
        let deadly =
            server.arrivals().into_iter().filter(|arrival| arrival.path.contains("deadly"));
        arrivals.extend(deadly.map(|arrival| (arrival.at, arrival.id, server.name.clone())));
    }
    arrivals.sort();
    record.line(&format!(
        "{} healthy requests served, {} not",
        served.load(Ordering::Relaxed),
        others.load(Ordering::Relaxed)
    ));
    let Some(third) = arrivals.get(2).map(|(at, ..)| *at) else {
        return Verdict::NotRun("the request never crashed three servers".to_owned());
    };
    let mut late = 0;
    for (at, id, server) in &arrivals {
        let started = starts.iter().find(|(of, _)| of == id).map(|(_, started)| *started);
        let in_touch = started.is_some_and(|started| *at >= started + STABLE_WINDOW);
        let counts = in_touch && *at > third + STABLE_WINDOW;
        late += usize::from(counts);
        record.line(&format!(
            "{id} reached {server} at {:.3}{}",
            record.seconds(*at),
            if counts { ", late, from a machine in touch" } else { "" }
        ));
    }
    record.line(&format!("{late} late retries reached servers, {MOST_LATE} are allowed"));
    if late > MOST_LATE { Verdict::Broken } else { Verdict::Held }
}
