//! The answers that callers got in a simulation.

use std::collections::BTreeMap;
use std::fmt;

use foxtail_types::prelude::*;

/// The worth of a late answer; one within its latency objective has the worth 1.
const LATE_WORTH: f64 = 0.2;

/// The counts and latencies of the answers that callers got in a simulation.
#[derive(Clone, Debug, Default)]
pub struct Results {
    routes: BTreeMap<String, Counts>,
    regions: BTreeMap<RegionId, Counts>,
    latencies_ms: Vec<u64>,
    /// The number of times that an upstream refused a request.
    pub shed: usize,
    /// The number of answered requests that ran outside the region of their caller.
    pub cross_region: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: usize,
    in_time: usize,
    late: usize,
}

impl Results {
    pub(super) fn count_request(&mut self, region: &RegionId, route: &str) {
        self.routes.entry(route.to_owned()).or_default().requests += 1;
        self.regions.entry(region.clone()).or_default().requests += 1;
    }

    pub(super) fn count_answer(
        &mut self,
        (region, route): (&RegionId, &str),
        latency: Millis,
        objective: Millis,
    ) {
        let route = self.routes.entry(route.to_owned()).or_default();
        let region = self.regions.entry(region.clone()).or_default();
        for counts in [route, region] {
            if latency <= objective {
                counts.in_time += 1;
            } else {
                counts.late += 1;
            }
        }
        self.latencies_ms.push(latency.0);
    }

    /// Returns the mean worth of the requests of each region's callers.
    pub fn worth_by_region(&self) -> BTreeMap<&RegionId, f64> {
        self.regions.iter().map(|(region, counts)| (region, counts.worth())).collect()
    }

    /// Returns the number of requests.
    pub fn requests(&self) -> usize {
        self.routes.values().map(|counts| counts.requests).sum()
    }

    /// Returns the number of answers within their latency objective.
    pub fn in_time(&self) -> usize {
        self.routes.values().map(|counts| counts.in_time).sum()
    }

    /// Returns the mean worth of all requests; it is 1 if all are answered in time.
    pub fn worth(&self) -> f64 {
        let total: f64 = self.routes.values().map(|c| c.worth() * c.requests as f64).sum();
        total / self.requests().max(1) as f64
    }

    /// Returns the route with the least mean worth, and that worth.
    pub fn weakest(&self) -> (&str, f64) {
        let worth = self.routes.iter().map(|(name, counts)| (name.as_str(), counts.worth()));
        worth.min_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or(("-", 0.0))
    }

    /// Returns the quantile `q`, from 0 to 1, of the latencies of all answers.
    pub fn latency(&self, q: f64) -> Millis {
        let mut latencies_ms = self.latencies_ms.clone();
        latencies_ms.sort_unstable();
        let at = (q * latencies_ms.len().saturating_sub(1) as f64) as usize;
        Millis(latencies_ms.get(at).copied().unwrap_or(0))
    }

    /// Returns the share of the requests that were answered.
    pub fn served(&self) -> f64 {
        self.latencies_ms.len() as f64 / self.requests().max(1) as f64
    }
}

impl Counts {
    fn worth(self) -> f64 {
        let worth = self.in_time as f64 + LATE_WORTH * self.late as f64;
        worth / self.requests.max(1) as f64
    }
}

impl fmt::Display for Results {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (weakest, worth) = self.weakest();
        write!(
            f,
            "worth {:.3}, in time {:.1}%, served {:.1}%, p99 {} ms, weakest {weakest} {worth:.3}, \
             crossed {:.1}%, shed {:.1}%",
            self.worth(),
            100.0 * self.in_time() as f64 / self.requests().max(1) as f64,
            100.0 * self.served(),
            self.latency(0.99).0,
            100.0 * self.cross_region as f64 / self.requests().max(1) as f64,
            100.0 * self.shed as f64 / self.requests().max(1) as f64,
        )
    }
}
