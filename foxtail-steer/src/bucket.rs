//! A token bucket.

use foxtail_types::prelude::*;

/// Tokens that accrue at a steady rate up to a burst.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    at: Millis,
}

impl Bucket {
    /// A bucket of `rate` tokens a second that holds at most `burst`, with one token in it.
    pub fn new(rate: f64, burst: f64, now: Millis) -> Self {
        Self { rate, burst, tokens: burst.min(1.0), at: now }
    }

    /// Whether a token is there at `now`.
    pub fn ready(&mut self, now: Millis) -> bool {
        self.tokens = self.tokens_at(now);
        self.at = now;
        self.tokens >= 1.0
    }

    /// Takes a token if one is there.
    pub fn take(&mut self, now: Millis) -> bool {
        let ready = self.ready(now);
        if ready {
            self.tokens -= 1.0;
        }
        ready
    }

    /// Adds `tokens`, up to the burst.
    pub fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.burst);
    }

    /// Lets tokens accrue at `rate` up to `burst` from `now` on.
    pub fn reshape(&mut self, rate: f64, burst: f64, now: Millis) {
        self.tokens = self.tokens_at(now).min(burst);
        self.at = now;
        self.rate = rate;
        self.burst = burst;
    }

    fn tokens_at(&self, now: Millis) -> f64 {
        (self.tokens + self.rate * now.since(self.at).as_secs_f64()).min(self.burst)
    }
}
