//! Command line of the simulations and benchmarks in this crate.

use std::time;

use clap::{Parser, Subcommand};
use waxwing_contract::options;
use waxwing_measure::accuracy;
use waxwing_measure::capacity;
use waxwing_measure::placement_cost;
use waxwing_measure::trace;

/// Simulates the distributed rate limit and measures costs, with fixed seeds.
#[derive(Debug, Parser)]
struct Arguments {
    /// The measurement to run.
    #[command(subcommand)]
    what: What,
}

/// The measurements, one per subcommand.
#[derive(Debug, Subcommand)]
enum What {
    /// Requests that the fleet refuses although a central bucket admits them.
    Contract {
        /// Length of each request trace, in seconds.
        #[arg(long, default_value_t = 300)]
        span_s: u64,
        /// Number of traces per row, each with its own seed.
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        /// How far ahead of the refill a holder grants tokens, in milliseconds.
        #[arg(long)]
        debt_ms: Option<u64>,
        /// Measures organisations with these bursts and the rate `--rate` instead of the built-in
        /// eight.
        #[arg(long, requires = "rate")]
        burst: Vec<u64>,
        /// The rate of these organisations, in requests per second.
        #[arg(long)]
        rate: Option<f64>,
    },
    /// Share of its contract parts that each side of a network partition admits.
    Partition {
        /// How long one VM is isolated, in seconds.
        #[arg(long, default_value_t = 120)]
        span_s: u64,
    },
    /// Size of each message between keepers and between the processes of a VM.
    Messages,
    /// Cost of heartbeats and of the list of reachable VMs, by number of VMs.
    Fleet,
    /// Cost of client blocks, by their number.
    Blocks,
    /// Prints random client blocks as records for `waxwing apply`.
    WriteBlocks {
        /// Number of blocks.
        count: usize,
        /// The failure domain that all blocks name as nearest.
        failure_domain: String,
    },
    /// Time to grant and settle a token, by number of outstanding grants.
    Holder,
    /// Time to choose a backend server, by number of servers.
    Placement,
}

fn main() {
    match Arguments::parse().what {
        What::Contract { span_s, seeds, debt_ms, burst, rate } => {
            let defaults = options::Options::default();
            let debt_max = debt_ms.map_or(defaults.debt_max, time::Duration::from_millis);
            let options = options::Options { debt_max, ..defaults };
            let organisations = match rate {
                Some(rate_per_s) => organisations_with_bursts(rate_per_s, &burst),
                None => accuracy::organisations(),
            };
            measure_contract(options, &organisations, span_s, seeds);
        }
        What::Partition { span_s } => measure_partition(span_s),
        What::Messages => measure_messages(),
        What::Fleet => measure_fleet(),
        What::Blocks => measure_blocks(),
        What::WriteBlocks { count, failure_domain } => {
            print!("{}", capacity::blocks_yaml(count, &failure_domain));
        }
        What::Holder => measure_holder(),
        What::Placement => measure_placement(),
    }
}

fn measure_partition(span_s: u64) {
    println!("deployment   rate burst  isolated  other side     total  first admit ms  healed");
    for deployment in [accuracy::Deployment::Cooperative, accuracy::Deployment::Kartelis] {
        for organisation in accuracy::organisations() {
            let options = options::Options::default();
            let result = accuracy::run_partition(deployment, options, organisation, span_s, 1);
            println!(
                "{deployment:11} {:>5} {:>5} {:>9} {:>10.1}% {:>8.1}% {:>15} {:>6.1}%",
                organisation.rate_per_s,
                organisation.burst,
                result
                    .isolated_side
                    .map_or("-".to_owned(), |share| format!("{:.1}%", share * 100.0)),
                result.other_side * 100.0,
                result.total * 100.0,
                result
                    .isolated_side
                    .map_or("-".to_owned(), |_| format!("{:.0}", result.first_admission_ms)),
                result.after_heal * 100.0,
            );
        }
    }
}

fn measure_messages() {
    println!("{:22} {:>6}", "message", "bytes");
    for size in capacity::message_sizes().into_iter().chain(capacity::local_message_sizes()) {
        println!("{:22} {:>6}", size.message, size.len_bytes);
    }
}

fn measure_fleet() {
    println!("  VMs  targets  select us  recv us  list bytes  list us");
    for vms in [7, 50, 250, 950, 1_900] {
        let capacity::FleetCost { targets, select_us, record_us, list_bytes, list_us, .. } =
            capacity::fleet_cost(vms);
        println!(
            "{vms:>5} {targets:>8} {select_us:>10.1} {record_us:>8.2} {list_bytes:>11} {list_us:>8.1}"
        );
    }
}

fn measure_blocks() {
    println!(
        "   blocks    ranges   table MB  build ms   million lookups/s  JSON MB  copy MB  read ms"
    );
    for blocks in [1_000, 10_000, 100_000, 1_100_000, 2_200_000] {
        let cost = capacity::blocks_cost(blocks);
        println!(
            "{:>9} {:>9} {:>10.2} {:>9.1} {:>19.1} {:>8.2} {:>8.2} {:>8.1}",
            cost.blocks,
            cost.ranges,
            cost.table_bytes as f64 / 1e6,
            cost.build_ms,
            cost.lookups_per_s / 1e6,
            cost.json_bytes as f64 / 1e6,
            cost.copy_bytes as f64 / 1e6,
            cost.read_ms,
        );
    }
}

fn measure_holder() {
    println!("outstanding grant and settle us");
    for outstanding in [0, 10, 100, 1_000, 10_000] {
        let cost = capacity::holder_cost(outstanding);
        println!("{outstanding:>11} {:>19.3}", cost.grant_us);
    }
}

fn measure_placement() {
    println!("servers  first choice us  later choice us  same list us");
    for servers in [14, 168, 583, 1_077, 10_000] {
        let cost = placement_cost::placement_cost(servers);
        println!(
            "{servers:>7} {:>16.2} {:>16.2} {:>13.1}",
            cost.first_us, cost.later_us, cost.update_us
        );
    }
}

/// The ways of spreading demand over the VMs, with their names in the table.
const SKEWS: [(&str, trace::Skew); 3] = [
    ("uniform", trace::Skew::Uniform),
    ("one VM", trace::Skew::OneVm(4)),
    ("moving", trace::Skew::Moving { stay_s: 5 }),
];

fn organisations_with_bursts(rate_per_s: f64, bursts: &[u64]) -> Vec<accuracy::Organisation> {
    let with_burst =
        |burst: &u64| accuracy::Organisation { rate_per_s, burst: *burst, demand: 0.9, home: 0 };
    bursts.iter().map(with_burst).collect()
}

fn measure_contract(
    options: options::Options,
    organisations: &[accuracy::Organisation],
    span_s: u64,
    seeds: u64,
) {
    println!(
        "{:11} {:8} {:>5} {:>5} {:>6} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>8}",
        "deployment",
        "skew",
        "rate",
        "burst",
        "load",
        "central",
        "refused",
        "deficit",
        "admitted",
        "split",
        "median",
        "p99",
        "msg/req"
    );
    for deployment in [accuracy::Deployment::Cooperative, accuracy::Deployment::Kartelis] {
        for (name, skew) in SKEWS {
            for load in [0.9, 5.0] {
                for organisation in organisations {
                    let organisation = accuracy::Organisation { demand: load, ..*organisation };
                    let results = (0..seeds).map(|seed| {
                        accuracy::run(deployment, options, organisation, skew, span_s, seed)
                    });
                    print_row(deployment, name, organisation, &add_up(results));
                }
            }
        }
    }
}

/// Adds up the counts of several traces and takes the largest of their waits.
fn add_up(results: impl Iterator<Item = accuracy::Result>) -> accuracy::Result {
    results.fold(accuracy::Result::default(), |total, result| accuracy::Result {
        requests: total.requests + result.requests,
        admitted_by_central: total.admitted_by_central + result.admitted_by_central,
        admitted_by_fleet: total.admitted_by_fleet + result.admitted_by_fleet,
        wrongly_refused: total.wrongly_refused + result.wrongly_refused,
        admitted_by_split: total.admitted_by_split + result.admitted_by_split,
        wrongly_refused_by_split: total.wrongly_refused_by_split + result.wrongly_refused_by_split,
        wait_median_ms: total.wait_median_ms.max(result.wait_median_ms),
        wait_p99_ms: total.wait_p99_ms.max(result.wait_p99_ms),
        messages: total.messages + result.messages,
    })
}

fn print_row(
    deployment: accuracy::Deployment,
    skew: &str,
    organisation: accuracy::Organisation,
    result: &accuracy::Result,
) {
    let split = result.wrongly_refused_by_split as f64 / result.admitted_by_central.max(1) as f64;
    println!(
        "{deployment:11} {skew:8} {:>5} {:>5} {:>6} {:>8} {:>7.2}% {:>7.2}% {:>7.2}% {:>7.2}% \
         {:>6.1} {:>6.1} {:>8.2}",
        organisation.rate_per_s,
        organisation.burst,
        organisation.demand,
        result.admitted_by_central,
        result.wrongful_refusal_share() * 100.0,
        result.shortfall() * 100.0,
        result.admitted_share() * 100.0,
        split * 100.0,
        result.wait_median_ms,
        result.wait_p99_ms,
        result.messages as f64 / result.requests.max(1) as f64,
    );
}
