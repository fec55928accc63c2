//! What operators do in the lab: they write configuration through the same code as any host.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Result;
use async_trait::async_trait;
use foxtail_config::DrainTarget;
use foxtail_member::View;
use foxtail_standin::platform::{Local, Platform};
use foxtail_sync::admin::{Admin, Input};
use foxtail_sync::msg::{Answer, Ask};
use foxtail_sync::spread::Ports;
use foxtail_sync::{Peers, Roster, Spread, peers};
use foxtail_time::BootClock;
use foxtail_types::prelude::*;

use crate::shape::Shape;

const NAME: &str = "lab";

/// An operator with the platform at hand.
pub struct Operator {
    admin: Admin,
}

/// No other hosts: the operator's changes reach the hosts through the table.
struct Alone;

impl Operator {
    /// An operator who writes to `platform`.
    pub fn new(platform: Arc<Platform>) -> Self {
        let table = Arc::new(Local::new(platform));
        let ports = Ports {
            table: table.clone(),
            peers: Arc::new(Alone),
            roster: Arc::new(Alone),
            clock: Arc::new(BootClock),
        };
        let spread = Spread::new(ports);
        Self { admin: Admin::new(table, Arc::new(BootClock), Arc::new(Alone), spread) }
    }

    /// Sets the network and makes the workspace with the servers at these addresses.
    ///
    /// # Errors
    ///
    /// If any of it is refused.
    pub async fn configure(&self, shape: &Shape, addrs: &[Vec<SocketAddr>]) -> Result<()> {
        self.admin.network_apply(NAME, &shape.network_params, Version(0)).await?;
        let params = shape.params_with(addrs);
        let input = Input { base: Version(0), template: shape.template.clone(), params };
        self.admin.workspace_apply(NAME, &input, "first").await?;
        Ok(())
    }

    /// Starts a drain.
    ///
    /// # Errors
    ///
    /// If it is refused.
    pub async fn drain_start(&self, target: &DrainTarget) -> Result<()> {
        self.admin.drain_start(NAME, target).await?;
        Ok(())
    }

    /// Ends a drain.
    ///
    /// # Errors
    ///
    /// If the store can't be written.
    pub async fn drain_stop(&self, target: &DrainTarget) -> Result<()> {
        self.admin.drain_stop(NAME, target).await?;
        Ok(())
    }
}

#[async_trait]
impl Peers for Alone {
    async fn ask(&self, to: &HostId, _: Ask, _: Millis) -> Result<Answer, peers::Error> {
        Err(peers::Error { host: to.clone(), reason: "the operator knows no hosts".to_owned() })
    }
}

impl Roster for Alone {
    fn view(&self) -> Arc<View> {
        let me = HostId::new(NAME).expect("the name is valid");
        Arc::new(View { me, hosts: Vec::new() })
    }
}
