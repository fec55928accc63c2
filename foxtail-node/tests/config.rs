//! Configuration at live hosts over loopback: accepted at one, in force on all.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxtail_config::NetworkParams;
use foxtail_net::TcpDial;
use foxtail_node::settings::{Callers, Credential};
use foxtail_node::{Node, Ports, Settings, stop};
use foxtail_platform::{HostEntry, HostState};
use foxtail_standin::platform::{Down, Options, Platform, Server};
use foxtail_sync::admin::Input;
use foxtail_time::BootClock;
use foxtail_types::prelude::*;
use foxtail_wire::operator::OperatorClient;
use futures::future::join_all;
use jsonrpsee::http_client::{HeaderMap, HttpClient, HttpClientBuilder};
use serde::de::DeserializeOwned;

const TOKEN: &str = "a-token-of-some-length";
const ZONES: [(&str, &str); 6] = [
    ("peninsula", "peninsula-a"),
    ("peninsula", "peninsula-b"),
    ("sabah", "sabah-a"),
    ("sabah", "sabah-b"),
    ("sarawak", "sarawak-a"),
    ("sarawak", "sarawak-b"),
];
/// The time in which an accepted version has to be in force on every live host.
const IN_FORCE: Duration = Duration::from_secs(5);
const START: Duration = Duration::from_secs(30);

struct Site {
    platform: Server,
    nodes: Vec<Node>,
}

impl Site {
    async fn start() -> Self {
        let platform = Server::start(Platform::new(&Options::default())).await.unwrap();
        let mut site = Self { platform, nodes: Vec::new() };
        for i in 0..ZONES.len() {
            let node = site.node(i, Vec::new(), 1).await;
            site.nodes.push(node);
        }
        site.publish();
        site
    }

    async fn node(&self, i: usize, seeds: Vec<SocketAddr>, incarnation: u64) -> Node {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let credential = Credential { name: "aminah".to_owned(), token: TOKEN.to_owned() };
        let settings = Settings {
            host: HostId::new(&format!("host-{i}")).unwrap(),
            incarnation: Some(incarnation),
            region: RegionId::new(ZONES[i].0).unwrap(),
            zone: ZoneId::new(ZONES[i].1).unwrap(),
            caller: any,
            peer: any,
            operator: any,
            platform: vec![self.platform.addr()],
            store_region: None,
            seeds,
            operators: vec![credential],
            callers: Callers::default(),
            in_flight_max: 512,
        };
        let ports = Ports { dial: Arc::new(TcpDial), clock: Arc::new(BootClock) };
        Node::start(settings, ports).await.unwrap()
    }

    fn publish(&self) {
        let entry = |(i, node): (usize, &Node)| HostEntry {
            id: HostId::new(&format!("host-{i}")).unwrap(),
            incarnation: 1,
            region: RegionId::new(ZONES[i].0).unwrap(),
            zone: ZoneId::new(ZONES[i].1).unwrap(),
            caller: node.addrs().caller,
            peer: node.addrs().peer,
            operator: node.addrs().operator,
            state: HostState::Live,
        };
        self.platform.platform().set_hosts(self.nodes.iter().enumerate().map(entry).collect());
    }

    fn operator(&self, i: usize) -> HttpClient {
        let mut headers = HeaderMap::new();
        headers.insert("authorization", format!("Bearer {TOKEN}").parse().unwrap());
        let url = format!("http://{}", self.nodes[i].addrs().operator);
        HttpClientBuilder::default().set_headers(headers).build(url).unwrap()
    }

    /// Waits until every host holds `version` and uses raised limits too.
    async fn in_force(&self, version: Version, within: Duration) {
        let started = Instant::now();
        loop {
            let mut late = Vec::new();
            for i in 0..self.nodes.len() {
                let status = self.operator(i).status().await.unwrap();
                if status.version < version || !status.limits_raised {
                    late.push((status.host, status.version, status.limits_raised));
                }
            }
            if late.is_empty() {
                return;
            }
            assert!(started.elapsed() < within, "version {version} is not in force on {late:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn end(self) {
        self.platform.platform().fault(|faults| faults.down = None);
        let options = stop::Options { settle: Millis::ZERO, finish: Millis::secs(5) };
        join_all(self.nodes.into_iter().map(|node| node.stop(options))).await;
        self.platform.stop().await;
    }
}

/// The shipped input, with servers on loopback addresses where nobody listens.
fn shipped<T: DeserializeOwned>(name: &str) -> T {
    let path = format!("{}/../templates/tali-selamat.{name}.json", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).unwrap().replace("\"10.", "\"127.");
    serde_json::from_str(&text).unwrap()
}

async fn configured() -> (Site, Input) {
    let site = Site::start().await;
    let network: NetworkParams = shipped("network");
    site.operator(0).network_apply(network, Version(0)).await.unwrap();
    let input =
        Input { base: Version(0), template: shipped("template"), params: shipped("params") };
    let made = site.operator(1).workspace_apply(input, "first".to_owned()).await.unwrap();
    site.in_force(made.version, START).await;
    let input = site.operator(2).workspace_show(workspace()).await.unwrap();
    (site, input)
}

fn workspace() -> WorkspaceId {
    WorkspaceId::new("tali-selamat").unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_accepted_change_is_in_force_everywhere() {
    let (site, mut input) = configured().await;
    input.params.shift_per_s = Some(150);
    let accepted =
        site.operator(3).workspace_apply(input.clone(), "more".to_owned()).await.unwrap();
    site.in_force(accepted.version, IN_FORCE).await;
    let history = site.operator(4).workspace_history(workspace()).await.unwrap();
    assert_eq!(history[0].operator, "aminah");
    assert_eq!(history[0].note, "more");
    let stale = Input { base: Version(1), ..input };
    let again = site.operator(5).workspace_apply(stale, String::new()).await.unwrap();
    assert!(!again.changed, "the same input again changes nothing");
    site.end().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_right_after_acceptance_stops_nothing() {
    let (mut site, mut input) = configured().await;
    input.params.shift_per_s = Some(90);
    let accepted = site.operator(3).workspace_apply(input, String::new()).await.unwrap();
    site.platform.platform().fault(|faults| faults.down = Some(Down::Refuse));
    site.in_force(accepted.version, IN_FORCE).await;

    let seeds = site.nodes[1..3].iter().map(|node| node.addrs().peer).collect();
    let gone = site.nodes.remove(0);
    gone.stop(stop::Options { settle: Millis::ZERO, finish: Millis::secs(5) }).await;
    let back = site.node(0, seeds, 2).await;
    site.nodes.insert(0, back);
    site.in_force(accepted.version, START).await;
    site.end().await;
}
