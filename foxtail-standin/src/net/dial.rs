//! Connections from one place.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use foxtail_net::{Dial, Stream, TcpDial};
use tokio::time::sleep;

use super::fabric::Way;
use super::pump::{self, PIPE_BYTES};
use super::{Cut, Fabric, Place};

/// Connections from one place.
pub(crate) struct PlaceDial {
    fabric: Arc<Fabric>,
    place: Place,
}

impl PlaceDial {
    pub(crate) fn new(fabric: Arc<Fabric>, place: Place) -> Self {
        Self { fabric, place }
    }
}

#[async_trait]
impl Dial for PlaceDial {
    async fn dial(&self, to: SocketAddr) -> io::Result<Box<dyn Stream>> {
        let there = self.fabric.place_of(to).unwrap_or_else(|| self.place.clone());
        let bytes = self.fabric.counter(to);
        let out = self.fabric.way(&self.place, &there, Arc::clone(&bytes));
        let back = self.fabric.way(&there, &self.place, bytes);
        pass(&out).await?;
        let far = TcpDial.dial(to).await?;
        pass(&back).await?;
        let (near, inner) = tokio::io::duplex(PIPE_BYTES);
        let stop = self.fabric.stop.clone();
        self.fabric.tasks.spawn(pump::run(inner, far, out, back, stop));
        Ok(Box::new(near))
    }
}

/// One crossing of the way, for the set-up of a connection.
async fn pass(way: &Way) -> io::Result<()> {
    if let Some(link) = &way.link {
        let mut cut = link.cut();
        let state = cut.wait_for(|cut| *cut != Some(Cut::Blackhole)).await;
        if state.is_ok_and(|cut| *cut == Some(Cut::Reset)) {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
    }
    if !way.delay.is_zero() {
        sleep(way.delay).await;
    }
    Ok(())
}
