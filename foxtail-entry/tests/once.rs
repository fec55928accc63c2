//! What is sent again and what is not, and what callers are told.

mod common;

use std::time::Duration;

use common::{World, exchange, request, until};
use foxtail_standin::upstream::{Behavior, UpstreamServer};

#[tokio::test]
async fn a_request_that_may_have_run_is_never_sent_again_nor_called_unrun() {
    for act in [Behavior::RunAndClose, Behavior::TruncateBody, Behavior::WrongRequestId] {
        let world = World::new();
        world.configure(7);
        let ups = [world.upstream("up-1", "a1").await, world.upstream("up-2", "a1").await];
        let door = world.door().await;
        let node = world.ready_host("h-1", "a1", &door).await;
        ups.iter().for_each(|up| up.set_behavior(act.clone()));

        let got =
            exchange(node.settings().caller, &request("POST", "/write/1", "w", 1_500, "")).await;

        assert_eq!(ups[0].runs() + ups[1].runs(), 1, "{act:?}");
        assert_eq!(got.status, 502, "{act:?}");
        assert!(!got.headers.contains_key("retry-after"), "{act:?}");
        node.stop().await;
    }
}

#[tokio::test]
async fn a_request_that_may_be_repeated_survives_a_bad_answer() {
    for act in [Behavior::RunAndClose, Behavior::TruncateBody, Behavior::WrongRequestId] {
        let world = World::new();
        world.configure(7);
        let ups = [world.upstream("up-1", "a1").await, world.upstream("up-2", "a1").await];
        let door = world.door().await;
        let node = world.ready_host("h-1", "a1", &door).await;
        ups.iter().for_each(|up| up.queue_behaviors([act.clone()]));
        let caller = node.settings().caller;

        let first = exchange(caller, &request("GET", "/read/1", "r1", 1_500, "")).await;

        // Two upstreams at most; each spoils its first answer, so that the second try meets that too.
        assert_eq!(first.status, 502, "{act:?}");
        let second = exchange(caller, &request("GET", "/read/1", "r2", 1_500, "")).await;
        assert_eq!((second.status, second.is_complete), (200, true), "{act:?}");
        ups[0].queue_behaviors([act.clone()]);
        let third = exchange(caller, &request("GET", "/read/1", "r3", 1_500, "")).await;
        assert_eq!((third.status, third.is_complete), (200, true), "{act:?}");
        node.stop().await;
    }
}

#[tokio::test]
async fn a_request_that_was_refused_unrun_goes_to_another_upstream() {
    let world = World::new();
    world.configure(7);
    let ups = [world.upstream("up-1", "a1").await, world.upstream("up-2", "a1").await];
    let door = world.door().await;
    let node = world.ready_host("h-1", "a1", &door).await;
    let caller = node.settings().caller;
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
    let offered = ups.iter().flat_map(|up| up.received_requests());
    let offered = offered.filter(|seen| seen.headers["foxtailrouter-request-id"] == "last").count();
    assert!(offered <= 2, "offered to {offered} upstreams");
    node.stop().await;
}

#[tokio::test]
async fn an_upstream_that_is_gone_costs_nothing_but_a_try() {
    let world = World::new();
    world.configure(7);
    let gone = world.upstream("up-1", "a1").await;
    let up = world.upstream("up-2", "a2").await;
    let door = world.door().await;
    let node = world.ready_host("h-1", "a1", &door).await;
    gone.crash().await;
    for n in 0..5 {
        let id = format!("w{n}");
        let got =
            exchange(node.settings().caller, &request("POST", "/write/1", &id, 1_500, "")).await;
        assert_eq!(got.status, 200);
    }
    assert_eq!(up.runs(), 5);
    node.stop().await;
}

#[tokio::test]
async fn an_address_that_changed_hands_runs_nothing() {
    let world = World::new();
    world.configure(7);
    let other = foxtail_standin::upstream::UpstreamServer::start("up-new", 3).await.unwrap();
    // The registration of an upstream that is gone still names the address.
    let stale = other.registration("books", "a1", "ready", 0.0);
    world.store.put("servers", "up-old", &stale);
    let up = world.upstream("up-2", "b1").await;
    let door = world.door().await;
    let node = world.ready_host("h-1", "a1", &door).await;

    let got = exchange(node.settings().caller, &request("POST", "/write/1", "w", 1_500, "")).await;

    assert_eq!((got.status, other.runs(), up.runs()), (200, 0, 1));
    node.stop().await;
}

#[tokio::test]
async fn a_surplus_answer_is_nobodys() {
    let world = World::new();
    world.configure(7);
    let up = world.upstream("up-1", "a1").await;
    let door = world.door().await;
    let node = world.ready_host("h-1", "a1", &door).await;
    let caller = node.settings().caller;
    for n in 0..6 {
        up.queue_behaviors([Behavior::AnswerTwice]);
        let id = format!("w{n}");
        let got = exchange(caller, &request("POST", "/write/1", &id, 1_500, "")).await;
        assert!(got.status == 502 || got.body == format!("up-1 ran {id}"), "{got:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    node.stop().await;
}

#[tokio::test]
async fn an_answer_that_ends_with_its_connection_arrives_whole() {
    let world = World::new();
    world.configure(7);
    let up = world.upstream("up-1", "a1").await;
    let door = world.door().await;
    let node = world.ready_host("h-1", "a1", &door).await;
    up.queue_behaviors([Behavior::CloseDelimited]);
    let got = exchange(node.settings().caller, &request("GET", "/read/1", "r1", 1_500, "")).await;
    assert_eq!((got.status, got.is_complete), (200, true));
    assert!(got.body.contains("up-1 ran r1"));
    node.stop().await;
}

#[tokio::test]
async fn a_silent_upstream_is_waited_for_until_the_timeout_of_the_route_and_no_longer() {
    let world = World::new();
    world.configure_with(7, "books", 0.6);
    let up = world.upstream("up-1", "a1").await;
    let door = world.door().await;
    let node = world.ready_host("h-1", "a1", &door).await;
    up.set_behavior(Behavior::Silent);
    let since = tokio::time::Instant::now();
    let got = exchange(node.settings().caller, &request("GET", "/read/1", "r1", 5_000, "")).await;
    let took = since.elapsed();
    assert_eq!(got.status, 504);
    assert!(took >= Duration::from_millis(590) && took < Duration::from_millis(850), "{took:?}");
    node.stop().await;
}

#[tokio::test]
async fn a_caller_that_leaves_cancels_its_request_at_the_upstream() {
    let world = World::new();
    world.configure(7);
    let up = world.upstream("up-1", "a1").await;
    let door = world.door().await;
    let node = world.ready_host("h-1", "a1", &door).await;
    up.set_behavior(Behavior::Silent);
    let mut stream = tokio::net::TcpStream::connect(node.settings().caller).await.unwrap();
    let text = request("GET", "/read/1", "r1", 5_000, "");
    tokio::io::AsyncWriteExt::write_all(&mut stream, text.as_bytes()).await.unwrap();
    until("the upstream has it", async || up.runs() == 1).await;
    let left = tokio::time::Instant::now();
    drop(stream);
    until("it is cancelled there", async || up.cancelled() == 1).await;
    assert!(left.elapsed() < Duration::from_millis(500), "{:?}", left.elapsed());
    node.stop().await;
}

#[tokio::test]
async fn a_stop_finishes_what_is_under_way_and_closes_kept_connections() {
    let world = World::new();
    world.configure(7);
    let up = world.upstream("up-1", "a1").await;
    let door = world.door().await;
    let node = world.ready_host("h-1", "a1", &door).await;
    let caller = node.settings().caller;
    let mut kept = tokio::net::TcpStream::connect(caller).await.unwrap();
    let got = common::talk(&mut kept, &request("GET", "/read/1", "r1", 3_000, "")).await;
    assert_eq!(got.status, 200);

    up.set_work_time(Duration::from_millis(1_200));
    let slow = tokio::spawn(async move {
        exchange(caller, &request("POST", "/write/1", "slow", 3_000, "")).await
    });
    until("the upstream has it", async || up.runs() == 2).await;
    let stopping = tokio::spawn(node.stop());
    tokio::time::sleep(Duration::from_millis(100)).await;
    up.set_work_time(Duration::from_millis(5));
    let last = common::talk(&mut kept, &request("GET", "/read/1", "r2", 3_000, "")).await;

    assert_eq!((last.status, last.headers["connection"].as_str()), (200, "close"));
    assert_eq!(slow.await.unwrap().status, 200);
    stopping.await.unwrap();
}

#[tokio::test]
async fn a_request_that_crashes_every_upstream_is_stopped_at_all_hosts() {
    let world = World::new();
    world.configure(7);
    let mut ups = Vec::new();
    for n in 0..8 {
        ups.push(world.upstream(&format!("up-{n}"), "a1").await);
    }
    let door = world.door().await;
    let hosts =
        [world.ready_host("h-1", "a1", &door).await, world.ready_host("h-2", "a2", &door).await];
    ups.iter().for_each(|up| up.set_behavior(Behavior::RunAndClose));
    let send = async |host: &foxtail_entry::Node, id: &str, path: &str| {
        exchange(host.settings().caller, &request("GET", path, id, 1_500, "")).await
    };
    // Two tries at the first host, and one or two more at the second.
    send(&hosts[0], "p1", "/read/bad").await;
    let (ran, ups): (Vec<_>, Vec<_>) = ups.into_iter().partition(|up| up.runs() > 0);
    assert_eq!(ran.len(), 2);
    for up in ran {
        up.crash().await;
    }
    until("the other host heard of it", async || {
        common::metric(&hosts[1], "strikes_kept").await == Some(2.0)
    })
    .await;
    send(&hosts[1], "p2", "/read/bad").await;
    let runs = |ups: &[UpstreamServer]| ups.iter().map(|up| up.runs()).sum::<usize>();
    assert_eq!(runs(&ups), 1);
    until("the first host heard of it", async || {
        common::metric(&hosts[0], "strikes_kept").await == Some(3.0)
    })
    .await;
    for (n, host) in hosts.iter().cycle().take(6).enumerate() {
        let got = send(host, &format!("p3-{n}"), "/read/bad").await;
        assert_eq!(got.status, 503);
        assert!(got.headers["retry-after"].parse::<f64>().unwrap() > 60.0);
    }
    assert_eq!(runs(&ups), 1, "it ran after it had crashed three upstreams");
    ups.iter().for_each(|up| up.set_behavior(Behavior::Answer));
    assert_eq!(send(&hosts[0], "p4", "/read/good").await.status, 200);
    for host in hosts {
        host.stop().await;
    }
}
