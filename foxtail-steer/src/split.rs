//! Weighted splits of a route's requests between services.

use std::collections::HashMap;

use foxtail_types::prelude::*;

use crate::Route;

/// Distributes a route's requests over its parts. At every moment each part's number of requests is
/// less than one request above its share by weight. With many parts it may be more than one request
/// below it.
#[derive(Debug, Default)]
pub struct Split {
    /// For each route, the number of requests by which each part is below its share.
    credits: HashMap<String, Vec<f64>>,
}

impl Split {
    /// Returns the service for the next request of `route`, or `None` if no part has a weight.
    pub fn next_service<'r>(&mut self, route: &'r Route) -> Option<&'r ServiceId> {
        if let [only] = route.parts.as_slice() {
            return Some(&only.service);
        }
        let total: f64 = route.parts.iter().map(|part| part.weight).sum();
        if total <= 0.0 {
            return None;
        }
        if !self.credits.contains_key(&route.name) {
            self.credits.insert(route.name.clone(), Vec::new());
        }
        let credits = self.credits.get_mut(&route.name)?;
        credits.resize(route.parts.len(), 0.0);
        for (credit, part) in credits.iter_mut().zip(&route.parts) {
            *credit += part.weight / total;
        }
        let chosen = (0..credits.len()).max_by(|&a, &b| credits[a].total_cmp(&credits[b]))?;
        credits[chosen] -= 1.0;
        Some(&route.parts[chosen].service)
    }

    /// Drops the state of routes for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.credits.retain(|name, _| keep(name));
    }
}
