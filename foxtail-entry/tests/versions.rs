//! What hosts tell each other and store is read by hosts of earlier landed versions, 2515383, c335ad7 and
//! 6e6d8e4, and the other way round. Datagrams of 6e6d8e4 are those of c335ad7; facts and registrations are
//! the same in all.

use foxtail_entry::message::Message;
use foxtail_entry::ports::{Fact, Facts};
use foxtail_steer::fleet::{HostRecord, Phase, UpstreamAccess};
use foxtail_steer::notice::LeavingUpstream;
use foxtail_steer::relay::RelayedRequest;
use foxtail_steer::suspects::Fingerprints;
use foxtail_steer::view_age::ViewAges;
use foxtail_types::prelude::*;

/// What 2515383 wrote.
mod written {
    pub(super) const RECORD: &str = r#"{"id":"h-1","region":"a","zone":"a1","caller":"10.1.0.11:7001","peer":"10.1.0.11:7004","operator":"10.1.0.11:7005"}"#;
    pub(super) const MESSAGE: &str = "03682d310161026131000a01000bd936000a01000bdc3601000a01000bdd3607ac020111c0c40701460101a0beec99f3fdf282c60163fa01010103752d3101dc0b14010201a0beec99f3fdf282c60128";
    pub(super) const FACTS: &str =
        "09030203752d3105626f6f6b73000a0200015002613103010a01e8070303752d3201010261310100";
    pub(super) const RELAYED: &str = r#"{"caller":"10.9.0.1","time_left":900,"service":"books","attempted":["u-1"],"may_have_run":true}"#;
}

/// What c335ad7 writes where it differs from 2515383, by its encoding.
mod written_later {
    pub(super) const RELAYED: &str = r#"{"caller":"10.9.0.1","time_left":900,"service":"books","attempted":["u-1"],"may_have_run":true,"wants_notices":true}"#;
    /// With a leaving upstream behind the answers.
    pub(super) const LEAVING: &str = "0103752d3301808099a7ab33";
}

/// The types with which 2515383 reads. Its encoding depends on the order of fields and variants.
mod reads {
    use std::net::{IpAddr, SocketAddr};

    use serde::Deserialize;

    #[derive(Debug, Deserialize, PartialEq)]
    pub(super) struct Record {
        pub(super) id: String,
        region: String,
        zone: String,
        caller: SocketAddr,
        peer: SocketAddr,
        operator: Option<SocketAddr>,
    }

    #[derive(Debug, Deserialize, PartialEq)]
    pub(super) struct Digest {
        from: Record,
        versions: (u64, u64),
        /// Host, heartbeat, phase, rate, and whether the store is lost.
        beats: Vec<(u32, u64, Phase, u16, bool)>,
        /// Request, upstream and age.
        pub(super) strikes: Vec<(u64, u64, u64)>,
        pub(super) reply: bool,
    }

    #[derive(Debug, Deserialize, PartialEq)]
    enum Phase {
        Starting,
        Serving,
        Leaving,
    }

    #[derive(Debug, Deserialize, PartialEq)]
    pub(super) enum Access {
        Unknown,
        Available,
        Lost,
    }

    /// Upstream, limit and age.
    pub(super) type Limit = (String, Option<u32>, u64);

    #[derive(Debug, Deserialize, PartialEq)]
    pub(super) struct RelayedRequest {
        caller: IpAddr,
        time_left: u64,
        pub(super) service: String,
        pub(super) attempted: Vec<String>,
        pub(super) may_have_run: bool,
    }

    pub(super) type Message = (Digest, Vec<Limit>, Vec<Access>, Vec<(u64, u64)>);

    /// Reads a datagram as 2515383 does, which ignores what follows the answers.
    pub(super) fn message(bytes: &[u8]) -> Message {
        let (digest, rest) = postcard::take_from_bytes(bytes).unwrap();
        let (limits, rest) = postcard::take_from_bytes(rest).unwrap();
        let (access, rest) = postcard::take_from_bytes(rest).unwrap();
        let (answers, _) = postcard::take_from_bytes(rest).unwrap();
        (digest, limits, access, answers)
    }
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap()).collect()
}

#[test]
fn datagrams_of_the_last_landed_version_are_read() {
    let message = Message::decode(&bytes(written::MESSAGE)).unwrap();
    let digest = &message.digest;
    assert_eq!(digest.from, serde_json::from_str::<HostRecord>(written::RECORD).unwrap());
    assert_eq!((digest.versions.operators, digest.versions.upstreams), (7, 300));
    assert_eq!((digest.beats[0].phase, digest.beats[0].store_lost), (Phase::Serving, true));
    assert_eq!(digest.access, [UpstreamAccess::Lost]);
    assert_eq!((message.limits.len(), digest.answers.len()), (1, 1));
    assert_eq!(message.leaving, None, "it does not know notices");
    // Strikes of hosts of both versions count together.
    let request = Fingerprints::new("10.9.0.1", "GET", "svc.example", "/bad", [&b"body"[..]]);
    assert_eq!(digest.strikes[0].request, request.of_caller);
}

#[test]
fn datagrams_are_read_by_the_last_landed_version() {
    let old_bytes = bytes(written::MESSAGE);
    let mut message = Message::decode(&old_bytes).unwrap();
    let leaving = |n| LeavingUpstream {
        upstream: format!("u-{n}").parse().unwrap(),
        started: Some(Millis(1_764_000_000_000)),
    };
    message.leaving = Some((0..24).map(leaving).collect());
    let new_bytes = message.encode().unwrap();
    assert_eq!(Message::decode(&new_bytes).unwrap(), message);
    assert_eq!(reads::message(&new_bytes), reads::message(&old_bytes));
    assert_eq!(new_bytes[..old_bytes.len()], old_bytes);
    message.leaving = Some(Vec::new());
    let without_leaving = message.encode().unwrap();
    assert_eq!(Message::decode(&without_leaving).unwrap(), message, "it knows notices");
    assert_eq!(reads::message(&without_leaving), reads::message(&old_bytes));
    let (digest, limits, access, answers) = reads::message(&new_bytes);
    assert_eq!((digest.strikes.len(), limits[0].1), (1, Some(1_500)));
    assert_eq!((access, answers.len()), (vec![reads::Access::Lost], 1));
}

#[test]
fn relayed_requests_are_read_by_both_versions() {
    let relayed: RelayedRequest = serde_json::from_str(written::RELAYED).unwrap();
    assert_eq!((relayed.time_left, relayed.may_have_run), (Millis(900), true));
    assert!(!relayed.wants_notices, "a host of the last landed version can't read notices");
    let sent = serde_json::to_string(&RelayedRequest { wants_notices: true, ..relayed }).unwrap();
    let read: reads::RelayedRequest = serde_json::from_str(&sent).unwrap();
    assert_eq!(read, serde_json::from_str(written::RELAYED).unwrap());
    assert_eq!((read.service.as_str(), read.attempted.len()), ("books", 1));
    assert!(read.may_have_run);
}

#[test]
fn relayed_requests_are_read_by_the_last_landed_version_which_takes_none_back() {
    let written: RelayedRequest = serde_json::from_str(written_later::RELAYED).unwrap();
    assert!(written.wants_notices);
    assert!(!written.takes_back, "it does not take the request back");
    let sent = RelayedRequest { takes_back: true, ..written.clone() };
    let sent = serde_json::to_value(&sent).unwrap();
    let mut known = serde_json::from_str::<serde_json::Value>(written_later::RELAYED).unwrap();
    // It ignores the field that it does not know.
    known["takes_back"] = true.into();
    assert_eq!(sent, known);
    // What it knows nothing of does not change the requests that hosts of this version hand on.
    let unchanged = serde_json::to_value(&written).unwrap();
    known["takes_back"] = false.into();
    assert_eq!(unchanged, known);
}

#[test]
fn datagrams_of_joining_hosts_and_news_are_read_by_the_last_landed_version() {
    let record: HostRecord = serde_json::from_str(written::RECORD).unwrap();
    let mut fleet = foxtail_steer::Fleet::new(record, Millis(0), Millis::secs(1_000));
    let message = |digest| Message { digest, limits: Vec::new(), leaving: Some(Vec::new()) };
    for (digest, reply) in [
        (fleet.join_request(Millis(10)), true),
        (fleet.own_digest(Millis(20)), false),
        (fleet.reply(Millis(30)), false),
    ] {
        let bytes = message(digest).encode().unwrap();
        let (read, limits, access, answers) = reads::message(&bytes);
        assert_eq!(read.reply, reply);
        assert_eq!((limits.len(), access, answers.len()), (0, vec![reads::Access::Available], 0));
    }
    // Its own message with a leaving upstream.
    let mut bytes = bytes(written::MESSAGE);
    let without = Message::decode(&bytes).unwrap();
    bytes.extend(self::bytes(written_later::LEAVING));
    let read = Message::decode(&bytes).unwrap();
    assert_eq!((read.digest, read.limits), (without.digest, without.limits));
    assert_eq!(
        read.leaving.map(|leaving| leaving[0].upstream.as_str().to_owned()),
        Some("u-3".into())
    );
}

#[test]
fn ages_of_views_follow_what_the_last_landed_version_reads_and_may_be_missing() {
    let mut old_bytes = bytes(written::MESSAGE);
    old_bytes.extend(bytes(written_later::LEAVING));
    let mut message = Message::decode(&old_bytes).unwrap();
    assert_eq!(message.digest.ages, None, "a host of the last landed version tells none");
    let ages = ViewAges { operators: None, upstreams: Some(Millis(1_234)) };
    message.digest.ages = Some(ages);
    let new_bytes = message.encode().unwrap();
    assert_eq!(Message::decode(&new_bytes).unwrap(), message);
    // The last landed version ignores what follows the leaving upstreams.
    assert_eq!(new_bytes[..old_bytes.len()], old_bytes);
    assert_eq!(reads::message(&new_bytes), reads::message(&old_bytes));
}

#[test]
fn facts_and_registrations_are_the_same_in_both_versions() {
    let facts: Facts = postcard::from_bytes(&bytes(written::FACTS)).unwrap();
    assert_eq!((facts.version, facts.facts.len()), (9, 3));
    assert!(matches!(&facts.facts[0], Fact::Upstream(up) if up.draining && up.slots == 3));
    assert_eq!(postcard::to_stdvec(&facts).unwrap(), bytes(written::FACTS));
    let record: HostRecord = serde_json::from_str(written::RECORD).unwrap();
    assert_eq!(serde_json::to_string(&record).unwrap(), written::RECORD);
    assert_eq!(serde_json::from_str::<reads::Record>(written::RECORD).unwrap().id, "h-1");
}
