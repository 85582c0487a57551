//! Which invokers are home to a chunk: the first few of a rendezvous order over the list.

use crate::Digest;
use saltdrum::interface::InvokerId;

/// So many invokers are asked for a chunk before the store is.
pub const HOMES: usize = 2;

/// An invoker as its list has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    pub invoker: InvokerId,
    pub size: f64,
    /// Part of its full capacity that it has surely risen to, 0 to 1: a just-started one is home to so many of its
    /// chunks, and to the others once it has risen.
    pub capacity_share: f64,
    /// A draining one is home to nothing.
    pub ready: bool,
}

/// A hash of both, the same at everybody, as a number in (0, 1).
fn unit(chunk: u64, invoker: InvokerId, salt: u64) -> f64 {
    let mut x = chunk ^ (u64::from(invoker).wrapping_add(salt)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64 + 1e-17
}

/// The chunk's homes, first choice first. Larger invokers are home to more.
pub fn homes(chunk: &Digest, members: &[Member]) -> Vec<InvokerId> {
    let lead = chunk.lead();
    let mut best: Vec<(f64, InvokerId)> = Vec::with_capacity(HOMES + 1);
    for m in members.iter().filter(|m| {
        m.ready && (m.capacity_share >= 1.0 || unit(lead, m.invoker, 77) < m.capacity_share)
    }) {
        let score = -unit(lead, m.invoker, 0).ln() / m.size.max(0.01);
        let at = best.partition_point(|b| (b.0, b.1) < (score, m.invoker));
        if at < HOMES {
            best.insert(at, (score, m.invoker));
            best.truncate(HOMES);
        }
    }
    best.into_iter().map(|(_, invoker)| invoker).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn members(n: u32) -> Vec<Member> {
        (1..=n)
            .map(|invoker| Member {
                invoker,
                size: 1.0,
                capacity_share: 1.0,
                ready: true,
            })
            .collect()
    }

    fn chunks(n: u32) -> Vec<Digest> {
        (0..n).map(|i| Digest::of(&i.to_le_bytes())).collect()
    }

    #[test]
    fn one_that_goes_moves_only_its_own_and_all_carry_alike() {
        let (all, mut fewer) = (members(20), members(20));
        fewer[6].ready = false;
        let mut carried = [0; 21];
        for c in chunks(4_000) {
            let (a, b) = (homes(&c, &all), homes(&c, &fewer));
            a.iter().for_each(|i| carried[*i as usize] += 1);
            if !a.contains(&7) {
                assert_eq!(a, b);
            } else {
                let kept: Vec<InvokerId> = a.into_iter().filter(|i| *i != 7).collect();
                assert!(kept.iter().all(|i| b.contains(i)) && !b.contains(&7));
            }
        }
        assert!(
            carried[1..].iter().all(|n| (320..480).contains(n)),
            "400 each on the mean: {carried:?}"
        );
    }

    #[test]
    fn a_just_started_one_becomes_home_bit_by_bit_and_loses_none_again() {
        let mut before = 0;
        let mut had: Vec<Digest> = Vec::new();
        for capacity_share in [0.0, 0.2, 0.6, 1.0] {
            let mut all = members(10);
            all[3].capacity_share = capacity_share;
            let now: Vec<Digest> = chunks(2_000)
                .into_iter()
                .filter(|c| homes(c, &all).contains(&4))
                .collect();
            assert!(had.iter().all(|c| now.contains(c)));
            assert!(
                now.len() > before || capacity_share == 0.0,
                "{capacity_share}: {}",
                now.len()
            );
            assert!(
                now.len() as f64 <= 400.0 * capacity_share * 1.3 + 1.0,
                "{capacity_share}: {}",
                now.len()
            );
            (before, had) = (now.len(), now);
        }
    }
}
