//! Tells a crash of an upstream from a lone broken connection.
//!
//! A connection broke before a whole answer. It is evidence of a crash if a new connection to the
//! same upstream is refused, or if another connection to it broke within [`WINDOW`], or if a suspect
//! ran alone on it. It is weaker evidence if none of these holds, or if connections to several other
//! upstreams broke as well: then the network is to blame.
//!
//! An attempt that was given up after the request had been sent (its deadline passed, or the caller
//! went away) may crash its upstream all the same. Its permit is therefore kept for
//! [`ABANDONED_FOR`], and a trial connection made then; only [`Probe::Refused`] counts as a crash.

use std::collections::HashMap;

use foxtail_types::prelude::*;
use parking_lot::Mutex;

use crate::record::Evidence;

/// How near in time two signs must be to belong to one crash.
pub const WINDOW: Millis = Millis::secs(1);
/// How long to wait for the new connection that tells the one from the other.
pub const PROBE_TIMEOUT: Millis = Millis(500);
/// How long the permit of an attempt that was given up is kept.
pub const ABANDONED_FOR: Millis = Millis(500);
/// Breaks of so many other upstreams speak for a fault of the network.
const OTHERS_BROKEN: usize = 2;
/// The most upstreams kept track of.
const UPSTREAMS_MAX: usize = 4_096;

/// The last signs of a crash that a host saw of each upstream.
#[derive(Debug, Default)]
pub struct Detector {
    signs: Mutex<HashMap<UpstreamId, Signs>>,
}

/// How a trial connection ended.
#[id]
pub enum Probe {
    /// The upstream took it.
    Accepted,
    /// The upstream's host refused it: nothing listens.
    Refused,
    /// There was no answer within [`PROBE_TIMEOUT`].
    TimedOut,
}

#[derive(Clone, Copy, Debug, Default)]
struct Signs {
    last_break: Option<Millis>,
    break_before: Option<Millis>,
    refused: Option<Millis>,
}

impl Detector {
    /// A connection to `upstream` broke before a whole answer, or while it was idle.
    pub fn broke(&self, upstream: &UpstreamId, now: Millis) {
        self.with(upstream, now, |signs| {
            signs.break_before = signs.last_break.replace(now);
        });
    }

    /// A connection to `upstream` was refused.
    pub fn refused(&self, upstream: &UpstreamId, now: Millis) {
        self.with(upstream, now, |signs| signs.refused = Some(now));
    }

    /// How strong the evidence is, after [`Detector::broke`] and a trial connection that ended
    /// with `probe`. In a `trial` a suspect ran alone: there is nothing else to blame but it and the
    /// network, also where the upstream is back before the trial connection.
    pub fn evidence(
        &self,
        upstream: &UpstreamId,
        probe: Probe,
        trial: bool,
        now: Millis,
    ) -> Evidence {
        if probe == Probe::Refused {
            self.refused(upstream, now);
            return Evidence::Crash;
        }
        let near = |sign: Option<Millis>| sign.is_some_and(|at| now.since(at) <= WINDOW);
        let all = self.signs.lock();
        let others = all.iter().filter(|(id, signs)| *id != upstream && near(signs.last_break));
        if others.count() >= OTHERS_BROKEN {
            return Evidence::Break;
        }
        let signs = all.get(upstream).copied().unwrap_or_default();
        match trial || near(signs.break_before) || near(signs.refused) {
            true => Evidence::Crash,
            false => Evidence::Break,
        }
    }

    fn with(&self, upstream: &UpstreamId, now: Millis, f: impl FnOnce(&mut Signs)) {
        let mut signs = self.signs.lock();
        if signs.len() >= UPSTREAMS_MAX {
            signs.retain(|_, signs| signs.latest().is_some_and(|at| now.since(at) <= WINDOW));
        }
        f(signs.entry(upstream.clone()).or_default());
    }
}

impl Signs {
    fn latest(&self) -> Option<Millis> {
        self.last_break.max(self.refused)
    }
}
