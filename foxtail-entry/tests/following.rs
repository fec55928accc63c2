//! Hosts follow the store, whatever stands in it and however it fails.

mod common;

use std::time::Duration;

use common::{World, exchange, ready, request, until};
use foxtail_entry::Node;
use foxtail_standin::store::Fault;

async fn status(node: &Node, path: &str) -> u16 {
    exchange(node.settings().caller, &request("GET", path, "probe", 1_000, "")).await.status
}

#[tokio::test]
async fn rows_that_make_no_sense_name_nothing_and_the_others_hold() {
    let world = World::new();
    world.configure(7);
    let up = world.upstream("up-1", "a1").await;
    let rows: [(&str, &str, &[u8]); 8] = [
        ("servers", "garbage", b"\xff\xfe"),
        ("servers", "no-address", br#"{"info":{},"status":{}}"#),
        ("servers", "odd-state", br#"{"address":"127.0.0.1:1","info":{"service":"books","version":"v1","zone":"a1","slots":3},"status":{"state":"sleepy","sequence":1,"cold_remaining_s":0}}"#),
        ("servers", "odd-type", br#"{"address":7,"info":{"service":"books","version":"v1","zone":"a1","slots":"3"},"status":{"state":"ready","sequence":1,"cold_remaining_s":0}}"#),
        ("servers", "Not A Name!", b"{}"),
        ("op", "evacuate/", b"{}"),
        ("op", "other", b"\x00"),
        ("hosts", "h-x", b"[]"),
    ];
    for (table, key, value) in rows {
        world.store.put(table, key, value);
    }
    let door = world.door().await;
    let node = world.ready_host("h-1", "a1", &door).await;
    for _ in 0..3 {
        assert_eq!(status(&node, "/read/1").await, 200);
    }
    assert_eq!(up.runs(), 3);
    // A configuration that can't be read leaves the one in force.
    world.store.put("op", "config", br#"{"version":9,"routes":[{"name":"x"}]}"#);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(status(&node, "/read/1").await, 200);
    node.stop().await;
}

#[tokio::test]
async fn a_newer_configuration_is_in_force_soon_and_an_older_one_never() {
    let world = World::new();
    world.configure(7);
    let up = world.upstream("up-1", "a1").await;
    let seats = foxtail_standin::upstream::UpstreamServer::start("up-2", 3).await.unwrap();
    world.store.put("servers", "up-2", &seats.registration("seats", "a1", "ready", 0.0));
    let door = world.door().await;
    let node = world.ready_host("h-1", "a1", &door).await;

    world.configure_with(12, "seats", 2.0);
    until("the new service runs requests", async || {
        status(&node, "/read/1").await;
        seats.runs() > 0
    })
    .await;
    let before = up.runs();
    world.configure(9);
    tokio::time::sleep(Duration::from_millis(900)).await;
    for _ in 0..5 {
        assert_eq!(status(&node, "/read/1").await, 200);
    }
    assert_eq!(up.runs(), before, "an older configuration came back into force");
    node.stop().await;
}

#[tokio::test]
async fn draining_and_evacuated_upstreams_get_nothing_new() {
    let world = World::new();
    world.configure(7);
    let first = world.upstream("up-1", "a1").await;
    let second = world.upstream("up-2", "a2").await;
    let door = world.door().await;
    let node = world.ready_host("h-1", "a1", &door).await;

    world.store.put("servers", "up-1", &first.registration("books", "a1", "draining", 0.0));
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let before = first.runs();
    for _ in 0..6 {
        assert_eq!(status(&node, "/read/1").await, 200);
    }
    assert_eq!(first.runs(), before);
    world.store.put("op", "evacuate/a2", b"{}");
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let before = second.runs();
    assert_eq!(status(&node, "/read/1").await, 503);
    assert_eq!(second.runs(), before);
    // Taken back into use, its upstreams are cold, and the host warms them up.
    world.store.delete_row("op", "evacuate/a2");
    until("the zone is in use again", async || status(&node, "/read/1").await == 200).await;
    node.stop().await;
}

#[tokio::test]
async fn a_host_that_starts_while_the_store_is_out_serves_once_it_returns() {
    let world = World::new();
    world.configure(7);
    let _up = world.upstream("up-1", "a1").await;
    let door = world.door().await;
    for fault in [Fault::Unavailable, Fault::Throttled, Fault::Silent, Fault::Reset] {
        door.set_fault(fault);
        let node = world.host("h-1", "a1", &door).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(!ready(&node).await, "{fault:?}");
        door.set_fault(Fault::None);
        until("it is ready", async || ready(&node).await).await;
        assert_eq!(status(&node, "/read/1").await, 200, "{fault:?}");
        node.stop().await;
    }
}

#[tokio::test]
async fn service_goes_on_while_the_store_is_out() {
    let world = World::new();
    world.configure(7);
    let _up = world.upstream("up-1", "a1").await;
    let door = world.door().await;
    let node = world.ready_host("h-1", "a1", &door).await;
    for fault in [Fault::Unavailable, Fault::Silent, Fault::Reset, Fault::AnswerLost] {
        door.set_fault(fault);
        // Makes the calls that wait end, into the fault.
        world.store.put("hosts", "other", b"{}");
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(status(&node, "/read/1").await, 200, "{fault:?}");
        assert!(ready(&node).await, "{fault:?}");
    }
    door.set_fault(Fault::None);
    node.stop().await;
}

#[tokio::test]
async fn a_host_reads_everything_anew_when_the_history_is_lost() {
    let world = World::new();
    world.configure(7);
    let up = world.upstream("up-1", "a1").await;
    let door = world.door().await;
    let node = world.ready_host("h-1", "a1", &door).await;
    let second = world.upstream("up-2", "a1").await;
    world.store.put("servers", "up-1", &up.registration("books", "a1", "draining", 0.0));
    world.store.clear_history();
    until("it uses what it read anew", async || {
        status(&node, "/read/1").await;
        second.runs() > 0
    })
    .await;
    let before = up.runs();
    assert_eq!(status(&node, "/read/1").await, 200);
    assert_eq!(up.runs(), before);
    node.stop().await;
}

#[tokio::test]
async fn few_hosts_read_the_store_and_all_learn_of_changes() {
    let world = World::new();
    world.configure(7);
    let _up = world.upstream("up-1", "a1").await;
    let seats = foxtail_standin::upstream::UpstreamServer::start("up-2", 3).await.unwrap();
    world.store.put("servers", "up-2", &seats.registration("seats", "a1", "ready", 0.0));
    let mut hosts = Vec::new();
    for n in 0..6 {
        let door = world.door().await;
        let node = world.host(&format!("h-{n}"), "a1", &door).await;
        hosts.push((node, door));
    }
    for (node, _) in &hosts {
        until("all are ready", async || ready(node).await).await;
    }
    let feeds = |hosts: &[(Node, foxtail_standin::store::StoreEndpoint)]| {
        hosts.iter().filter(|(_, door)| door.call_counts().contains_key("/rows-feed")).count()
    };
    tokio::time::sleep(Duration::from_millis(500)).await;
    world.configure_with(12, "seats", 2.0);
    for (node, _) in &hosts {
        until("it uses the new configuration", async || {
            let before = seats.runs();
            status(node, "/read/1").await;
            seats.runs() > before
        })
        .await;
    }
    assert!((1..=3).contains(&feeds(&hosts)), "{} read the store", feeds(&hosts));
    for (node, _) in hosts {
        node.stop().await;
    }
}

#[tokio::test]
async fn a_host_whose_store_is_out_learns_from_others() {
    let world = World::new();
    world.configure(7);
    let up = world.upstream("up-1", "a1").await;
    let seats = foxtail_standin::upstream::UpstreamServer::start("up-2", 3).await.unwrap();
    world.store.put("servers", "up-2", &seats.registration("seats", "a1", "ready", 0.0));
    let good = world.door().await;
    let bad = world.door().await;
    let first = world.ready_host("h-1", "a1", &good).await;
    let second = world.ready_host("h-2", "a1", &bad).await;
    for (version, fault) in [(20, Fault::Silent), (21, Fault::Unavailable), (22, Fault::Reset)] {
        bad.set_fault(fault);
        world.configure_with(version, if version % 2 == 0 { "seats" } else { "books" }, 2.0);
        let service = if version % 2 == 0 { &seats } else { &up };
        until("it uses the new configuration", async || {
            let before = service.runs();
            status(&second, "/read/1").await;
            service.runs() > before
        })
        .await;
    }
    first.stop().await;
    second.stop().await;
}
