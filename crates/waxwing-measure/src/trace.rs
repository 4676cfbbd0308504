//! When and where requests arrive.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;

/// Nanoseconds per second.
const NS_PER_S: f64 = 1e9;

/// How demand is spread over machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Skew {
    /// Each machine gets the same share.
    Uniform,
    /// One machine gets all of it.
    OneVm(usize),
    /// One machine after the other gets nine tenths of it, for some seconds each.
    Moving {
        /// How long demand stays at one machine, in seconds.
        stay_s: u64,
    },
}

/// A request's arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// The true time, in nanoseconds.
    pub at_ns: u64,
    /// The machine.
    pub vm: usize,
}

/// Draws the arrivals of a Poisson process of `rate_per_s` over `span_s` from `start_s` on.
pub fn poisson(
    seed: u64,
    rate_per_s: f64,
    start_s: f64,
    span_s: f64,
    skew: Skew,
    vms: usize,
) -> Vec<Arrival> {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at_s = start_s;
    loop {
        at_s -= (1.0 - rng.random::<f64>()).ln() / rate_per_s;
        if at_s >= start_s + span_s {
            return arrivals;
        }
        let vm = choose(&mut rng, skew, at_s, vms);
        arrivals.push(Arrival { at_ns: (at_s * NS_PER_S) as u64, vm });
    }
}

fn choose(rng: &mut rngs::SmallRng, skew: Skew, at_s: f64, vms: usize) -> usize {
    match skew {
        Skew::Uniform => rng.random_range(0..vms),
        Skew::OneVm(vm) => vm,
        Skew::Moving { stay_s } => {
            let favoured = (at_s as u64 / stay_s) as usize % vms;
            if rng.random_bool(0.9) { favoured } else { rng.random_range(0..vms) }
        }
    }
}
