//! Splits a route's requests among its services by weight.
//!
//! Smooth weighted round robin keeps each service within about one request of its share at any
//! time, so that short spans follow the weights as closely as long ones.

use waxwing_units::id;

use crate::route;

/// How far a service is behind its share, in units of weight; negative if it is ahead.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Credit {
    service: id::ServiceId,
    credit: i64,
}

/// The smooth weighted round robin state of one route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WeightedRoundRobin {
    credits: Vec<Credit>,
}

impl WeightedRoundRobin {
    /// Returns the service for the next request, or `None` if no service has a weight above 0.
    ///
    /// The only service of a route that is not split is returned whatever its weight.
    pub fn next(&mut self, services: &[route::WeightedService]) -> Option<id::ServiceId> {
        if let [only] = services {
            return Some(only.service.clone());
        }
        self.retain_services(services);
        let total: i64 = services.iter().map(|candidate| i64::from(candidate.weight)).sum();
        for candidate in services {
            self.credit_mut(&candidate.service).credit += i64::from(candidate.weight);
        }
        let eligible = services.iter().filter(|candidate| candidate.weight > 0);
        let next =
            eligible.max_by_key(|candidate| self.credit_of(&candidate.service))?.service.clone();
        self.credit_mut(&next).credit -= total;
        Some(next)
    }

    /// Removes the credits of services that the route no longer has.
    fn retain_services(&mut self, services: &[route::WeightedService]) {
        self.credits
            .retain(|credit| services.iter().any(|candidate| candidate.service == credit.service));
    }

    fn credit_of(&self, service: &id::ServiceId) -> i64 {
        let found = self.credits.iter().find(|credit| credit.service == *service);
        found.map_or(0, |credit| credit.credit)
    }

    fn credit_mut(&mut self, service: &id::ServiceId) -> &mut Credit {
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
