//! A whole site under load, with a drain and a stop.

use std::time::{Duration, Instant};

use foxtail_lab::load::{self, Options};
use foxtail_lab::report::{Events, Report};
use foxtail_lab::shape::{Shape, tali_selamat};
use foxtail_lab::site::Site;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_drain_and_a_stop_under_load_lose_nothing() {
    let shape = Shape { hosts_per_zone: 1, ..tali_selamat() };
    let site = Site::start(shape).await.unwrap();
    let span = Duration::from_secs(6);
    let options = Options { load: 0.1, span, seed: 5 };
    let (sent, events) = tokio::join!(load::run(&site, options), async {
        tokio::time::sleep(span / 4).await;
        let zone = "sarawak-b".parse().unwrap();
        site.drain(&zone, true).await.unwrap();
        let at = Instant::now();
        let host = "peninsula-a-1".parse().unwrap();
        site.stop_host(&host).await.unwrap();
        Events { drains: vec![(zone, at)] }
    });
    let report = Report::new(&site, &sent, &events);
    assert!(sent.len() > 200, "{} sendings", sent.len());
    assert_eq!(report.breaches(), 0, "{report}");
    site.stop().await;
}
