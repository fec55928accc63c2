//! When one host may send to an upstream that names a limit.

mod common;

use common::{config, exchange_digests, fleet, options, record_outcome, route, send, upstream};
use foxtail_steer::fleet::{DIGEST_INTERVAL, Phase};
use foxtail_steer::steering::Outcome;
use foxtail_steer::{Fleet, RateLimit, Steering};
use foxtail_types::prelude::*;

/// A host `h1` of region a and its neighbour `h2`, which exchange digests.
struct Pair {
    fleets: [Fleet; 2],
    steering: Steering,
    now: Millis,
}

impl Pair {
    /// Starts the hosts, with an upstream in region a that names a limit of two requests per second.
    fn new() -> Self {
        let mut steering = Steering::new(options("h1", "a"));
        steering.set_config(config(1, 5.0));
        steering.set_upstream(upstream("u1", "a1"), Millis::ZERO);
        let limit = RateLimit::from_per_s(2.0);
        steering.record_limit(&"u1".parse().unwrap(), limit, Millis::ZERO, Millis(1));
        let fleets = [fleet("h1", "a1", Millis::ZERO), fleet("h2", "a2", Millis::ZERO)];
        Self { fleets, steering, now: Millis::ZERO }
    }

    /// Lets the hosts exchange digests until `to`, and returns when requests were sent.
    fn run(&mut self, to: Millis) -> Vec<Millis> {
        let mut sent = Vec::new();
        while self.now < to {
            if self.now.0.is_multiple_of(DIGEST_INTERVAL.0) {
                exchange_digests(&mut self.fleets, self.now);
                self.steering.update_limit_senders(&self.fleets[0], self.now);
            }
            sent.extend(self.try_send().then_some(self.now));
            self.now = self.now + Millis(20);
        }
        sent
    }

    fn try_send(&mut self) -> bool {
        let sent = send(&mut self.steering, &self.fleets[0], &route("r"), 1, self.now);
        if let Some(up) = &sent {
            let steering = &mut self.steering;
            record_outcome(steering, &up.id, 1, Outcome::Answered, Millis(100), self.now);
        }
        sent.is_some()
    }
}

#[test]
fn host_that_becomes_a_sender_waits_until_an_earlier_sender_has_stopped() {
    let sent = Pair::new().run(Millis(10_000));
    assert!(sent[0] >= Millis(3_000), "the first request was sent at {:?}", sent[0]);
    let per_s = sent.len() as f64 / 7.0;
    assert!((0.5..=1.0).contains(&per_s), "{per_s} requests per second as one of two senders");
}

#[test]
fn host_that_was_paused_does_not_send_until_it_is_in_contact_again() {
    let mut pair = Pair::new();
    assert!(!pair.run(Millis(8_000)).is_empty());
    pair.now = Millis(20_000);
    assert!(!pair.try_send(), "sent right after a pause");
    pair.steering.update_limit_senders(&pair.fleets[0], pair.now);
    assert!(!pair.try_send(), "sent without contact after a pause");
    let sent = pair.run(Millis(30_000));
    assert!(sent[0] >= Millis(23_000), "the first request after the pause at {:?}", sent[0]);
}

#[test]
fn host_without_contact_to_most_of_its_region_does_not_send() {
    let mut pair = Pair::new();
    for n in 3..6 {
        pair.fleets[0].add_host(common::record(&format!("h{n}"), "a1"), Millis::ZERO);
    }
    assert_eq!(pair.run(Millis(10_000)), [], "sent while hearing two of five hosts");
}

#[test]
fn host_that_has_not_read_the_registrations_of_hosts_does_not_send() {
    let mut pair = Pair::new();
    let record = common::record("h1", "a1");
    pair.fleets[0] = Fleet::new(record, Millis::ZERO, Millis::secs(1_000));
    pair.fleets[0].set_phase(Phase::Serving);
    assert_eq!(pair.run(Millis(10_000)), [], "sent without knowing its region");
    pair.fleets[0].mark_registrations_read();
    assert!(!pair.run(Millis(20_000)).is_empty(), "not sent although it knows its region");
}

#[test]
fn request_is_withdrawn_if_the_pause_before_sending_outlasts_the_permission() {
    let mut pair = Pair::new();
    pair.run(Millis(8_000));
    let id = "u1".parse().unwrap();
    assert!(pair.steering.may_still_send(&id, pair.now));
    assert!(!pair.steering.may_still_send(&id, pair.now + Millis(5_000)));
    let mut draining = upstream("u1", "a1");
    draining.draining = true;
    pair.steering.set_upstream(draining, pair.now);
    assert!(!pair.steering.may_still_send(&id, pair.now));
}

#[test]
fn answer_without_limit_to_an_earlier_request_does_not_end_the_limit() {
    let mut pair = Pair::new();
    let id: UpstreamId = "u1".parse().unwrap();
    assert_eq!(pair.steering.record_limit(&id, None, Millis(0), Millis(50)), None);
    assert!(pair.steering.named_limit(&id).is_some());
    let ended = pair.steering.record_limit(&id, None, Millis(60), Millis(90));
    assert!(ended.is_some_and(|change| change.is_start_or_end()));
    assert!(pair.steering.named_limit(&id).is_none());
}

#[test]
fn limit_outlasts_a_registration_that_lapses_and_returns() {
    let mut pair = Pair::new();
    let id: UpstreamId = "u1".parse().unwrap();
    let mut registered = upstream("u1", "a1");
    registered.started = Some(Millis(7));
    pair.steering.set_upstream(registered.clone(), Millis(10));
    pair.steering.remove_upstream(&id, Millis(4_000));
    pair.steering.set_upstream(registered.clone(), Millis(5_000));
    assert!(pair.steering.named_limit(&id).is_some(), "the limit was forgotten");

    pair.steering.remove_upstream(&id, Millis(5_500));
    registered.started = Some(Millis(8));
    pair.steering.set_upstream(registered, Millis(6_000));
    assert!(pair.steering.named_limit(&id).is_none(), "a new incarnation named no limit");
}
