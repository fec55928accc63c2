//! Load and experiment tools over the stand-ins.
