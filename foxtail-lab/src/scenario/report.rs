//! What callers got, and the limits that must have held.

use std::fmt::Write;

use foxtail_types::prelude::*;

use super::world::{REGIONS, Scenario};

/// A second, over which limits are checked.
const SECOND: Millis = Millis(1_000);
/// Bytes in a megabit.
const MBIT_BYTES: u64 = 125_000;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// Answered by its own region.
    Home,
    /// Answered by another region.
    Away,
    /// Told that it did not run.
    NotRun,
    /// Told that it may have run.
    Lost,
    /// Refused as it crashed upstreams.
    Refused,
}

/// The requests of one region and class.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    sent: u64,
    home: u64,
    away: u64,
    not_run: u64,
    lost: u64,
    refused: u64,
    took: Vec<Millis>,
}

impl Tally {
    /// Counts one more request sent and returns its number.
    pub(super) fn count(&mut self) -> u64 {
        self.sent += 1;
        self.sent
    }

    fn quantile(&self, percent: usize) -> Millis {
        let mut took = self.took.clone();
        took.sort_unstable();
        let at = (took.len() * percent).div_ceil(100).saturating_sub(1);
        took.get(at).copied().unwrap_or_default()
    }
}

impl Scenario {
    /// Tells the caller how its request ended.
    pub(super) fn finish(&mut self, at: usize, end: End) {
        let request = &self.requests[at];
        let took = self.now.since(request.born);
        let tally = self.tallies.entry((request.from, request.class)).or_default();
        match end {
            End::Home => tally.home += 1,
            End::Away => tally.away += 1,
            End::NotRun => tally.not_run += 1,
            End::Lost => tally.lost += 1,
            End::Refused => tally.refused += 1,
        }
        if matches!(end, End::Home | End::Away) {
            tally.took.push(took);
        }
    }

    pub(super) fn report(&self) -> String {
        let mut out = String::new();
        for (&(from, class), tally) in &self.tallies {
            let Tally { sent, home, away, not_run, lost, refused, .. } = tally;
            let (p50, p99) = (tally.quantile(50), tally.quantile(99));
            let line = format!(
                "{} {class}: sent={sent} home={home} away={away} not-run={not_run} \
                 maybe-run={lost} refused={refused} p50={p50} p99={p99}",
                REGIONS[from],
            );
            writeln!(out, "{line}").expect("writing to a string can't fail");
        }
        if self.watch.crashes > 0 {
            let crashes = self.watch.crashes;
            writeln!(out, "upstreams-brought-down={crashes}").expect("as above");
        }
        out
    }

    /// Asserts that links and shift caps held in every second so far.
    pub(super) fn check_budgets(&self) {
        let cap = u64::from(self.setup.shift);
        for region in 0..REGIONS.len() {
            let own = self.shifted.iter().filter(|(from, _)| *from == region);
            let most = busiest_second(own.map(|(_, at)| (*at, 1)).collect());
            assert!(most <= cap, "{most} requests shifted in a second, the cap is {cap}");
        }
        let capacity = u64::from(self.setup.mbit) * MBIT_BYTES;
        for from in 0..REGIONS.len() {
            for to in (0..REGIONS.len()).filter(|to| *to != from) {
                let own = self.carried.iter().filter(|(link, ..)| *link == (from, to));
                let most = busiest_second(own.map(|(_, at, bytes)| (*at, *bytes)).collect());
                assert!(most <= capacity, "{most} bytes in a second on a link of {capacity}");
            }
        }
    }
}

/// The most that any one second holds of `amounts`.
fn busiest_second(mut amounts: Vec<(Millis, u64)>) -> u64 {
    amounts.sort_unstable();
    let mut most = 0;
    let mut sum = 0;
    let mut first = 0;
    for &(at, amount) in &amounts {
        sum += amount;
        while at.since(amounts[first].0) >= SECOND {
            sum -= amounts[first].1;
            first += 1;
        }
        most = most.max(sum);
    }
    most
}
