//! Token bucket rate limiter.

use foxtail_types::prelude::*;

/// A token bucket: tokens accrue at a steady rate up to a burst.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    updated_at: Millis,
}

impl TokenBucket {
    /// Creates a bucket that starts with one token, receives `rate_per_s` tokens per second and
    /// holds at most `burst`.
    pub fn new(rate_per_s: f64, burst: f64, now: Millis) -> Self {
        Self { rate_per_s, burst, tokens: burst.min(1.0), updated_at: now }
    }

    /// Returns whether at least one token is available at `now`.
    pub fn has_token(&mut self, now: Millis) -> bool {
        self.tokens = self.tokens_at(now);
        self.updated_at = now;
        self.tokens >= 1.0
    }

    /// Returns whether at least one token is available at `now`, without updating the bucket.
    pub fn peek(&self, now: Millis) -> bool {
        self.tokens_at(now) >= 1.0
    }

    /// Takes a token, and returns whether one was available.
    pub fn try_take(&mut self, now: Millis) -> bool {
        let has_token = self.has_token(now);
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Adds `tokens`, up to the burst.
    pub fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.burst);
    }

    /// Changes the rate and the burst from `now` on.
    pub fn set_limits(&mut self, rate_per_s: f64, burst: f64, now: Millis) {
        self.tokens = self.tokens_at(now).min(burst);
        self.updated_at = now;
        self.rate_per_s = rate_per_s;
        self.burst = burst;
    }

    fn tokens_at(&self, now: Millis) -> f64 {
        (self.tokens + self.rate_per_s * now.since(self.updated_at).as_secs_f64()).min(self.burst)
    }
}
