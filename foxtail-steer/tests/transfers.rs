//! Limits on what a host sends to other hosts at the same time.

use foxtail_steer::TransferLimit;

const CONFIG_ROWS: usize = 1_450;
const DRAIN_ROWS: usize = 12;

#[test]
fn few_large_transfers_run_at_once() {
    let mut limit = TransferLimit::default();
    let admitted = (0..47).filter(|_| limit.start(CONFIG_ROWS)).count();
    assert!((1..=3).contains(&admitted), "{admitted}");
    limit.finish(CONFIG_ROWS);
    assert!(limit.start(CONFIG_ROWS));
    assert!(!limit.start(CONFIG_ROWS));
}

#[test]
fn drains_do_not_wait_for_large_transfers() {
    let mut limit = TransferLimit::default();
    while limit.start(CONFIG_ROWS) {}
    assert!((0..47).all(|_| limit.start(DRAIN_ROWS)));
}

#[test]
fn small_transfers_are_limited_too() {
    let mut limit = TransferLimit::default();
    let admitted = (0..10_000).filter(|_| limit.start(1)).count();
    assert!(admitted < 1_000, "{admitted}");
}

#[test]
fn transfer_above_the_limit_runs_alone() {
    let mut limit = TransferLimit::default();
    assert!(limit.start(100_000));
    assert!(!limit.start(CONFIG_ROWS));
    limit.finish(100_000);
    assert!(limit.start(CONFIG_ROWS));
}
