//! Callers that look up entry hosts, send requests at random times for a set duration, and retry
//! when an answer allows it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxtail_net::Dial;
use foxtail_standin::caller::{self, Answer, Request};
use foxtail_types::prelude::*;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};

use crate::site::Site;
use crate::spec::{OBJECTS_PER_REGION, RouteDemand};

/// The most attempts of a request, the first one included.
const MAX_ATTEMPTS: usize = 3;

/// The time for which callers use the answer to a look-up.
const LOOKUP_CACHE_TIME: Duration = Duration::from_secs(1);

/// The time that a caller waits for an answer beyond the request's timeout, and for a look-up.
const EXTRA_WAIT: Duration = Duration::from_secs(1);

/// The load that callers generate.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The request rate as a share of the capacity of all slots with nothing cached.
    pub load: f64,
    /// The time during which requests are sent.
    pub duration: Duration,
    /// The seed of the send times and objects.
    pub seed: u64,
}

/// One attempt of a request and how it ended.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The identifier of the attempt.
    pub id: String,
    /// The identifier of the request, the same for all its attempts.
    pub request: String,
    /// The name of the route.
    pub route: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The latency objective of the route.
    pub objective: Millis,
    /// When the attempt began.
    pub started_at: Instant,
    /// The time from its beginning to its end, look-up and connecting included.
    pub latency: Duration,
    /// How the attempt ended.
    pub outcome: Outcome,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer arrived.
    Answered(Answer),
    /// No look-up or connection succeeded, so the request was not sent.
    Unreachable,
    /// The connection ended or the caller stopped waiting before a complete answer.
    Lost,
}

/// The callers of one route in one region.
struct Callers {
    demand: RouteDemand,
    dial: Arc<dyn Dial>,
    hosts: Arc<EntryHosts>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    seed: u64,
}

/// The entry hosts for callers in one region, from a look-up that is cached.
struct EntryHosts {
    lookup_addrs: Vec<SocketAddr>,
    dial: Arc<dyn Dial>,
    region: RegionId,
    zone: ZoneId,
    cached: Mutex<Option<(Instant, Vec<SocketAddr>)>>,
}

/// Sends requests to `site` and returns all attempts once they have ended.
pub async fn run(site: &Site, options: Options) -> Vec<Attempt> {
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let mut tasks = JoinSet::new();
    let spec = site.spec();
    for region in &spec.regions {
        let zone = spec.zones.iter().find(|(_, of)| *of == region);
        let Some((zone, _)) = zone else { continue };
        let dial = site.dial_from_callers(region);
        let hosts = Arc::new(EntryHosts {
            lookup_addrs: site.lookup_addrs(),
            dial: Arc::clone(&dial),
            region: region.clone(),
            zone: zone.clone(),
            cached: Mutex::default(),
        });
        let demand = spec.demand(options.load);
        for (n, demand) in demand.into_iter().filter(|it| it.region == *region).enumerate() {
            let (dial, hosts, attempts) =
                (Arc::clone(&dial), Arc::clone(&hosts), Arc::clone(&attempts));
            let seed = options.seed ^ ((n as u64 + 1) << 16);
            let callers = Arc::new(Callers { demand, dial, hosts, attempts, seed });
            tasks.spawn(callers.run(options.duration));
        }
    }
    while let Some(ended) = tasks.join_next().await {
        ended.expect("callers do not panic");
    }
    Arc::into_inner(attempts).expect("all callers have ended").into_inner()
}

impl Callers {
    async fn run(self: Arc<Self>, duration: Duration) {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let started = tokio::time::Instant::now();
        let mut next_at = Duration::ZERO;
        let mut requests = JoinSet::new();
        let mut n = 0;
        loop {
            next_at += Duration::from_secs_f64(
                -(1.0 - rng.random::<f64>()).ln() / self.demand.requests_per_s,
            );
            if next_at >= duration {
                break;
            }
            sleep_until(started + next_at).await;
            let object = rng.random_range(0..OBJECTS_PER_REGION);
            requests.spawn(Arc::clone(&self).request(n, object));
            n += 1;
            while requests.try_join_next().is_some() {}
        }
        while let Some(ended) = requests.join_next().await {
            ended.expect("a request does not panic");
        }
    }

    /// Sends one request until an answer is final, the attempts are used up, or the wait before the
    /// next attempt would pass the deadline.
    async fn request(self: Arc<Self>, n: u64, object: u64) {
        let name =
            format!("{}-{}-{n}", self.demand.route.name.replace('/', "-"), self.demand.region);
        let deadline = Instant::now() + self.demand.route.timeout.duration();
        for attempt in 0..MAX_ATTEMPTS {
            let outcome = self.send(&name, attempt, object, deadline).await;
            let wait = match &outcome {
                Outcome::Answered(answer) if answer.promises_not_run() => answer.retry_after(),
                Outcome::Answered(_) => return,
                Outcome::Unreachable => Some(Duration::ZERO),
                Outcome::Lost if self.demand.route.idempotent => Some(Duration::ZERO),
                Outcome::Lost => return,
            };
            let Some(wait) = wait.filter(|wait| Instant::now() + *wait < deadline) else { return };
            sleep(wait).await;
        }
    }

    async fn send(&self, name: &str, attempt: usize, object: u64, deadline: Instant) -> Outcome {
        let route = &self.demand.route;
        let id = format!("{name}.{attempt}");
        let region = self.demand.region.as_str();
        let request = Request {
            method: if route.idempotent { "GET" } else { "POST" },
            host: &route.host,
            path: &format!("{}{region}/{object}", route.prefix),
            id: &id,
            // Regions request different objects, unless their names begin with the same letter.
            object: object + OBJECTS_PER_REGION * u64::from(region.as_bytes()[0]),
            timeout: deadline.saturating_duration_since(Instant::now()),
            body: "",
        };
        let started_at = Instant::now();
        let outcome = self.exchange(&request).await;
        let latency = started_at.elapsed();
        self.attempts.lock().push(Attempt {
            request: name.to_owned(),
            route: route.name.clone(),
            idempotent: route.idempotent,
            objective: route.objective,
            started_at,
            latency,
            outcome: outcome.clone(),
            id,
        });
        outcome
    }

    async fn exchange(&self, request: &Request<'_>) -> Outcome {
        let Some(host) = self.hosts.pick().await else { return Outcome::Unreachable };
        let Ok(mut stream) = self.dial.dial(host).await else {
            self.hosts.clear_cache();
            return Outcome::Unreachable;
        };
        let text = request.encode();
        match timeout(request.timeout + EXTRA_WAIT, caller::exchange(&mut stream, &text)).await {
            Ok(Ok(answer)) if answer.is_complete => Outcome::Answered(answer),
            Ok(_) | Err(_) => Outcome::Lost,
        }
    }
}

impl EntryHosts {
    /// Returns a random entry host from the cached look-up, or looks them up again.
    async fn pick(&self) -> Option<SocketAddr> {
        let cached = self.cached.lock().clone();
        let fresh = cached.filter(|(looked_up_at, _)| looked_up_at.elapsed() < LOOKUP_CACHE_TIME);
        let hosts = match fresh {
            Some((_, hosts)) => hosts,
            None => {
                let hosts = self.look_up().await?;
                *self.cached.lock() = Some((Instant::now(), hosts.clone()));
                hosts
            }
        };
        hosts.choose(&mut rand::rng()).copied()
    }

    fn clear_cache(&self) {
        *self.cached.lock() = None;
    }

    /// Asks the look-up addresses one after another, from a random one on, until one answers.
    async fn look_up(&self) -> Option<Vec<SocketAddr>> {
        let first = rand::rng().random_range(0..self.lookup_addrs.len().max(1));
        for addr in self.lookup_addrs.iter().cycle().skip(first).take(self.lookup_addrs.len()) {
            let Ok(mut stream) = self.dial.dial(*addr).await else { continue };
            let location = Some((self.region.as_str(), self.zone.as_str()));
            let look_up = caller::look_up(&mut stream, "any", location);
            if let Ok(Some(hosts)) = timeout(EXTRA_WAIT, look_up).await {
                return Some(hosts);
            }
        }
        None
    }
}
