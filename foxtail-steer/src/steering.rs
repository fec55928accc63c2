//! What a host believes of the upstreams, and what it learns from the requests that it sends.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use foxtail_types::prelude::*;

use crate::estimate::{CacheSize, Work};
use crate::shift::Shift;
use crate::upstream::{Load, Upstream};
use crate::{Bucket, Config, RetryBudget, Route, Split, retry};

pub use crate::choose::{Placement, Request, Why};

/// The share of the allowed rate that a cold upstream is given, so that two hosts which both take
/// themselves for its sender for a moment stay within what it bears.
const COLD_SHARE: f64 = 0.8;

/// How many requests a cold upstream may be sent at once.
const COLD_BURST: f64 = 2.0;

/// Added to the time that an upstream says it stays cold, for the way of its word.
const COLD_MARGIN: Millis = Millis(300);

/// How many objects are remembered for each upstream.
const OBJECTS_KEPT: usize = 128;

/// How much one answer moves the pace and the error rate of an upstream.
const LEARN: f64 = 0.3;

/// An upstream that could not be reached is left alone for this long, doubled each time.
const DOWN_FIRST: Millis = Millis(300);

/// The longest an upstream is left alone between two tries.
const DOWN_MOST: Millis = Millis(3_000);

/// Consecutive lost answers after which an upstream is left alone for a moment.
const BROKEN_MOST: u32 = 3;

/// An upstream that fails a larger share of its requests stands back for others.
const UNWELL_ERRORS: f64 = 0.5;

/// An upstream that takes more times as long as expected stands back for others.
const UNWELL_PACE: f64 = 2.0;

/// A reported load of others fades to its average over this many milliseconds.
const REPORT_FADES_MS: f64 = 300.0;

/// How much one report moves the utilization of an upstream.
const UTILIZATION_LEARN: f64 = 0.2;

/// A utilization fades over this many milliseconds without reports, so that an upstream which was
/// busy is tried again.
const UTILIZATION_FADES_MS: f64 = 2_000.0;

/// A bad pace or error rate fades over this many milliseconds, so that the upstream is tried again.
const BLAME_FADES_MS: f64 = 4_000.0;

/// How often the slots of each region are counted.
const SURVEY_EVERY: Millis = Millis(250);

/// The round trip within a region before any connection was made, in milliseconds.
const NEAR_MS: f64 = 1.0;

/// The round trip to another region before any connection was made there, in milliseconds.
const FAR_MS: f64 = 70.0;

/// How much one connection that took longer than the known round trip raises it.
const RTT_RISES: f64 = 0.01;

/// Who this host is and how it decides.
#[derive(Clone, Debug)]
pub struct Options {
    /// This host.
    pub host: HostId,
    /// Its region.
    pub region: RegionId,
    /// The region of each zone.
    pub zones: BTreeMap<ZoneId, RegionId>,
    /// The fleet's retry budget.
    pub retry: retry::Options,
    /// A request is refused if all slots are taken and its answer is expected later than this many
    /// latency objectives.
    pub refuse_factor: f64,
    /// The share of a region's requests that may change their region within two seconds.
    pub shift_cap: f64,
}

/// What a host believes of the upstreams.
#[derive(Debug)]
pub struct Steering {
    pub(crate) options: Options,
    /// All regions, each once.
    pub(crate) regions: Vec<RegionId>,
    pub(crate) cfg: Option<Arc<Config>>,
    pub(crate) table: Vec<Known>,
    pub(crate) ids: HashMap<UpstreamId, usize>,
    pub(crate) by_service: HashMap<ServiceId, Vec<usize>>,
    pub(crate) work: HashMap<ServiceId, Vec<(Millis, Work)>>,
    pub(crate) caches: HashMap<ServiceId, CacheSize>,
    pub(crate) evacuated: BTreeSet<ZoneId>,
    pub(crate) rtt_ms: HashMap<ZoneId, f64>,
    pub(crate) shift: Shift,
    capacity_seen: Millis,
    split: Split,
    retries: RetryBudget,
}

/// One upstream and what is believed of it.
#[derive(Debug)]
pub(crate) struct Known {
    pub(crate) up: Upstream,
    pub(crate) region: RegionId,
    /// Its registration is gone, or another upstream answered at its address.
    pub(crate) gone: bool,
    pub(crate) cold_until: Millis,
    pub(crate) cold: Bucket,
    /// Requests of this host that it has.
    pub(crate) own: u32,
    /// Requests of others at the last report, and their average over all reports.
    pub(crate) others: f64,
    pub(crate) others_avg: f64,
    pub(crate) reported: Option<Millis>,
    utilization: f64,
    /// How long its work takes against what was expected.
    pub(crate) pace: f64,
    /// The share of requests that it failed or shed.
    pub(crate) errors: f64,
    pub(crate) blamed: Millis,
    pub(crate) down_until: Millis,
    failures: u32,
    broken: u32,
    pub(crate) objects: Objects,
}

/// The objects that an upstream handled last.
#[derive(Debug, Default)]
pub(crate) struct Objects {
    order: VecDeque<u64>,
}

/// How a request ended at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It gave its own answer, good or bad.
    Answered,
    /// It said that it did not run the request.
    Shed,
    /// Another upstream has the address.
    Moved,
    /// No connection could be made, and nothing was sent.
    Unreachable,
    /// The connection broke, or what came was no answer to the request.
    Broken,
    /// No answer in time.
    TimedOut,
    /// The caller left.
    Cancelled,
}

/// What is known when a request has ended at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Report<'a> {
    /// The upstream.
    pub id: &'a UpstreamId,
    /// The request's service and objective.
    pub service: &'a ServiceId,
    /// The latency objective of its route.
    pub objective: Millis,
    /// The object that it was about.
    pub object: Option<u64>,
    /// How it ended.
    pub ended: Ended,
    /// From sending to the head of the answer.
    pub took: Millis,
    /// How much of it was expected to be waiting for a slot, in milliseconds.
    pub wait_ms: f64,
    /// The load that the upstream reported.
    pub load: Option<Load>,
}

impl Steering {
    /// A host that knows nothing yet.
    pub fn new(options: Options) -> Self {
        let retries = RetryBudget::new(options.retry);
        let shift = Shift::new(options.shift_cap);
        let regions = regions(&options);
        Self {
            options,
            regions,
            cfg: None,
            table: Vec::new(),
            ids: HashMap::new(),
            by_service: HashMap::new(),
            work: HashMap::new(),
            caches: HashMap::new(),
            evacuated: BTreeSet::new(),
            rtt_ms: HashMap::new(),
            shift,
            capacity_seen: Millis::ZERO,
            split: Split::default(),
            retries,
        }
    }

    /// Decides by `options` from now on.
    pub fn set_options(&mut self, options: Options) {
        self.shift.set_cap(options.shift_cap);
        self.retries.set_options(options.retry);
        self.regions = regions(&options);
        self.options = options;
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.cfg.as_ref()
    }

    /// Puts `cfg` in force if it is newer, and tells whether it was.
    pub fn set_config(&mut self, cfg: Config) -> bool {
        if self.cfg.as_ref().is_some_and(|held| held.version >= cfg.version) {
            return false;
        }
        self.split.retain(|name| cfg.routes().iter().any(|route| route.name == name));
        for kinds in self.work.values_mut() {
            kinds.retain(|(kind, _)| cfg.routes().iter().any(|route| route.objective == *kind));
        }
        self.cfg = Some(Arc::new(cfg));
        true
    }

    /// Takes in a registration, new or changed.
    pub fn set_upstream(&mut self, up: Upstream, now: Millis) {
        // The settings name all zones; an upstream in another one is taken for near.
        let region = self.options.zones.get(&up.zone).unwrap_or(&self.options.region).clone();
        self.put(up, region, now);
    }

    /// Takes a registration out.
    pub fn remove_upstream(&mut self, id: &UpstreamId) {
        if let Some(&at) = self.ids.get(id) {
            self.table[at].gone = true;
            self.forget_idle(at);
        }
    }

    /// Sends nothing more to the upstreams of `zone`.
    pub fn evacuate(&mut self, zone: ZoneId) {
        self.evacuated.insert(zone);
    }

    /// Takes `zone` back into use; its upstreams are taken for cold.
    pub fn end_evacuation(&mut self, zone: &ZoneId, now: Millis) {
        if !self.evacuated.remove(zone) {
            return;
        }
        for at in 0..self.table.len() {
            if self.table[at].up.zone == *zone {
                let service = self.table[at].up.service.clone();
                let warm_up = self.warm_up(&service);
                self.chill(at, now + warm_up + COLD_MARGIN, now);
            }
        }
    }

    /// The zones in evacuation.
    pub fn evacuated(&self) -> impl Iterator<Item = &ZoneId> {
        self.evacuated.iter()
    }

    /// The service that takes the next request of `route`.
    pub fn split<'r>(&mut self, route: &'r Route) -> Option<&'r ServiceId> {
        self.split.next(route)
    }

    /// Notes a caller's request for `service`, of which the retry budget is a share.
    pub fn arrived(&mut self, service: &ServiceId, hosts: usize, now: Millis) {
        self.retries.request(service, hosts, now);
    }

    /// Takes a retry for `service` out of the budget, if there is one.
    pub fn take_retry(&mut self, service: &ServiceId, hosts: usize, now: Millis) -> bool {
        self.retries.take(service, hosts, now)
    }

    /// Notes that a request is being sent to `id`.
    pub fn sent(&mut self, id: &UpstreamId, now: Millis) {
        if let Some(&at) = self.ids.get(id) {
            let known = &mut self.table[at];
            known.own += 1;
            self.shift.placed(&known.region, now);
            if known.cold_until > now {
                known.cold.take(now);
            }
        }
    }

    /// Learns how a request ended.
    pub fn ended(&mut self, report: &Report<'_>, now: Millis) {
        let Some(&at) = self.ids.get(report.id) else { return };
        let rtt_ms = self.rtt_ms_to(&self.table[at].up.zone, &self.table[at].region);
        let work = *self.work_of(report.service, report.objective);
        let known = &mut self.table[at];
        known.own = known.own.saturating_sub(1);
        if let Some(load) = report.load {
            known.report(load, now);
        }
        match report.ended {
            Ended::Answered => {
                let took_ms = (report.took.0 as f64 - rtt_ms - report.wait_ms).max(1.0);
                let distance = report.object.and_then(|object| known.objects.distance(object));
                known.answered(report.object, took_ms, &work, now);
                let pace = known.pace;
                if let Some(distance) = distance {
                    let cold = work.looks_cold(took_ms / pace.max(0.1));
                    self.cache_of(report.service).learn(distance, cold);
                }
                self.work_of(report.service, report.objective).learn(took_ms, pace);
            }
            Ended::Shed => known.blame(now),
            Ended::Moved => known.gone = true,
            Ended::Unreachable => {
                known.blame(now);
                known.failures += 1;
                let doubled = DOWN_FIRST * (1 << (known.failures - 1).min(8));
                known.down_until = now + doubled.min(DOWN_MOST);
            }
            Ended::Broken => {
                known.blame(now);
                known.broken += 1;
                if known.broken >= BROKEN_MOST {
                    known.down_until = now + DOWN_FIRST;
                }
            }
            Ended::TimedOut => {
                known.blame(now);
                known.slowed(report.took.0 as f64 / work.mean_ms.max(1.0), now);
            }
            Ended::Cancelled => {}
        }
        if self.table[at].gone {
            self.forget_idle(at);
        }
    }

    /// Takes in the load of an upstream that somebody else told.
    pub fn heard(&mut self, id: &UpstreamId, load: Load, now: Millis) {
        if let Some(&at) = self.ids.get(id) {
            self.table[at].report(load, now);
        }
    }

    /// Learns the round trip to a zone from the time that a connection took.
    pub fn connected(&mut self, zone: &ZoneId, took_ms: f64) {
        let known = self.rtt_ms.entry(zone.clone()).or_insert(took_ms);
        // The least is the way; more is the upstream's or a link's queue. It rises slowly, so that a
        // longer way is learned in time.
        *known = if took_ms < *known { took_ms } else { *known + RTT_RISES * (took_ms - *known) };
    }

    /// The registration of `id`.
    pub fn upstream(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.ids.get(id).map(|&at| &self.table[at].up)
    }

    /// How many upstreams are registered.
    pub fn upstreams(&self) -> usize {
        self.table.iter().filter(|known| !known.gone).count()
    }

    pub(crate) fn work_of(&mut self, service: &ServiceId, objective: Millis) -> &mut Work {
        if !self.work.contains_key(service) {
            self.work.insert(service.clone(), Vec::new());
        }
        let kinds = self.work.get_mut(service).expect("inserted above");
        let at = kinds.iter().position(|(known, _)| *known == objective).unwrap_or_else(|| {
            kinds.push((objective, Work::new(objective)));
            kinds.len() - 1
        });
        &mut kinds[at].1
    }

    /// Looks how many slots each region has, now and then.
    pub(crate) fn survey(&mut self, now: Millis) {
        if now.since(self.capacity_seen) < SURVEY_EVERY {
            return;
        }
        self.capacity_seen = now;
        let mut slots: BTreeMap<RegionId, f64> =
            self.options.zones.values().map(|region| (region.clone(), 0.0)).collect();
        for known in &self.table {
            let usable = self.in_use(known) && known.down_until <= now;
            if usable && let Some(total) = slots.get_mut(&known.region) {
                *total += f64::from(known.up.slots);
            }
        }
        self.shift.capacity(slots, &self.options.region, now);
    }

    /// Whether requests may go to the upstream as far as operators and its own word go.
    pub(crate) fn in_use(&self, known: &Known) -> bool {
        !known.gone && !known.up.draining && !self.evacuated.contains(&known.up.zone)
    }

    pub(crate) fn cache_of(&mut self, service: &ServiceId) -> &mut CacheSize {
        if !self.caches.contains_key(service) {
            self.caches.insert(service.clone(), CacheSize::default());
        }
        self.caches.get_mut(service).expect("inserted above")
    }

    pub(crate) fn rtt_ms_to(&self, zone: &ZoneId, region: &RegionId) -> f64 {
        let far = *region != self.options.region;
        self.rtt_ms.get(zone).copied().unwrap_or(if far { FAR_MS } else { NEAR_MS })
    }

    fn warm_up(&self, service: &ServiceId) -> Millis {
        let service = self.cfg.as_ref().and_then(|cfg| cfg.service(service));
        service.map_or(Millis::ZERO, |service| service.warm_up)
    }

    fn put(&mut self, up: Upstream, region: RegionId, now: Millis) {
        let cold_for = up.cold_for;
        let at = match self.ids.get(&up.id) {
            Some(&at) => {
                let known = &mut self.table[at];
                if known.up.started.is_some() && up.started < known.up.started {
                    // A late word of an earlier incarnation.
                    return;
                }
                let restarted = known.up.started.is_some() && known.up.started != up.started;
                if restarted || known.up.addr != up.addr {
                    known.restart();
                }
                if known.up.service != up.service {
                    let ids = self.by_service.entry(known.up.service.clone()).or_default();
                    ids.retain(|&other| other != at);
                    self.by_service.entry(up.service.clone()).or_default().push(at);
                }
                known.gone = false;
                known.region = region;
                known.up = up;
                at
            }
            None => {
                let at = self.table.len();
                self.ids.insert(up.id.clone(), at);
                self.by_service.entry(up.service.clone()).or_default().push(at);
                self.table.push(Known::new(up, region, now));
                at
            }
        };
        if cold_for > Millis::ZERO {
            self.chill(at, now + cold_for + COLD_MARGIN, now);
        }
    }

    /// Takes an upstream for cold until `until`.
    fn chill(&mut self, at: usize, until: Millis, now: Millis) {
        let service = self.cfg.as_ref().and_then(|cfg| cfg.service(&self.table[at].up.service));
        let rate = service.map_or(1.0, |service| service.cold_rate) * COLD_SHARE;
        let known = &mut self.table[at];
        if known.cold_until <= now {
            known.cold = Bucket::new(rate, COLD_BURST, now);
        }
        known.cold_until = known.cold_until.max(until);
    }

    /// Drops a gone upstream that has no request of this host any more.
    fn forget_idle(&mut self, at: usize) {
        if self.table[at].own > 0 {
            return;
        }
        let known = self.table.swap_remove(at);
        self.ids.remove(&known.up.id);
        if let Some(peers) = self.by_service.get_mut(&known.up.service) {
            peers.retain(|&other| other != at);
        }
        let moved_from = self.table.len();
        if let Some(moved) = self.table.get(at) {
            self.ids.insert(moved.up.id.clone(), at);
            for other in self.by_service.entry(moved.up.service.clone()).or_default() {
                if *other == moved_from {
                    *other = at;
                }
            }
        }
    }
}

impl Known {
    fn new(up: Upstream, region: RegionId, now: Millis) -> Self {
        Self {
            up,
            region,
            gone: false,
            cold_until: Millis::ZERO,
            cold: Bucket::new(1.0, 1.0, now),
            own: 0,
            others: 0.0,
            others_avg: 0.0,
            reported: None,
            utilization: 0.0,
            pace: 1.0,
            errors: 0.0,
            blamed: Millis::ZERO,
            down_until: Millis::ZERO,
            failures: 0,
            broken: 0,
            objects: Objects::default(),
        }
    }

    /// Forgets what belonged to an earlier incarnation.
    fn restart(&mut self) {
        self.others = 0.0;
        self.others_avg = 0.0;
        self.pace = 1.0;
        self.errors = 0.0;
        self.down_until = Millis::ZERO;
        self.failures = 0;
        self.broken = 0;
        self.objects = Objects::default();
    }

    /// Requests that it is believed to have, of this host and of others.
    pub(crate) fn load(&self, now: Millis) -> f64 {
        let age = self.report_age_ms(now);
        let others = self.others_avg + (self.others - self.others_avg) * fade(age, REPORT_FADES_MS);
        f64::from(self.own) + others
    }

    fn report_age_ms(&self, now: Millis) -> f64 {
        self.reported.map_or(f64::INFINITY, |at| now.since(at).0 as f64)
    }

    /// The share of its slots that is taken, over 1 where requests wait; averaged over reports.
    pub(crate) fn utilization(&self, now: Millis) -> f64 {
        let age = self.report_age_ms(now);
        let own = f64::from(self.own) / f64::from(self.up.slots.max(1));
        (self.utilization * fade(age, UTILIZATION_FADES_MS)).max(own)
    }

    /// How long one more request would wait for a slot.
    pub(crate) fn waits(&self, now: Millis, work_ms: f64) -> f64 {
        let slots = f64::from(self.up.slots.max(1));
        let over = self.load(now) + 1.0 - slots;
        over.max(0.0) / slots * work_ms * self.pace_at(now)
    }

    /// How much longer than expected its work takes; fades where nothing new is learned.
    pub(crate) fn pace_at(&self, now: Millis) -> f64 {
        1.0 + (self.pace - 1.0) * fade(now.since(self.blamed).0 as f64, BLAME_FADES_MS)
    }

    /// Whether it is fit to be the one that has an object cached.
    pub(crate) fn is_well(&self, now: Millis) -> bool {
        self.down_until <= now
            && self.errors_at(now) < UNWELL_ERRORS
            && self.pace_at(now) < UNWELL_PACE
    }

    /// The share of requests that it is believed to fail.
    pub(crate) fn errors_at(&self, now: Millis) -> f64 {
        self.errors * fade(now.since(self.blamed).0 as f64, BLAME_FADES_MS)
    }

    fn report(&mut self, load: Load, now: Millis) {
        let all = f64::from(load.running + load.waiting);
        self.others = (all - f64::from(self.own)).max(0.0);
        self.others_avg += LEARN * (self.others - self.others_avg);
        let utilization = all / f64::from(load.slots.max(1));
        let held = self.utilization(now);
        self.utilization = held + UTILIZATION_LEARN * (utilization - held);
        self.reported = Some(now);
        if load.slots > 0 {
            self.up.slots = load.slots;
        }
    }

    fn answered(&mut self, object: Option<u64>, took_ms: f64, work: &Work, now: Millis) {
        self.failures = 0;
        self.broken = 0;
        self.down_until = Millis::ZERO;
        self.errors = self.errors_at(now) * (1.0 - LEARN);
        let expected = if work.looks_cold(took_ms) { work.cold_ms } else { work.warm_ms };
        self.slowed(took_ms / expected.max(1.0), now);
        if let Some(object) = object {
            self.objects.touch(object);
        }
    }

    fn slowed(&mut self, ratio: f64, now: Millis) {
        self.pace = (self.pace_at(now) * (1.0 - LEARN) + ratio * LEARN).clamp(0.5, 20.0);
        self.blamed = now;
    }

    fn blame(&mut self, now: Millis) {
        self.errors = self.errors_at(now) * (1.0 - LEARN) + LEARN;
        self.pace = self.pace_at(now);
        self.blamed = now;
    }
}

impl Objects {
    /// How many other objects the upstream handled since it handled `object` last.
    pub(crate) fn distance(&self, object: u64) -> Option<usize> {
        self.order.iter().rev().position(|&held| held == object)
    }

    fn touch(&mut self, object: u64) {
        if self.order.back() == Some(&object) {
            return;
        }
        if let Some(at) = self.order.iter().position(|&held| held == object) {
            self.order.remove(at);
        } else if self.order.len() == OBJECTS_KEPT {
            self.order.pop_front();
        }
        self.order.push_back(object);
    }
}

fn regions(options: &Options) -> Vec<RegionId> {
    let regions: BTreeSet<&RegionId> = options.zones.values().collect();
    regions.into_iter().cloned().collect()
}

fn fade(age_ms: f64, over_ms: f64) -> f64 {
    (-age_ms / over_ms).exp()
}
