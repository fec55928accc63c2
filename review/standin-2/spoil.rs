//! Servers hand out wrong bytes; some of their answers have no MAC then.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::host::Host;
use crate::server::{Kind, Server};
use crate::store::Store;
use crate::{Setup, Verdict, desired_state};

const ZONES: &str = r#"{"east-a":"east","east-b":"east"}"#;
const HOSTS: [(&str, &str); 2] = [("edge-1", "east-a"), ("edge-2", "east-b")];
const SERVERS: usize = 6;

const CLIENTS: usize = 150;
const SENDS_EVERY: Duration = Duration::from_millis(300);
const LENGTH: Duration = Duration::from_secs(5);

/// The share of the answers that faulty servers spoil; half of the servers are faulty.
const SPOILED: f64 = 0.02;

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let (store, store_addr) = Store::start();
    store.put("op", "config", &desired_state(7));
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|n| {
            let is_faulty = setup.trouble && [0, 1, 4].contains(&n);
            let kind = Kind {
                service: "books",
                zone: if n % 2 == 0 { "east-a" } else { "east-b" },
                slots: 8,
                work: Duration::from_millis(20),
                down: Duration::from_secs(1),
                cold: Duration::from_secs(3),
                cold_most: usize::MAX,
                spoils: if is_faulty { SPOILED } else { 0.0 },
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
    let unsealed = Arc::new(AtomicU64::new(0));
    let counts: Arc<Mutex<BTreeMap<u16, u64>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (addr, ended) = (hosts[index % hosts.len()].caller, Arc::clone(&ended));
            let (counts, unsealed) = (Arc::clone(&counts), Arc::clone(&unsealed));
            let record = Arc::clone(record);
            thread::spawn(move || {
                thread::sleep(SENDS_EVERY * index as u32 / CLIENTS as u32);
                let mut client = Client::new(addr, &record);
                let mut n = 0;
                while !ended.load(Ordering::Relaxed) {
                    let began = Instant::now();
                    let (id, path) = (format!("c{index}-{n}"), format!("/read/{index}"));
                    let outcome =
                        client.send("GET", &path, &id, index as u64, Duration::from_secs(3));
                    *counts.lock().unwrap().entry(outcome.status).or_default() += 1;
                    if outcome.status == 200 && !outcome.has_seal {
                        unsealed.fetch_add(1, Ordering::Relaxed);
                        record.line(&format!("the client of {id} gets 200 without the MAC"));
                    }
                    n += 1;
                    thread::sleep(SENDS_EVERY.saturating_sub(began.elapsed()));
                }
            })
        })
        .collect();
    thread::sleep(LENGTH);
    ended.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    servers.iter().for_each(|server| server.end());
    record.line(&format!("answers by status: {:?}", counts.lock().unwrap()));
    let unsealed = unsealed.load(Ordering::Relaxed);
    record.line(&format!("{unsealed} successes without the MAC, none is allowed"));
    if unsealed > 0 { Verdict::Broken } else { Verdict::Held }
}
