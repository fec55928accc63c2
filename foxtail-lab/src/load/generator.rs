//! Sends requests at random times for a bounded while.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foxtail_net::http::{Client, Options as HttpOptions, client};
use foxtail_standin::net::Place;
use foxtail_types::prelude::*;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use super::directory::{Directory, Entry};
use super::{Call, Ending, Method, Record};
use crate::fleet::Fleet;
use crate::shape::{ServiceShape, Shape};

/// How often a caller asks again after it was told "unknown" or lost the connection.
const ASKS_MAX: u32 = 5;
const ASK_AGAIN_PAUSE: Millis = Millis(200);
/// How long callers keep idle connections: less than hosts do, so that no request is sent on a
/// connection that its host is about to close.
const IDLE_MAX: Millis = Millis::secs(5);

/// The load.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The load, as a share of the capacity of all upstreams.
    pub load: f64,
    /// For how long requests are sent.
    pub span: Millis,
    /// Of the requests of a service that has any, how many must not be repeated.
    pub once_share: f64,
    /// The seed of times and paths.
    pub seed: u64,
}

impl Options {
    /// `load` of the capacity for `span`, with a twentieth of what may be once-only so.
    pub fn new(load: f64, span: Millis, seed: u64) -> Self {
        Self { load, span, once_share: 0.05, seed }
    }
}

/// The callers of one service in one region.
struct Callers {
    workspace: WorkspaceId,
    service: ServiceShape,
    per_s: f64,
    client: Client,
    directory: Arc<Directory>,
    record: Arc<Mutex<Record>>,
    options: Options,
}

/// Sends requests to `fleet` and returns how they ended, when all have.
pub async fn run(fleet: &Fleet, options: Options) -> Record {
    let shape = fleet.shape();
    let record = Arc::new(Mutex::new(Record::default()));
    let mut tasks = JoinSet::new();
    for (region, name) in shape.network.regions.iter().map(|region| &region.id).enumerate() {
        let dial = fleet.fabric().dial_from(Place::client(name));
        let client = client(dial, &HttpOptions { idle: IDLE_MAX, ..HttpOptions::default() });
        let directory = Directory::new(shape.workspace_id(), name, fleet.entries());
        let directory = Arc::new(directory);
        for (n, service) in shape.services.iter().enumerate() {
            let seed = options.seed ^ ((n as u64) << 8 | region as u64);
            let callers = Callers {
                workspace: shape.workspace_id().clone(),
                service: service.clone(),
                per_s: per_s(shape, service, region, options.load),
                client: client.clone(),
                directory: Arc::clone(&directory),
                record: Arc::clone(&record),
                options: Options { seed, ..options },
            };
            tasks.spawn(Arc::new(callers).run());
        }
    }
    while let Some(ended) = tasks.join_next().await {
        ended.expect("callers do not panic");
    }
    Arc::into_inner(record).expect("all callers have ended").into_inner()
}

fn per_s(shape: &Shape, service: &ServiceShape, region: usize, load: f64) -> f64 {
    let capacity = f64::from(shape.slots_per_service()) / service.mean.as_secs_f64();
    capacity * load * service.demand[region]
}

impl Callers {
    async fn run(self: Arc<Self>) {
        let mut rng = SmallRng::seed_from_u64(self.options.seed);
        let began = Instant::now();
        let mut at = Duration::ZERO;
        let mut requests = JoinSet::new();
        let mut n = 0;
        loop {
            at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / self.per_s);
            if at >= self.options.span.duration() {
                break;
            }
            sleep_until(began + at).await;
            requests.spawn(Arc::clone(&self).one(self.call(n, &mut rng)));
            n += 1;
            while requests.try_join_next().is_some() {}
        }
        while let Some(ended) = requests.join_next().await {
            ended.expect("a request does not panic");
        }
    }

    fn call(&self, n: u64, rng: &mut SmallRng) -> Call {
        let once = self.service.once.as_ref().filter(|_| rng.random_bool(self.options.once_share));
        let answer_bytes = self.service.answer_bytes as usize;
        let seed = self.options.seed;
        let name = format!("{}-{seed}-{n}", self.service.name);
        let base = once.cloned().unwrap_or_else(|| format!("/{}", self.service.name));
        Call {
            workspace: self.workspace.clone(),
            service: self.service.name.clone(),
            method: if once.is_some() { Method::Post } else { Method::Get },
            path: format!("{base}/{seed}-{n}?bytes={answer_bytes}"),
            body: if once.is_some() { Bytes::from(name.clone()) } else { Bytes::new() },
            answer_bytes,
            deadline: self.service.deadline,
            key: once.map(|_| Key::fresh()),
            name,
        }
    }

    /// Sends a request until its caller knows how it ended.
    async fn one(self: Arc<Self>, call: Call) {
        let began = Instant::now();
        let mut but = None;
        let mut ending = Ending::Unreachable;
        for ask in 0..ASKS_MAX {
            if ask > 0 {
                self.record.lock().sent_again += 1;
                sleep(ASK_AGAIN_PAUSE.duration()).await;
            }
            ending = match self.directory.entry(&self.client, &call.service, but).await {
                Ok(Entry { address, region, .. }) => {
                    but = Some(address);
                    call.send(&self.client, address, &region).await
                }
                Err(_) => Ending::Unreachable,
            };
            if self.is_final(&call, &ending, but) {
                break;
            }
        }
        self.record.lock().add(&call, &ending, began.elapsed());
    }

    /// Whether the caller asks no more: a broken connection is only asked after with a key.
    fn is_final(&self, call: &Call, ending: &Ending, tried: Option<SocketAddr>) -> bool {
        match ending {
            Ending::Unreachable => {
                if tried.is_some() {
                    self.directory.forget(&call.service);
                }
                false
            }
            Ending::Unknown(_) => call.key.is_none(),
            _ => true,
        }
    }
}
