//! Look-ups by the caller's address.

use std::net::SocketAddr;
use std::time::Duration;

use foxtail_config::ClientBlock;
use foxtail_lab::fleet::Fleet;
use foxtail_lab::shape::{Shape, tali_selamat};
use foxtail_net::TcpDial;
use foxtail_net::http::{Client, Options, body_of, client};
use http_body_util::BodyExt;
use hyper::Request;
use serde_json::Value;

const SEED: u64 = 6;
/// How long a host may take from its first configuration to the block map made of it.
const IN_USE: Duration = Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_gets_the_hosts_of_its_blocks_region() {
    let mut shape = Shape { hosts_per_zone: 1, ..tali_selamat() };
    shape.network_params.blocks = vec![
        block("127.0.0.0/8", "sabah", None),
        block("10.0.0.0/8", "peninsula", None),
        block("10.7.0.0/16", "sarawak", Some("sarawak-b")),
    ];
    let fleet = Fleet::start(shape, SEED).await.unwrap();
    let http = client(std::sync::Arc::new(TcpDial), &Options::default());
    let host = fleet.entries()[0];
    for (query, region) in
        [("", "sabah"), ("&addr=10.1.2.3", "peninsula"), ("&addr=10.7.2.3", "sarawak")]
    {
        let found = found_in(&http, host, query, region);
        tokio::time::timeout(IN_USE, found).await.expect("the blocks are in use in time");
    }
    let inner = lookup(&http, host, "&addr=10.7.2.3").await;
    let heaviest = inner["hosts"].as_array().unwrap().iter().max_by_key(|it| it["weight"].as_u64());
    assert_eq!(heaviest.unwrap()["zone"], "sarawak-b", "{inner}");
    let named = lookup(&http, host, "&region=sarawak").await;
    assert_eq!(named["hosts"][0]["region"], "sarawak", "the caller's own word goes first");
    fleet.stop().await;
}

fn block(net: &str, region: &str, zone: Option<&str>) -> ClientBlock {
    ClientBlock {
        net: net.parse().unwrap(),
        region: region.parse().unwrap(),
        zone: zone.map(|zone| zone.parse().unwrap()),
    }
}

/// Asks until every host of the answer is in `region`.
async fn found_in(http: &Client, host: SocketAddr, query: &str, region: &str) {
    loop {
        let found = lookup(http, host, query).await;
        if found["hosts"].as_array().unwrap().iter().all(|it| it["region"] == region) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn lookup(http: &Client, host: SocketAddr, query: &str) -> Value {
    let path = "/-/lookup?workspace=tali-selamat&service=certificates";
    let req = Request::get(format!("http://{host}{path}{query}")).body(body_of("")).unwrap();
    let body = http.request(req).await.unwrap().into_body().collect().await.unwrap().to_bytes();
    serde_json::from_slice(&body).unwrap()
}
