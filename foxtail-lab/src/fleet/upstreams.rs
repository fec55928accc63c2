//! All upstreams of a workspace.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Result;
use foxtail_standin::net::{Fabric, Place};
use foxtail_standin::upstream::{Audit, Options, Server, ServiceTime, Stats};
use foxtail_types::prelude::*;

use crate::shape::{SERVICE_SIGMA, Shape, UPSTREAMS_PER_ZONE};

/// All upstreams of a workspace.
pub struct Upstreams {
    audit: Arc<Audit>,
    servers: Vec<Placed>,
    per_service: usize,
}

/// An upstream and where it runs.
pub struct Placed {
    /// The server.
    pub server: Server,
    /// Its zone.
    pub zone: ZoneId,
}

impl Upstreams {
    /// Starts the upstreams of every service, zone by zone, as `tune` changes them.
    ///
    /// # Errors
    ///
    /// If no port can be had.
    pub async fn start(
        shape: &Shape,
        fabric: &Fabric,
        seed: u64,
        tune: &(dyn Fn(&mut Options) + Sync),
    ) -> Result<Self> {
        let audit = Arc::new(Audit::default());
        let mut servers = Vec::new();
        for service in &shape.services {
            for (region, zone) in Shape::zones() {
                let (region, zone) = (shape.region(region), shape.zone(region, zone));
                for n in 1..=UPSTREAMS_PER_ZONE {
                    let id = UpstreamId::new(&format!("{}-{zone}-{n}", service.name))?;
                    let service_time = ServiceTime { mean: service.mean, sigma: SERVICE_SIGMA };
                    let seed = seed ^ servers.len() as u64;
                    let mut options = Options::new(id, region.clone(), service_time, seed);
                    tune(&mut options);
                    let server = Server::start(options, Arc::clone(&audit)).await?;
                    fabric.register(server.addr(), Place::zone(region, zone));
                    servers.push(Placed { server, zone: zone.clone() });
                }
            }
        }
        let per_service = servers.len() / shape.services.len();
        Ok(Self { audit, servers, per_service })
    }

    /// What ran on them.
    pub fn audit(&self) -> &Arc<Audit> {
        &self.audit
    }

    /// Every server.
    pub fn all(&self) -> &[Placed] {
        &self.servers
    }

    /// Their addresses, by service.
    pub fn addrs(&self) -> Vec<Vec<SocketAddr>> {
        let services = self.servers.chunks(self.per_service);
        services.map(|chunk| chunk.iter().map(|placed| placed.server.addr()).collect()).collect()
    }

    /// Their counters, by name.
    pub fn stats(&self) -> HashMap<UpstreamId, Stats> {
        let stats = |placed: &Placed| (placed.server.options().id.clone(), placed.server.stats());
        self.servers.iter().map(stats).collect()
    }

    /// Stops them all.
    pub async fn stop(self) {
        futures::future::join_all(self.servers.into_iter().map(|placed| placed.server.stop()))
            .await;
    }
}
