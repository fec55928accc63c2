//! Fetching store changes from other hosts.

use std::net::SocketAddr;

use foxtail_steer::PullQueue;
use foxtail_steer::pull_queue::{PullOutcome, Step};
use foxtail_types::prelude::*;

const NOW: Millis = Millis(1_000);

fn host(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n], 1))
}

fn queue() -> PullQueue {
    queue_of("h-own")
}

fn queue_of(name: &str) -> PullQueue {
    PullQueue::new(&name.parse().unwrap())
}

#[test]
fn one_host_is_asked_at_a_time_and_later_announcements_are_kept() {
    let mut queue = queue();
    assert_eq!(queue.record_announcement(host(1), 5, 3, NOW), Step::Ask(host(1)));
    // While the first host has not answered, another one announces a later change, such as a drain.
    assert_eq!(queue.record_announcement(host(2), 9, 3, NOW), Step::Idle);
    assert_eq!(queue.finish_pull(PullOutcome::Ended, 5, NOW), Step::Ask(host(2)));
    assert_eq!(queue.finish_pull(PullOutcome::Ended, 9, NOW), Step::Idle);
}

#[test]
fn unanswered_host_is_asked_again_only_after_another_announcement() {
    let mut queue = queue();
    assert_eq!(queue.record_announcement(host(1), 9, 3, NOW), Step::Ask(host(1)));
    assert_eq!(queue.record_announcement(host(2), 8, 3, NOW), Step::Idle);
    assert_eq!(queue.finish_pull(PullOutcome::Ended, 3, NOW), Step::Ask(host(2)));
    assert_eq!(queue.finish_pull(PullOutcome::Ended, 3, NOW), Step::Idle);
    assert_eq!(queue.record_announcement(host(1), 9, 3, NOW), Step::Ask(host(1)));
}

#[test]
fn known_versions_are_not_asked_for() {
    let mut queue = queue();
    assert_eq!(queue.record_announcement(host(1), 3, 3, NOW), Step::Idle);
    assert_eq!(queue.record_announcement(host(1), 4, 3, NOW), Step::Ask(host(1)));
    assert_eq!(queue.record_announcement(host(2), 4, 3, NOW), Step::Idle);
    assert_eq!(queue.finish_pull(PullOutcome::Ended, 4, NOW), Step::Idle);
}

#[test]
fn busy_host_is_asked_again_after_a_pause_and_others_before_it() {
    let mut queue = queue();
    assert_eq!(queue.record_announcement(host(1), 9, 3, NOW), Step::Ask(host(1)));
    let Step::Wait(pause) = queue.finish_pull(PullOutcome::Busy, 3, NOW) else {
        panic!("the only source is busy");
    };
    assert!(pause > Millis::ZERO && pause <= Millis(400), "{pause}");
    // Another source is asked at once, and the busy one after it, but not before the pause is over.
    assert_eq!(queue.record_announcement(host(2), 9, 3, NOW), Step::Ask(host(2)));
    assert_eq!(queue.finish_pull(PullOutcome::Ended, 3, NOW), Step::Idle);
    assert_eq!(queue.resume(3, NOW + pause), Step::Ask(host(1)));
    assert_eq!(queue.finish_pull(PullOutcome::Ended, 9, NOW + pause), Step::Idle);
}

#[test]
fn wait_ends_without_a_pull_if_the_change_arrived_meanwhile() {
    let mut queue = queue();
    queue.record_announcement(host(1), 9, 3, NOW);
    let Step::Wait(pause) = queue.finish_pull(PullOutcome::Busy, 3, NOW) else {
        panic!("the only source is busy");
    };
    assert_eq!(queue.resume(9, NOW + pause), Step::Idle);
}

#[test]
fn hosts_that_hear_the_same_announcements_ask_different_sources() {
    const SOURCES: u8 = 4;
    let mut asked = [0_u32; SOURCES as usize];
    for n in 0..100 {
        let mut queue = queue_of(&format!("h-{n}"));
        queue.record_announcement(host(200), 4, 3, NOW);
        for source in 0..SOURCES {
            queue.record_announcement(host(source + 1), 9, 3, NOW);
        }
        let Step::Ask(source) = queue.finish_pull(PullOutcome::Ended, 4, NOW) else {
            panic!("a source has a newer version");
        };
        let SocketAddr::V4(source) = source else { unreachable!("sources have IPv4 addresses") };
        asked[usize::from(source.ip().octets()[3]) - 1] += 1;
    }
    assert!(asked.iter().all(|&hosts| hosts >= 10), "{asked:?}");
}
