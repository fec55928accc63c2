//! Which requests are retried after a failed attempt, and what callers receive.

mod common;

use std::time::Duration;

use common::{TestSite, exchange, exchange_from, exchange_on, request, until};
use foxtail_standin::caller::Request;
use foxtail_standin::upstream::{Behavior, UpstreamServer};
use tokio::net::TcpStream;

#[tokio::test]
async fn a_non_idempotent_request_that_may_have_run_is_not_retried_and_gets_502() {
    for act in [Behavior::RunAndClose, Behavior::TruncateBody, Behavior::WrongRequestId] {
        let site = TestSite::new();
        site.configure(7);
        let ups = [site.upstream("up-1", "a1").await, site.upstream("up-2", "a1").await];
        let endpoint = site.store_endpoint().await;
        let host = site.ready_host("h-1", "a1", &endpoint).await;
        ups.iter().for_each(|up| up.set_behavior(act.clone()));

        let got =
            exchange(host.settings().caller, &request("POST", "/write/1", "w", 1_500, "")).await;

        assert_eq!(ups[0].runs() + ups[1].runs(), 1, "{act:?}");
        assert_eq!(got.status, 502, "{act:?}");
        assert!(!got.headers.contains_key("retry-after"), "{act:?}");
        host.stop().await;
    }
}

#[tokio::test]
async fn an_idempotent_request_is_retried_after_a_bad_response() {
    for act in [Behavior::RunAndClose, Behavior::TruncateBody, Behavior::WrongRequestId] {
        let site = TestSite::new();
        site.configure(7);
        let ups = [site.upstream("up-1", "a1").await, site.upstream("up-2", "a1").await];
        let endpoint = site.store_endpoint().await;
        let host = site.ready_host("h-1", "a1", &endpoint).await;
        ups.iter().for_each(|up| up.queue_behaviors([act.clone()]));
        let caller = host.settings().caller;

        let first = exchange(caller, &request("GET", "/read/1", "r1", 1_500, "")).await;

        // Each of the two upstreams fails its first request, so that the retry fails as well.
        assert_eq!(first.status, 502, "{act:?}");
        let second = exchange(caller, &request("GET", "/read/1", "r2", 1_500, "")).await;
        assert_eq!((second.status, second.is_complete), (200, true), "{act:?}");
        ups[0].queue_behaviors([act.clone()]);
        let third = exchange(caller, &request("GET", "/read/1", "r3", 1_500, "")).await;
        assert_eq!((third.status, third.is_complete), (200, true), "{act:?}");
        host.stop().await;
    }
}

#[tokio::test]
async fn a_shed_request_is_sent_to_another_upstream() {
    let site = TestSite::new();
    site.configure(7);
    let ups = [site.upstream("up-1", "a1").await, site.upstream("up-2", "a1").await];
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    let caller = host.settings().caller;
    ups[0].set_behavior(Behavior::Shed);
    for n in 0..5 {
        let got = exchange(caller, &request("POST", "/write/1", &format!("w{n}"), 1_500, "")).await;
        assert_eq!((got.status, got.body), (200, format!("up-2 ran w{n}")));
    }
    ups[1].set_behavior(Behavior::Shed);
    let got = exchange(caller, &request("POST", "/write/1", "last", 1_500, "")).await;
    assert_eq!(got.status, 503);
    assert!(got.headers["retry-after"].parse::<f64>().unwrap() > 0.0);
    assert!(!got.headers.contains_key("foxtailrouter-server-seal"));
    let sent = ups.iter().flat_map(|up| up.received_requests());
    let sent = sent.filter(|seen| seen.headers["foxtailrouter-request-id"] == "last").count();
    assert!(sent <= 2, "sent to {sent} upstreams");
    host.stop().await;
}

#[tokio::test]
async fn requests_succeed_on_another_upstream_after_one_crashes() {
    let site = TestSite::new();
    site.configure(7);
    let gone = site.upstream("up-1", "a1").await;
    let up = site.upstream("up-2", "a2").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    gone.crash().await;
    for n in 0..5 {
        let id = format!("w{n}");
        let got =
            exchange(host.settings().caller, &request("POST", "/write/1", &id, 1_500, "")).await;
        assert_eq!(got.status, 200);
    }
    assert_eq!(up.runs(), 5);
    host.stop().await;
}

#[tokio::test]
async fn a_reassigned_address_runs_no_request_meant_for_its_former_upstream() {
    let site = TestSite::new();
    site.configure(7);
    let other = foxtail_standin::upstream::UpstreamServer::start("up-new", 3).await.unwrap();
    // A registration of a removed upstream still has the address of the running one.
    let stale = other.registration("books", "a1", "ready", 0.0);
    site.store.put("servers", "up-old", &stale);
    let up = site.upstream("up-2", "b1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;

    let got = exchange(host.settings().caller, &request("POST", "/write/1", "w", 1_500, "")).await;

    assert_eq!((got.status, other.runs(), up.runs()), (200, 0, 1));
    host.stop().await;
}

#[tokio::test]
async fn a_surplus_response_is_never_given_to_another_request() {
    let site = TestSite::new();
    site.configure(7);
    let up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    let caller = host.settings().caller;
    for n in 0..6 {
        up.queue_behaviors([Behavior::AnswerTwice]);
        let id = format!("w{n}");
        let got = exchange(caller, &request("POST", "/write/1", &id, 1_500, "")).await;
        assert!(got.status == 502 || got.body == format!("up-1 ran {id}"), "{got:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    host.stop().await;
}

#[tokio::test]
async fn a_response_delimited_by_connection_close_arrives_complete() {
    let site = TestSite::new();
    site.configure(7);
    let up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    up.queue_behaviors([Behavior::CloseDelimited]);
    let got = exchange(host.settings().caller, &request("GET", "/read/1", "r1", 1_500, "")).await;
    assert_eq!((got.status, got.is_complete), (200, true));
    assert!(got.body.contains("up-1 ran r1"));
    host.stop().await;
}

#[tokio::test]
async fn a_silent_upstream_leads_to_504_at_the_route_timeout() {
    let site = TestSite::new();
    site.configure_with(7, "books", 0.6);
    let up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    up.set_behavior(Behavior::Silent);
    let started = tokio::time::Instant::now();
    let got = exchange(host.settings().caller, &request("GET", "/read/1", "r1", 5_000, "")).await;
    let took = started.elapsed();
    assert_eq!(got.status, 504);
    assert!(took >= Duration::from_millis(590) && took < Duration::from_millis(850), "{took:?}");
    host.stop().await;
}

#[tokio::test]
async fn a_caller_that_disconnects_cancels_its_request_at_the_upstream() {
    let site = TestSite::new();
    site.configure(7);
    let up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    up.set_behavior(Behavior::Silent);
    let mut stream = tokio::net::TcpStream::connect(host.settings().caller).await.unwrap();
    let text = request("GET", "/read/1", "r1", 5_000, "");
    tokio::io::AsyncWriteExt::write_all(&mut stream, text.as_bytes()).await.unwrap();
    until("the upstream has the request", async || up.runs() == 1).await;
    let disconnected_at = tokio::time::Instant::now();
    drop(stream);
    until("the upstream cancels the request", async || up.cancelled() == 1).await;
    assert!(
        disconnected_at.elapsed() < Duration::from_millis(500),
        "{:?}",
        disconnected_at.elapsed()
    );
    host.stop().await;
}

#[tokio::test]
async fn a_stop_finishes_requests_in_flight_and_closes_keep_alive_connections() {
    let site = TestSite::new();
    site.configure(7);
    let up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    let caller = host.settings().caller;
    let mut conn = tokio::net::TcpStream::connect(caller).await.unwrap();
    let got = common::exchange_on(&mut conn, &request("GET", "/read/1", "r1", 3_000, "")).await;
    assert_eq!(got.status, 200);

    up.set_work_time(Duration::from_millis(1_200));
    let slow = tokio::spawn(async move {
        exchange(caller, &request("POST", "/write/1", "slow", 3_000, "")).await
    });
    until("the upstream has the request", async || up.runs() == 2).await;
    let stopping = tokio::spawn(host.stop());
    tokio::time::sleep(Duration::from_millis(100)).await;
    up.set_work_time(Duration::from_millis(5));
    let last = common::exchange_on(&mut conn, &request("GET", "/read/1", "r2", 3_000, "")).await;

    assert_eq!((last.status, last.headers["connection"].as_str()), (200, "close"));
    assert_eq!(slow.await.unwrap().status, 200);
    stopping.await.unwrap();
}

#[tokio::test]
async fn a_request_that_crashes_upstreams_is_refused_by_all_hosts() {
    let site = TestSite::new();
    site.configure(7);
    let mut ups = Vec::new();
    for n in 0..8 {
        ups.push(site.upstream(&format!("up-{n}"), "a1").await);
    }
    let endpoint = site.store_endpoint().await;
    let hosts = [
        site.ready_host("h-1", "a1", &endpoint).await,
        site.ready_host("h-2", "a2", &endpoint).await,
    ];
    ups.iter().for_each(|up| up.set_behavior(Behavior::RunAndClose));
    let send = async |host: &foxtail_entry::Host, id: &str, path: &str| {
        exchange(host.settings().caller, &request("GET", path, id, 1_500, "")).await
    };
    // The first host makes two attempts and the second host one more, which is the third strike.
    // Each strike is kept under two fingerprints.
    send(&hosts[0], "p1", "/read/bad").await;
    let (ran, ups): (Vec<_>, Vec<_>) = ups.into_iter().partition(|up| up.runs() > 0);
    assert_eq!(ran.len(), 2);
    for up in ran {
        up.crash().await;
    }
    until("the second host has received the strikes", async || {
        common::metric(&hosts[1], "strikes_kept").await == Some(4.0)
    })
    .await;
    send(&hosts[1], "p2", "/read/bad").await;
    let runs = |ups: &[UpstreamServer]| ups.iter().map(|up| up.runs()).sum::<usize>();
    assert_eq!(runs(&ups), 1);
    until("the first host has received the third strike", async || {
        common::metric(&hosts[0], "strikes_kept").await == Some(6.0)
    })
    .await;
    for (n, host) in hosts.iter().cycle().take(6).enumerate() {
        let got = send(host, &format!("p3-{n}"), "/read/bad").await;
        assert_eq!(got.status, 503);
        assert!(got.headers["retry-after"].parse::<f64>().unwrap() > 60.0);
    }
    assert_eq!(runs(&ups), 1, "the request ran after it had crashed three upstreams");
    ups.iter().for_each(|up| up.set_behavior(Behavior::Answer));
    assert_eq!(send(&hosts[0], "p4", "/read/good").await.status, 200);
    for host in hosts {
        host.stop().await;
    }
}

#[tokio::test]
async fn late_second_copy_of_an_answer_is_not_given_to_the_next_request_on_the_connection() {
    let site = TestSite::new();
    site.configure(7);
    let up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    let caller = host.settings().caller;
    up.queue_behaviors([Behavior::AnswerAgainAfter(Duration::from_millis(100))]);
    up.set_work_time(Duration::from_millis(10));

    let first = exchange(caller, &request("POST", "/write/1", "r1", 1_500, "")).await;
    let second = exchange(caller, &request("POST", "/write/1", "r2", 1_500, "")).await;

    assert_eq!((first.status, first.body.as_str()), (200, "up-1 ran r1"));
    assert_eq!(up.connections(), 1, "the second request was sent on another connection");
    assert_eq!(second.status, 502, "{}", second.body);
    host.stop().await;
}

#[tokio::test]
async fn refusal_of_another_request_does_not_pass_for_proof_that_a_request_did_not_run() {
    let site = TestSite::new();
    site.configure(7);
    let ups = [site.upstream("up-1", "a1").await, site.upstream("up-2", "a1").await];
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    for up in &ups {
        up.set_behavior(Behavior::MisdirectAnother);
    }

    let got = exchange(host.settings().caller, &request("POST", "/write/1", "r1", 1_500, "")).await;

    assert_eq!(got.status, 502, "{}", got.body);
    assert_eq!(ups[0].runs() + ups[1].runs(), 1);
    host.stop().await;
}

#[tokio::test]
async fn unframed_answer_that_is_reset_on_the_way_does_not_look_complete() {
    let site = TestSite::new();
    site.configure(7);
    let up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    up.set_behavior(Behavior::ResetUnframed);

    let got = exchange(host.settings().caller, &request("POST", "/write/1", "r1", 1_500, "")).await;

    assert_eq!(got.status, 502, "{}", got.body);
    host.stop().await;
}

#[tokio::test]
async fn request_on_a_connection_that_was_just_accepted_is_answered_during_a_stop() {
    let site = TestSite::new();
    site.configure(7);
    let _up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    let caller = host.settings().caller;
    // Idle connections are closed after two fifths of the stop timeout of 2 s.
    let stopping = tokio::spawn(host.stop());
    tokio::time::sleep(Duration::from_millis(700)).await;
    let mut stream = TcpStream::connect(caller).await.expect("the host still accepts connections");
    tokio::time::sleep(Duration::from_millis(200)).await;

    let got = exchange_on(&mut stream, &request("POST", "/write/1", "r1", 900, "")).await;

    assert_eq!(got.status, 200, "{}", got.body);
    assert_eq!(got.headers["connection"], "close");
    stopping.await.unwrap();
}

#[tokio::test]
async fn request_that_crashes_upstreams_is_barred_although_other_upstreams_answer_it_with_500() {
    let site = TestSite::new();
    site.configure(7);
    let mut ups = Vec::new();
    for n in 0..12 {
        ups.push(site.upstream(&format!("up-{n}"), "a1").await);
    }
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    let mut crashed = std::collections::BTreeSet::new();
    for n in 0..40 {
        let fails = n % 3 == 2;
        let behavior = if fails { Behavior::Fail(500) } else { Behavior::RunAndClose };
        ups.iter().for_each(|up| up.set_behavior(behavior.clone()));
        let runs_before: Vec<usize> = ups.iter().map(|up| up.runs()).collect();
        let (id, timeout) = (format!("r{n}"), Duration::from_millis(1_500));
        let (method, path, object) = ("POST", "/write/bad", n);
        let text =
            Request { method, host: "svc.example", path, id: &id, object, timeout, body: "" };
        exchange(host.settings().caller, &text.encode()).await;
        let ran = (0..ups.len()).filter(|up| ups[*up].runs() > runs_before[*up]);
        crashed.extend(ran.filter(|_| !fails));
    }
    assert_eq!(crashed.len(), 3, "upstreams that the request crashed: {crashed:?}");
    host.stop().await;
}

#[tokio::test]
async fn request_that_crashes_upstreams_is_barred_whichever_caller_sends_it() {
    let site = TestSite::new();
    site.configure(7);
    let mut ups = Vec::new();
    for n in 0..12 {
        ups.push(site.upstream(&format!("up-{n}"), "a1").await);
    }
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    let to = host.settings().caller;
    let mut crashed = std::collections::BTreeSet::new();
    for n in 0..20 {
        ups.iter().for_each(|up| up.set_behavior(Behavior::RunAndClose));
        let text = request("POST", "/write/bad", &format!("bad-{n}"), 1_500, "");
        exchange_from(&format!("127.0.0.{}", n + 2), to, &text).await;
        let has_run_it = |up: &&UpstreamServer| {
            let received = up.received_requests();
            received.iter().any(|req| req.request_line.contains("/write/bad") && req.has_run)
        };
        crashed.extend(ups.iter().filter(has_run_it).map(|up| up.id().to_owned()));
        ups.iter().for_each(|up| up.set_behavior(Behavior::Answer));
        let good = request("GET", &format!("/read/{n}"), &format!("good-{n}"), 1_500, "");
        assert_eq!(exchange(to, &good).await.status, 200);
        // Strikes at the same moment count as one.
        tokio::time::sleep(Duration::from_millis(110)).await;
    }
    assert_eq!(crashed.len(), 3, "upstreams that the request crashed: {crashed:?}");
    host.stop().await;
}

#[tokio::test]
async fn refusal_that_an_upstream_sends_once_more_is_not_taken_for_that_of_the_next_request() {
    for act in [
        Behavior::ShedAgainAfter(Duration::from_millis(100)),
        Behavior::MisdirectAfter(Duration::from_millis(100)),
    ] {
        let site = TestSite::new();
        site.configure(7);
        let up = site.upstream("up-1", "a1").await;
        let endpoint = site.store_endpoint().await;
        let host = site.ready_host("h-1", "a1", &endpoint).await;
        let caller = host.settings().caller;
        up.queue_behaviors([act.clone()]);

        exchange(caller, &request("POST", "/write/1", "r1", 1_500, "")).await;
        let second = exchange(caller, &request("POST", "/write/1", "r2", 1_500, "")).await;

        assert_eq!(up.connections(), 1, "{act:?}: the second request came on another connection");
        assert_eq!(second.status, 502, "{act:?}: {}", second.body);
        let ran = |seen: &foxtail_standin::upstream::ReceivedRequest| {
            seen.has_run && seen.headers["foxtailrouter-request-id"] == "r2"
        };
        until("the upstream has run the second request", async || {
            up.received_requests().iter().filter(|seen| ran(seen)).count() == 1
        })
        .await;
        host.stop().await;
    }
}
