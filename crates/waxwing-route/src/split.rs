//! Shares a route's requests out by weight.
//!
//! Each part's share is off by less than one request at any time, so that short spans keep to the
//! weights as well as long ones.

use waxwing_units::id;

use crate::route;

/// What one part has got beyond its share, in weights.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Credit {
    service: id::ServiceId,
    credit: i64,
}

/// The turns of one route's parts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WeightedRoundRobin {
    credits: Vec<Credit>,
}

impl WeightedRoundRobin {
    /// Returns the part whose turn it is; none where no part has any weight.
    pub fn next(&mut self, parts: &[route::WeightedService]) -> Option<id::ServiceId> {
        if let [only] = parts {
            return Some(only.service.clone());
        }
        self.keep_to(parts);
        let total: i64 = parts.iter().map(|part| i64::from(part.weight)).sum();
        for part in parts {
            self.credit(&part.service).credit += i64::from(part.weight);
        }
        let weighted = parts.iter().filter(|part| part.weight > 0);
        let next = weighted.max_by_key(|part| self.credit_of(&part.service))?.service.clone();
        self.credit(&next).credit -= total;
        Some(next)
    }

    /// Forgets parts that the route has no more.
    fn keep_to(&mut self, parts: &[route::WeightedService]) {
        self.credits.retain(|credit| parts.iter().any(|part| part.service == credit.service));
    }

    fn credit_of(&self, service: &id::ServiceId) -> i64 {
        let found = self.credits.iter().find(|credit| credit.service == *service);
        found.map_or(0, |credit| credit.credit)
    }

    fn credit(&mut self, service: &id::ServiceId) -> &mut Credit {
        let at = match self.credits.binary_search_by(|credit| credit.service.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                self.credits.insert(at, Credit { service: service.clone(), credit: 0 });
                at
            }
        };
        &mut self.credits[at]
    }
}
