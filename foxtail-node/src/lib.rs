//! The host process assembled: caller side, upstream side, peers and operators.
