//! Runs the stand-in for a caller.

use std::net;

use clap::Parser;
use eyre::OptionExt;
use waxwing_stand_ins::caller;

/// Stands in for a caller: asks which entry VM to use, and sends it one request.
#[derive(Debug, Parser)]
struct Arguments {
    /// Where look-ups are answered.
    #[arg(long)]
    lookup: net::SocketAddr,
    /// The key to send.
    #[arg(long)]
    key: Option<String>,
    /// The name of the request.
    #[arg(long)]
    request: Option<String>,
    /// The method.
    #[arg(long, default_value = "GET")]
    method: String,
    /// The path; without one only the look-up is made.
    #[arg(long)]
    path: Option<String>,
    /// Bytes of the body to upload.
    #[arg(long, default_value_t = 0)]
    body_bytes: usize,
    /// Sends the request this often on one connection and prints how long it took.
    #[arg(long)]
    repeat: Option<usize>,
    /// Sends the request straight to this address, without a look-up.
    #[arg(long)]
    direct: Option<net::SocketAddr>,
}

/// Sends one request many times and prints how long it took.
fn measure(address: net::SocketAddr, request: &caller::Request, times: usize) -> eyre::Result<()> {
    let took = caller::repeat(address, request, times)?;
    let at =
        |share: f64| took[((times as f64 * share) as usize).min(times - 1)].as_secs_f64() * 1e3;
    let (median, p99, most) = (at(0.5), at(0.99), at(1.0));
    println!(
        "{times} requests: median {median:.2} ms, 99th percentile {p99:.2} ms, most {most:.2} ms"
    );
    Ok(())
}

fn main() -> eyre::Result<()> {
    let arguments = Arguments::parse();
    let mut question = caller::Request::new("GET", "/lookup");
    if let Some(name) = &arguments.request {
        question = question.header("waxwing-request", name);
    }
    let answer = caller::call(arguments.lookup, &question)?;
    let Some(path) = &arguments.path else {
        println!("{}", answer.text());
        return Ok(());
    };
    let answer: serde_json::Value = serde_json::from_slice(&answer.body)?;
    let vms = answer["vms"].as_array().ok_or_eyre("the look-up named no entry VM")?;
    let mut request = caller::Request::new(&arguments.method, path);
    request.body = vec![b'x'; arguments.body_bytes];
    if let Some(key) = &arguments.key {
        request = request.header("waxwing-key", key);
    }
    if let Some(name) = &arguments.request {
        request = request.header("waxwing-request", name);
    }
    if let (Some(times), Some(direct)) = (arguments.repeat, arguments.direct) {
        return measure(direct, &request, times);
    }
    for vm in vms {
        let address = vm["address"].as_str().ok_or_eyre("an entry VM has no address")?;
        match caller::call(address.parse()?, &request) {
            Ok(answer) => {
                let outcome = answer.header("waxwing-outcome");
                print!("{} {} {outcome}: {}", vm["vm"], answer.status, answer.text());
                return Ok(());
            }
            Err(error) => println!("{} did not answer: {error}", vm["vm"]),
        }
    }
    eyre::bail!("no entry VM answered")
}
