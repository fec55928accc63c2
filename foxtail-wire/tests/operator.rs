//! The operator service over real connections: credentials, bounds and typed errors.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use foxtail_config::{DrainTarget, NetworkParams};
use foxtail_member::View;
use foxtail_standin::platform::{Local, Options as PlatformOptions, Platform};
use foxtail_sync::admin::Error;
use foxtail_sync::msg::{Answer, Ask};
use foxtail_sync::peers::Error as PeerError;
use foxtail_sync::{Admin, Peers, Roster, Spread, spread};
use foxtail_time::BootClock;
use foxtail_types::prelude::*;
use foxtail_wire::operator::{
    self, Asked, Credential, Credentials, DrainStatus, Explained, Live, OperatorClient, Options,
    Service, Status, error_of,
};
use jsonrpsee::core::ClientError;
use jsonrpsee::core::client::{ClientT, Error as RpcError};
use jsonrpsee::core::params::BatchRequestBuilder;
use jsonrpsee::http_client::transport::Error as TransportError;
use jsonrpsee::http_client::{HeaderMap, HttpClient, HttpClientBuilder};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

const TOKEN: &str = "a-token-of-some-length";
const REQUEST_BYTES: u32 = 64 << 10;

struct Nobody;

#[async_trait]
impl Peers for Nobody {
    async fn ask(&self, to: &HostId, _: Ask, _: Millis) -> Result<Answer, PeerError> {
        Err(PeerError { host: to.clone(), reason: "there is none".to_owned() })
    }
}

impl Roster for Nobody {
    fn view(&self) -> Arc<View> {
        Arc::new(View { me: HostId::new("host-0").unwrap(), hosts: Vec::new() })
    }
}

#[async_trait]
impl Live for Nobody {
    async fn status(&self) -> Status {
        Status {
            host: HostId::new("host-0").unwrap(),
            ready: true,
            version: Version(0),
            limits_raised: true,
            hosts: Vec::new(),
            headroom: None,
        }
    }

    async fn drains(&self) -> Vec<DrainStatus> {
        Vec::new()
    }

    async fn explain(&self, _: &Asked) -> Vec<Explained> {
        Vec::new()
    }
}

struct Served {
    addr: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Served {
    async fn start() -> Self {
        let platform = Platform::new(&PlatformOptions::default());
        let table = Arc::new(Local::new(platform));
        let clock = Arc::new(BootClock);
        let spread = Spread::new(spread::Ports {
            table: table.clone(),
            peers: Arc::new(Nobody),
            roster: Arc::new(Nobody),
            clock: clock.clone(),
        });
        let admin = Arc::new(Admin::new(table, clock, Arc::new(Nobody), spread));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let known = Credential { name: "aminah".to_owned(), token: TOKEN.to_owned() };
        let options =
            Options { request_bytes: REQUEST_BYTES, header: Millis(200), ..Options::default() };
        let stop = CancellationToken::new();
        let service = Service::new(admin, Arc::new(Nobody));
        let credentials = Credentials::new(&[known]);
        let task =
            tokio::spawn(operator::serve(listener, service, credentials, options, stop.clone()));
        Self { addr, stop, task }
    }

    fn client(&self, token: Option<&str>) -> HttpClient {
        let mut headers = HeaderMap::new();
        if let Some(token) = token {
            headers.insert("authorization", format!("Bearer {token}").parse().unwrap());
        }
        let url = format!("http://{}", self.addr);
        HttpClientBuilder::default().set_headers(headers).build(url).unwrap()
    }

    async fn end(self) {
        self.stop.cancel();
        self.task.await.unwrap();
    }
}

fn network() -> NetworkParams {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../templates/fondo.network.json");
    serde_json::from_str(&std::fs::read_to_string(path).unwrap()).unwrap()
}

fn status_of(e: &ClientError) -> Option<u16> {
    let RpcError::Transport(e) = e else { return None };
    match e.downcast_ref::<TransportError>() {
        Some(TransportError::Rejected { status_code }) => Some(*status_code),
        _ => None,
    }
}

#[tokio::test]
async fn calls_need_a_credential() {
    let served = Served::start().await;
    for token in [None, Some(""), Some("wrong"), Some(&TOKEN[1..]), Some("a-token-of-some-lengtH")]
    {
        let refused = served.client(token).show().await.unwrap_err();
        assert_eq!(status_of(&refused), Some(401), "token {token:?}: {refused}");
    }
    assert_eq!(served.client(Some(TOKEN)).show().await.unwrap().version, Version(0));
    served.end().await;
}

#[tokio::test]
async fn errors_keep_their_type() {
    let served = Served::start().await;
    let client = served.client(Some(TOKEN));
    let accepted = client.network_apply(network(), Version(0)).await.unwrap();
    assert!(accepted.changed && accepted.version == Version(1));
    let mut moved = network();
    moved.every_link.mbit_per_s += 1;
    let refused = client.network_apply(moved, Version(0)).await.unwrap_err();
    let refused = error_of(&refused);
    assert!(matches!(refused, Some(Error::NetworkMoved { now: Version(1), .. })), "{refused:?}");
    let zone = DrainTarget::Zone(ZoneId::new("nowhere").unwrap());
    let refused = error_of(&client.drain_start(zone).await.unwrap_err());
    assert_eq!(refused, Some(Error::NotFound("zone nowhere".to_owned())));
    served.end().await;
}

#[tokio::test]
async fn large_calls_and_batches_are_refused() {
    let served = Served::start().await;
    let client = served.client(Some(TOKEN));
    let mut large = network();
    let region = "r".repeat(REQUEST_BYTES as usize);
    large.regions.insert(region, Vec::new());
    let refused = client.network_plan(large).await.unwrap_err();
    assert!(error_of(&refused).is_none(), "the call must not get as far as the plan: {refused}");
    let mut batch = BatchRequestBuilder::new();
    batch.insert("show", jsonrpsee::core::rpc_params![]).unwrap();
    let refused = client.batch_request::<serde_json::Value>(batch).await;
    assert!(refused.is_err(), "{refused:?}");
    served.end().await;
}

#[tokio::test]
async fn a_slow_caller_is_let_go() {
    let served = Served::start().await;
    let mut slow = TcpStream::connect(served.addr).await.unwrap();
    slow.write_all(b"POST / HTTP/1.1\r\nhost: a\r\n").await.unwrap();
    let mut buf = Vec::new();
    let closed = tokio::time::timeout(Duration::from_secs(10), slow.read_to_end(&mut buf)).await;
    assert!(closed.is_ok(), "the connection must be closed");
    served.end().await;
}
