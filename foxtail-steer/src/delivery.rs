//! Estimates how long long responses take to reach their callers once an upstream answers.
//!
//! The load that this answers: callers on slow lines ask for long responses, while their host is told to
//! stop. Upstreams answer in time, but the host would end before it has passed the response on.

use std::collections::HashMap;
use std::net::IpAddr;

use foxtail_types::prelude::*;

/// The time in which what is known of a delivery counts for half as much.
const HALF_LIFE: Millis = Millis::secs(60);

/// The most callers whose speed is kept.
const MAX_CALLERS: usize = 1_024;

/// How long the speed of a caller is kept.
const CALLER_LIFETIME: Millis = Millis::secs(120);

/// A response that is being passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DeliveryId(u64);

/// What is known of the responses of routes, and of the speed of callers.
#[derive(Debug, Default)]
pub struct Deliveries {
    routes: HashMap<String, Delivered>,
    callers: HashMap<IpAddr, Speed>,
    under_way: HashMap<DeliveryId, UnderWay>,
    next_id: u64,
}

/// The responses of a route that were passed on.
#[derive(Clone, Copy, Debug)]
struct Delivered {
    /// The longest time that one took, which fades.
    longest_ms: f64,
    /// The size of the largest one, which fades.
    largest_bytes: f64,
    at: Millis,
}

/// The speed at which a caller last took a long response.
#[derive(Clone, Copy, Debug)]
struct Speed {
    bytes_per_ms: f64,
    at: Millis,
}

#[derive(Clone, Debug)]
struct UnderWay {
    route: String,
    caller: IpAddr,
    since: Millis,
}

impl Deliveries {
    /// Records that a long response of `route` begins to be passed on to `caller`.
    pub fn begin(&mut self, route: &str, caller: IpAddr, now: Millis) -> DeliveryId {
        let id = DeliveryId(self.next_id);
        self.next_id += 1;
        self.under_way.insert(id, UnderWay { route: route.to_owned(), caller, since: now });
        id
    }

    /// Records that a response of `bytes` was passed on, or as much of it until it broke off.
    pub fn finish(&mut self, id: DeliveryId, bytes: u64, now: Millis) {
        let Some(UnderWay { route, caller, since }) = self.under_way.remove(&id) else { return };
        let took_ms = now.since(since).0 as f64;
        let faded = self.routes.get(&route).map(|known| known.faded(now));
        let faded = faded.unwrap_or(Delivered { longest_ms: 0.0, largest_bytes: 0.0, at: now });
        let delivered = Delivered {
            longest_ms: faded.longest_ms.max(took_ms),
            largest_bytes: faded.largest_bytes.max(bytes as f64),
            at: now,
        };
        self.routes.insert(route, delivered);
        if self.callers.len() >= MAX_CALLERS {
            self.callers.retain(|_, speed| now.since(speed.at) < CALLER_LIFETIME);
        }
        if self.callers.len() < MAX_CALLERS || self.callers.contains_key(&caller) {
            let bytes_per_ms = bytes as f64 / took_ms.max(1.0);
            self.callers.insert(caller, Speed { bytes_per_ms, at: now });
        }
    }

    /// Returns how long passing on a response of `route` to `caller` may take.
    pub fn expected(&self, route: &str, caller: IpAddr, now: Millis) -> Millis {
        let known = self.routes.get(route).map(|known| known.faded(now));
        let longest_ms = known.map_or(0.0, |known| known.longest_ms);
        let speed = self.callers.get(&caller).filter(|speed| now.since(speed.at) < CALLER_LIFETIME);
        let by_speed_ms = known.zip(speed).map_or(0.0, |(known, speed)| {
            known.largest_bytes / speed.bytes_per_ms.max(f64::MIN_POSITIVE)
        });
        let same_route = self.under_way.values().filter(|delivery| delivery.route == route);
        let under_way = same_route.map(|delivery| now.since(delivery.since)).max();
        let ms = longest_ms.max(by_speed_ms).min(u32::MAX.into());
        Millis(ms as u64).max(under_way.unwrap_or(Millis::ZERO))
    }

    /// Returns how many responses are being passed on.
    pub fn under_way(&self) -> usize {
        self.under_way.len()
    }
}

impl Delivered {
    fn faded(self, now: Millis) -> Self {
        let factor = 0.5_f64.powf(now.since(self.at).0 as f64 / HALF_LIFE.0 as f64);
        Self {
            longest_ms: self.longest_ms * factor,
            largest_bytes: self.largest_bytes * factor,
            at: now,
        }
    }
}
