//! Weighted splits of a route between services.

use std::collections::HashMap;

use foxtail_types::prelude::*;

use crate::Route;

/// Deals a route's requests to its parts, so that each part's share stays within one request of its
/// weight at every moment.
#[derive(Debug, Default)]
pub struct Split {
    credits: HashMap<String, Vec<f64>>,
}

impl Split {
    /// The service of the next request of `route`, or `None` if it has no part with a weight.
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

    /// Forgets routes that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.credits.retain(|name, _| keep(name));
    }
}
