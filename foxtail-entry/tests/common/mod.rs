//! Starts hosts, upstreams and a store on loopback, and sends requests as a caller.

#![allow(dead_code, reason = "each test target uses a part")]

pub(crate) mod cut_site;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use async_trait::async_trait;

use foxtail_adapter::{HttpProtocol, HttpStore};
use foxtail_entry::settings::RetryBudget;
use foxtail_entry::{Host, Ports, Settings};
use foxtail_net::{Dial, KeepaliveDial, Stream, TcpDial};
use foxtail_standin::caller::{self, Answer, Request};
use foxtail_standin::store::{Store, StoreEndpoint};
use foxtail_standin::upstream::UpstreamServer;
use foxtail_time::{BootClock, Millis};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};

/// The maximum wait for a condition or a response.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

pub(crate) const DIAL: KeepaliveDial = KeepaliveDial {
    connect_timeout: Millis(400),
    unacknowledged_timeout: Millis(700),
    probe_interval: Millis(1_000),
};

/// A store and the configuration and registrations in it.
pub(crate) struct TestSite {
    pub store: Arc<Store>,
}

impl TestSite {
    pub(crate) fn new() -> Self {
        Self { store: Store::new() }
    }

    /// Writes a configuration with two routes: `/read/` is idempotent, `/write/` is not.
    pub(crate) fn configure(&self, version: u64) {
        self.configure_with(version, "books", 2.0);
    }

    pub(crate) fn configure_with(&self, version: u64, service: &str, timeout_s: f64) {
        let config = foxtail_standin::store::config(version, service, timeout_s);
        self.store.put("op", "config", config.as_bytes());
    }

    /// Writes a configuration of `books` with `count` more idempotent routes, `/extra-0/` and so on.
    pub(crate) fn configure_with_extra_routes(&self, version: u64, count: usize) {
        self.configure_with_named_routes(version, count, "extra");
    }

    /// As [`TestSite::configure_with_extra_routes`]; the names and prefixes of the routes start with `stem`.
    pub(crate) fn configure_with_named_routes(&self, version: u64, count: usize, stem: &str) {
        let config = foxtail_standin::store::config(version, "books", 2.0);
        let mut config: serde_json::Value = serde_json::from_str(&config).unwrap();
        let routes = config["routes"].as_array_mut().unwrap();
        let template = routes[0].clone();
        for n in 0..count {
            let mut route = template.clone();
            route["name"] = format!("{stem}-{n}").into();
            route["prefix"] = format!("/{stem}-{n}/").into();
            routes.push(route);
        }
        self.store.put("op", "config", config.to_string().as_bytes());
    }

    /// Starts an upstream of `books` in `zone` and registers it as warm.
    pub(crate) async fn upstream(&self, id: &str, zone: &str) -> UpstreamServer {
        let up = UpstreamServer::start(id, 3).await.expect("no free port");
        self.store.put("servers", id, &up.registration("books", zone, "ready", 0.0));
        up
    }

    /// Opens a new endpoint of the store.
    pub(crate) async fn store_endpoint(&self) -> StoreEndpoint {
        StoreEndpoint::open(&self.store).await.expect("no free port")
    }

    /// Starts a host that reaches the store through `endpoint`.
    pub(crate) async fn host(&self, name: &str, zone: &str, endpoint: &StoreEndpoint) -> Host {
        self.host_with_dial(name, zone, endpoint, Arc::new(DIAL)).await
    }

    /// Starts a host that reaches the store through `endpoint`, and upstreams and other hosts
    /// through `dial`.
    pub(crate) async fn host_with_dial(
        &self,
        name: &str,
        zone: &str,
        endpoint: &StoreEndpoint,
        dial: Arc<dyn Dial>,
    ) -> Host {
        let zones = BTreeMap::from([
            ("a1".parse().unwrap(), "a".parse().unwrap()),
            ("a2".parse().unwrap(), "a".parse().unwrap()),
            ("b1".parse().unwrap(), "b".parse().unwrap()),
        ]);
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let settings = Settings {
            host: name.parse().unwrap(),
            region: zone[..1].parse().unwrap(),
            zone: zone.parse().unwrap(),
            zones,
            caller: any,
            lookup: any,
            health: any,
            peer: any,
            metrics: Some(any),
            operator: Some(any),
            store: endpoint.addr(),
            stop_s: 2.0,
            lookup_ttl_s: 1.0,
            retry: RetryBudget { ratio: 0.2, slack: 100.0, window_s: 10.0 },
            refuse_factor: 1.4,
            blocks: Vec::new(),
            shift_cap: 0.15,
            memory_mb: 112.0,
        };
        let ports = Ports {
            dial,
            clock: Arc::new(BootClock),
            protocol: Arc::new(HttpProtocol),
            store: Arc::new(HttpStore::new(Arc::new(DIAL), endpoint.addr())),
        };
        Host::start(settings, ports).await.expect("can't start the host")
    }

    /// Starts a host and waits until it is ready.
    pub(crate) async fn ready_host(
        &self,
        name: &str,
        zone: &str,
        endpoint: &StoreEndpoint,
    ) -> Host {
        let host = self.host(name, zone, endpoint).await;
        until("the host is ready", async || ready(&host).await).await;
        host
    }
}

/// Connects over TCP. Once it is silenced, connections deliver nothing and are never closed, as
/// those of a frozen host.
#[derive(Clone, Default)]
pub(crate) struct SilenceableDial {
    pub silenced: Arc<AtomicBool>,
    kept: Arc<Mutex<Vec<Box<dyn Stream>>>>,
}

/// Connects over TCP, and holds connections back while it is told to.
#[derive(Clone, Default)]
pub(crate) struct HoldingDial {
    pub held: Arc<AtomicBool>,
    pub waiting: Arc<AtomicBool>,
}

#[async_trait]
impl Dial for HoldingDial {
    async fn dial(&self, to: SocketAddr) -> io::Result<Box<dyn Stream>> {
        let stream = TcpDial.dial(to).await?;
        while self.held.load(Ordering::Relaxed) {
            self.waiting.store(true, Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok(stream)
    }
}

/// How a host is cut off from upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cut {
    /// New connections are never accepted, and open ones deliver nothing until they time out.
    Hang,
    /// New connections are refused, and open ones are reset.
    Reset,
    /// New connections are refused, and open ones work.
    RefuseNew,
    /// Connections are accepted and take all bytes, and nothing ever comes back.
    Silent,
}

/// Connects over TCP. While it is cut, connections to the given addresses fail.
#[derive(Clone)]
pub(crate) struct CutDial {
    addrs: Arc<[SocketAddr]>,
    cut: Arc<Mutex<Option<Cut>>>,
    resets: Arc<AtomicUsize>,
}

impl CutDial {
    pub(crate) fn new(addrs: impl IntoIterator<Item = SocketAddr>) -> Self {
        let addrs = addrs.into_iter().collect();
        Self { addrs, cut: Arc::default(), resets: Arc::default() }
    }

    pub(crate) fn arc(&self) -> Arc<dyn Dial> {
        Arc::new(self.clone())
    }

    pub(crate) fn set(&self, cut: Option<Cut>) {
        *self.cut.lock().unwrap() = cut;
        if cut == Some(Cut::Reset) {
            self.resets.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn cut(&self) -> Option<Cut> {
        *self.cut.lock().unwrap()
    }
}

#[async_trait]
impl Dial for CutDial {
    async fn dial(&self, to: SocketAddr) -> io::Result<Box<dyn Stream>> {
        if !self.addrs.contains(&to) {
            return DIAL.dial(to).await;
        }
        match self.cut() {
            None | Some(Cut::Silent) => {
                let inner = DIAL.dial(to).await?;
                let resets = self.resets.load(Ordering::Relaxed);
                let (dial, stalled, silent) = (self.clone(), None, false);
                Ok(Box::new(CutStream { inner, dial, resets, stalled, silent }))
            }
            Some(Cut::Hang) => {
                tokio::time::sleep(DIAL.connect_timeout.duration()).await;
                Err(io::ErrorKind::TimedOut.into())
            }
            Some(Cut::Reset | Cut::RefuseNew) => Err(io::ErrorKind::ConnectionRefused.into()),
        }
    }
}

/// A connection to an upstream that fails while its dial is cut.
struct CutStream {
    inner: Box<dyn Stream>,
    dial: CutDial,
    /// The number of resets before the connection was made.
    resets: usize,
    /// Ends the connection if it makes no progress.
    stalled: Option<Pin<Box<tokio::time::Sleep>>>,
    /// Whether it became silent, which it stays.
    silent: bool,
}

impl CutStream {
    /// Returns whether the connection works now; a stalled one fails after a while.
    fn poll_works(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.dial.resets.load(Ordering::Relaxed) > self.resets {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        self.silent |= self.dial.cut() == Some(Cut::Silent);
        if self.silent {
            return Poll::Pending;
        }
        if self.dial.cut() != Some(Cut::Hang) && self.stalled.is_none() {
            return Poll::Ready(Ok(()));
        }
        let stalled = self.stalled.get_or_insert_with(|| {
            Box::pin(tokio::time::sleep(DIAL.unacknowledged_timeout.duration()))
        });
        stalled.as_mut().poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for CutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_works(cx))?;
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for CutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.poll_works(cx) {
            Poll::Ready(Ok(())) => Pin::new(&mut self.inner).poll_write(cx, buf),
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            // The operating system takes the bytes and sends them in vain.
            Poll::Pending => Poll::Ready(Ok(buf.len())),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

struct SilentStream {
    inner: Option<Box<dyn Stream>>,
    kept: Arc<Mutex<Vec<Box<dyn Stream>>>>,
}

#[async_trait]
impl Dial for SilenceableDial {
    async fn dial(&self, to: SocketAddr) -> io::Result<Box<dyn Stream>> {
        let stream = TcpDial.dial(to).await?;
        if !self.silenced.load(Ordering::Relaxed) {
            return Ok(stream);
        }
        Ok(Box::new(SilentStream { inner: Some(stream), kept: Arc::clone(&self.kept) }))
    }
}

impl AsyncRead for SilentStream {
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        _buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Pending
    }
}

impl AsyncWrite for SilentStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let inner = self.inner.as_mut().expect("the stream is taken only when dropped");
        Pin::new(inner).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl Drop for SilentStream {
    fn drop(&mut self) {
        self.kept.lock().unwrap().extend(self.inner.take());
    }
}

/// Whether the health check of `host` succeeds.
pub(crate) async fn ready(host: &Host) -> bool {
    caller::is_ready(host.settings().health).await
}

/// Returns the body of `host`'s response to a look-up by a caller in region a, zone a1.
pub(crate) async fn lookup_body(host: &Host) -> String {
    let lookup = host.settings().lookup;
    let head = "GET /resolve?name=svc.example&region=a&zone=a1 HTTP/1.1\r\nhost: h\r\n\r\n";
    exchange(lookup, head).await.body
}

/// Returns all metrics of `host`.
pub(crate) async fn metrics_page(host: &Host) -> String {
    let addr = host.settings().metrics.expect("hosts of tests serve metrics");
    exchange(addr, "GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n").await.body
}

/// Returns the value of `host`'s metric `name` without labels.
pub(crate) async fn metric(host: &Host, name: &str) -> Option<f64> {
    let page = metrics_page(host).await;
    page.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix("{} ")?.parse().ok())
}

/// Waits until `condition` returns `true`. Panics with `what` after [`WAIT_TIMEOUT`].
pub(crate) async fn until(what: &str, condition: impl AsyncFn() -> bool) {
    let end = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(tokio::time::Instant::now() < end, "timed out waiting until {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns the text of a caller's request.
pub(crate) fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &str) -> String {
    let patience = Duration::from_millis(deadline_ms);
    Request { method, host: "svc.example", path, id, object: 7, timeout: patience, body }.encode()
}

/// Sends `text` to `addr` on a new connection and reads one response.
pub(crate) async fn exchange(addr: SocketAddr, text: &str) -> Answer {
    let mut stream = TcpStream::connect(addr).await.expect("can't connect");
    exchange_on(&mut stream, text).await
}

/// Sends `text` to `addr` on a new connection from the address `from` and reads one response.
pub(crate) async fn exchange_from(from: &str, addr: SocketAddr, text: &str) -> Answer {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::new(from.parse().expect("an address"), 0)).expect("a loopback address");
    let mut stream = socket.connect(addr).await.expect("can't connect");
    exchange_on(&mut stream, text).await
}

/// Sends `text` on `stream` and reads one response; status 0 if the connection ends without one.
pub(crate) async fn exchange_on(stream: &mut TcpStream, text: &str) -> Answer {
    let talking = caller::exchange(stream, text);
    tokio::time::timeout(WAIT_TIMEOUT, talking).await.expect("no response in time").expect("sent")
}
