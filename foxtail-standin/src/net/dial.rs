//! Connections of the clients at one location.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use foxtail_net::{Dial, Stream, TcpDial};
use tokio::time::sleep;

use super::network::OneWayPath;
use super::relay::{self, PIPE_BYTES};
use super::{Cut, Location, Network};

/// Dials servers from one location, with the delays, rates and cuts of the path.
pub(crate) struct LocationDial {
    network: Arc<Network>,
    location: Location,
}

impl LocationDial {
    pub(crate) fn new(network: Arc<Network>, location: Location) -> Self {
        Self { network, location }
    }
}

#[async_trait]
impl Dial for LocationDial {
    async fn dial(&self, to: SocketAddr) -> io::Result<Box<dyn Stream>> {
        let remote = self.network.location_of(to).unwrap_or_else(|| self.location.clone());
        let byte_counter = self.network.byte_counter(to);
        let out = self.network.path(&self.location, &remote, Arc::clone(&byte_counter));
        let mut back = self.network.path(&remote, &self.location, byte_counter);
        back.uplink = self.network.uplink(to);
        traverse(&out).await?;
        let server = TcpDial.dial(to).await?;
        traverse(&back).await?;
        let (client_end, relay_end) = tokio::io::duplex(PIPE_BYTES);
        let stop = self.network.stop.clone();
        self.network.tasks.spawn(relay::run(relay_end, server, out, back, stop));
        Ok(Box::new(client_end))
    }
}

/// Waits as long as a packet of the connection's handshake takes over `path`. Fails with
/// `ConnectionRefused` if the path is cut with [`Cut::Reset`].
async fn traverse(path: &OneWayPath) -> io::Result<()> {
    if let Some(link) = &path.link {
        let mut cut = link.cut();
        let state = cut.wait_for(|cut| *cut != Some(Cut::Blackhole)).await;
        if state.is_ok_and(|cut| *cut == Some(Cut::Reset)) {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
    }
    if !path.delay.is_zero() {
        sleep(path.delay).await;
    }
    Ok(())
}
