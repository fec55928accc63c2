//! Spread of configuration from the platform to every host.
