//! Runs the measurements.

use std::time;

use clap::{Parser, Subcommand};
use waxwing_contract::options;
use waxwing_measure::contract;
use waxwing_measure::trace;

/// Measures the decisions over fakes with fixed seeds.
#[derive(Debug, Parser)]
struct Arguments {
    /// What to measure.
    #[command(subcommand)]
    what: What,
}

/// What to measure.
#[derive(Debug, Subcommand)]
enum What {
    /// Wrongful refusals and the worst-served organisation, against the central bucket.
    Contract {
        /// Length of each trace, in seconds.
        #[arg(long, default_value_t = 300)]
        span_s: u64,
        /// Traces for each row, each with a seed of its own.
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        /// How far ahead of the refill a holder promises tokens, in milliseconds.
        #[arg(long)]
        debt_ms: Option<u64>,
    },
}

fn main() {
    match Arguments::parse().what {
        What::Contract { span_s, seeds, debt_ms } => {
            let defaults = options::Options::default();
            let debt_max = debt_ms.map_or(defaults.debt_max, time::Duration::from_millis);
            measure_contract(options::Options { debt_max, ..defaults }, span_s, seeds);
        }
    }
}

/// The demands that are measured.
const SKEWS: [(&str, trace::Skew); 3] = [
    ("uniform", trace::Skew::Uniform),
    ("one VM", trace::Skew::OneVm(4)),
    ("moving", trace::Skew::Moving { stay_s: 5 }),
];

fn measure_contract(options: options::Options, span_s: u64, seeds: u64) {
    println!(
        "{:11} {:8} {:>5} {:>5} {:>6} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>8}",
        "deployment",
        "demand",
        "rate",
        "burst",
        "times",
        "central",
        "refused",
        "short",
        "got",
        "split",
        "median",
        "p99",
        "msg/req"
    );
    for deployment in [contract::Deployment::Cooperative, contract::Deployment::Kartelis] {
        for (name, skew) in SKEWS {
            for times in [0.9, 5.0] {
                for organisation in contract::organisations() {
                    let organisation = contract::Organisation { demand: times, ..organisation };
                    let results = (0..seeds).map(|seed| {
                        contract::run(deployment, options, organisation, skew, span_s, seed)
                    });
                    print_row(deployment, name, organisation, &sum(results));
                }
            }
        }
    }
}

/// Adds results up; waits are the largest of them.
fn sum(results: impl Iterator<Item = contract::Result>) -> contract::Result {
    results.fold(contract::Result::default(), |sum, one| contract::Result {
        requests: sum.requests + one.requests,
        central: sum.central + one.central,
        fleet: sum.fleet + one.fleet,
        refused_of_central: sum.refused_of_central + one.refused_of_central,
        split: sum.split + one.split,
        split_refused_of_central: sum.split_refused_of_central + one.split_refused_of_central,
        wait_median_ms: sum.wait_median_ms.max(one.wait_median_ms),
        wait_p99_ms: sum.wait_p99_ms.max(one.wait_p99_ms),
        messages: sum.messages + one.messages,
    })
}

fn print_row(
    deployment: contract::Deployment,
    skew: &str,
    organisation: contract::Organisation,
    result: &contract::Result,
) {
    let split = result.split_refused_of_central as f64 / result.central.max(1) as f64;
    println!(
        "{deployment:11} {skew:8} {:>5} {:>5} {:>6} {:>8} {:>7.2}% {:>7.2}% {:>7.2}% {:>7.2}% \
         {:>6.1} {:>6.1} {:>8.2}",
        organisation.rate_per_s,
        organisation.burst,
        organisation.demand,
        result.central,
        result.refused() * 100.0,
        result.shortfall() * 100.0,
        result.got() * 100.0,
        split * 100.0,
        result.wait_median_ms,
        result.wait_p99_ms,
        result.messages as f64 / result.requests.max(1) as f64,
    );
}
