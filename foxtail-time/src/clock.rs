//! The trait [`Clock`], the clock of the host and a clock for tests.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

use crate::Millis;

/// A source of time. Leases and deadlines are only compared with the clock of the same host.
pub trait Clock: Send + Sync {
    /// Returns the time since the host booted. It advances while the process is stopped or the host
    /// is suspended.
    fn now(&self) -> Millis;

    /// Returns the time since the Unix epoch. It may jump, so it serves only for the ages of keys
    /// and records and for counters that must rise over restarts.
    fn wall(&self) -> Millis;
}

/// The clock of the host: `CLOCK_BOOTTIME` and the system's wall clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

/// A clock for tests, which advances only by [`TestClock::advance`].
#[derive(Debug, Default)]
pub struct TestClock {
    now_ms: AtomicU64,
    wall_offset_ms: AtomicU64,
}

impl Clock for BootClock {
    fn now(&self) -> Millis {
        let time = clock_gettime(ClockId::Boottime);
        Millis(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
    }

    fn wall(&self) -> Millis {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().into()
    }
}

impl TestClock {
    /// Creates a clock that reads `now`, with a wall clock that reads `wall`.
    pub fn at(now: Millis, wall: Millis) -> Arc<Self> {
        let wall_offset_ms = AtomicU64::new(wall.since(now).0);
        Arc::new(Self { now_ms: AtomicU64::new(now.0), wall_offset_ms })
    }

    /// Advances the clock and its wall clock by `span`.
    pub fn advance(&self, span: Millis) {
        self.now_ms.fetch_add(span.0, Ordering::SeqCst);
    }
}

impl Clock for TestClock {
    fn now(&self) -> Millis {
        Millis(self.now_ms.load(Ordering::SeqCst))
    }

    fn wall(&self) -> Millis {
        self.now() + Millis(self.wall_offset_ms.load(Ordering::SeqCst))
    }
}
