//! The simulated network delays, limits, counts and cuts connections to a local echo server.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use foxtail_net::{Dial, Stream};
use foxtail_standin::net::{Cut, LinkSpec, Location, Network, Options};
use foxtail_types::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

const ONE_WAY_DELAY: Millis = Millis(20);

struct Fixture {
    network: Arc<Network>,
    dial: Arc<dyn Dial>,
    addr: std::net::SocketAddr,
    echo: JoinHandle<()>,
}

fn region(name: &str) -> RegionId {
    RegionId::new(name).unwrap()
}

fn link(from: &str, to: &str) -> LinkSpec {
    LinkSpec { from: region(from), to: region(to), mbit_per_s: 8, delay: ONE_WAY_DELAY }
}

/// Starts an echo server in the south and returns it with a dialer for the north.
async fn fixture() -> Fixture {
    let links = [link("north", "south"), link("south", "north")];
    let options = Options { zone_round_trip: Millis(1), client_round_trip: Millis(2) };
    let network = Network::new(&links, options);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    network.register(addr, Location::zone(&region("south"), &ZoneId::new("south-a").unwrap()));
    let dial =
        network.dial_from(Location::zone(&region("north"), &ZoneId::new("north-a").unwrap()));
    let echo = tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (mut rx, mut tx) = stream.split();
            let _ = tokio::io::copy(&mut rx, &mut tx).await;
        }
    });
    Fixture { network, dial, addr, echo }
}

impl Fixture {
    async fn close(self) {
        self.network.close().await;
        self.echo.abort();
        let _ = self.echo.await;
    }
}

async fn echo(stream: &mut Box<dyn Stream>, bytes: usize) -> io::Result<()> {
    let sent = vec![7; bytes];
    let mut received = vec![0; bytes];
    let (mut rx, mut tx) = tokio::io::split(stream);
    let (read, written) = tokio::join!(rx.read_exact(&mut received), tx.write_all(&sent));
    written?;
    read?;
    assert_eq!(sent, received);
    Ok(())
}

#[tokio::test]
async fn bytes_arrive_after_the_delay_at_the_link_rate_and_are_counted() {
    let fixture = fixture().await;
    let started = Instant::now();
    let mut stream = fixture.dial.dial(fixture.addr).await.unwrap();
    assert!(started.elapsed() >= ONE_WAY_DELAY.duration() * 2);
    let started = Instant::now();
    // 200 kB take 200 ms at 8 Mbit/s.
    echo(&mut stream, 200_000).await.unwrap();
    assert!(started.elapsed() >= Duration::from_millis(200) + ONE_WAY_DELAY.duration() * 2);
    for (from, to) in [("north", "south"), ("south", "north")] {
        let traffic = fixture.network.traffic(&region(from), &region(to));
        assert_eq!(traffic.bytes_by_second.iter().sum::<u64>(), 200_000);
    }
    fixture.close().await;
}

#[tokio::test]
async fn a_black_hole_delays_bytes_until_it_ends() {
    let fixture = fixture().await;
    let mut stream = fixture.dial.dial(fixture.addr).await.unwrap();
    fixture.network.set_region_cut(&region("south"), Some(Cut::Blackhole));
    let held = timeout(Duration::from_millis(200), echo(&mut stream, 10)).await;
    assert!(held.is_err());
    fixture.network.set_region_cut(&region("south"), None);
    let mut byte = [0];
    timeout(Duration::from_secs(5), stream.read_exact(&mut byte)).await.unwrap().unwrap();
    fixture.close().await;
}

#[tokio::test]
async fn a_reset_breaks_connections_and_refuses_new_ones_until_it_ends() {
    let fixture = fixture().await;
    let mut stream = fixture.dial.dial(fixture.addr).await.unwrap();
    fixture.network.set_cut(&region("south"), &region("north"), Some(Cut::Reset));
    assert!(echo(&mut stream, 10).await.is_err());
    assert!(fixture.dial.dial(fixture.addr).await.is_err());
    fixture.network.set_cut(&region("south"), &region("north"), None);
    let mut stream = fixture.dial.dial(fixture.addr).await.unwrap();
    echo(&mut stream, 10).await.unwrap();
    fixture.close().await;
}
