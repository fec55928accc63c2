//! Which hosts are asked, and which are told.

use std::sync::Arc;

use foxtail_member::View;
use foxtail_types::prelude::*;
use futures::future::join_all;

use crate::msg::{Answer, Ask};
use crate::peers::Peers;

/// The longest that another host may take to answer.
pub(crate) const PEER_TIMEOUT: Millis = Millis(1_000);
/// How many hosts are asked at a start.
const BOOT_PEERS: usize = 32;
/// A fleet up to this size is small enough to offer a version to every host.
const OFFER_ALL_MAX: usize = 64;
/// How many hosts of a zone poll the table.
const POLLERS: usize = 2;

/// Asks the hosts that may know most, the newest first, for what they hold after `held`.
pub(crate) async fn ask_peers(peers: &dyn Peers, view: &View, held: Version) -> Vec<Answer> {
    let mut hosts: Vec<_> = view.hosts.iter().filter(|host| host.identity.id != view.me).collect();
    hosts.sort_by_key(|host| std::cmp::Reverse(host.status.version));
    hosts.truncate(BOOT_PEERS);
    let asked =
        hosts.iter().map(|host| peers.ask(&host.identity.id, Ask::Pull { held }, PEER_TIMEOUT));
    let mut answers: Vec<_> = join_all(asked).await.into_iter().flatten().collect();
    answers.sort_by_key(|answer| std::cmp::Reverse(version_of(answer)));
    answers
}

/// The version that an answer brings; 0 if none.
pub(crate) fn version_of(answer: &Answer) -> Version {
    match answer {
        Answer::Nothing { .. } => Version(0),
        Answer::Changes(changes) => changes.last().map_or(Version(0), |change| change.version),
        Answer::Whole(whole) => whole.snapshot.version,
    }
}

/// The hosts that a new version is offered to first: the relays of every zone, and in a small
/// fleet every host.
pub(crate) fn offered(view: &View) -> Vec<HostId> {
    let live: Vec<_> = view.hosts.iter().filter(|host| !host.suspect).collect();
    let others = |ids: Vec<HostId>| ids.into_iter().filter(|id| *id != view.me).collect();
    if live.len() <= OFFER_ALL_MAX {
        return others(live.iter().map(|host| host.identity.id.clone()).collect());
    }
    let mut zones: Vec<_> = live.iter().map(|host| &host.identity.zone).collect();
    zones.sort();
    zones.dedup();
    let relays = zones.into_iter().flat_map(|zone| relays_of(view, zone));
    others(relays.cloned().collect())
}

/// Whether this host polls the table for its zone.
pub(crate) fn is_relay(view: &View) -> bool {
    let Some(me) = view.get(&view.me) else { return true };
    relays_of(view, &me.identity.zone).contains(&&view.me)
}

fn relays_of<'a>(view: &'a View, zone: &ZoneId) -> Vec<&'a HostId> {
    let in_zone = view.hosts.iter().filter(|host| host.identity.zone == *zone && host.is_live());
    let mut relays = foxtail_member::relay::relays(zone, in_zone.map(|host| &host.identity.id));
    relays.truncate(POLLERS);
    relays
}

/// The hosts that hold more than `held`, those of the own zone first; the order turns with `turn`.
pub(crate) fn holders(view: &Arc<View>, held: Version, turn: usize) -> Vec<HostId> {
    let zone = view.get(&view.me).map(|me| &me.identity.zone);
    let mut hosts: Vec<_> = view
        .hosts
        .iter()
        .filter(|host| host.identity.id != view.me && host.status.version > held)
        .collect();
    if !hosts.is_empty() {
        let turn = turn % hosts.len();
        hosts.rotate_left(turn);
    }
    hosts.sort_by_key(|host| (host.suspect, Some(&host.identity.zone) != zone));
    hosts.into_iter().map(|host| host.identity.id.clone()).collect()
}
