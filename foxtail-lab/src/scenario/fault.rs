//! Failures that commands bring about, and crashing requests.

use foxtail_retry::Fingerprint;
use foxtail_retry::guard::{Begin, RunId};
use foxtail_retry::record::{Evidence, MarkId, Standing};
use foxtail_types::prelude::*;

use super::report::End;
use super::world::{Event, Scenario};

/// The fingerprint of the crashing request.
const POISON: Fingerprint = Fingerprint([0xFF; 16]);
/// How long callers of the crashing request go on.
const POISON_SPAN: Millis = Millis::secs(60);
/// How long an upstream that crashed stays away.
const RESTART: Millis = Millis::secs(2);
/// How long a request waits for a guard or a trial before it looks again.
const WAIT: Millis = Millis(50);
/// How long a guard's leave lasts beyond the deadline.
const GRACE: Millis = Millis::secs(2);

impl Scenario {
    pub(super) fn lose(&mut self, region: usize, lost: bool) {
        let now = self.now;
        let site = &mut self.sites[region];
        site.lost = lost;
        for server in &mut site.servers {
            server.crashes += 1;
            server.down_until = if lost { Millis::MAX } else { now };
        }
    }

    pub(super) fn leave(&mut self, region: usize, upstream: usize) {
        self.sites[region].servers[upstream].leaving = true;
    }

    pub(super) fn poison(&mut self, from: usize, senders: u32) {
        for n in 0..u64::from(senders) {
            let deadline = self.now + POISON_SPAN;
            let from = (from + n as usize) % self.sites.len();
            let request = self.request(from, Class::Interactive, deadline, 2_000, Some(POISON));
            self.push(Millis(n), Event::Admit(request));
        }
    }

    /// Asks whether a request may run, as far as crashes go.
    pub(super) fn admit(&mut self, at: usize) {
        let (fp, deadline) = (self.requests[at].fp, self.requests[at].deadline);
        let run = RunId(at as u64 + 1);
        if self.now >= deadline {
            return self.finish(at, End::NotRun);
        }
        match self.watch.suspects.standing(fp, self.now) {
            Standing::Convicted => self.finish(at, End::Refused),
            Standing::Suspect if self.faults.store_down => self.finish(at, End::NotRun),
            Standing::Suspect if self.watch.trial => self.push(WAIT, Event::Admit(at)),
            Standing::Suspect => {
                self.watch.trial = true;
                self.requests[at].trial = true;
                self.attempt(at);
            }
            Standing::Clear => match self.watch.guard.begin(fp, run, deadline + GRACE, self.now) {
                Begin::Go => self.attempt(at),
                Begin::Wait | Begin::AfterLost => self.push(WAIT, Event::Admit(at)),
            },
        }
    }

    /// Takes note of how an attempt ended, as far as crashes go, and gives the leave back.
    pub(super) fn ended(&mut self, at: usize, crashed: bool, answered: bool) {
        let request = &mut self.requests[at];
        let (fp, run) = (request.fp, RunId(at as u64 + 1));
        let trial = std::mem::take(&mut request.trial);
        let mark = if trial { MarkId(run.0) } else { MarkId::OUTSIDE_TRIAL };
        if crashed {
            self.watch.suspects.mark(fp, mark, Evidence::Crash, self.now);
        } else if answered && trial {
            self.watch.suspects.clear(fp, self.now);
        }
        if trial {
            self.watch.trial = false;
        }
        self.watch.guard.end(fp, run);
    }

    /// The crashing request ran on a server: it goes down with all that it runs.
    pub(super) fn crash(&mut self, region: usize, server: usize) {
        self.watch.crashes += 1;
        let server = &mut self.sites[region].servers[server];
        server.crashes += 1;
        server.down_until = self.now + RESTART;
    }
}
