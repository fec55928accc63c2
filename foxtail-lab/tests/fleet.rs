//! Whole installations with one host in each zone, over loopback.

use std::time::Duration;

use bytes::Bytes;
use foxtail_lab::fleet::Fleet;
use foxtail_lab::load::{self, Call, Ending, Method};
use foxtail_lab::report::{Events, Report};
use foxtail_lab::shape::{Shape, tali_selamat};
use foxtail_net::http::{Options as HttpOptions, client};
use foxtail_standin::net::{Cut, Place};
use foxtail_types::prelude::*;

const SEED: u64 = 3;
const LOAD: f64 = 0.05;

fn small() -> Shape {
    Shape { hosts_per_zone: 1, ..tali_selamat() }
}

fn assert_no_breach(report: &Report) {
    for check in &report.checks {
        assert_eq!(check.breaches, 0, "{}: {}", check.name, check.detail);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_of_one_host_under_load_loses_nothing() {
    let fleet = Fleet::start(small(), SEED).await.unwrap();
    let span = Millis::secs(9);
    let host = fleet.shape().hosts()[0].id.clone();
    let stop = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.stop_host(&host).await.unwrap()
    };
    let options = load::Options::new(LOAD, span, SEED);
    let (record, stopped) = tokio::join!(load::run(&fleet, options), stop);
    assert!(record.total() > 100);
    let events = Events { stops: vec![(host.clone(), stopped)], span, ..Events::default() };
    assert_no_breach(&Report::new(&fleet, record, &events));
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_region_that_is_cut_off_goes_on_and_breaks_no_limit() {
    let fleet = Fleet::start(small(), SEED).await.unwrap();
    let span = Millis::secs(6);
    let region = fleet.shape().region(2).clone();
    let cut = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.fabric().set_region_cut(&region, Some(Cut::Blackhole));
        tokio::time::sleep(Duration::from_secs(3)).await;
        fleet.fabric().set_region_cut(&region, None);
    };
    let options = load::Options::new(LOAD, span, SEED);
    let (record, ()) = tokio::join!(load::run(&fleet, options), cut);
    // Half of the service must survive; here nothing else was lost.
    assert!(record.count("answered") * 2 > record.total(), "{:?}", record.services);
    let report = Report::new(&fleet, record, &Events { span, ..Events::default() });
    let service = "at least 99% are answered below the capacity";
    for check in report.checks.iter().filter(|check| check.name != service) {
        assert_eq!(check.breaches, 0, "{}: {}", check.name, check.detail);
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_that_is_sent_again_brings_down_at_most_two_upstreams() {
    const CRASHES_MAX: u32 = 2;
    const ASKS: usize = 8;
    let fleet = Fleet::start(small(), SEED).await.unwrap();
    let region = fleet.shape().region(0).clone();
    let http = client(fleet.fabric().dial_from(Place::client(&region)), &HttpOptions::default());
    let poison = call(&fleet, "/certificates/7?poison&work=50", 0);
    let mut refused = 0;
    for n in 0..ASKS {
        let entries = fleet.entries();
        let ending = poison.send(&http, entries[n % entries.len()], &region).await;
        refused += usize::from(matches!(ending, Ending::Refused(_)));
        assert!(!matches!(ending, Ending::Answered | Ending::Wrong(_)), "{ending:?}");
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    let crashes = fleet.audit().crashes_of_call(&poison.name);
    assert!((1..=CRASHES_MAX).contains(&crashes), "{crashes} upstreams went down");
    assert!(refused > 0, "the request was never refused for good");
    let innocent = call(&fleet, "/certificates/8?bytes=100", 100);
    assert_eq!(innocent.send(&http, fleet.entries()[0], &region).await, Ending::Answered);
    fleet.stop().await;
}

fn call(fleet: &Fleet, path: &str, answer_bytes: usize) -> Call {
    Call {
        name: path.to_owned(),
        workspace: fleet.shape().workspace_id().clone(),
        service: "certificates".to_owned(),
        method: Method::Get,
        path: path.to_owned(),
        body: Bytes::new(),
        answer_bytes,
        deadline: Millis::secs(5),
        key: None,
    }
}
