//! Message sizes, memory and processor time against the size of a deployment, measured on the real
//! encoders and data structures. The figures are for `docs/CAPACITY.md`.

use std::hint;
use std::net;
use std::time;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use waxwing_contract::contract;
use waxwing_contract::holder;
use waxwing_contract::message;
use waxwing_contract::options;
use waxwing_machine::entry_vm;
use waxwing_machine::fleet;
use waxwing_protocol::frame;
use waxwing_protocol::local;
use waxwing_protocol::peer;
use waxwing_record::record;
use waxwing_record::snapshot;
use waxwing_units::id;
use waxwing_units::prefix;
use waxwing_units::rate;
use waxwing_units::time as units_time;
use waxwing_zone::client_block;

/// Failure domains of a deployment of the size that the system is designed for.
const FAILURE_DOMAINS: usize = 21;

/// Seed of all random values.
const SEED: u64 = 0x000c_a9ac;

fn parse_id<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| unreachable!("{text} is a valid identifier"))
}

fn address(number: usize, port: u16) -> net::SocketAddr {
    let bits = 0x0a00_0000 + u32::try_from(number).unwrap_or(0);
    net::SocketAddr::from((net::Ipv4Addr::from_bits(bits), port))
}

fn sample_entry_vm(number: usize) -> entry_vm::EntryVm {
    entry_vm::EntryVm {
        vm: parse_id(&format!("vm-domain-{:02}-{number:04}", number % FAILURE_DOMAINS)),
        failure_domain: parse_id(&format!("domain-{:02}", number % FAILURE_DOMAINS)),
        peer_address: address(number, 7002),
        entry_address: address(number, 7006),
        forward_address: address(number, 7007),
        phase: entry_vm::Phase::Live,
    }
}

fn sample_heartbeat(vm: &entry_vm::EntryVm) -> fleet::Heartbeat {
    fleet::Heartbeat {
        entry_vm: vm.clone(),
        revision: id::Revision(1),
        confirmed_ago_ms: Some(units_time::Millis(4_000)),
        interval_ms: units_time::Millis(500),
        load: fleet::Load::default(),
    }
}

/// The encoded size of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MessageSize {
    /// The kind of message, with its variable parts, as printed in the table.
    pub message: &'static str,
    /// Encoded length in bytes, without UDP or TCP headers.
    pub len_bytes: usize,
}

fn datagram_size(message: &'static str, body: peer::Body) -> MessageSize {
    let from = message::Peer {
        vm: sample_entry_vm(1).vm,
        incarnation: id::Incarnation(1_700_000_000_000),
    };
    let stamp = waxwing_timeline::stamp::Stamp { wall_ms: 1_700_000_000_000, counter: 3 };
    let datagram = peer::Datagram { from, stamp, body };
    let mut buffer = [0; 16 * peer::DATAGRAM_MAX_BYTES];
    let len_bytes = peer::encode(&datagram, &mut buffer).map_or(0, <[u8]>::len);
    MessageSize { message, len_bytes }
}

fn contract_message(body: message::Body) -> peer::Body {
    peer::Body::Contract(message::Message {
        organisation: parse_id("organisation-1"),
        from: message::Peer {
            vm: sample_entry_vm(1).vm,
            incarnation: id::Incarnation(1_700_000_000_000),
        },
        answers: Some(id::Incarnation(1_700_000_000_000)),
        body,
    })
}

/// Returns the sizes of the messages that keepers of different VMs exchange.
pub fn message_sizes() -> Vec<MessageSize> {
    use message::Body;
    let base_part = || message::PartName::Base;
    let nonce = id::Nonce(1_000_000);
    let one = rate::Tokens(1);
    let heartbeat = |shares: usize| {
        let share = |number| fleet::ShiftedShare {
            service: parse_id(&format!("service-{number}")),
            away_permille: 100,
        };
        peer::Body::Heartbeat(fleet::Heartbeat {
            entry_vm: sample_entry_vm(1),
            revision: id::Revision(1_000_000),
            confirmed_ago_ms: Some(units_time::Millis(4_000)),
            interval_ms: units_time::Millis(5_200),
            load: fleet::Load {
                in_flight: 1_000,
                free_slots: 1_000,
                shares: (0..shares).map(share).collect(),
            },
        })
    };
    let wait_ms = units_time::Millis(300);
    let age_us = units_time::Micros(35_000);
    let ask = Body::Ask { part: base_part(), nonce, needed: one, prefetch: one, wait_ms, age_us };
    let start_after_ms = units_time::Millis(0);
    let grant = Body::Grant { part: base_part(), nonce, tokens: one, start_after_ms };
    let denial = message::Denial::Exhausted { retry_after_ms: wait_ms };
    let lent = contract::RateLimit {
        rate_per_second: rate::TokenRate::per_second(100),
        burst_tokens: rate::Tokens(100).nano(),
    };
    let failure_domain = sample_entry_vm(1).failure_domain;
    let lease_ask = Body::LeaseAsk { failure_domain: failure_domain.clone(), nonce };
    let lease_grant = Body::LeaseGrant { failure_domain, nonce, lent };
    let settle = Body::Settle { part: base_part(), nonce, unspent: rate::Tokens(0) };
    vec![
        datagram_size("heartbeat", heartbeat(0)),
        datagram_size("heartbeat, 10 shares", heartbeat(10)),
        datagram_size("ask", contract_message(ask)),
        datagram_size("grant", contract_message(grant)),
        datagram_size("deny", contract_message(Body::Deny { part: base_part(), nonce, denial })),
        datagram_size("settle", contract_message(settle)),
        datagram_size("lease ask", contract_message(lease_ask)),
        datagram_size("lease grant", contract_message(lease_grant)),
    ]
}

/// Returns the sizes of the messages between the processes of one VM, without the list of reachable
/// VMs and the records, whose sizes grow with the deployment.
pub fn local_message_sizes() -> Vec<MessageSize> {
    let nonce = id::Nonce(1_000_000);
    let stamp = waxwing_timeline::stamp::Stamp { wall_ms: 1_700_000_000_000, counter: 3 };
    let charge = local::ToKeeper::Charge {
        nonce,
        organisation: parse_id("organisation-1"),
        request: parse_id("r-0123456789abcdef"),
        wait_ms: units_time::Millis(300),
        stamp,
    };
    let charged = local::FromKeeper::Charged { nonce, decision: Ok(()), stamp };
    let confirmed = local::FromKeeper::Confirmed { ago_ms: units_time::Millis(3_000) };
    let load = fleet::Load { in_flight: 1_000, free_slots: 1_000, shares: Vec::new() };
    let len = |encoded: frame::Result<Vec<u8>>| encoded.map_or(0, |bytes| bytes.len());
    vec![
        MessageSize { message: "charge", len_bytes: len(frame::encode(&charge)) },
        MessageSize { message: "charged", len_bytes: len(frame::encode(&charged)) },
        MessageSize { message: "confirmed", len_bytes: len(frame::encode(&confirmed)) },
        MessageSize {
            message: "load",
            len_bytes: len(frame::encode(&local::ToKeeper::Load(load))),
        },
    ]
}

/// The cost of heartbeats and of the list of reachable VMs, for one number of VMs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetCost {
    /// Number of entry VMs in the deployment.
    pub vms: usize,
    /// Number of VMs that one heartbeat is sent to.
    pub targets: usize,
    /// Processor time to select these VMs, in microseconds.
    pub select_us: f64,
    /// Processor time to record one received heartbeat, in microseconds.
    pub record_us: f64,
    /// Encoded size in bytes of the list of reachable VMs, which the keeper sends to the other
    /// processes of its VM.
    pub list_bytes: usize,
    /// Processor time to build and encode that list, in microseconds.
    pub list_us: f64,
}

/// Measures heartbeats and the list of reachable VMs in a deployment of `vms` VMs.
pub fn fleet_cost(vms: usize) -> FleetCost {
    let now = units_time::MonoInstant(1);
    let mut fleet = fleet::Fleet::default();
    let all: Vec<entry_vm::EntryVm> = (0..vms).map(sample_entry_vm).collect();
    fleet.set_platform_list(now, &all);
    for vm in &all {
        fleet.record_heartbeat(now, sample_heartbeat(vm), id::Incarnation(1));
    }
    let rounds = 200;
    let select_us = mean_us(rounds, || fleet.heartbeat_targets(&all[0]).len());
    let targets = fleet.heartbeat_targets(&all[0]).len();
    let mut next = 0;
    let record_us = mean_us(rounds * 10, || {
        next = (next + 1) % vms;
        fleet.record_heartbeat(now, sample_heartbeat(&all[next]), id::Incarnation(1))
    });
    let encode_list = || frame::encode(&local::FromKeeper::Fleet(fleet.reachable(now)));
    let list_us = mean_us(rounds, &encode_list);
    let list_bytes = encode_list().map_or(0, |bytes| bytes.len());
    FleetCost { vms, targets, select_us, record_us, list_bytes, list_us }
}

fn mean_us<T>(rounds: u32, mut run: impl FnMut() -> T) -> f64 {
    let began_at = time::Instant::now();
    for _ in 0..rounds {
        hint::black_box(run());
    }
    began_at.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

/// The cost of client blocks (address prefixes with their nearest failure domain), for one number
/// of blocks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BlocksCost {
    /// Number of blocks.
    pub blocks: usize,
    /// Number of address ranges in the lookup table that is built from the blocks.
    pub ranges: usize,
    /// Memory of the lookup table, in bytes.
    pub table_bytes: usize,
    /// Time to build the lookup table, in milliseconds.
    pub build_ms: f64,
    /// Lookups per second on one core.
    pub lookups_per_s: f64,
    /// Size in bytes of the records as JSON, the form in the store.
    pub json_bytes: usize,
    /// Size in bytes of the snapshot in the encoding that keepers send to each other.
    pub copy_bytes: usize,
    /// Time to read a snapshot from the parsed JSON of the records, in milliseconds.
    pub read_ms: f64,
}

/// Generates random blocks for 310 failure domains; a third are /20 prefixes, which may contain the
/// longer ones.
fn random_blocks(count: usize) -> Vec<record::ClientBlock> {
    let mut rng = rngs::SmallRng::seed_from_u64(SEED);
    let failure_domains: Vec<id::FailureDomainId> =
        (0..310).map(|n| parse_id(&format!("site-{n:03}"))).collect();
    (0..count)
        .map(|_| {
            let len_bits = if rng.random_bool(0.33) { 20 } else { rng.random_range(22..=28) };
            let network = net::IpAddr::V4(net::Ipv4Addr::from_bits(rng.random()));
            let prefix = prefix::Prefix { network, len_bits };
            let failure_domain =
                failure_domains[rng.random_range(0..failure_domains.len())].clone();
            record::ClientBlock { prefix, failure_domain }
        })
        .collect()
}

/// Measures the lookup table and the records for `count` random client blocks.
pub fn blocks_cost(count: usize) -> BlocksCost {
    let blocks = random_blocks(count);
    let began_at = time::Instant::now();
    let Ok(table) = client_block::Table::build(&blocks) else {
        unreachable!("310 failure domains fit the table");
    };
    let build_ms = began_at.elapsed().as_secs_f64() * 1e3;
    let stored = stored_blocks(&blocks);
    let json_bytes = stored.iter().map(|entry| entry.value.to_string().len()).sum();
    let began_at = time::Instant::now();
    let snapshot = snapshot::Snapshot::read(id::Revision(1), &stored);
    let read_ms = began_at.elapsed().as_secs_f64() * 1e3;
    BlocksCost {
        blocks: count,
        ranges: table.ranges(),
        table_bytes: table.ranges_bytes(),
        build_ms,
        lookups_per_s: lookups_per_s(&table),
        json_bytes,
        copy_bytes: postcard::to_stdvec(&snapshot).map_or(0, |bytes| bytes.len()),
        read_ms,
    }
}

fn lookups_per_s(table: &client_block::Table) -> f64 {
    let mut rng = rngs::SmallRng::seed_from_u64(SEED);
    let addresses: Vec<net::IpAddr> =
        (0..1 << 20).map(|_| net::IpAddr::V4(net::Ipv4Addr::from_bits(rng.random()))).collect();
    let began_at = time::Instant::now();
    for _ in 0..4 {
        for address in &addresses {
            hint::black_box(table.nearest(*address));
        }
    }
    4.0 * addresses.len() as f64 / began_at.elapsed().as_secs_f64()
}

/// Returns `count` random client blocks as YAML records that all name one failure domain.
pub fn blocks_yaml(count: usize, failure_domain: &str) -> String {
    let blocks = random_blocks(count);
    let chunks = blocks.chunks(BLOCKS_PER_RECORD).enumerate();
    let mut text = String::new();
    for (number, chunk) in chunks {
        text.push_str(&format!(
            "---\nkind: client-blocks\nschema_version: 1\nname: blocks-{number}\nnearest:\n  \
             {failure_domain}:\n"
        ));
        for block in chunk {
            text.push_str(&format!("    - {}\n", block.prefix));
        }
    }
    text
}

/// Blocks per record; keeps each record well below one megabyte.
const BLOCKS_PER_RECORD: usize = 20_000;

/// Splits blocks into records, as the store returns them.
fn stored_blocks(blocks: &[record::ClientBlock]) -> Vec<snapshot::StoredValue> {
    let chunks = blocks.chunks(BLOCKS_PER_RECORD).enumerate();
    chunks
        .map(|(number, chunk)| {
            let mut nearest = serde_json::Map::new();
            for block in chunk {
                let domain_prefixes = nearest
                    .entry(block.failure_domain.to_string())
                    .or_insert_with(|| serde_json::Value::Array(Vec::new()));
                if let serde_json::Value::Array(prefixes) = domain_prefixes {
                    prefixes.push(block.prefix.to_string().into());
                }
            }
            let value = serde_json::json!({
                "kind": "client-blocks", "schema_version": 1,
                "name": format!("blocks-{number}"), "nearest": nearest,
            });
            let path = format!("client-blocks/blocks-{number}");
            snapshot::StoredValue { path, revision: id::Revision(1), value }
        })
        .collect()
}

/// The cost of a token grant at a holder, for one number of outstanding grants.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HolderCost {
    /// Number of grants that are not settled yet.
    pub outstanding: u64,
    /// Processor time to grant a token and settle the grant, in microseconds.
    pub grant_us: f64,
}

/// Measures the holder of a rate limit that has `outstanding` unsettled grants.
pub fn holder_cost(outstanding: u64) -> HolderCost {
    let limit = contract::RateLimit {
        rate_per_second: rate::TokenRate::per_second(1_000_000),
        burst_tokens: rate::Tokens(1_000_000).nano(),
    };
    let start = units_time::MonoInstant(0);
    let mut holder = holder::Holder::new(options::Options::default(), limit, start);
    let now = start.after(time::Duration::from_secs(2));
    let borrower = message::Peer { vm: sample_entry_vm(1).vm, incarnation: id::Incarnation(1) };
    let mut nonce = 0;
    let mut request_token = |holder: &mut holder::Holder| {
        nonce += 1;
        let request = holder::TokenRequest {
            borrower: borrower.clone(),
            nonce: id::Nonce(nonce),
            needed: rate::Tokens(1),
            prefetch: rate::Tokens(0),
            wait: time::Duration::ZERO,
            age: time::Duration::ZERO,
        };
        holder.request_tokens(now, &request);
        id::Nonce(nonce)
    };
    for _ in 0..outstanding {
        request_token(&mut holder);
    }
    let grant_us = mean_us(20_000, || {
        let nonce = request_token(&mut holder);
        holder.settle(now, &borrower, nonce, rate::Tokens(0));
    });
    HolderCost { outstanding, grant_us }
}
