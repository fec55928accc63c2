//! A site under load, with the drain of a zone and the graceful stop of a host.

use std::time::{Duration, Instant};

use foxtail_lab::load::{self, Options};
use foxtail_lab::report::{Events, Report};
use foxtail_lab::site::Site;
use foxtail_lab::spec::{SiteSpec, tali_selamat};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_drain_and_a_host_stop_under_load_break_no_promise() {
    let spec = SiteSpec { hosts_per_zone: 1, ..tali_selamat() };
    let site = Site::start(spec).await.unwrap();
    let duration = Duration::from_secs(6);
    let options = Options { load: 0.1, duration, seed: 5 };
    let (attempts, events) = tokio::join!(load::run(&site, options), async {
        tokio::time::sleep(duration / 4).await;
        let zone = "sarawak-b".parse().unwrap();
        site.drain(&zone, true).await.unwrap();
        let drained_at = Instant::now();
        let host = "peninsula-a-1".parse().unwrap();
        site.stop_host(&host).await.unwrap();
        Events { drains: vec![(zone, drained_at)] }
    });
    let report = Report::new(&site, &attempts, &events);
    assert!(attempts.len() > 200, "{} attempts", attempts.len());
    assert_eq!(report.breaches(), 0, "{report}");
    site.stop().await;
}
