//! Generated request arrivals: a Poisson process with a choice of how demand is spread over the
//! entry VMs.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;

/// Nanoseconds per second.
const NS_PER_S: f64 = 1e9;

/// How demand is spread over the entry VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Skew {
    /// Each VM receives the same share.
    Uniform,
    /// The VM with this index receives all requests.
    OneVm(usize),
    /// One VM at a time receives nine tenths of the requests; the VMs take turns.
    Moving {
        /// How long demand stays at one VM, in seconds.
        stay_s: u64,
    },
}

/// The arrival of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// The simulated true time, in nanoseconds.
    pub at_ns: u64,
    /// The index of the VM that receives the request.
    pub vm: usize,
}

/// Generates a Poisson process of `rate_per_s` that begins at `start_s` and lasts `span_s`; the
/// arrivals are in order of time.
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
        let vm = choose_vm(&mut rng, skew, at_s, vms);
        arrivals.push(Arrival { at_ns: (at_s * NS_PER_S) as u64, vm });
    }
}

fn choose_vm(rng: &mut rngs::SmallRng, skew: Skew, at_s: f64, vms: usize) -> usize {
    match skew {
        Skew::Uniform => rng.random_range(0..vms),
        Skew::OneVm(vm) => vm,
        Skew::Moving { stay_s } => {
            let hot_vm = (at_s as u64 / stay_s) as usize % vms;
            if rng.random_bool(0.9) { hot_vm } else { rng.random_range(0..vms) }
        }
    }
}
