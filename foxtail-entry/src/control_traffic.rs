//! Counts what a host sends to other hosts, by kind and distance.

use foxtail_steer::fleet::Distance;
use foxtail_types::prelude::*;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use parking_lot::Mutex;

/// How often what was sent is logged.
pub(crate) const LOG_INTERVAL: Millis = Millis::secs(10);

/// A kind of message between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageKind {
    /// A periodic digest.
    Digest,
    /// The digest with which a host joins, or tells that it leaves.
    Phase,
    /// The answer to a host that joins.
    Reply,
    /// Changes of the store, limits and lost upstreams.
    Notice,
    /// Strikes against requests.
    News,
    /// The facts of a pull.
    Pull,
}

impl MessageKind {
    const ALL: [Self; 6] =
        [Self::Digest, Self::Phase, Self::Reply, Self::Notice, Self::News, Self::Pull];

    fn as_str(self) -> &'static str {
        match self {
            Self::Digest => "digest",
            Self::Phase => "phase",
            Self::Reply => "reply",
            Self::Notice => "notice",
            Self::News => "news",
            Self::Pull => "pull",
        }
    }
}

/// The bytes and messages sent since the start.
#[derive(Clone, Copy, Default)]
struct Sent {
    messages: u64,
    bytes: u64,
}

/// What was sent, by kind and distance.
type Sums = [[Sent; 3]; MessageKind::ALL.len()];

pub(crate) struct ControlTraffic {
    messages: Counter<u64>,
    bytes: Counter<u64>,
    sums: Mutex<Sums>,
}

impl ControlTraffic {
    pub(crate) fn new(meter: &Meter) -> Self {
        Self {
            messages: meter.u64_counter("control_messages_total").build(),
            bytes: meter
                .u64_counter("control_bytes_total")
                .with_description(
                    "bytes of messages to other hosts, without headers of the network",
                )
                .build(),
            sums: Mutex::default(),
        }
    }

    /// Counts `messages` messages that have `bytes` bytes together.
    pub(crate) fn record(&self, kind: MessageKind, distance: Distance, messages: u64, bytes: u64) {
        let labels = [
            KeyValue::new("kind", kind.as_str()),
            KeyValue::new("distance", distance_name(distance)),
        ];
        self.messages.add(messages, &labels);
        self.bytes.add(bytes, &labels);
        let mut sums = self.sums.lock();
        let sent = &mut sums[kind as usize][distance as usize];
        sent.messages += messages;
        sent.bytes += bytes;
    }

    /// Logs what was sent since the start.
    pub(crate) fn log(&self) {
        let sums = *self.sums.lock();
        let [digest, phase, reply, notice, news, pull] = sums.map(format_sums);
        tracing::info!(event = "control_traffic", digest, phase, reply, notice, news, pull);
    }
}

/// Formats messages and bytes for each distance, the nearest first, as in `4/800,0/0,1/210`.
fn format_sums(by_distance: [Sent; 3]) -> String {
    by_distance.map(|sent| format!("{}/{}", sent.messages, sent.bytes)).join(",")
}

fn distance_name(distance: Distance) -> &'static str {
    match distance {
        Distance::Zone => "zone",
        Distance::Region => "region",
        Distance::OtherRegion => "other-region",
    }
}
