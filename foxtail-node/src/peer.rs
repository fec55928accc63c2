//! What this host answers to other hosts.

use std::sync::Arc;

use async_trait::async_trait;
use foxtail_limit::msg as limit;
use foxtail_member::msg::{Delta, Pull};
use foxtail_once::commit::Done;
use foxtail_once::relay::msg::Relayed;
use foxtail_retry::msg::{self as retry, Ask, Leave, News};
use foxtail_sync::msg as config;
use foxtail_wire::peer::Handler;

use crate::state::State;

/// The port behind the peer service.
pub(crate) struct PeerHandler {
    pub(crate) state: Arc<State>,
}

#[async_trait]
impl Handler for PeerHandler {
    async fn pull(&self, req: Pull) -> Delta {
        let now = self.state.clock.now();
        self.state.fleet.members.lock().answer(&req, now)
    }

    async fn config(&self, req: config::Ask) -> config::Answer {
        self.state.spread.ask(&req)
    }

    async fn guard(&self, req: Ask) -> Leave {
        self.state.watch.serve(req).await
    }

    async fn done(&self, req: retry::Done) {
        self.state.watch.done(req);
    }

    async fn news(&self, news: Vec<News>, forward: bool) {
        for item in &news {
            self.state.watch.receive(item);
        }
        if forward {
            self.state.fleet.news_in_zone(&news).await;
        }
    }

    async fn all_news(&self) -> Vec<News> {
        self.state.watch.news()
    }

    async fn commit(&self, relayed: Relayed) -> Done {
        self.state.keys.commit(relayed).await
    }

    async fn limit(&self, req: limit::Request) -> limit::Reply {
        self.state.owners.serve(req).await
    }
}
