//! Limits retries to a share of each service's requests.

use std::collections::HashMap;

use foxtail_types::prelude::*;

use crate::TokenBucket;

/// The share of the ratio and slack that is used, so that requests which end while they are counted
/// do not push the fleet over its budget.
const USED_SHARE: f64 = 0.8;

/// The fleet's retry budget over a sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Retries for each request of a service.
    pub ratio: f64,
    /// Retries that all hosts together may send in each window in addition to the ratio.
    pub slack: f64,
    /// The length of the window.
    pub window: Millis,
}

/// This host's part of the retry budget: the ratio applied to its own requests, and an equal share
/// of the slack.
///
/// Each host keeps to its part without coordination, so that the fleet keeps to the budget also
/// when hosts cannot reach each other. A host that is considered dead may still run and send
/// retries; the slack is therefore divided by
/// [`Fleet::hosts_sharing_budgets`](crate::Fleet::hosts_sharing_budgets), which includes hosts that do
/// not answer.
#[derive(Debug)]
pub struct RetryBudget {
    options: Options,
    services: HashMap<ServiceId, TokenBucket>,
}

impl RetryBudget {
    /// Creates a budget with `options`.
    pub fn new(options: Options) -> Self {
        Self { options, services: HashMap::new() }
    }

    /// Replaces the options. Tokens beyond the new limits are dropped.
    pub fn set_options(&mut self, options: Options) {
        self.options = options;
    }

    /// Records a caller's request for `service`, which adds to the budget. `hosts` is the number of
    /// hosts that share the slack.
    pub fn record_request(&mut self, service: &ServiceId, hosts: usize, now: Millis) {
        let ratio = self.options.ratio * USED_SHARE;
        self.bucket(service, hosts, now).add(ratio);
    }

    /// Takes one retry for `service` from the budget, and returns whether one was available.
    pub fn try_take(&mut self, service: &ServiceId, hosts: usize, now: Millis) -> bool {
        self.bucket(service, hosts, now).try_take(now)
    }

    fn bucket(&mut self, service: &ServiceId, hosts: usize, now: Millis) -> &mut TokenBucket {
        let Options { slack, window, .. } = self.options;
        let share = slack * USED_SHARE / hosts.max(1) as f64;
        // Burst and refill within one window add up to this host's share of the slack.
        let burst = (share / 2.0).max(1.0);
        let rate_per_s = share / 2.0 / window.as_secs_f64().max(0.001);
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), TokenBucket::new(rate_per_s, burst, now));
        }
        let bucket = self.services.get_mut(service).expect("inserted above");
        // The share changes with the settings and with the number of known hosts.
        bucket.set_limits(rate_per_s, burst, now);
        bucket
    }
}
