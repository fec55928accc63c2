//! Placement: which entry hosts a block of clients should use.
