//! Tests of the lookup of the failure domain nearest to an address.

use waxwing_record::record;
use waxwing_zone::client_block;

fn block(prefix: &str, domain: &str) -> record::ClientBlock {
    record::ClientBlock {
        prefix: prefix.parse().expect("a prefix"),
        failure_domain: domain.parse().expect("a valid name"),
    }
}

fn nearest(blocks: &[record::ClientBlock], address: &str) -> Option<String> {
    let table = client_block::Table::build(blocks).expect("a small table");
    table.nearest(address.parse().expect("an address")).map(ToString::to_string)
}

#[test]
fn the_smallest_block_that_contains_an_address_decides() {
    let blocks = [
        block("10.0.0.0/8", "a"),
        block("10.1.0.0/16", "b"),
        block("10.1.2.0/24", "c"),
        block("10.1.2.3/32", "d"),
        block("255.255.255.0/24", "e"),
        block("2001:db8::/32", "f"),
    ];
    let cases = [
        ("9.255.255.255", None),
        ("10.0.0.0", Some("a")),
        ("10.0.255.255", Some("a")),
        ("10.1.0.0", Some("b")),
        ("10.1.2.0", Some("c")),
        ("10.1.2.3", Some("d")),
        ("10.1.2.4", Some("c")),
        ("10.1.3.0", Some("b")),
        ("10.2.0.0", Some("a")),
        ("11.0.0.0", None),
        ("255.255.255.255", Some("e")),
        ("2001:db8::1", Some("f")),
        ("2001:db9::1", None),
    ];
    for (address, expected) in cases {
        assert_eq!(nearest(&blocks, address).as_deref(), expected, "{address}");
    }
}

#[test]
fn the_table_agrees_with_a_search_of_all_blocks() {
    let mut state = 0x1234_5678_u32;
    let mut next = || {
        state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        state
    };
    let blocks: Vec<record::ClientBlock> = (0..400)
        .map(|_| {
            let network = std::net::Ipv4Addr::from_bits(next());
            let prefix = format!("{network}/{}", next() >> 8 & 31);
            block(&prefix, &format!("site-{}", next() >> 16 & 7))
        })
        .collect();
    let table = client_block::Table::build(&blocks).expect("a small table");
    for _ in 0..20_000 {
        let address = std::net::IpAddr::V4(std::net::Ipv4Addr::from_bits(next()));
        let longest = blocks.iter().filter(|block| block.prefix.contains(address));
        let longest = longest.max_by_key(|block| block.prefix.len_bits);
        let found = table.nearest(address);
        match longest {
            None => assert_eq!(found, None, "{address}"),
            Some(longest) => {
                let same = blocks.iter().filter(|block| {
                    block.prefix.len_bits == longest.prefix.len_bits
                        && block.prefix.contains(address)
                });
                let allowed: Vec<_> = same.map(|block| &block.failure_domain).collect();
                assert!(found.is_some_and(|domain| allowed.contains(&domain)), "{address}");
            }
        }
    }
}

#[test]
fn an_empty_table_finds_no_failure_domain() {
    assert_eq!(nearest(&[], "10.0.0.1"), None);
}
