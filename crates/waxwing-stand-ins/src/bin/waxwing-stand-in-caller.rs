//! Runs the test double of a caller.

use std::net;

use clap::Parser;
use eyre::OptionExt;
use waxwing_stand_ins::caller;

/// Test double of a caller: looks up an entry VM and sends it a request.
#[derive(Debug, Parser)]
struct Arguments {
    /// The address of the lookup service.
    #[arg(long)]
    lookup: net::SocketAddr,
    /// The API key to send.
    #[arg(long)]
    key: Option<String>,
    /// The request id to send.
    #[arg(long)]
    request: Option<String>,
    /// The HTTP method.
    #[arg(long, default_value = "GET")]
    method: String,
    /// The path; without it only the lookup is made and its response printed.
    #[arg(long)]
    path: Option<String>,
    /// Length of the request body, in bytes.
    #[arg(long, default_value_t = 0)]
    body_bytes: usize,
    /// Sends the request this many times to `--direct` and prints the latencies.
    #[arg(long)]
    repeat: Option<usize>,
    /// The address that `--repeat` sends to, instead of the entry VM from the lookup.
    #[arg(long)]
    direct: Option<net::SocketAddr>,
}

/// Sends a request `times` times on one connection and prints percentiles of the latency.
fn measure_latency(
    address: net::SocketAddr,
    request: &caller::Request,
    times: usize,
) -> eyre::Result<()> {
    let latencies = caller::repeat(address, request, times)?;
    let percentile_ms = |quantile: f64| {
        latencies[((times as f64 * quantile) as usize).min(times - 1)].as_secs_f64() * 1e3
    };
    let (median, p99, max) = (percentile_ms(0.5), percentile_ms(0.99), percentile_ms(1.0));
    println!(
        "{times} requests: median {median:.2} ms, 99th percentile {p99:.2} ms, max {max:.2} ms"
    );
    Ok(())
}

fn main() -> eyre::Result<()> {
    let arguments = Arguments::parse();
    let mut lookup_request = caller::Request::new("GET", "/lookup");
    if let Some(name) = &arguments.request {
        lookup_request = lookup_request.header("waxwing-request", name);
    }
    let lookup_response = caller::call(arguments.lookup, &lookup_request)?;
    let Some(path) = &arguments.path else {
        println!("{}", lookup_response.text());
        return Ok(());
    };
    let listed: serde_json::Value = serde_json::from_slice(&lookup_response.body)?;
    let vms =
        listed["vms"].as_array().ok_or_eyre("the lookup response has no list of entry VMs")?;
    let mut request = caller::Request::new(&arguments.method, path);
    request.body = vec![b'x'; arguments.body_bytes];
    if let Some(key) = &arguments.key {
        request = request.header("waxwing-key", key);
    }
    if let Some(name) = &arguments.request {
        request = request.header("waxwing-request", name);
    }
    if let (Some(times), Some(direct)) = (arguments.repeat, arguments.direct) {
        return measure_latency(direct, &request, times);
    }
    for vm in vms {
        let address = vm["address"]
            .as_str()
            .ok_or_eyre("an entry VM in the lookup response has no address")?;
        match caller::call(address.parse()?, &request) {
            Ok(response) => {
                let outcome = response.header("waxwing-outcome");
                print!("{} {} {outcome}: {}", vm["vm"], response.status, response.text());
                return Ok(());
            }
            Err(error) => println!("{} did not respond: {error}", vm["vm"]),
        }
    }
    eyre::bail!("no entry VM responded")
}
