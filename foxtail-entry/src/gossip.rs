//! Exchanges digests with other hosts over UDP: liveness, phase, request rate, store versions,
//! strikes against requests that broke connections to upstreams, limits that upstreams name, which
//! upstreams leave, and which hosts lost their upstreams.
//! Also registers the host in the store.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use foxtail_steer::fleet::{DIGEST_INTERVAL, Digest, Distance, HostRecord, Phase, Target};
use foxtail_steer::named_limit::LimitReport;
use foxtail_steer::news::NEWS_TARGETS;
use foxtail_steer::pull_queue::{SOURCE_NOTICE_HOSTS, Step};
use foxtail_steer::suspects::MAX_STRIKES;
use foxtail_steer::view_age::{Confirmation, MESSAGE_DELAY};
use foxtail_types::prelude::*;
use rand::seq::{IndexedRandom, SliceRandom};
use tokio::net::UdpSocket;

use crate::context::HostContext;
use crate::control_traffic::{LOG_INTERVAL, MessageKind};
use crate::message::Message;
use crate::ports::{Area, StoreVersion};
use crate::pull;

/// The maximum size of a received digest, in bytes.
const MAX_DIGEST_BYTES: usize = 16 * 1024;

/// The weight of the latest period in the moving average of the request rate.
const RATE_SMOOTHING: f64 = 0.3;

/// The delay of a tick from which the host counts as suspended.
const MIN_SUSPENSION: Millis = Millis(1_000);

/// The interval between clean-ups of the registrations of hosts that are gone.
const CLEANUP_INTERVAL: Millis = Millis::secs(60);

/// The pause before the host retries registering or reading the other hosts' registrations.
const REGISTER_RETRY_PAUSE: Millis = Millis(700);

/// How long a starting host waits for its own registration before it reads those of others all the same.
const REGISTER_PATIENCE: Millis = Millis(200);

/// How long after its start a host waits to hear of the fleet before it serves. It spans a retry of a
/// call to the store, and of digests that were lost.
const MAX_JOIN_TIME: Millis = Millis(1_500);

/// The number of strikes against a request at which other hosts are told of it as news. A single
/// strike is most often the fault of an upstream or a link, and goes out with the periodic digests.
pub(crate) const IMMEDIATE_SHARE_STRIKES: usize = MAX_STRIKES - 1;

/// Receives digests until the host ends.
pub(crate) async fn receive(cx: Arc<HostContext>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DIGEST_BYTES];
    loop {
        let received = tokio::select! {
            received = socket.recv_from(&mut buf) => received,
            () = cx.lifecycle.ended.cancelled() => return,
        };
        let (len, from) = match received {
            Ok(received) => received,
            Err(e) => {
                // The system reports that a digest which this host sent met a closed port. Digests
                // from other hosts can still arrive.
                tracing::debug!(event = "digest_not_received", error = %e);
                continue;
            }
        };
        let Ok(Message { digest, limits, leaving }) = Message::decode(&buf[..len]) else {
            tracing::debug!(event = "digest_unreadable", %from, len);
            continue;
        };
        cx.merge_limits(&limits, &digest.from.id, digest.from.peer);
        cx.merge_leaving(leaving.as_deref().unwrap_or_default(), &digest.from.id);
        handle_digest(&cx, &socket, &digest).await;
        cx.fleet.lock().record_notice_support(&digest.from.id, leaving.is_some());
    }
}

/// Records a suspension if the host did not run between its last tick and `now`.
fn check_suspension(cx: &HostContext, now: Millis) {
    let last_tick = Millis(cx.last_tick.swap(now.0, Ordering::Relaxed));
    if now.since(last_tick) > DIGEST_INTERVAL + MIN_SUSPENSION {
        cx.record_suspension(last_tick, now);
    }
}

async fn handle_digest(cx: &Arc<HostContext>, socket: &UdpSocket, digest: &Digest) {
    cx.metrics.count_digest();
    let versions = digest.versions;
    let now = cx.now();
    check_suspension(cx, now);
    for (area, version) in
        [(Area::Operators, versions.operators), (Area::Upstreams, versions.upstreams)]
    {
        let step = cx.store_replica.lock().next_pull(area, |pulls, known| {
            pulls.record_announcement(digest.from.peer, version, known, now)
        });
        if step != Step::Idle {
            cx.tasks.spawn(pull::pull(Arc::clone(cx), area, step));
        }
    }
    if let Some(ages) = digest.ages {
        for (area, version, age) in [
            (Area::Operators, versions.operators, ages.operators),
            (Area::Upstreams, versions.upstreams, ages.upstreams),
        ] {
            if let Some(age) = age {
                let at = now - (age + MESSAGE_DELAY);
                cx.confirm_view(area, Confirmation { version, at }, false);
            }
        }
    }
    merge_strikes(cx, digest, now);
    let reply = {
        let mut fleet = cx.fleet.lock();
        for (host, phase) in fleet.receive(digest, now) {
            tracing::info!(event = "host", %host, ?phase, heard_from = %digest.from.id);
        }
        digest.reply.then(|| fleet.reply(now))
    };
    check_joined(cx, false, now);
    if let Some(reply) = reply {
        let distance = cx.fleet.lock().distance_to_address(digest.from.peer.ip());
        let distance = distance.unwrap_or(Distance::OtherRegion);
        let to = Target { addr: digest.from.peer, distance };
        send_digest(cx, socket, MessageKind::Reply, reply, [to]).await;
    }
}

/// Lets a starting host serve once it knows the fleet, or has `listened_enough`.
fn check_joined(cx: &HostContext, listened_enough: bool, now: Millis) {
    if cx.lifecycle.has_joined() || !(listened_enough || cx.fleet.lock().has_joined(now)) {
        return;
    }
    cx.presume_upstreams_lost(now);
    if cx.lifecycle.mark_joined() {
        cx.mark_ready();
    }
}

/// Merges the strikes of `digest` and the answers that cleared some, and informs other hosts of new ones
/// that reach [`IMMEDIATE_SHARE_STRIKES`].
fn merge_strikes(cx: &HostContext, digest: &Digest, now: Millis) {
    let mut suspects = cx.suspects.lock();
    for answer in &digest.answers {
        suspects.add_shared_answer(answer, now);
    }
    for strike in &digest.strikes {
        let Some(strikes) = suspects.add_shared_strike(strike, now) else { continue };
        // A first strike has no effect on this host, and the host that recorded it has logged it.
        if strikes >= IMMEDIATE_SHARE_STRIKES {
            tracing::info!(event = "suspect", fingerprint = %strike.request, strikes,
                heard_from = %digest.from.id, age_ms = strike.age.0);
            cx.add_news();
        }
    }
}

/// Sends a digest to one host of this host's region in each period; hosts that read the store also
/// send one to a host of another region. Also sends update notices and news, and runs the periodic
/// clean-ups.
pub(crate) async fn send_digests(cx: Arc<HostContext>, socket: Arc<UdpSocket>) {
    let mut ticks = tokio::time::interval(DIGEST_INTERVAL.duration());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut rate = 0.0;
    let mut last_requests = cx.requests.load(Ordering::Relaxed);
    let mut last_tick = cx.now();
    let mut last_cleanup = last_tick;
    let mut last_log = last_tick;
    let started = last_tick;
    loop {
        let now = cx.now();
        let (strikes_due, ages_due) = (cx.news.lock().due_in(now), cx.view_news.lock().due_in(now));
        let news_due = [strikes_due, ages_due].into_iter().flatten().min();
        tokio::select! {
            _ = ticks.tick() => {}
            () = tokio::time::sleep(news_due.unwrap_or_default().duration()), if news_due.is_some() => {
                send_news(&cx, &socket).await;
                continue;
            }
            () = cx.news_added.notified() => continue,
            () = cx.notify_peers.notified() => {
                send_update_notice(&cx, &socket).await;
                continue;
            }
            () = cx.announce_source.notified() => {
                send_source_notice(&cx, &socket).await;
                continue;
            }
            () = cx.lifecycle.ended.cancelled() => return,
        }
        cx.remove_lapsed_upstreams();
        renew_registration(&cx);
        let now = cx.now();
        if now.since(last_log) >= LOG_INTERVAL {
            last_log = now;
            cx.metrics.control_traffic.log();
        }
        if now.since(last_cleanup) >= CLEANUP_INTERVAL {
            last_cleanup = now;
            remove_gone_hosts(&cx, now);
        }
        check_suspension(&cx, now);
        let requests = cx.requests.load(Ordering::Relaxed);
        let elapsed_s = now.since(last_tick).as_secs_f64();
        if elapsed_s > 0.0 {
            rate += RATE_SMOOTHING * ((requests - last_requests) as f64 / elapsed_s - rate);
        }
        (last_requests, last_tick) = (requests, now);
        let (own_region, other_regions) = {
            let mut fleet = cx.fleet.lock();
            fleet.beat(now);
            fleet.set_request_rate(rate);
            let (own_region, other_regions) = fleet.digest_targets();
            let own_region = own_region.choose(&mut rand::rng()).map(|to| (fleet.digest(now), *to));
            // Only hosts that read the store send periodic digests to other regions, to keep the
            // regions in contact.
            let other_regions =
                other_regions.choose(&mut rand::rng()).filter(|_| fleet.is_reader(now));
            (own_region, other_regions.map(|to| (fleet.regional_digest(now), *to)))
        };
        cx.update_limit_senders(now);
        cx.check_reachability(now);
        check_joined(&cx, now.since(started) >= MAX_JOIN_TIME, now);
        for (digest, to) in own_region.into_iter().chain(other_regions) {
            send_digest(&cx, &socket, MessageKind::Digest, digest, [to]).await;
        }
    }
}

/// Removes the registrations of hosts that are gone for good, if this host reads the store.
fn remove_gone_hosts(cx: &Arc<HostContext>, now: Millis) {
    let gone = {
        let mut fleet = cx.fleet.lock();
        if fleet.is_reader(now) { fleet.remove_expired_hosts(now) } else { Vec::new() }
    };
    for host in gone {
        tracing::info!(event = "host_gone", %host);
        let cx = Arc::clone(cx);
        cx.tasks.clone().spawn(async move {
            if let Err(e) = cx.store.unregister(&host).await {
                // Hosts that start later read the registration again, and a later clean-up removes
                // it.
                tracing::warn!(event = "not_unregistered", %host, error = %e);
            }
        });
    }
}

/// Sends a short digest with strikes and the age of the view to a few random hosts of this host's region, if
/// it is time to tell them of either.
async fn send_news(cx: &HostContext, socket: &UdpSocket) {
    let now = cx.now();
    let tells_strikes = cx.news.lock().take(now);
    let tells_ages = cx.view_news.lock().take(now);
    if !tells_strikes && !tells_ages {
        return;
    }
    let (digest, targets) = {
        let mut fleet = cx.fleet.lock();
        let alive = fleet.alive_targets(now);
        (
            fleet.own_digest(now),
            alive.choose_multiple(&mut rand::rng(), NEWS_TARGETS).copied().collect::<Vec<_>>(),
        )
    };
    send_digest(cx, socket, MessageKind::News, digest, targets).await;
}

/// Sends a short digest to all other hosts of this host's region, because the store has changes.
async fn send_update_notice(cx: &HostContext, socket: &UdpSocket) {
    let now = cx.now();
    let (digest, own_region) = {
        let mut fleet = cx.fleet.lock();
        (fleet.own_digest(now), fleet.digest_targets().0)
    };
    let limits = cx.steering.lock().changed_limits_to_share(now);
    send_message(cx, socket, MessageKind::Notice, digest, limits, own_region).await;
}

/// Sends a short digest to a few random hosts of this host's region, because they can pull a large
/// change from this host too.
async fn send_source_notice(cx: &HostContext, socket: &UdpSocket) {
    let now = cx.now();
    let (digest, mut own_region) = {
        let mut fleet = cx.fleet.lock();
        (fleet.own_digest(now), fleet.digest_targets().0)
    };
    let (targets, _) = own_region.partial_shuffle(&mut rand::rng(), SOURCE_NOTICE_HOSTS);
    let targets = targets.to_vec();
    send_digest(cx, socket, MessageKind::Notice, digest, targets).await;
}

/// Sends `digest` to all other hosts.
async fn send_to_all(cx: &HostContext, socket: &UdpSocket, digest: Digest) {
    let (own_region, other_regions) = cx.fleet.lock().digest_targets();
    let targets = own_region.into_iter().chain(other_regions);
    send_digest(cx, socket, MessageKind::Phase, digest, targets).await;
}

/// Registers the host in the store, and tries again until it has succeeded.
async fn register(cx: &HostContext) {
    let record = cx.fleet.lock().own_record().clone();
    loop {
        match cx.store.register(&record).await {
            Ok(version) => {
                cx.registered_version.store(version, Ordering::Relaxed);
                return;
            }
            Err(e) => tracing::warn!(event = "not_registered", error = %e),
        }
        tokio::time::sleep(REGISTER_RETRY_PAUSE.duration()).await;
    }
}

/// Registers the host again if the store was restored from a copy, which may lack the registration.
fn renew_registration(cx: &Arc<HostContext>) {
    let restorations = |version| StoreVersion::from_number(version).restorations;
    let known = cx.known_version(Area::Operators).max(cx.known_version(Area::Upstreams));
    let registered = cx.registered_version.load(Ordering::Relaxed);
    if registered == 0
        || restorations(known) <= restorations(registered)
        || cx.lifecycle.is_leaving()
    {
        return;
    }
    // Keeps the next period from registering a second time.
    cx.registered_version.store(known, Ordering::Relaxed);
    tracing::info!(event = "registers_again", version = known);
    let cx = Arc::clone(cx);
    cx.tasks.clone().spawn(async move {
        cx.lifecycle.ended.clone().run_until_cancelled(register(&cx)).await;
    });
}

/// Registers the host, reads the other hosts' registrations and announces itself to them.
pub(crate) async fn join(cx: Arc<HostContext>, socket: Arc<UdpSocket>) {
    let joining = async {
        let mut registering = std::pin::pin!(register(&cx));
        let patience = REGISTER_PATIENCE.duration();
        if tokio::time::timeout(patience, registering.as_mut()).await.is_err() {
            tokio::join!(registering, announce(&cx, &socket));
        }
        // Of two hosts that start at once, at least one reads the registration of the other.
        announce(&cx, &socket).await;
    };
    cx.lifecycle.ended.clone().run_until_cancelled(joining).await;
}

/// Reads the other hosts' registrations, asks a few of these hosts for their digests, and tells the
/// others of this one.
async fn announce(cx: &HostContext, socket: &UdpSocket) {
    loop {
        match cx.store.read(Area::Hosts).await {
            Ok(facts) => {
                let mut fleet = cx.fleet.lock();
                for fact in facts.facts {
                    if let crate::ports::Fact::Host(record) = fact {
                        fleet.add_host(record, cx.now());
                    }
                }
                fleet.mark_registrations_read();
                break;
            }
            Err(e) => {
                tracing::warn!(event = "hosts_not_read", error = %e);
                tokio::time::sleep(REGISTER_RETRY_PAUSE.duration()).await;
            }
        }
    }
    let known = cx.fleet.lock().host_count();
    tracing::info!(event = "hosts_read", hosts = known);
    check_joined(cx, false, cx.now());
    let (request, own, asked, told) = {
        let (mut fleet, now) = (cx.fleet.lock(), cx.now());
        let (asked, told) = fleet.join_targets();
        let targets = |records: Vec<&HostRecord>| -> Vec<Target> {
            records.into_iter().map(|record| fleet.target(record)).collect()
        };
        let (asked, told) = (targets(asked), targets(told));
        (fleet.join_request(now), fleet.own_digest(now), asked, told)
    };
    send_digest(cx, socket, MessageKind::Phase, request, asked).await;
    send_digest(cx, socket, MessageKind::Phase, own, told).await;
}

/// Sets the host's phase and announces it to all other hosts.
pub(crate) async fn enter_phase(cx: &HostContext, socket: &UdpSocket, phase: Phase) {
    let digest = {
        let mut fleet = cx.fleet.lock();
        fleet.set_phase(phase);
        fleet.own_digest(cx.now())
    };
    send_to_all(cx, socket, digest).await;
}

/// Sends `digest` to each of `targets`, with recent strikes and the next part of the known limits.
async fn send_digest(
    cx: &HostContext,
    socket: &UdpSocket,
    kind: MessageKind,
    digest: Digest,
    targets: impl IntoIterator<Item = Target>,
) {
    let limits = cx.steering.lock().limits_to_share(cx.now());
    send_message(cx, socket, kind, digest, limits, targets).await;
}

/// Adds strikes and the answers that cleared some to `digest`, and sends it with `limits` and the next
/// of the leaving upstreams to each of `targets`.
async fn send_message(
    cx: &HostContext,
    socket: &UdpSocket,
    kind: MessageKind,
    mut digest: Digest,
    limits: Vec<LimitReport>,
    targets: impl IntoIterator<Item = Target>,
) {
    {
        let (mut suspects, now) = (cx.suspects.lock(), cx.now());
        digest.strikes = suspects.strikes_to_share(now);
        digest.answers = suspects.answers_to_share(now);
    }
    let leaving = Some(cx.steering.lock().leaving_to_share());
    let bytes = match (Message { digest, limits, leaving }).encode() {
        Ok(bytes) => bytes,
        Err(e) => {
            tracing::warn!(event = "digest_not_encoded", error = %e);
            return;
        }
    };
    for Target { addr, distance } in targets {
        match socket.send_to(&bytes, addr).await {
            Ok(len) => cx.metrics.control_traffic.record(kind, distance, 1, len as u64),
            Err(e) => tracing::debug!(event = "digest_not_sent", to = %addr, error = %e),
        }
    }
}
