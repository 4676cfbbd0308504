//! Slopes for the capacity page: bytes, memory and processor time against size.

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

/// Failure domains at the size that is designed for.
const FAILURE_DOMAINS: usize = 21;

/// The seed of all drawn values.
const SEED: u64 = 0x000c_a9ac;

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| unreachable!("{text} is a valid name"))
}

fn address(number: usize, port: u16) -> net::SocketAddr {
    let bits = 0x0a00_0000 + u32::try_from(number).unwrap_or(0);
    net::SocketAddr::from((net::Ipv4Addr::from_bits(bits), port))
}

fn entry_vm_of(number: usize) -> entry_vm::EntryVm {
    entry_vm::EntryVm {
        vm: name(&format!("vm-domain-{:02}-{number:04}", number % FAILURE_DOMAINS)),
        failure_domain: name(&format!("domain-{:02}", number % FAILURE_DOMAINS)),
        peer_address: address(number, 7002),
        entry_address: address(number, 7006),
        forward_address: address(number, 7007),
        phase: entry_vm::Phase::Live,
    }
}

fn heartbeat_of(vm: &entry_vm::EntryVm) -> fleet::Heartbeat {
    fleet::Heartbeat {
        entry_vm: vm.clone(),
        revision: id::Revision(1),
        confirmed_ago_ms: Some(units_time::Millis(4_000)),
        interval_ms: units_time::Millis(500),
        load: fleet::Load::default(),
    }
}

/// A message and the bytes that it takes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MessageSize {
    /// The message.
    pub message: &'static str,
    /// Bytes, without the headers of UDP or TCP.
    pub len_bytes: usize,
}

fn datagram_size(message: &'static str, body: peer::Body) -> MessageSize {
    let from =
        message::Peer { vm: entry_vm_of(1).vm, incarnation: id::Incarnation(1_700_000_000_000) };
    let stamp = waxwing_timeline::stamp::Stamp { wall_ms: 1_700_000_000_000, counter: 3 };
    let datagram = peer::Datagram { from, stamp, body };
    let mut buffer = [0; 16 * peer::DATAGRAM_MAX_BYTES];
    let len_bytes = peer::encode(&datagram, &mut buffer).map_or(0, <[u8]>::len);
    MessageSize { message, len_bytes }
}

fn contract_message(body: message::Body) -> peer::Body {
    peer::Body::Contract(message::Message {
        organisation: name("organisation-1"),
        from: message::Peer {
            vm: entry_vm_of(1).vm,
            incarnation: id::Incarnation(1_700_000_000_000),
        },
        answers: Some(id::Incarnation(1_700_000_000_000)),
        body,
    })
}

/// Returns the sizes of the messages between keepers.
pub fn message_sizes() -> Vec<MessageSize> {
    use message::Body;
    let base = || message::PartName::Base;
    let nonce = id::Nonce(1_000_000);
    let one = rate::Tokens(1);
    let heartbeat = |shares: usize| {
        let share = |number| fleet::ShiftedShare {
            service: name(&format!("service-{number}")),
            away_permille: 100,
        };
        peer::Body::Heartbeat(fleet::Heartbeat {
            entry_vm: entry_vm_of(1),
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
    let ask = Body::Ask { part: base(), nonce, needed: one, prefetch: one, wait_ms, age_us };
    let start_after_ms = units_time::Millis(0);
    let grant = Body::Grant { part: base(), nonce, tokens: one, start_after_ms };
    let denial = message::Denial::Exhausted { retry_after_ms: wait_ms };
    let lent = contract::RateLimit {
        rate_per_second: rate::TokenRate::per_second(100),
        burst_tokens: rate::Tokens(100).nano(),
    };
    let failure_domain = entry_vm_of(1).failure_domain;
    let lease_ask = Body::LeaseAsk { failure_domain: failure_domain.clone(), nonce };
    let lease_grant = Body::LeaseGrant { failure_domain, nonce, lent };
    let settle = Body::Settle { part: base(), nonce, unspent: rate::Tokens(0) };
    vec![
        datagram_size("heartbeat", heartbeat(0)),
        datagram_size("heartbeat, 10 shares", heartbeat(10)),
        datagram_size("ask", contract_message(ask)),
        datagram_size("grant", contract_message(grant)),
        datagram_size("deny", contract_message(Body::Deny { part: base(), nonce, denial })),
        datagram_size("settle", contract_message(settle)),
        datagram_size("lease ask", contract_message(lease_ask)),
        datagram_size("lease grant", contract_message(lease_grant)),
    ]
}

/// Returns the sizes of the messages between the processes of one machine, without the view of the
/// machines and the records, which grow with them.
pub fn local_message_sizes() -> Vec<MessageSize> {
    let nonce = id::Nonce(1_000_000);
    let stamp = waxwing_timeline::stamp::Stamp { wall_ms: 1_700_000_000_000, counter: 3 };
    let charge = local::ToKeeper::Charge {
        nonce,
        organisation: name("organisation-1"),
        request: name("r-0123456789abcdef"),
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

/// Bytes and processor time against the number of machines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetCost {
    /// Machines.
    pub vms: usize,
    /// Machines that one heartbeat goes to.
    pub targets: usize,
    /// Processor time to choose them, in microseconds.
    pub choose_us: f64,
    /// Processor time to take in one heartbeat, in microseconds.
    pub hear_us: f64,
    /// Bytes of the view that other processes of the machine are sent.
    pub view_bytes: usize,
    /// Processor time to make and encode that view, in microseconds.
    pub view_us: f64,
}

/// Measures heartbeats for a number of machines.
pub fn fleet_cost(vms: usize) -> FleetCost {
    let now = units_time::MonoInstant(1);
    let mut fleet = fleet::Fleet::default();
    let all: Vec<entry_vm::EntryVm> = (0..vms).map(entry_vm_of).collect();
    fleet.set_platform_list(now, &all);
    for vm in &all {
        fleet.record_heartbeat(now, heartbeat_of(vm), id::Incarnation(1));
    }
    let rounds = 200;
    let choose_us = mean_us(rounds, || fleet.heartbeat_targets(&all[0]).len());
    let targets = fleet.heartbeat_targets(&all[0]).len();
    let mut next = 0;
    let hear_us = mean_us(rounds * 10, || {
        next = (next + 1) % vms;
        fleet.record_heartbeat(now, heartbeat_of(&all[next]), id::Incarnation(1))
    });
    let view = || frame::encode(&local::FromKeeper::Fleet(fleet.reachable(now)));
    let view_us = mean_us(rounds, &view);
    let view_bytes = view().map_or(0, |bytes| bytes.len());
    FleetCost { vms, targets, choose_us, hear_us, view_bytes, view_us }
}

fn mean_us<T>(rounds: u32, mut run: impl FnMut() -> T) -> f64 {
    let began_at = time::Instant::now();
    for _ in 0..rounds {
        hint::black_box(run());
    }
    began_at.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

/// Cost of client blocks against their number.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BlocksCost {
    /// Blocks.
    pub blocks: usize,
    /// Ranges of the table.
    pub ranges: usize,
    /// Memory of the table, in bytes.
    pub table_bytes: usize,
    /// Time to build the table anew, in milliseconds.
    pub build_ms: f64,
    /// Look-ups a second on one core.
    pub lookups_per_s: f64,
    /// Bytes of the records as JSON, as the store keeps them.
    pub json_bytes: usize,
    /// Bytes of the records as one keeper copies them to another.
    pub copy_bytes: usize,
    /// Time to read the records from JSON, in milliseconds.
    pub read_ms: f64,
}

/// Draws blocks that lead to 310 sites; a third lie within others.
fn draw_blocks(count: usize) -> Vec<record::ClientBlock> {
    let mut rng = rngs::SmallRng::seed_from_u64(SEED);
    let sites: Vec<id::FailureDomainId> = (0..310).map(|n| name(&format!("site-{n:03}"))).collect();
    (0..count)
        .map(|_| {
            let len_bits = if rng.random_bool(0.33) { 20 } else { rng.random_range(22..=28) };
            let network = net::IpAddr::V4(net::Ipv4Addr::from_bits(rng.random()));
            let prefix = prefix::Prefix { network, len_bits };
            let failure_domain = sites[rng.random_range(0..sites.len())].clone();
            record::ClientBlock { prefix, failure_domain }
        })
        .collect()
}

/// Measures client blocks for a number of them.
pub fn blocks_cost(count: usize) -> BlocksCost {
    let blocks = draw_blocks(count);
    let began_at = time::Instant::now();
    let Ok(table) = client_block::Table::build(&blocks) else {
        unreachable!("310 sites can be told apart");
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

/// Returns a number of client blocks as records in YAML, for one failure domain.
pub fn blocks_yaml(count: usize, failure_domain: &str) -> String {
    let blocks = draw_blocks(count);
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

/// Blocks in one record, so that each stays well below a megabyte.
const BLOCKS_PER_RECORD: usize = 20_000;

/// Cuts blocks into records.
fn stored_blocks(blocks: &[record::ClientBlock]) -> Vec<snapshot::StoredValue> {
    let chunks = blocks.chunks(BLOCKS_PER_RECORD).enumerate();
    chunks
        .map(|(number, chunk)| {
            let mut nearest = serde_json::Map::new();
            for block in chunk {
                let of_site = nearest
                    .entry(block.failure_domain.to_string())
                    .or_insert_with(|| serde_json::Value::Array(Vec::new()));
                if let serde_json::Value::Array(prefixes) = of_site {
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

/// Cost of a holder against the grants that are outstanding.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HolderCost {
    /// Grants that are outstanding.
    pub outstanding: u64,
    /// Processor time to answer a question and settle the grant, in microseconds.
    pub ask_us: f64,
}

/// Measures a holder with a number of outstanding grants.
pub fn holder_cost(outstanding: u64) -> HolderCost {
    let part = contract::RateLimit {
        rate_per_second: rate::TokenRate::per_second(1_000_000),
        burst_tokens: rate::Tokens(1_000_000).nano(),
    };
    let start = units_time::MonoInstant(0);
    let mut holder = holder::Holder::new(options::Options::default(), part, start);
    let now = start.after(time::Duration::from_secs(2));
    let borrower = message::Peer { vm: entry_vm_of(1).vm, incarnation: id::Incarnation(1) };
    let mut nonce = 0;
    let mut ask = |holder: &mut holder::Holder| {
        nonce += 1;
        let ask = holder::TokenRequest {
            borrower: borrower.clone(),
            nonce: id::Nonce(nonce),
            needed: rate::Tokens(1),
            prefetch: rate::Tokens(0),
            wait: time::Duration::ZERO,
            age: time::Duration::ZERO,
        };
        holder.request_tokens(now, &ask);
        id::Nonce(nonce)
    };
    for _ in 0..outstanding {
        ask(&mut holder);
    }
    let ask_us = mean_us(20_000, || {
        let nonce = ask(&mut holder);
        holder.settle(now, &borrower, nonce, rate::Tokens(0));
    });
    HolderCost { outstanding, ask_us }
}
