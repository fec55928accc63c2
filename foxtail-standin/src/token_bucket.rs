//! A token bucket, which limits the rate of calls to the stand-ins of the platform.

use tokio::time::Instant;

/// The bucket holds at most one second's tokens divided by this.
const BURST_DIVISOR: f64 = 4.0;

/// A token bucket that refills at a steady rate.
pub(crate) struct TokenBucket {
    per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    pub(crate) fn new(per_s: u32) -> Self {
        let per_s = f64::from(per_s);
        Self { per_s, tokens: per_s / BURST_DIVISOR, refilled_at: Instant::now() }
    }

    /// Takes `n` tokens if any are left, and returns whether it did.
    ///
    /// Taking more tokens than are left makes the count negative; calls then fail until refills
    /// make it positive again.
    pub(crate) fn try_take(&mut self, n: usize) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * self.per_s;
        self.tokens = (self.tokens + refill).min(self.per_s / BURST_DIVISOR);
        self.refilled_at = now;
        if self.tokens <= 0.0 {
            return false;
        }
        self.tokens -= n as f64;
        true
    }
}
