//! Which failure domain is nearest to a caller, by the block of addresses that it is in.
//!
//! Blocks may lie within others; the smallest one that holds an address counts. They are laid
//! out once as ranges that don't overlap, so that a look-up is one binary search in a sorted
//! vector and allocates nothing.

use std::net;

use waxwing_record::record;
use waxwing_units::id;

/// Stands for addresses that are in no block.
const NO_SITE: u16 = u16::MAX;

/// The result of building a table.
pub type Result<T> = std::result::Result<T, Error>;

/// Tells why a table can't be built.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// There are more failure domains than can be told apart.
    #[error("client blocks lead to more than {NO_SITE} failure domains")]
    TooManySites,
}

/// Ranges of one address family: where each begins, sorted, and where it leads to.
#[derive(Debug, Clone)]
struct Ranges<A> {
    starts: Vec<A>,
    sites: Vec<u16>,
}

/// A block as numbers: its first and last address and its site.
#[derive(Debug, Clone, Copy)]
struct Span<A> {
    first: A,
    last: A,
    site: u16,
}

/// The nearest failure domain of each block of addresses.
#[derive(Debug, Clone)]
pub struct Table {
    sites: Vec<id::FailureDomainId>,
    v4: Ranges<u32>,
    v6: Ranges<u128>,
}

impl Table {
    /// Lays out blocks for look-up.
    ///
    /// # Errors
    ///
    /// Returns an error where the blocks lead to too many failure domains.
    pub fn build<'a>(blocks: impl IntoIterator<Item = &'a record::ClientBlock>) -> Result<Self> {
        let blocks: Vec<&record::ClientBlock> = blocks.into_iter().collect();
        let mut sites: Vec<id::FailureDomainId> =
            blocks.iter().map(|block| block.failure_domain.clone()).collect();
        sites.sort();
        sites.dedup();
        if sites.len() >= usize::from(NO_SITE) {
            return Err(Error::TooManySites);
        }
        let (mut v4, mut v6) = (Vec::new(), Vec::new());
        for block in blocks {
            let site = sites.binary_search(&block.failure_domain).map_or(NO_SITE, |at| at as u16);
            match block.prefix.network {
                net::IpAddr::V4(network) => v4.push(span_v4(network, block.prefix.len_bits, site)),
                net::IpAddr::V6(network) => v6.push(span_v6(network, block.prefix.len_bits, site)),
            }
        }
        Ok(Self { sites, v4: lay_out(v4, u32::MAX), v6: lay_out(v6, u128::MAX) })
    }

    /// Returns the failure domain that is nearest to an address.
    pub fn nearest(&self, address: net::IpAddr) -> Option<&id::FailureDomainId> {
        let site = match address {
            net::IpAddr::V4(address) => self.v4.site(u32::from(address)),
            net::IpAddr::V6(address) => self.v6.site(u128::from(address)),
        };
        self.sites.get(usize::from(site))
    }

    /// Returns how many ranges the table has.
    pub const fn ranges(&self) -> usize {
        self.v4.starts.len() + self.v6.starts.len()
    }

    /// Returns the memory that the ranges take, in bytes.
    pub const fn ranges_bytes(&self) -> usize {
        self.v4.starts.capacity() * size_of::<u32>()
            + self.v6.starts.capacity() * size_of::<u128>()
            + (self.v4.sites.capacity() + self.v6.sites.capacity()) * size_of::<u16>()
    }
}

impl<A: Ord> Ranges<A> {
    fn site(&self, address: A) -> u16 {
        let after = self.starts.partition_point(|start| *start <= address);
        after.checked_sub(1).map_or(NO_SITE, |at| self.sites[at])
    }
}

const fn span_v4(network: net::Ipv4Addr, len_bits: u8, site: u16) -> Span<u32> {
    let mask = match len_bits {
        0 => 0,
        _ => u32::MAX << (32 - len_bits),
    };
    let first = network.to_bits() & mask;
    Span { first, last: first | !mask, site }
}

const fn span_v6(network: net::Ipv6Addr, len_bits: u8, site: u16) -> Span<u128> {
    let mask = match len_bits {
        0 => 0,
        _ => u128::MAX << (128 - len_bits),
    };
    let first = network.to_bits() & mask;
    Span { first, last: first | !mask, site }
}

/// Numbers that addresses are counted with.
trait Address: Copy + Ord {
    /// Returns the next address, none after the last.
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

/// Cuts nested blocks into ranges that don't overlap.
fn lay_out<A: Address>(mut spans: Vec<Span<A>>, end: A) -> Ranges<A> {
    spans.sort_unstable_by_key(|span| (span.first, std::cmp::Reverse(span.last)));
    let mut ranges = Ranges { starts: Vec::new(), sites: Vec::new() };
    let mut open: Vec<Span<A>> = Vec::new();
    for span in spans {
        close_until(&mut ranges, &mut open, span.first);
        ranges.push(span.first, span.site);
        open.push(span);
    }
    close_until(&mut ranges, &mut open, end);
    while let Some(span) = open.pop() {
        close(&mut ranges, &open, span);
    }
    ranges.starts.shrink_to_fit();
    ranges.sites.shrink_to_fit();
    ranges
}

/// Ends all open blocks that end before `address`.
fn close_until<A: Address>(ranges: &mut Ranges<A>, open: &mut Vec<Span<A>>, address: A) {
    while let Some(span) = open.pop_if(|span| span.last < address) {
        close(ranges, open, span);
    }
}

/// Ends a block: what follows belongs to the block around it, if there is one.
fn close<A: Address>(ranges: &mut Ranges<A>, open: &[Span<A>], span: Span<A>) {
    if let Some(after) = span.last.next() {
        ranges.push(after, open.last().map_or(NO_SITE, |around| around.site));
    }
}

impl<A: Address> Ranges<A> {
    /// Begins a range; one that begins at the same address is replaced.
    fn push(&mut self, start: A, site: u16) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.sites.pop();
        }
        if self.sites.last() != Some(&site) {
            self.starts.push(start);
            self.sites.push(site);
        }
    }
}
