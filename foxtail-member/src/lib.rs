//! Membership: hosts, what peers see of each other, and drains.
