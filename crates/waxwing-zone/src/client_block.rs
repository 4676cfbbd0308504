//! Lookup of the failure domain nearest to a caller, by the CIDR block that contains its address.
//!
//! Blocks may be nested; the smallest one that contains an address decides. They are flattened once
//! into ranges that don't overlap, so that a lookup is one binary search in a sorted vector and
//! allocates nothing.

use std::net;

use waxwing_record::record;
use waxwing_units::id;

/// Index that stands for the addresses outside all blocks.
const NO_DOMAIN_INDEX: u16 = u16::MAX;

/// The result of building a table.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a table can't be built.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The blocks name more failure domains than an index of 16 bits can distinguish.
    #[error("client blocks name more than {NO_DOMAIN_INDEX} failure domains")]
    TooManyFailureDomains,
}

/// Ranges of one address family: the sorted first addresses, and the failure domain of each range
/// as an index.
#[derive(Debug, Clone)]
struct Ranges<A> {
    starts: Vec<A>,
    domain_indexes: Vec<u16>,
}

/// A block as numbers: its first and last address, and the index of its failure domain.
#[derive(Debug, Clone, Copy)]
struct AddressBlock<A> {
    first: A,
    last: A,
    domain_index: u16,
}

/// Lookup table from addresses to the nearest failure domain.
#[derive(Debug, Clone)]
pub struct Table {
    failure_domains: Vec<id::FailureDomainId>,
    v4: Ranges<u32>,
    v6: Ranges<u128>,
}

impl Table {
    /// Builds the table from client blocks.
    ///
    /// # Errors
    ///
    /// Returns an error if the blocks name too many failure domains.
    pub fn build<'a>(blocks: impl IntoIterator<Item = &'a record::ClientBlock>) -> Result<Self> {
        let blocks: Vec<&record::ClientBlock> = blocks.into_iter().collect();
        let mut failure_domains: Vec<id::FailureDomainId> =
            blocks.iter().map(|block| block.failure_domain.clone()).collect();
        failure_domains.sort();
        failure_domains.dedup();
        if failure_domains.len() >= usize::from(NO_DOMAIN_INDEX) {
            return Err(Error::TooManyFailureDomains);
        }
        let (mut v4, mut v6) = (Vec::new(), Vec::new());
        for block in blocks {
            let domain_index = failure_domains
                .binary_search(&block.failure_domain)
                .map_or(NO_DOMAIN_INDEX, |at| at as u16);
            match block.prefix.network {
                net::IpAddr::V4(network) => {
                    v4.push(block_v4(network, block.prefix.len_bits, domain_index))
                }
                net::IpAddr::V6(network) => {
                    v6.push(block_v6(network, block.prefix.len_bits, domain_index))
                }
            }
        }
        Ok(Self { failure_domains, v4: flatten(v4, u32::MAX), v6: flatten(v6, u128::MAX) })
    }

    /// Returns the failure domain nearest to an address; `None` outside all blocks.
    pub fn nearest(&self, address: net::IpAddr) -> Option<&id::FailureDomainId> {
        let domain_index = match address {
            net::IpAddr::V4(address) => self.v4.domain_index(u32::from(address)),
            net::IpAddr::V6(address) => self.v6.domain_index(u128::from(address)),
        };
        self.failure_domains.get(usize::from(domain_index))
    }

    /// Returns the number of ranges in the table.
    pub const fn ranges(&self) -> usize {
        self.v4.starts.len() + self.v6.starts.len()
    }

    /// Returns the memory that the ranges occupy, in bytes.
    pub const fn ranges_bytes(&self) -> usize {
        self.v4.starts.capacity() * size_of::<u32>()
            + self.v6.starts.capacity() * size_of::<u128>()
            + (self.v4.domain_indexes.capacity() + self.v6.domain_indexes.capacity())
                * size_of::<u16>()
    }
}

impl<A: Ord> Ranges<A> {
    fn domain_index(&self, address: A) -> u16 {
        let after = self.starts.partition_point(|start| *start <= address);
        after.checked_sub(1).map_or(NO_DOMAIN_INDEX, |at| self.domain_indexes[at])
    }
}

const fn block_v4(network: net::Ipv4Addr, len_bits: u8, domain_index: u16) -> AddressBlock<u32> {
    let mask = match len_bits {
        0 => 0,
        _ => u32::MAX << (32 - len_bits),
    };
    let first = network.to_bits() & mask;
    AddressBlock { first, last: first | !mask, domain_index }
}

const fn block_v6(network: net::Ipv6Addr, len_bits: u8, domain_index: u16) -> AddressBlock<u128> {
    let mask = match len_bits {
        0 => 0,
        _ => u128::MAX << (128 - len_bits),
    };
    let first = network.to_bits() & mask;
    AddressBlock { first, last: first | !mask, domain_index }
}

/// Integers that represent addresses of one family.
trait Address: Copy + Ord {
    /// Returns the next address; `None` after the last.
    fn next(self) -> Option<Self>;
}

impl Address for u32 {
    fn next(self) -> Option<Self> {
        self.checked_add(1)
    }
}

impl Address for u128 {
    fn next(self) -> Option<Self> {
        self.checked_add(1)
    }
}

/// Flattens nested blocks into ranges that don't overlap.
fn flatten<A: Address>(mut blocks: Vec<AddressBlock<A>>, end: A) -> Ranges<A> {
    blocks.sort_unstable_by_key(|block| (block.first, std::cmp::Reverse(block.last)));
    let mut ranges = Ranges { starts: Vec::new(), domain_indexes: Vec::new() };
    let mut open: Vec<AddressBlock<A>> = Vec::new();
    for block in blocks {
        close_before(&mut ranges, &mut open, block.first);
        ranges.push(block.first, block.domain_index);
        open.push(block);
    }
    close_before(&mut ranges, &mut open, end);
    while let Some(block) = open.pop() {
        close(&mut ranges, &open, block);
    }
    ranges.starts.shrink_to_fit();
    ranges.domain_indexes.shrink_to_fit();
    ranges
}

/// Closes all open blocks that end before `address`.
fn close_before<A: Address>(ranges: &mut Ranges<A>, open: &mut Vec<AddressBlock<A>>, address: A) {
    while let Some(block) = open.pop_if(|block| block.last < address) {
        close(ranges, open, block);
    }
}

/// Closes a block: the addresses after it belong to the enclosing block, if there is one.
fn close<A: Address>(ranges: &mut Ranges<A>, open: &[AddressBlock<A>], block: AddressBlock<A>) {
    if let Some(after) = block.last.next() {
        ranges.push(after, open.last().map_or(NO_DOMAIN_INDEX, |enclosing| enclosing.domain_index));
    }
}

impl<A: Address> Ranges<A> {
    /// Starts a range; it replaces one that starts at the same address.
    fn push(&mut self, start: A, domain_index: u16) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.domain_indexes.pop();
        }
        if self.domain_indexes.last() != Some(&domain_index) {
            self.starts.push(start);
            self.domain_indexes.push(domain_index);
        }
    }
}
