//! Fetching store changes from other hosts.

use std::net::SocketAddr;

use foxtail_steer::PullQueue;

fn host(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n], 1))
}

#[test]
fn one_host_is_asked_at_a_time_and_later_announcements_are_kept() {
    let mut queue = PullQueue::default();
    assert_eq!(queue.record_announcement(host(1), 5, 3), Some(host(1)));
    // While the first host has not answered, another one announces a later change, such as a drain.
    assert_eq!(queue.record_announcement(host(2), 9, 3), None);
    assert_eq!(queue.finish_pull(5), Some(host(2)));
    assert_eq!(queue.finish_pull(9), None);
}

#[test]
fn unanswered_host_is_asked_again_only_after_another_announcement() {
    let mut queue = PullQueue::default();
    assert_eq!(queue.record_announcement(host(1), 9, 3), Some(host(1)));
    assert_eq!(queue.record_announcement(host(2), 8, 3), None);
    assert_eq!(queue.finish_pull(3), Some(host(2)));
    assert_eq!(queue.finish_pull(3), None);
    assert_eq!(queue.record_announcement(host(1), 9, 3), Some(host(1)));
}

#[test]
fn known_versions_are_not_asked_for() {
    let mut queue = PullQueue::default();
    assert_eq!(queue.record_announcement(host(1), 3, 3), None);
    assert_eq!(queue.record_announcement(host(1), 4, 3), Some(host(1)));
    assert_eq!(queue.record_announcement(host(2), 4, 3), None);
    assert_eq!(queue.finish_pull(4), None);
}
