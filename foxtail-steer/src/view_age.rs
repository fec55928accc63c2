//! How long ago a host's view of an area of the store was known to lack nothing.
//!
//! The load that this answers: changes that a host does not hear of. A call that the store never answers, a
//! lost message and a host that was suspended all look like a store in which nothing changes. So hosts that
//! read the store confirm several times a second that it has nothing newer, confirmations spread with their
//! age, and a host whose view was not confirmed for too long, or that knows of a change and can't pull it,
//! asks the store itself. At first a few hosts of each region ask, whose answers spread; the older a view
//! becomes, the more. If the store is known to answer nobody, only a few ask at a time.

use foxtail_macro::id;
use foxtail_types::prelude::*;

/// When a host asks the store for changes of an area that others did not tell it of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// Age from which a few hosts ask. Confirmations come several times within it.
    pub max_age: Millis,
    /// Age from which each host asks, unless the store is known to be out.
    pub all_ask_age: Millis,
    /// Time for which a host lacks a change that others have before it asks. A pull takes less, unless it
    /// fails.
    pub max_behind: Millis,
}

impl Patience {
    /// For configuration and evacuations. A configuration is large, so that a pull may take long.
    pub const OPERATORS: Self =
        Self { max_age: Millis(1_700), all_ask_age: Millis(2_000), max_behind: Millis(1_500) };

    /// For registrations of upstreams. One that leaves must get nothing more after 2.5 s.
    pub const UPSTREAMS: Self =
        Self { max_age: Millis(1_500), all_ask_age: Millis(1_900), max_behind: Millis(800) };
}

/// Time that a message between hosts takes at most, which adds to the age that it tells.
pub const MESSAGE_DELAY: Millis = Millis(40);

/// Difference between two confirmations from which the later one is told to other hosts at once.
pub const NEWS_STEP: Millis = Millis(400);

/// Mean number of hosts of a region that ask the store each time that all decide, once their views are old.
const ASKING_HOSTS: f64 = 2.0;

/// Shortest time between two calls with which a host asks the store. It doubles up to [`MAX_ASK_PAUSE`] while
/// they confirm nothing.
const ASK_PAUSE: Millis = Millis(1_000);

/// The longest such time.
const MAX_ASK_PAUSE: Millis = Millis(4_000);

/// How long after a suspension the ages that others tell are ignored: their messages may have waited, and
/// say how old the views were when they were sent.
const WAITED_MESSAGES: Millis = Millis(1_000);

/// Age from which requests wait for the view, if the store is not known to be out.
const MAX_SENDING_AGE: Millis = Millis(2_000);

/// Longest time for which requests wait for the view: several round trips to the store.
const MAX_HOLD: Millis = Millis(200);

/// A time for each area: how long ago a host's view of it was known to lack nothing, or when; `None` before
/// the first confirmation.
#[id]
#[derive(Default)]
pub struct ViewAges {
    /// Configuration and evacuations.
    pub operators: Option<Millis>,
    /// Registrations of upstreams.
    pub upstreams: Option<Millis>,
}

/// That an area of the store had no change after `version` at a time.
#[id]
pub struct Confirmation {
    /// The newest version at that time, or a newer one.
    pub version: u64,
    /// The time, by the clock of the host that holds the confirmation.
    pub at: Millis,
}

/// What decides whether a host with an old view asks the store.
#[derive(Clone, Copy, Debug)]
pub struct Asking {
    /// The number of hosts of the region that are alive.
    pub hosts: usize,
    /// A random number from 0 to 1.
    pub draw: f64,
    /// Whether hosts say that they can't reach the store.
    pub store_may_be_out: bool,
}

/// How current a host's view of one area is.
#[derive(Debug)]
pub struct ViewAge {
    patience: Patience,
    started: Millis,
    confirmed_at: Option<Millis>,
    /// The latest confirmation of a version that the view does not hold yet.
    awaited: Option<Confirmation>,
    asked_at: Option<Millis>,
    /// The pause before this host asks again.
    ask_pause: Millis,
    /// When the host went on after a suspension.
    resumed_at: Option<Millis>,
    /// Whether it has not asked since.
    must_ask: bool,
    /// Since when requests have waited for this view.
    holding_since: Option<Millis>,
}

impl ViewAge {
    /// Creates the age of the empty view of a host that starts at `now`.
    pub fn new(patience: Patience, now: Millis) -> Self {
        Self {
            patience,
            started: now,
            confirmed_at: None,
            awaited: None,
            asked_at: None,
            ask_pause: ASK_PAUSE,
            resumed_at: None,
            must_ask: false,
            holding_since: None,
        }
    }

    /// Records a confirmation that another host told. `held` is the version of the view.
    pub fn confirm_told(&mut self, confirmation: Confirmation, held: u64, now: Millis) {
        if self.resumed_at.is_none_or(|at| now.since(at) > WAITED_MESSAGES) {
            self.confirm(confirmation, held);
        }
    }

    /// Records a confirmation that this host read. `held` is the version of the view.
    pub fn confirm(&mut self, confirmation: Confirmation, held: u64) {
        if confirmation.version <= held {
            self.set_confirmed(confirmation.at);
        } else if self.awaited.is_none_or(|awaited| awaited.at < confirmation.at) {
            self.awaited = Some(confirmation);
        }
    }

    /// Records that the view holds version `held`.
    pub fn hold(&mut self, held: u64) {
        if let Some(awaited) = self.awaited.take_if(|awaited| awaited.version <= held) {
            self.set_confirmed(awaited.at);
        }
    }

    fn set_confirmed(&mut self, at: Millis) {
        if self.confirmed_at < Some(at) {
            self.confirmed_at = Some(at);
            self.ask_pause = ASK_PAUSE;
            self.holding_since = None;
        }
    }

    /// Records that this host goes on at `now` after a suspension, so that it may have missed messages.
    pub fn record_suspension(&mut self, now: Millis) {
        self.resumed_at = Some(now);
        self.must_ask = true;
    }

    /// Returns when the view was last known to lack nothing.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at
    }

    /// Returns how long ago the view was known to lack nothing, or the host started.
    pub fn age(&self, now: Millis) -> Millis {
        now.since(self.confirmed_at.unwrap_or(self.started))
    }

    /// Returns whether the view is so old that it counts as unconfirmed.
    pub fn is_old(&self, now: Millis) -> bool {
        self.age(now) > self.patience.max_age
    }

    /// Returns whether this host asks the store now, and records that it does.
    ///
    /// `behind_since` is since when it has known of a change that it lacks.
    pub fn asks(&mut self, behind_since: Option<Millis>, asking: &Asking, now: Millis) -> bool {
        if self.asked_at.is_some_and(|at| now.since(at) < self.ask_pause) {
            return false;
        }
        let Patience { max_age, all_ask_age, max_behind } = self.patience;
        let growth = match asking.store_may_be_out {
            true => 0.0,
            false => self.age(now).since(max_age).0 as f64 / all_ask_age.since(max_age).0 as f64,
        };
        let is_drawn = asking.draw <= ASKING_HOSTS / asking.hosts as f64 + growth;
        let is_behind = behind_since.is_some_and(|since| now.since(since) > max_behind);
        let is_lacking = is_behind || self.is_old(now);
        let is_certain = is_behind && !asking.store_may_be_out;
        let asks = self.must_ask || (is_lacking && (is_certain || is_drawn));
        if asks {
            if self.asked_at.is_some_and(|at| self.confirmed_at < Some(at)) {
                self.ask_pause = (self.ask_pause * 2).min(MAX_ASK_PAUSE);
            }
            self.asked_at = Some(now);
            self.must_ask = false;
        }
        asks
    }

    /// Returns how long a request may wait for a newer view before it is sent to an upstream.
    ///
    /// The load that this answers: requests at a host that has just gone on after a suspension, and would
    /// send them to upstreams that left meanwhile. Nothing waits if the `store_may_be_out`, since then no host
    /// has a newer view, or for longer than [`MAX_HOLD`] from the first request on.
    pub fn hold_requests(&mut self, store_may_be_out: bool, now: Millis) -> Option<Millis> {
        if self.age(now) <= MAX_SENDING_AGE {
            self.holding_since = None;
            return None;
        }
        if store_may_be_out {
            return None;
        }
        let since = *self.holding_since.get_or_insert(now);
        let left = MAX_HOLD - now.since(since);
        (left > Millis::ZERO).then_some(left)
    }
}
