//! Slow start: a cold upstream gets its slots one after the other.

use foxtail_types::prelude::*;

/// How an upstream warms up: by the answers it gave or by the time it was in use, whichever is
/// faster.
#[id]
pub struct Options {
    /// So many answers make an upstream warm.
    pub answers: u32,
    /// An upstream in use for this long is warm.
    pub time: Millis,
}

/// How far an upstream has warmed up.
#[id]
#[derive(Default)]
pub struct Warmth {
    /// When it gave its first answer since it was last cold.
    pub first_answer: Option<Millis>,
    /// Answers since then.
    pub answers: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { answers: 20, time: Millis::secs(10) }
    }
}

impl Warmth {
    /// The state of an upstream that is in use already.
    pub const fn warm() -> Self {
        Self { first_answer: Some(Millis::ZERO), answers: u32::MAX }
    }

    /// Counts an answer at `now`.
    pub fn answered(&mut self, now: Millis) {
        self.first_answer.get_or_insert(now);
        self.answers = self.answers.saturating_add(1);
    }

    /// Whether the upstream may use all its slots.
    pub fn is_warm(&self, options: &Options, now: Millis) -> bool {
        self.slots(options, u32::MAX, now) == u32::MAX
    }

    /// How many of `slots` may be used at `now`: at least one, all of them when warm.
    pub fn slots(&self, options: &Options, slots: u32, now: Millis) -> u32 {
        let Some(first) = self.first_answer else { return slots.min(1) };
        let by_answers = share(slots, u64::from(self.answers), u64::from(options.answers));
        let by_time = share(slots, now.since(first).0, options.time.0);
        by_answers.max(by_time).max(1).min(slots)
    }
}

fn share(slots: u32, done: u64, of: u64) -> u32 {
    if done >= of {
        return slots;
    }
    (u128::from(slots) * u128::from(done) / u128::from(of)) as u32
}
