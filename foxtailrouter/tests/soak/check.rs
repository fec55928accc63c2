//! What callers and upstreams saw, held against the promises.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use foxtail_standin::caller::promises_not_run;
use foxtail_standin::upstream::ReceivedRequest;

use crate::caller::{Asked, Got};
use crate::world::World;

/// Promises with a time bound bind hosts that were undisturbed for this long.
const IN_TOUCH: Duration = Duration::from_secs(4);

/// A leaving upstream gets nothing more after this long.
const DRAIN: Duration = Duration::from_millis(2_500);

/// A configuration is in force after this long.
const APPLY: Duration = Duration::from_millis(2_500);

/// A zone that is evacuated gets nothing more after this long.
const EVACUATE: Duration = Duration::from_secs(5);

/// How long requests are watched once all faults have ended.
const CALM: Duration = Duration::from_secs(6);

/// The first part of the calm, in which hosts recover.
const RECOVERY: Duration = Duration::from_secs(3);

/// One arrival of a request at an upstream.
struct Arrival<'a> {
    seen: &'a ReceivedRequest,
    upstream: &'a str,
    serves: &'static str,
    zone: &'static str,
    left: Option<Instant>,
}

/// Lets the run come to rest, ends it, and tells which promises were broken.
pub(crate) async fn finish(mut world: World) -> Vec<String> {
    let calm = Instant::now();
    world.wait_ready().await;
    tokio::time::sleep(CALM).await;
    world.calm.cancel();
    for caller in std::mem::take(&mut world.callers) {
        caller.await.expect("a caller ended");
    }
    let asked = std::mem::take(&mut *world.asked.lock());
    let mut breaches = std::mem::take(&mut world.breaches);
    let seen: Vec<(usize, Vec<ReceivedRequest>)> = world
        .upstreams
        .iter()
        .enumerate()
        .map(|(at, up)| (at, up.service.received_requests()))
        .collect();
    let mut arrivals: HashMap<&str, Vec<Arrival<'_>>> = HashMap::new();
    for (at, seen) in &seen {
        let up = &world.upstreams[*at];
        for seen in seen {
            let id = seen.headers.get("foxtailrouter-request-id").map_or("", String::as_str);
            let (upstream, serves, zone) = (up.service.id(), up.serves, up.zone);
            let arrival = Arrival { seen, upstream, serves, zone, left: up.left };
            arrivals.entry(id).or_default().push(arrival);
        }
    }
    for one in &asked {
        let found = arrivals.get(one.id.as_str()).map_or(&[][..], Vec::as_slice);
        check_one(&world, one, found, &mut breaches);
    }
    let known: std::collections::HashSet<&str> = asked.iter().map(|one| one.id.as_str()).collect();
    let invented = arrivals.keys().filter(|id| !known.contains(*id)).count();
    if invented > 0 {
        breaches.push(format!("{invented} requests that nobody sent reached upstreams"));
    }
    let late: Vec<&Asked> = asked.iter().filter(|one| one.sent > calm + RECOVERY).collect();
    let good = late.iter().filter(|one| matches!(one.got, Got::Answer(200, _))).count();
    if late.is_empty() || good * 20 < late.len() * 19 {
        breaches.push(format!("{good} of {} requests are served after the faults", late.len()));
    }
    println!("{} requests, {} of {} served at last", asked.len(), good, late.len());
    end(world, breaches.is_empty()).await;
    breaches
}

fn check_one(world: &World, one: &Asked, found: &[Arrival<'_>], breaches: &mut Vec<String>) {
    let runs = found.iter().filter(|arrival| arrival.seen.has_run).count();
    let mut breach = |what: String| breaches.push(format!("request {}: {what}", one.id));
    if !one.idempotent && runs > 1 {
        breach(format!("ran {runs} times"));
    }
    if found.len() > 2 {
        breach(format!("reached {} upstreams", found.len()));
    }
    match &one.got {
        Got::Answer(200, body) => {
            let whole = found.iter().any(|a| *body == format!("{} ran {}", a.upstream, one.id));
            if !whole {
                breach(format!("was answered with `{body}`"));
            }
        }
        Got::Answer(status, _) if promises_not_run(*status) && !one.idempotent && runs > 0 => {
            breach(format!("ran and was told {status}"));
        }
        Got::Answer(status @ (400 | 404), _) => breach(format!("was told {status}")),
        Got::Cut if runs > 0 && !was_hit(world, one) => {
            breach("was cut off while an upstream had it".to_owned());
        }
        Got::Answer(..) | Got::Cut | Got::Nothing | Got::Refused => {}
    }
    for arrival in found.iter().filter(|arrival| arrival.seen.has_run) {
        let Some(at) = arrival.seen.received_at else { continue };
        if let Some(left) = arrival.left
            && one.sent > left + DRAIN
            && in_touch(world, left, at)
        {
            breach(format!("reached {} {:?} after it left", arrival.upstream, at - left));
        }
        let emptied = world.evacuated.iter().find(|evacuation| {
            evacuation.zone == arrival.zone
                && one.sent > evacuation.since + EVACUATE
                && evacuation.ended.is_none_or(|ended| at < ended)
        });
        if let Some(evacuation) = emptied.filter(|it| in_touch(world, it.since, at)) {
            breach(format!("ran in {} {:?} after it", arrival.zone, at - evacuation.since));
        }
        let newest = world.versions.iter().rev().find(|(written, _)| *written + APPLY < one.sent);
        let since = newest.map(|(written, _)| *written);
        let allowed = |(written, service): &(Instant, &str)| {
            since.is_none_or(|since| *written >= since) && *service == arrival.serves
        };
        if since.is_some_and(|since| in_touch(world, since, at))
            && !world.versions.iter().any(allowed)
        {
            breach(format!("ran at `{}`, which an older configuration names", arrival.serves));
        }
    }
}

/// Whether the host that had the request was killed or paused meanwhile.
fn was_hit(world: &World, one: &Asked) -> bool {
    let host = world.hosts.iter().position(|host| host.caller == one.host);
    world.hit.iter().any(|(other, when)| {
        Some(*other) == host && when.from <= one.ended && when.to + IN_TOUCH >= one.sent
    })
}

/// Whether nothing disturbed hosts or the store around the time from `from` to `to`.
fn in_touch(world: &World, from: Instant, to: Instant) -> bool {
    !world.disturbed.iter().any(|when| when.from <= to && when.to + IN_TOUCH >= from)
}

async fn end(mut world: World, clean: bool) {
    world.hosts.iter_mut().for_each(crate::host::Host::kill);
    for door in std::mem::take(&mut world.doors) {
        door.close().await;
    }
    for up in std::mem::take(&mut world.upstreams) {
        up.proxy.close().await;
        up.service.crash().await;
    }
    if clean {
        // What is left in a temporary directory does no harm.
        let _ = std::fs::remove_dir_all(&world.dir);
    } else {
        println!("logs of the hosts: {}", world.dir.display());
    }
}
