//! A server becomes cold again while the store is down; only its health answers tell.

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
const HOSTS: [(&str, &str); 2] = [("edge-1", "east-a"), ("edge-2", "east-b")];
const SERVERS: usize = 4;

/// Clients, and how often each sends.
const CLIENTS: usize = 40;
const SENDS_EVERY: Duration = Duration::from_millis(250);

/// How long the store is down, and when in it a server becomes cold.
const OUTAGE: Duration = Duration::from_millis(4_500);
const COLD_AFTER: Duration = Duration::from_millis(800);

/// The rule: `cold_per_s` x `cold_multiplier` + `cold_slack` requests in one second.
const MOST_IN_A_SECOND: f64 = 11.0 * 1.5 + 5.0;

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
                work: Duration::from_millis(30),
                down: Duration::from_secs(3),
                cold: Duration::from_secs(3),
                cold_most: MOST_IN_A_SECOND as usize,
                spoils: 0.0,
            };
            Server::start(&format!("s{n}"), kind, "", &store, record)
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
    let ended = Arc::new(AtomicBool::new(false));
    let (served, refused) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let lost = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (addr, ended) = (hosts[index % hosts.len()].caller, Arc::clone(&ended));
            let (served, refused) = (Arc::clone(&served), Arc::clone(&refused));
            let (lost, record) = (Arc::clone(&lost), Arc::clone(record));
            thread::spawn(move || {
                thread::sleep(SENDS_EVERY * index as u32 / CLIENTS as u32);
                let mut client = Client::new(addr, &record);
                let mut n = 0;
                while !ended.load(Ordering::Relaxed) {
                    let began = Instant::now();
                    let (id, path) = (format!("c{index}-{n}"), format!("/write/{index}"));
                    let key = index as u64;
                    let outcome = client.send("POST", &path, &id, key, Duration::from_secs(3));
                    let count = match outcome.status {
                        200 => &served,
                        503 => &refused,
                        _ => {
                            record.line(&format!("POST {id} is lost: {outcome:?}"));
                            &lost
                        }
                    };
                    count.fetch_add(1, Ordering::Relaxed);
                    n += 1;
                    thread::sleep(SENDS_EVERY.saturating_sub(began.elapsed()));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(10));
    let before: Vec<usize> = servers.iter().map(|server| server.arrivals().len()).collect();
    thread::sleep(Duration::from_secs(2));
    let rates: Vec<usize> = servers
        .iter()
        .zip(&before)
        .map(|(server, before)| (server.arrivals().len() - before) / 2)
        .collect();
    record.line(&format!("requests a second at the servers before: {rates:?}"));
    let busiest = (0..SERVERS).max_by_key(|n| rates[*n]).unwrap_or(0);

    if setup.trouble {
        record.line("the store is down");
        store.set_silent(true);
    }
    thread::sleep(COLD_AFTER);
    servers[busiest].become_cold();
    thread::sleep(OUTAGE - COLD_AFTER);
    store.set_silent(false);
    record.line("the store is up");
    thread::sleep(Duration::from_secs(5));
    ended.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    servers.iter().for_each(|server| server.end());

    let cold: Vec<Instant> = servers[busiest]
        .arrivals()
        .into_iter()
        .filter(|arrival| arrival.cold_since.is_some())
        .map(|arrival| arrival.at)
        .collect();
    let in_a_second = |from: &Instant| {
        cold.iter()
            .filter(|at| *at >= from && at.duration_since(*from) < Duration::from_secs(1))
            .count()
    };
    let most = cold.iter().map(in_a_second).max().unwrap_or(0);
    record.line(&format!(
        "{} requests served, {} refused, {} lost; {} health checks at the server that was cold",
        served.load(Ordering::Relaxed),
        refused.load(Ordering::Relaxed),
        lost.load(Ordering::Relaxed),
        servers[busiest].health_checks()
    ));
    record.line(&format!(
        "{} requests reached s{busiest} while it was cold, at most {most} in one second, {MOST_IN_A_SECOND} are allowed",
        cold.len()
    ));
    if most as f64 > MOST_IN_A_SECOND { Verdict::Broken } else { Verdict::Held }
}
