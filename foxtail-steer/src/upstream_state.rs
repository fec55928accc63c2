//! The state of one upstream, estimated from its load reports and the outcomes of requests.

use std::collections::VecDeque;

use foxtail_types::prelude::*;

use crate::TokenBucket;
use crate::estimate::WorkTimes;
use crate::limited_sending::LimitedSending;
use crate::named_limit::NamedLimit;
use crate::notice::Notices;
use crate::steering::Options;
use crate::upstream::{Load, Upstream};

/// Largest number of recently handled objects that are tracked for each upstream.
const MAX_RECENT_OBJECTS: usize = 128;

/// Weight of a new sample in an upstream's slowdown, error rate and average load from other hosts.
const SMOOTHING_FACTOR: f64 = 0.3;

/// Error rate from which an upstream is unhealthy and loses its designated objects to others.
const UNHEALTHY_ERROR_RATE: f64 = 0.5;

/// Slowdown from which an upstream is unhealthy and loses its designated objects to others.
const UNHEALTHY_SLOWDOWN: f64 = 2.0;

/// Time constant, in milliseconds, with which a reported load from other hosts decays to its
/// average.
const REPORT_DECAY_MS: f64 = 300.0;

/// Weight of a new load report in an upstream's utilization.
const UTILIZATION_SMOOTHING_FACTOR: f64 = 0.2;

/// Time constant, in milliseconds, with which utilization decays without reports, so that an
/// upstream which was busy is tried again.
const UTILIZATION_DECAY_MS: f64 = 2_000.0;

/// Time constant, in milliseconds, with which slowdown and error rate decay, so that an unhealthy
/// upstream is tried again.
const HEALTH_DECAY_MS: f64 = 4_000.0;

/// An upstream's registration and its estimated state.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) up: Upstream,
    /// The region of its zone; this host's region if the settings do not list the zone.
    pub(crate) region: RegionId,
    /// Whether the settings list its zone.
    pub(crate) zone_listed: bool,
    /// Whether the registration was removed, or a different instance answered at the address.
    pub(crate) removed: bool,
    pub(crate) cold_until: Millis,
    /// Limits the requests that are sent while the upstream is cold.
    pub(crate) warm_up_tokens: TokenBucket,
    pub(crate) named_limit: NamedLimit,
    pub(crate) notices: Notices,
    /// This host's part in sending to the upstream while it names a limit.
    pub(crate) limited_sending: LimitedSending,
    /// Requests of this host at the upstream.
    pub(crate) own_requests: u32,
    /// Requests of other hosts at the last report.
    pub(crate) other_requests: f64,
    /// Smoothed `other_requests` over all reports.
    pub(crate) other_requests_avg: f64,
    pub(crate) reported_at: Option<Millis>,
    /// Smoothed share of slots that were taken, as of the last report.
    utilization: f64,
    /// Ratio of actual to expected work time.
    pub(crate) slowdown: f64,
    /// Estimated share of requests that fail or are shed.
    pub(crate) error_rate: f64,
    /// When the slowdown or the error rate was last updated.
    pub(crate) health_updated_at: Millis,
    pub(crate) backoff_until: Millis,
    pub(crate) connect_failures: u32,
    pub(crate) lost_answers: u32,
    pub(crate) recent_objects: RecentObjects,
}

/// The objects that an upstream most recently handled for this host, the latest last.
#[derive(Debug, Default)]
pub(crate) struct RecentObjects {
    order: VecDeque<u64>,
}

impl UpstreamState {
    pub(crate) fn new(up: Upstream, options: &Options, now: Millis) -> Self {
        let mut state = Self {
            up,
            region: options.region.clone(),
            zone_listed: false,
            removed: false,
            cold_until: Millis::ZERO,
            warm_up_tokens: TokenBucket::new(1.0, 1.0, now),
            named_limit: NamedLimit::default(),
            notices: Notices::default(),
            limited_sending: LimitedSending::new(now),
            own_requests: 0,
            other_requests: 0.0,
            other_requests_avg: 0.0,
            reported_at: None,
            utilization: 0.0,
            slowdown: 1.0,
            error_rate: 0.0,
            health_updated_at: Millis::ZERO,
            backoff_until: Millis::ZERO,
            connect_failures: 0,
            lost_answers: 0,
            recent_objects: RecentObjects::default(),
        };
        state.set_region(options);
        state
    }

    /// Sets the region to that of the upstream's zone.
    pub(crate) fn set_region(&mut self, options: &Options) {
        let region = options.zones.get(&self.up.zone);
        self.zone_listed = region.is_some();
        self.region = region.unwrap_or(&options.region).clone();
    }

    /// Resets the state that belongs to an earlier incarnation or address, but for notices.
    pub(crate) fn reset(&mut self) {
        self.other_requests = 0.0;
        self.other_requests_avg = 0.0;
        self.slowdown = 1.0;
        self.error_rate = 0.0;
        self.backoff_until = Millis::ZERO;
        self.connect_failures = 0;
        self.lost_answers = 0;
        self.named_limit = NamedLimit::default();
        self.recent_objects = RecentObjects::default();
    }

    /// Estimates the number of requests at the upstream, from this host and others.
    pub(crate) fn load(&self, now: Millis) -> f64 {
        let age_ms = self.report_age_ms(now);
        let other_requests = self.other_requests_avg
            + (self.other_requests - self.other_requests_avg) * decay(age_ms, REPORT_DECAY_MS);
        f64::from(self.own_requests) + other_requests
    }

    fn report_age_ms(&self, now: Millis) -> f64 {
        self.reported_at.map_or(f64::INFINITY, |reported_at| now.since(reported_at).0 as f64)
    }

    /// Returns the share of slots that are taken, smoothed over reports. It is above 1 if requests
    /// are queued.
    pub(crate) fn utilization(&self, now: Millis) -> f64 {
        let age_ms = self.report_age_ms(now);
        let own_utilization = f64::from(self.own_requests) / f64::from(self.up.slots.max(1));
        (self.utilization * decay(age_ms, UTILIZATION_DECAY_MS)).max(own_utilization)
    }

    /// Estimates how long one more request would wait for a slot, in milliseconds.
    pub(crate) fn expected_wait_ms(&self, now: Millis, work_ms: f64) -> f64 {
        let slots = f64::from(self.up.slots.max(1));
        let excess = self.load(now) + 1.0 - slots;
        excess.max(0.0) / slots * work_ms * self.slowdown_at(now)
    }

    /// Returns the ratio of actual to expected work time. It decays to 1 without new samples.
    pub(crate) fn slowdown_at(&self, now: Millis) -> f64 {
        1.0 + (self.slowdown - 1.0)
            * decay(now.since(self.health_updated_at).0 as f64, HEALTH_DECAY_MS)
    }

    /// Returns whether the upstream is fit to be designated for objects.
    pub(crate) fn is_healthy(&self, now: Millis) -> bool {
        self.backoff_until <= now
            && self.error_rate_at(now) < UNHEALTHY_ERROR_RATE
            && self.slowdown_at(now) < UNHEALTHY_SLOWDOWN
    }

    /// Returns the estimated share of failing requests. It decays to 0 without new samples.
    pub(crate) fn error_rate_at(&self, now: Millis) -> f64 {
        self.error_rate * decay(now.since(self.health_updated_at).0 as f64, HEALTH_DECAY_MS)
    }

    /// Records a load report, unless its numbers are those of a faulty upstream.
    pub(crate) fn record_load(&mut self, load: Load, now: Millis) {
        if !load.is_plausible() {
            return;
        }
        let total = f64::from(load.running + load.waiting);
        self.other_requests = (total - f64::from(self.own_requests)).max(0.0);
        self.other_requests_avg +=
            SMOOTHING_FACTOR * (self.other_requests - self.other_requests_avg);
        let utilization = total / f64::from(load.slots.max(1));
        let current = self.utilization(now);
        self.utilization = current + UTILIZATION_SMOOTHING_FACTOR * (utilization - current);
        self.reported_at = Some(now);
        if load.slots > 0 {
            self.up.slots = load.slots;
        }
    }

    pub(crate) fn record_answer(
        &mut self,
        object: Option<u64>,
        took_ms: f64,
        work: &WorkTimes,
        now: Millis,
    ) {
        self.connect_failures = 0;
        self.lost_answers = 0;
        self.backoff_until = Millis::ZERO;
        self.error_rate = self.error_rate_at(now) * (1.0 - SMOOTHING_FACTOR);
        let expected_ms = if work.is_likely_miss(took_ms) { work.miss_ms } else { work.hit_ms };
        self.record_slowdown(took_ms / expected_ms.max(1.0), now);
        if let Some(object) = object {
            self.recent_objects.record(object);
        }
    }

    pub(crate) fn record_slowdown(&mut self, ratio: f64, now: Millis) {
        self.slowdown = (self.slowdown_at(now) * (1.0 - SMOOTHING_FACTOR)
            + ratio * SMOOTHING_FACTOR)
            .clamp(0.5, 20.0);
        self.health_updated_at = now;
    }

    pub(crate) fn record_failure(&mut self, now: Millis) {
        self.error_rate = self.error_rate_at(now) * (1.0 - SMOOTHING_FACTOR) + SMOOTHING_FACTOR;
        self.slowdown = self.slowdown_at(now);
        self.health_updated_at = now;
    }
}

impl RecentObjects {
    /// Returns the reuse distance of `object`: the number of other objects that the upstream has
    /// handled for this host since it last handled `object`. Returns `None` if `object` is not
    /// tracked.
    pub(crate) fn reuse_distance(&self, object: u64) -> Option<usize> {
        self.order.iter().rev().position(|&other| other == object)
    }

    fn record(&mut self, object: u64) {
        if self.order.back() == Some(&object) {
            return;
        }
        if let Some(index) = self.order.iter().position(|&other| other == object) {
            self.order.remove(index);
        } else if self.order.len() == MAX_RECENT_OBJECTS {
            self.order.pop_front();
        }
        self.order.push_back(object);
    }
}

/// Returns the factor by which a value has decayed after `age_ms`.
fn decay(age_ms: f64, time_constant_ms: f64) -> f64 {
    (-age_ms / time_constant_ms).exp()
}
