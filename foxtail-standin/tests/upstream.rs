//! The upstream stand-in against real HTTP requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foxtail_net::http::{Body, Client, Options as HttpOptions, client};
use foxtail_net::{TcpDial, http};
use foxtail_standin::upstream::{Audit, Options, Report, Server, ServiceTime, answer};
use foxtail_types::prelude::*;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response};

fn options() -> Options {
    let service_time = ServiceTime { mean: Millis(5), sigma: 0.0 };
    let id = UpstreamId::new("u1").unwrap();
    let mut options = Options::new(id, RegionId::new("north").unwrap(), service_time, 1);
    options.cold.requests = 0;
    options.queue_max = 1;
    options.report_lag = Millis::ZERO;
    options.drain_grace = Millis::ZERO;
    options.restart = Millis(50);
    options
}

async fn server() -> (Server, Client, Arc<Audit>) {
    let audit = Arc::new(Audit::default());
    let server = Server::start(options(), Arc::clone(&audit)).await.unwrap();
    (server, client(Arc::new(TcpDial), &HttpOptions::default()), audit)
}

fn request(addr: SocketAddr, path: &str) -> Request<Body> {
    let body: http::Body = Full::new(Bytes::new()).map_err(|never| match never {}).boxed_unsync();
    Request::get(format!("http://{addr}{path}"))
        .header("x-lab-call", path)
        .header("x-foxtail-deadline-ms", "10000")
        .body(body)
        .unwrap()
}

fn header<'a, T>(res: &'a Response<T>, name: &str) -> &'a str {
    res.headers().get(name).map_or("", |value| value.to_str().unwrap())
}

#[tokio::test]
async fn answers_depend_on_the_request_alone() {
    let (server, client, _) = server().await;
    let path = "/certificates/123?bytes=20000";
    let res = client.request(request(server.addr(), path)).await.unwrap();
    let digest = answer::digest("GET", path, b"");
    assert_eq!(header(&res, answer::DIGEST_HEADER), answer::hex(digest));
    let content = res.into_body().collect().await.unwrap().to_bytes();
    assert_eq!(content, answer::body(digest, 20_000));
    assert_eq!(server.stats().answered, 1);
    server.stop().await;
}

#[tokio::test]
async fn sheds_beyond_slots_and_queue_and_counts_both() {
    let (server, client, audit) = server().await;
    let mut calls = tokio::task::JoinSet::new();
    for n in 0..5 {
        let req = request(server.addr(), &format!("/{n}?work=300"));
        calls.spawn(client.request(req));
    }
    let mut shed = 0;
    while let Some(res) = calls.join_next().await {
        let res = res.unwrap().unwrap();
        shed += usize::from(header(&res, "x-upstream-refused") == "shed");
    }
    let stats = server.stats();
    assert_eq!((shed, stats.shed, stats.over_slots, stats.inside_max), (1, 1, 2, 4));
    assert_eq!(audit.runs().len(), 4);
    server.stop().await;
}

#[tokio::test]
async fn a_truncated_answer_is_an_error() {
    let (server, client, _) = server().await;
    let res = client.request(request(server.addr(), "/a?truncate&bytes=5000")).await.unwrap();
    assert!(res.into_body().collect().await.is_err());
    server.stop().await;
}

#[tokio::test]
async fn a_poisoned_request_breaks_the_others_and_the_server_comes_back() {
    let (server, client, audit) = server().await;
    let other = client.request(request(server.addr(), "/other?work=5000"));
    let poison = client.request(request(server.addr(), "/bad?poison&work=100"));
    let (other, poison) = tokio::join!(other, poison);
    assert!(other.is_err() && poison.is_err());
    assert_eq!(audit.crashes_of_call("/bad?poison&work=100"), 1);
    let mut answered = false;
    for _ in 0..100 {
        tokio::time::sleep(Duration::from_millis(20)).await;
        answered |= client.request(request(server.addr(), "/again")).await.is_ok();
        if answered {
            break;
        }
    }
    assert!(answered);
    server.stop().await;
}

#[tokio::test]
async fn drops_work_whose_caller_went_away() {
    let (server, client, _) = server().await;
    let req = request(server.addr(), "/slow?work=60000");
    let gone = tokio::time::timeout(Duration::from_millis(200), client.request(req)).await;
    assert!(gone.is_err());
    for _ in 0..200 {
        if server.stats().given_up == 1 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!((server.stats().given_up, server.stats().answered), (1, 0));
    server.stop().await;
}

#[tokio::test]
async fn reports_its_load_and_leaves() {
    let (server, client, _) = server().await;
    server.set_leaving(true);
    tokio::time::sleep(Duration::from_millis(5)).await;
    let res = client.request(request(server.addr(), "/x")).await.unwrap();
    assert_eq!(header(&res, "x-upstream-refused"), "leaving");
    assert_eq!(header(&res, "x-upstream-leaving"), "1");
    let res = client.request(request(server.addr(), "/-/load")).await.unwrap();
    let content = res.into_body().collect().await.unwrap().to_bytes();
    let load: serde_json::Value = serde_json::from_slice(&content).unwrap();
    assert_eq!(load["leaving"], true);
    assert_eq!(load["slots"], 3);
    server.set_report(Report::Silent);
    let res = client.request(request(server.addr(), "/-/load")).await.unwrap();
    assert_eq!(res.status(), 503);
    server.stop().await;
}
