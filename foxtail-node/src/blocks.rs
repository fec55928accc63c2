//! The block map that look-ups read, made from the network's configuration.

use std::sync::Arc;

use foxtail_config::ClientBlock;
use foxtail_place::{Block, BlockMap, Site, SiteIndex, map};
use foxtail_types::prelude::*;
use tokio_util::sync::CancellationToken;

use crate::state::State;

/// Makes a new map whenever the blocks of the network change, until `stop`.
pub(crate) async fn follow(state: Arc<State>, stop: CancellationToken) {
    let mut config = state.config.clone();
    let mut known = Vec::new();
    config.mark_changed();
    while let Some(Ok(())) = stop.run_until_cancelled(config.changed()).await {
        let Some(snapshot) = config.borrow_and_update().clone() else { continue };
        if snapshot.network.blocks == known {
            continue;
        }
        known = snapshot.network.blocks.clone();
        match build(snapshot.version, &known) {
            Ok(map) => {
                let (version, blocks) = (snapshot.version, known.len());
                tracing::info!(event = "blocks_changed", %version, blocks);
                state.blocks.store(Arc::new(map));
            }
            Err(e) => tracing::warn!(event = "blocks_refused", error = %e),
        }
    }
}

fn build(version: Version, blocks: &[ClientBlock]) -> Result<BlockMap, map::Error> {
    let mut sites: Vec<Site> = Vec::new();
    let mut listed = Vec::with_capacity(blocks.len());
    for block in blocks {
        let site = Site { region: block.region.clone(), zone: block.zone.clone() };
        let known = sites.iter().position(|it| *it == site);
        let at = known.unwrap_or_else(|| {
            sites.push(site);
            sites.len() - 1
        });
        let site = u16::try_from(at).map_err(|_| map::Error::TooManySites(sites.len()))?;
        listed.push(Block { net: block.net, site: SiteIndex(site) });
    }
    BlockMap::build(version, sites, &listed)
}
