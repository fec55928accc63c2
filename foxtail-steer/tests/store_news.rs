//! Whether the store was out for all hosts, judged by when it is known to have answered anybody.

use foxtail_steer::StoreNews;
use foxtail_types::prelude::*;

fn news(times_ms: impl IntoIterator<Item = u64>) -> StoreNews {
    let mut news = StoreNews::default();
    times_ms.into_iter().for_each(|at| news.record(Millis(at)));
    news
}

#[test]
fn outage_that_one_host_sees_while_the_store_answers_others_is_none_of_the_store() {
    let news = news((0..9_500).step_by(700));
    assert_eq!(news.outage_end(Millis(9_600)), None);
}

#[test]
fn outage_in_which_the_store_answers_nobody_may_be_one_of_the_store() {
    assert_eq!(news([0]).outage_end(Millis(3_300)), Some(Millis(3_300)), "it may still last");
    // What was known before the outage and right after it.
    let around = news([200, 400, 4_000, 4_100]);
    assert_eq!(around.outage_end(Millis(4_200)), Some(Millis(4_000)));
    // The store is out for all after it had been out for one host alone.
    let news = news((0..9_500).step_by(700).chain([13_000]));
    assert!(news.may_have_lapsed(Millis(13_100)));
}

#[test]
fn outage_that_ended_long_ago_lapses_nothing() {
    let news = news([0, 400].into_iter().chain((5_000..20_000).step_by(600)));
    assert!(news.may_have_lapsed(Millis(7_100)));
    for now in (7_200..20_000).step_by(100) {
        assert!(!news.may_have_lapsed(Millis(now)), "at {now} ms");
        assert_eq!(news.recent_outage_end(Millis(now)), None);
    }
}

#[test]
fn a_call_that_fails_is_no_outage() {
    assert_eq!(news([0, 10_000]).outage_end(Millis(11_500)), Some(Millis(10_000)));
    assert!(!news([9_000, 10_000]).may_have_lapsed(Millis(11_500)));
}

#[test]
fn time_in_which_a_host_did_not_run_is_no_outage() {
    let mut news = news((0..4_000).step_by(500));
    news.record_suspension(Millis(3_900), Millis(9_000));
    news.record(Millis(9_200));
    assert_eq!(news.outage_end(Millis(9_300)), None);
    // Signs from before its end that come late say nothing.
    news.record(Millis(5_000));
    assert_eq!(news.outage_end(Millis(9_300)), None);
}

#[test]
fn recorded_signs_are_bounded_and_cover_a_minute() {
    let news = news((0..200_000).step_by(20));
    assert_eq!(news.outage_end(Millis(200_000)), None);
    let outage = (0..100_000).step_by(20).chain((104_000..160_000).step_by(20));
    let outage = self::news(outage);
    assert_eq!(outage.outage_end(Millis(160_000)), Some(Millis(104_000)));
}
