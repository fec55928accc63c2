//! A token bucket.

use tokio::time::Instant;

/// How much of a second's rate can be taken at once, as a divisor.
const BURST_DIVISOR: f64 = 4.0;

/// A token bucket that fills at a steady rate.
pub(crate) struct Bucket {
    per_s: f64,
    left: f64,
    filled: Instant,
}

impl Bucket {
    pub(crate) fn new(per_s: u32) -> Self {
        let per_s = f64::from(per_s);
        Self { per_s, left: per_s / BURST_DIVISOR, filled: Instant::now() }
    }

    /// Takes `n` tokens, if there are any; a large take is paid off afterwards.
    pub(crate) fn take(&mut self, n: usize) -> bool {
        let now = Instant::now();
        let fill = now.duration_since(self.filled).as_secs_f64() * self.per_s;
        self.left = (self.left + fill).min(self.per_s / BURST_DIVISOR);
        self.filled = now;
        if self.left <= 0.0 {
            return false;
        }
        self.left -= n as f64;
        true
    }
}
