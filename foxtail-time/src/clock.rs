//! Clocks behind one trait.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

use crate::Millis;

/// A source of time. Leases and deadlines are only ever compared with the clock of one host.
pub trait Clock: Send + Sync {
    /// Time since the host booted. It goes on while the process is stopped or the host suspended.
    fn now(&self) -> Millis;

    /// Time since the Unix epoch. It may jump; only ages of keys and records use it.
    fn wall(&self) -> Millis;
}

/// The clock of the host: `CLOCK_BOOTTIME` and the system's wall clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

/// A clock that moves only when told to.
#[derive(Debug, Default)]
pub struct TestClock {
    now: AtomicU64,
    wall_offset: AtomicU64,
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
    /// A clock at `now` whose wall time starts at `wall`.
    pub fn at(now: Millis, wall: Millis) -> Arc<Self> {
        let wall_offset = AtomicU64::new(wall.since(now).0);
        Arc::new(Self { now: AtomicU64::new(now.0), wall_offset })
    }

    /// Moves the clock on by `span`.
    pub fn advance(&self, span: Millis) {
        self.now.fetch_add(span.0, Ordering::SeqCst);
    }
}

impl Clock for TestClock {
    fn now(&self) -> Millis {
        Millis(self.now.load(Ordering::SeqCst))
    }

    fn wall(&self) -> Millis {
        self.now() + Millis(self.wall_offset.load(Ordering::SeqCst))
    }
}
