//! Callers: they look up entry hosts, send requests at random times for a bounded while, and come
//! back when they are told to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxtail_net::Dial;
use foxtail_standin::caller::{self, Ask, Got};
use foxtail_types::prelude::*;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};

use crate::shape::{Demand, OBJECTS};
use crate::site::Site;

/// How often a caller sends a request, all tries counted.
const TRIES_MOST: usize = 3;

/// How long callers keep the answer to a look-up.
const LOOK_UP_EVERY: Duration = Duration::from_secs(1);

/// How much longer than a request's timeout its caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(1);

/// The load.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The load, as a share of the capacity of all upstreams without caches.
    pub load: f64,
    /// For how long requests are sent.
    pub span: Duration,
    /// The seed of times and objects.
    pub seed: u64,
}

/// One sending of a request.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Its identifier.
    pub id: String,
    /// The request that it belongs to.
    pub request: String,
    /// The route.
    pub route: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The latency objective.
    pub objective: Millis,
    /// When it was sent.
    pub at: Instant,
    /// How long it took.
    pub took: Duration,
    /// How it ended.
    pub ended: Ended,
}

/// How a sending ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With an answer.
    Got(Got),
    /// No connection could be made.
    Unreachable,
    /// The connection broke, or nothing came.
    Lost,
}

/// The callers of one route in one region.
struct Callers {
    demand: Demand,
    dial: Arc<dyn Dial>,
    hosts: Arc<Hosts>,
    sent: Arc<Mutex<Vec<Sent>>>,
    seed: u64,
}

/// The entry hosts that callers of a region know.
struct Hosts {
    lookups: Vec<SocketAddr>,
    dial: Arc<dyn Dial>,
    region: RegionId,
    zone: ZoneId,
    known: Mutex<Option<(Instant, Vec<SocketAddr>)>>,
}

/// Sends requests to `site` and returns every sending, when all have ended.
pub async fn run(site: &Site, options: Options) -> Vec<Sent> {
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut tasks = JoinSet::new();
    let shape = site.shape();
    for region in &shape.regions {
        let zone = shape.zones.iter().find(|(_, of)| *of == region);
        let Some((zone, _)) = zone else { continue };
        let dial = site.callers_dial(region);
        let hosts = Arc::new(Hosts {
            lookups: site.lookups(),
            dial: Arc::clone(&dial),
            region: region.clone(),
            zone: zone.clone(),
            known: Mutex::default(),
        });
        let demand = shape.demand(options.load);
        for (n, demand) in demand.into_iter().filter(|it| it.region == *region).enumerate() {
            let (dial, hosts, sent) = (Arc::clone(&dial), Arc::clone(&hosts), Arc::clone(&sent));
            let seed = options.seed ^ ((n as u64 + 1) << 16);
            let callers = Arc::new(Callers { demand, dial, hosts, sent, seed });
            tasks.spawn(callers.run(options.span));
        }
    }
    while let Some(ended) = tasks.join_next().await {
        ended.expect("callers do not panic");
    }
    Arc::into_inner(sent).expect("all callers have ended").into_inner()
}

impl Callers {
    async fn run(self: Arc<Self>, span: Duration) {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let began = tokio::time::Instant::now();
        let mut at = Duration::ZERO;
        let mut requests = JoinSet::new();
        let mut n = 0;
        loop {
            at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / self.demand.per_s);
            if at >= span {
                break;
            }
            sleep_until(began + at).await;
            let object = rng.random_range(0..OBJECTS);
            requests.spawn(Arc::clone(&self).request(n, object));
            n += 1;
            while requests.try_join_next().is_some() {}
        }
        while let Some(ended) = requests.join_next().await {
            ended.expect("a request does not panic");
        }
    }

    /// Sends one request until it is answered, or no more tries are due.
    async fn request(self: Arc<Self>, n: u64, object: u64) {
        let name =
            format!("{}-{}-{n}", self.demand.route.name.replace('/', "-"), self.demand.region);
        let until = Instant::now() + self.demand.route.timeout.duration();
        for attempt in 0..TRIES_MOST {
            let ended = self.send(&name, attempt, object, until).await;
            let pause = match &ended {
                Ended::Got(got) if got.promises_not_run() => got.retry_after(),
                Ended::Got(_) => return,
                Ended::Unreachable => Some(Duration::ZERO),
                Ended::Lost if self.demand.route.idempotent => Some(Duration::ZERO),
                Ended::Lost => return,
            };
            let Some(pause) = pause.filter(|pause| Instant::now() + *pause < until) else { return };
            sleep(pause).await;
        }
    }

    async fn send(&self, name: &str, attempt: usize, object: u64, until: Instant) -> Ended {
        let route = &self.demand.route;
        let id = format!("{name}.{attempt}");
        let region = self.demand.region.as_str();
        let ask = Ask {
            method: if route.idempotent { "GET" } else { "POST" },
            host: &route.host,
            path: &format!("{}{region}/{object}", route.prefix),
            id: &id,
            object: object + OBJECTS * u64::from(region.as_bytes()[0]),
            patience: until.saturating_duration_since(Instant::now()),
            body: "",
        };
        let at = Instant::now();
        let ended = self.exchange(&ask).await;
        let took = at.elapsed();
        self.sent.lock().push(Sent {
            request: name.to_owned(),
            route: route.name.clone(),
            idempotent: route.idempotent,
            objective: route.objective,
            at,
            took,
            ended: ended.clone(),
            id,
        });
        ended
    }

    async fn exchange(&self, ask: &Ask<'_>) -> Ended {
        let Some(host) = self.hosts.any().await else { return Ended::Unreachable };
        let Ok(mut stream) = self.dial.dial(host).await else {
            self.hosts.forget();
            return Ended::Unreachable;
        };
        let text = ask.text();
        match timeout(ask.patience + PATIENCE, caller::talk(&mut stream, &text)).await {
            Ok(Ok(got)) if got.whole => Ended::Got(got),
            Ok(_) | Err(_) => Ended::Lost,
        }
    }
}

impl Hosts {
    /// One of the entry hosts.
    async fn any(&self) -> Option<SocketAddr> {
        let held = self.known.lock().clone();
        let fresh = held.filter(|(at, _)| at.elapsed() < LOOK_UP_EVERY);
        let hosts = match fresh {
            Some((_, hosts)) => hosts,
            None => {
                let hosts = self.look_up().await?;
                *self.known.lock() = Some((Instant::now(), hosts.clone()));
                hosts
            }
        };
        hosts.choose(&mut rand::rng()).copied()
    }

    fn forget(&self) {
        *self.known.lock() = None;
    }

    async fn look_up(&self) -> Option<Vec<SocketAddr>> {
        let first = rand::rng().random_range(0..self.lookups.len().max(1));
        for addr in self.lookups.iter().cycle().skip(first).take(self.lookups.len()) {
            let Ok(mut stream) = self.dial.dial(*addr).await else { continue };
            let place = Some((self.region.as_str(), self.zone.as_str()));
            let asking = caller::look_up(&mut stream, "any", place);
            if let Ok(Some(hosts)) = timeout(PATIENCE, asking).await {
                return Some(hosts);
            }
        }
        None
    }
}
