//! A token bucket.

use tokio::time::Instant;

/// How much of a second's rate can be taken at once, as a divisor.
const BURST_DIVISOR: f64 = 4.0;

/// A token bucket that fills at a steady rate.
pub(crate) struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    pub(crate) fn new(rate_per_s: u32) -> Self {
        let rate_per_s = f64::from(rate_per_s);
        Self { rate_per_s, tokens: rate_per_s / BURST_DIVISOR, refilled_at: Instant::now() }
    }

    /// Takes `n` tokens, if there are any; a large take is paid off afterwards.
    pub(crate) fn try_take(&mut self, n: usize) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + refill).min(self.rate_per_s / BURST_DIVISOR);
        self.refilled_at = now;
        if self.tokens <= 0.0 {
            return false;
        }
        self.tokens -= n as f64;
        true
    }
}
