//! Sends digests to other hosts and takes in theirs, over UDP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use foxtail_steer::fleet::{DIGEST_INTERVAL, Digest, Phase};
use foxtail_steer::suspects::MAX_STRIKES;
use foxtail_types::prelude::*;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;

use crate::cx::Cx;
use crate::ports::Area;
use crate::share;

/// The largest digest that is taken in, in bytes.
const DIGEST_MOST: usize = 16 * 1024;

/// How much the last period moves the rate of requests.
const RATE_LEARN: f64 = 0.3;

/// How often registrations of hosts that are gone are looked for.
const CLEAN_EVERY: Millis = Millis::secs(60);

/// The pause before registering is tried again.
const REGISTER_AGAIN: Millis = Millis(700);

/// Strikes against a request from which on other hosts are told at once. A single one is most often
/// the fault of an upstream or a link, and travels with the next digests.
pub(crate) const STRIKES_TOLD_AT_ONCE: usize = MAX_STRIKES - 1;

/// Takes in digests until the host ends.
pub(crate) async fn receive(cx: Arc<Cx>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; DIGEST_MOST];
    loop {
        let received = tokio::select! {
            received = socket.recv_from(&mut buf) => received,
            () = cx.life.ended.cancelled() => return,
        };
        let (len, from) = match received {
            Ok(received) => received,
            Err(e) => {
                // An earlier digest met a closed port; the next one may arrive.
                tracing::debug!(event = "digest_not_received", error = %e);
                continue;
            }
        };
        let Ok(digest) = postcard::from_bytes::<Digest>(&buf[..len]) else {
            tracing::debug!(event = "digest_unreadable", %from, len);
            continue;
        };
        take_in(&cx, &socket, &digest).await;
    }
}

async fn take_in(cx: &Arc<Cx>, socket: &UdpSocket, digest: &Digest) {
    cx.metrics.digest();
    let told = digest.versions;
    for (area, version) in [(Area::Operators, told.operators), (Area::Upstreams, told.upstreams)] {
        let next = {
            let mut knowledge = cx.knowledge.lock();
            knowledge.pulls(area).and_then(|(pulls, known)| {
                pulls.record_announcement(digest.from.peer, version, known)
            })
        };
        if let Some(addr) = next {
            cx.tasks.spawn(share::pull(Arc::clone(cx), area, addr));
        }
    }
    let now = cx.now();
    learn_strikes(cx, digest, now);
    let reply = {
        let mut fleet = cx.fleet.lock();
        for (host, phase) in fleet.receive(digest, now) {
            tracing::info!(event = "host", %host, ?phase, heard_from = %digest.from.id);
        }
        digest.reply.then(|| fleet.digest(now, false))
    };
    if let Some(reply) = reply {
        send(cx, socket, reply, [digest.from.peer]).await;
    }
}

/// Takes in requests that broke connections at other hosts, and passes on what is new.
fn learn_strikes(cx: &Cx, digest: &Digest, now: Millis) {
    let mut suspects = cx.suspects.lock();
    for strike in &digest.strikes {
        let Some(strikes) = suspects.add_shared_strike(strike, now) else { continue };
        // The host that met a first strike has logged it, and it changes nothing here.
        if strikes >= STRIKES_TOLD_AT_ONCE {
            tracing::info!(event = "suspect", fingerprint = %strike.request, strikes,
                heard_from = %digest.from.id, age_ms = strike.age.0);
            cx.news.notify_one();
        }
    }
}

/// Sends a digest to one host of the own region in each period, and one to another region from those
/// hosts that read the store.
pub(crate) async fn send_digests(cx: Arc<Cx>, socket: Arc<UdpSocket>) {
    let mut ticks = tokio::time::interval(DIGEST_INTERVAL.duration());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut rate = 0.0;
    let mut counted = cx.requests.load(Ordering::Relaxed);
    let mut at = cx.now();
    let mut cleaned = at;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = cx.news.notified() => {
                tell_news(&cx, &socket).await;
                continue;
            }
            () = cx.life.ended.cancelled() => return,
        }
        cx.drop_lapsed();
        let now = cx.now();
        if now.since(cleaned) >= CLEAN_EVERY {
            cleaned = now;
            clean(&cx, now);
        }
        let requests = cx.requests.load(Ordering::Relaxed);
        let span = now.since(at).as_secs_f64();
        if span > 0.0 {
            rate += RATE_LEARN * ((requests - counted) as f64 / span - rate);
        }
        (counted, at) = (requests, now);
        let (near, far) = {
            let mut fleet = cx.fleet.lock();
            fleet.set_request_rate(rate);
            let (near, far) = fleet.digest_targets();
            let near = near.choose(&mut rand::rng()).map(|to| (fleet.digest(now, false), *to));
            // Those that read the store also keep up the contact between regions.
            let far = far.choose(&mut rand::rng()).filter(|_| fleet.is_reader(now));
            (near, far.map(|to| (fleet.regional_digest(now), *to)))
        };
        for (digest, to) in near.into_iter().chain(far) {
            send(&cx, &socket, digest, [to]).await;
        }
    }
}

/// Takes out the registrations of hosts that are gone for good, if this host reads the store.
fn clean(cx: &Arc<Cx>, now: Millis) {
    let gone = {
        let mut fleet = cx.fleet.lock();
        if fleet.is_reader(now) { fleet.remove_expired_hosts(now) } else { Vec::new() }
    };
    for host in gone {
        tracing::info!(event = "host_gone", %host);
        let cx = Arc::clone(cx);
        cx.tasks.clone().spawn(async move {
            if let Err(e) = cx.store.unregister(&host).await {
                // The next start of any host makes it known again, and it is taken out later.
                tracing::warn!(event = "not_unregistered", %host, error = %e);
            }
        });
    }
}

/// Tells all hosts of the region that the store has something new, or a request is suspected.
async fn tell_news(cx: &Cx, socket: &UdpSocket) {
    let now = cx.now();
    let (word, near) = {
        let mut fleet = cx.fleet.lock();
        (fleet.own_digest(now), fleet.digest_targets().0)
    };
    send(cx, socket, word, near).await;
}

/// Tells all hosts at once how far this one is.
pub(crate) async fn announce(cx: &Cx, socket: &UdpSocket, reply: bool) {
    let now = cx.now();
    let (digest, near, far) = {
        let mut fleet = cx.fleet.lock();
        let (near, far) = fleet.digest_targets();
        (fleet.digest(now, reply), near, far)
    };
    send(cx, socket, digest, near.into_iter().chain(far)).await;
}

/// Registers the host and greets those that registered before it.
pub(crate) async fn join(cx: Arc<Cx>, socket: Arc<UdpSocket>) {
    let joining = async {
        let record = cx.fleet.lock().own_record().clone();
        while let Err(e) = cx.store.register(&record).await {
            tracing::warn!(event = "not_registered", error = %e);
            tokio::time::sleep(REGISTER_AGAIN.duration()).await;
        }
        loop {
            match cx.store.read(Area::Hosts).await {
                Ok(facts) => {
                    let mut fleet = cx.fleet.lock();
                    for fact in facts.facts {
                        if let crate::ports::Fact::Host(record) = fact {
                            fleet.add_host(record, cx.now());
                        }
                    }
                    break;
                }
                Err(e) => {
                    tracing::warn!(event = "hosts_not_read", error = %e);
                    tokio::time::sleep(REGISTER_AGAIN.duration()).await;
                }
            }
        }
        let known = cx.fleet.lock().host_count();
        tracing::info!(event = "registered", hosts = known);
        announce(&cx, &socket, true).await;
    };
    tokio::select! {
        () = joining => {}
        () = cx.life.ended.cancelled() => {}
    }
}

/// Moves the host on to `phase` and tells the others.
pub(crate) async fn enter(cx: &Cx, socket: &UdpSocket, phase: Phase) {
    cx.fleet.lock().set_phase(phase);
    announce(cx, socket, false).await;
}

/// Sends `digest`, with the requests that are suspected, to each of `targets`.
async fn send(
    cx: &Cx,
    socket: &UdpSocket,
    mut digest: Digest,
    targets: impl IntoIterator<Item = SocketAddr>,
) {
    digest.strikes = cx.suspects.lock().strikes_to_share(cx.now());
    let bytes = match postcard::to_stdvec(&digest) {
        Ok(bytes) => bytes,
        Err(e) => {
            tracing::warn!(event = "digest_not_encoded", error = %e);
            return;
        }
    };
    for to in targets {
        if let Err(e) = socket.send_to(&bytes, to).await {
            tracing::debug!(event = "digest_not_sent", %to, error = %e);
        }
    }
}
