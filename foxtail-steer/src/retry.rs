//! The retry budget: how much of a service's load may be requests sent once more.

use std::collections::HashMap;

use foxtail_types::prelude::*;

use crate::TokenBucket;

/// The part of the allowed ratio and slack that is used, so that requests which end while they are
/// counted do not push the fleet over its budget.
const USED_SHARE: f64 = 0.8;

/// What the fleet may send once more, over a sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Retries for each request of a service.
    pub ratio: f64,
    /// Retries that are allowed beside the ratio in each window, over all hosts.
    pub slack: f64,
    /// The window.
    pub window: Millis,
}

/// This host's part of the budget: the ratio of its own requests, and an equal share of the slack.
///
/// Each host keeps to its part without asking the others, so that the sum holds also when hosts
/// can't hear each other. A host that is counted as gone while it still runs is the reason for
/// [`Fleet::host_count`](crate::Fleet::host_count) rather than the hosts that answer.
#[derive(Debug)]
pub struct RetryBudget {
    options: Options,
    services: HashMap<ServiceId, TokenBucket>,
}

impl RetryBudget {
    /// A budget with `options`.
    pub fn new(options: Options) -> Self {
        Self { options, services: HashMap::new() }
    }

    /// Keeps to `options` from now on; what was saved up beyond them is dropped.
    pub fn set_options(&mut self, options: Options) {
        self.options = options;
    }

    /// Notes a caller's request for `service`.
    pub fn record_request(&mut self, service: &ServiceId, hosts: usize, now: Millis) {
        let ratio = self.options.ratio * USED_SHARE;
        self.bucket(service, hosts, now).add(ratio);
    }

    /// Takes a retry for `service` out of the budget, if there is one.
    pub fn try_take(&mut self, service: &ServiceId, hosts: usize, now: Millis) -> bool {
        self.bucket(service, hosts, now).try_take(now)
    }

    fn bucket(&mut self, service: &ServiceId, hosts: usize, now: Millis) -> &mut TokenBucket {
        let Options { slack, window, .. } = self.options;
        let share = slack * USED_SHARE / hosts.max(1) as f64;
        // Burst and refill within one window add up to the share of the slack.
        let burst = (share / 2.0).max(1.0);
        let rate_per_s = share / 2.0 / window.as_secs_f64().max(0.001);
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), TokenBucket::new(rate_per_s, burst, now));
        }
        let bucket = self.services.get_mut(service).expect("inserted above");
        // The share changes with the settings and with the hosts that are known.
        bucket.set_limits(rate_per_s, burst, now);
        bucket
    }
}
