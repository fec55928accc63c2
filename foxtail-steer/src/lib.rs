//! The decisions of an entry host, without I/O: which upstream a request is sent to, which requests
//! are refused or retried, how fast a cold upstream warms up, which hosts are alive, which of them
//! callers are directed to, from which of them changes of the store are fetched, and through which of
//! them a host without upstreams serves its callers.
//!
//! All functions take the current time as an argument and return what to do. [`Steering`] holds the
//! state of the upstreams, [`Fleet`] that of the other hosts.

pub mod config;
pub mod delivery;
mod demand;
mod estimate;
pub mod fleet;
pub mod lapsed;
pub mod limited_sending;
pub mod memory;
pub mod named_limit;
pub mod news;
pub mod notice;
mod placement;
pub mod pull_queue;
pub mod reachability;
pub mod relay;
pub mod rendezvous;
pub mod retry;
mod room;
mod shift;
mod split;
pub mod steering;
pub mod stop;
pub mod store_news;
pub mod suspects;
mod token_bucket;
pub mod transfer_limit;
pub mod unconfirmed;
pub mod upstream;
mod upstream_state;
pub mod view_age;

pub use config::{Config, Route};
pub use delivery::Deliveries;
pub use fleet::Fleet;
pub use lapsed::LapsedUpstreams;
pub use memory::Ledger;
pub use named_limit::RateLimit;
pub use news::NewsPacer;
pub use notice::Notice;
pub use pull_queue::PullQueue;
pub use reachability::Reachability;
pub use retry::RetryBudget;
pub use split::Split;
pub use steering::Steering;
pub use stop::Stop;
pub use store_news::StoreNews;
pub use suspects::Suspects;
pub use token_bucket::TokenBucket;
pub use transfer_limit::TransferLimit;
pub use unconfirmed::UnconfirmedStrikes;
pub use upstream::Upstream;
pub use view_age::ViewAge;
