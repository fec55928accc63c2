//! The policies that are compared.

/// How hosts decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Any upstream of the own region, and no request is refused.
    Random,
    /// The upstream that is expected to answer first, by the loads as they are; refused above 1.4
    /// objectives. Takes all objects for not cached.
    Earliest,
    /// The product: `foxtail_steer`, each host by what it sees itself.
    Steering,
    /// The product, where the hosts of a region tell each other of loads every 30 ms.
    SharedLoad,
    /// One queue for all slots of a region: a request is dealt an upstream when it has a free slot,
    /// a millisecond away.
    OwnedSlots,
    /// One queue for all slots of all regions, no way takes any time, and everything is cached: more
    /// than any policy can reach.
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

    /// The name in tables.
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

    /// Whether requests wait in one queue for a free slot.
    pub(super) fn uses_central_queue(self) -> bool {
        matches!(self, Policy::OwnedSlots | Policy::Ideal)
    }
}
