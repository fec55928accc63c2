//! The placement policies that the simulation compares.

/// How hosts choose the upstream of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// A random upstream of the host's region; no request is refused for its expected latency.
    Random,
    /// The upstream with the earliest expected answer by its current load, with all objects taken
    /// as not cached. A request is refused if that answer is later than 1.4 latency objectives.
    Earliest,
    /// `foxtail_steer`, with each host deciding by what it observes itself.
    Steering,
    /// `foxtail_steer`, where the hosts of a region also learn the loads of its upstreams every
    /// 30 ms.
    SharedLoad,
    /// One queue for all slots of a region: a request is sent to an upstream once that has a free
    /// slot, over a round trip of one millisecond.
    OwnedSlots,
    /// One queue for all slots of all regions, with no network delay to upstreams and all objects
    /// cached: an upper bound that no policy can reach.
    Ideal,
}

impl Policy {
    /// All policies.
    pub const ALL: [Policy; 6] = [
        Policy::Random,
        Policy::Earliest,
        Policy::Steering,
        Policy::SharedLoad,
        Policy::OwnedSlots,
        Policy::Ideal,
    ];

    /// Returns the name in printed tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Policy::Random => "random",
            Policy::Earliest => "earliest",
            Policy::Steering => "steering",
            Policy::SharedLoad => "shared load",
            Policy::OwnedSlots => "owned slots",
            Policy::Ideal => "ideal",
        }
    }

    /// Whether requests wait in a central queue for a free slot.
    pub(super) fn uses_central_queue(self) -> bool {
        matches!(self, Policy::OwnedSlots | Policy::Ideal)
    }
}
