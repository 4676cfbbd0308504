//! Choice of the entry VMs that a directory names to callers.
//!
//! Callers use the named VMs in equal parts, whatever their links can carry. So a VM with a narrow
//! link beside wide ones is overloaded at a load that the others hardly notice: its requests wait
//! in its link, and so do its calls to the store. A set of VMs carries as much as its narrowest
//! link times its size; the set that carries most is named. When wide VMs fail, narrow ones are
//! named again.

use std::cmp;

use waxwing_units::bandwidth;

/// An entry VM that could be named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<T> {
    /// What to name it by.
    pub vm: T,
    /// The bandwidth of its link; `None` if it has not reported one, which counts as the widest.
    pub link_bandwidth: Option<bandwidth::Bandwidth>,
}

/// Returns the candidates to name, those with the widest links first.
pub fn choose<T>(candidates: Vec<Candidate<T>>) -> Vec<T> {
    let widest = candidates.iter().filter_map(|candidate| candidate.link_bandwidth).max();
    let bandwidth = |candidate: &Candidate<T>| candidate.link_bandwidth.or(widest);
    let mut sorted = candidates;
    sorted.sort_by_key(|candidate| cmp::Reverse(bandwidth(candidate)));
    let carried = |(at, candidate): (usize, &Candidate<T>)| {
        let narrowest = bandwidth(candidate).map_or(1, |bandwidth| u128::from(bandwidth.0));
        let count = at + 1;
        (narrowest * count as u128, count)
    };
    let best = sorted.iter().enumerate().map(carried).max();
    sorted.truncate(best.map_or(0, |(_, count)| count));
    sorted.into_iter().map(|candidate| candidate.vm).collect()
}
